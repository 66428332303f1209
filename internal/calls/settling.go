package calls

import (
	"slices"
	"time"

	"chuteweir.example/chuteweir/internal/logs"
	"chuteweir.example/chuteweir/rules"
)

// Connections that settle: after an answer a connection stays unused for a while, in which bytes that no call has asked for show
// that an answer was booked on a call that it did not belong to.

// exchange is a call that was answered on a connection that had carried calls before, so that its answer may be another's.
type exchange struct {
	notice  rules.NoticeID
	trip    int
	id      string
	status  int       // that it was booked with
	deadline     time.Time // its true answer comes no later
	writtenAt time.Time
	readAt   time.Time     // when that was
	confirmAfter time.Duration // how long behind it the true answer would have come
	state   exchangeState
}

// exchangeState is what is known of an exchange's outcome.
type exchangeState uint8

const (
	unconfirmed exchangeState = iota
	confirmed
	retracted
	mayHaveRun // the outcome said no more than that: there is nothing to take back
)

func anyExchange(exchange) bool { return true }

func isUnconfirmed(ex exchange) bool { return ex.state == unconfirmed }

// Confirmation is a trip of which the unconfirmed outcome holds.
type Confirmation struct {
	Notice rules.NoticeID
	Trip   int
}

// Doubt is a call whose outcome was told although its answer may have been another call's.
type Doubt struct {
	Notice   rules.NoticeID
	Receiver rules.ReceiverID
	ID       string // of the notice, as its client gave it
	Written  time.Time
}

// statusUnknown is the status of an answer that did not come.
const statusUnknown = 0

// exchangesKept is how many answered calls a connection remembers, and more only while the first of them is unconfirmed.
const maxExchanges = 32

// Confirmed hands over the trips whose unconfirmed outcomes hold, since the last time.
func (p *Pool) Confirmed() []Confirmation {
	confirmed := p.confirmed
	p.confirmed = nil
	return confirmed
}

// Doubts hands over the calls whose outcomes are in doubt, since the last time.
func (p *Pool) Doubts() []Doubt {
	retractions := p.retractions
	p.retractions = nil
	return retractions
}

// Surplus hands over the receivers that sent more than they were asked for, since the last time.
func (p *Pool) Surplus() []rules.ReceiverID {
	receivers := p.unsolicited
	p.unsolicited = nil
	return receivers
}

// remember notes an outcome that may be another call's.
func (conn *connection) recordExchange(call *Call, status int, confirm time.Duration, state exchangeState) {
	if len(conn.exchanges) >= maxExchanges && conn.exchanges[0].state != unconfirmed {
		conn.exchanges = slices.Delete(conn.exchanges, 0, 1)
	}
	conn.exchanges = append(conn.exchanges, exchange{notice: call.Notice, trip: call.Trip, id: call.ID, status: status, deadline: call.deadline, writtenAt: conn.writtenAt,
		readAt: conn.lastRead, confirmAfter: confirm, state: state})
}

// settle lets a connection settle behind an answer.
func (p *Pool) settle(conn *connection) {
	conn.settledAt = conn.lastRead.Add(p.limits.SettleTime)
}

// settled tells whether a connection has settled, as far as its time goes.
func (p *Pool) settled(conn *connection) bool { return !p.now.Before(conn.settledAt) }

// waitToSettle lets a call wait for an idle connection that still settles.
func (p *Pool) waitToSettle(conn *connection, call *Call) {
	p.removeIdle(conn)
	conn.call, call.connection = call, conn
	if !slices.Contains(p.settling, conn) {
		p.settling = append(p.settling, conn)
	}
}

// stepWaiting asks whether calls may leave whose connections have settled, and returns when the next one will. What has come on a
// connection and was not heard yet is waited for.
func (p *Pool) releaseSettled() (next time.Time) {
	p.settling = slices.DeleteFunc(p.settling, func(conn *connection) bool {
		switch {
		case conn.call == nil || conn.call.written:
			return true
		case p.settled(conn) && conn.socket.Quiet():
			p.established = append(p.established, rules.ConnectionUp{Notice: conn.call.Notice})
			return true
		case p.settled(conn):
			conn.settledAt = p.now.Add(p.limits.Unheard)
		}
		if next.IsZero() || conn.settledAt.Before(next) {
			next = conn.settledAt
		}
		return false
	})
	return next
}

// overdue tells whether the true answer to an unconfirmed call would have come by now.
func (p *Pool) confirmationDue(ex exchange) bool {
	return ex.state == unconfirmed && p.now.Sub(ex.readAt) >= ex.confirmAfter
}

// confirmOld lets outcomes of a connection hold of which the true answers would have come by now.
func (p *Pool) confirmDue(conn *connection) {
	if !conn.readingBody && slices.ContainsFunc(conn.exchanges, p.confirmationDue) && conn.socket.Quiet() {
		p.confirm(conn, p.confirmationDue)
	}
}

// confirm lets outcomes of a connection hold.
func (p *Pool) confirm(conn *connection, match func(exchange) bool) {
	for i := range conn.exchanges {
		if ex := &conn.exchanges[i]; ex.state == unconfirmed && match(*ex) {
			ex.state = confirmed
			p.confirmed = append(p.confirmed, Confirmation{Notice: ex.notice, Trip: ex.trip})
		}
	}
}

// awaited tells whether the true answer to a call may still come on a connection.
func (p *Pool) awaitsLateResponse(conn *connection) bool {
	return slices.ContainsFunc(conn.exchanges, func(ex exchange) bool { return p.now.Sub(ex.readAt) < ex.confirmAfter })
}

// doubt takes outcomes back that don't hold if an answer with another status was the true one to the last call, and so the answer to each
// call before was booked on the call behind it. Of these it takes back which are told.
func (p *Pool) retractShifted(conn *connection, laterStatus int, match func(exchange) bool) {
	for i := len(conn.exchanges) - 1; i >= 0; i-- {
		ex := &conn.exchanges[i]
		if ex.status != laterStatus && ex.deadline.After(p.now) && match(*ex) {
			p.retract(conn, ex)
		}
		laterStatus = ex.status
	}
}

// takeBack puts an outcome in doubt.
func (p *Pool) retract(conn *connection, ex *exchange) {
	if ex.state == unconfirmed || ex.state == confirmed {
		ex.state = retracted
		p.retractions = append(p.retractions, Doubt{Notice: ex.notice, Receiver: conn.receiver, ID: ex.id, Written: ex.writtenAt})
	}
}

// doubtEnded takes unconfirmed outcomes back whose connection ends: the true answer to the last call may have been on its way, and that to
// a call before may have been booked on the call behind it.
func (p *Pool) retractOnClose(conn *connection) {
	p.confirm(conn, p.confirmationDue)
	p.retractShifted(conn, statusUnknown, isUnconfirmed)
	p.confirm(conn, anyExchange)
}

// doubtCut takes back what the head of an answer has told that did not come whole: it may be a part of an earlier call's.
func (p *Pool) retractTruncated(conn *connection) {
	if conn.readingBody && conn.reused() && len(conn.exchanges) > 0 {
		p.retract(conn, &conn.exchanges[len(conn.exchanges)-1])
	}
}

// surplusShown is how many bytes of what came unasked the log shows.
const maxLoggedBytes = 16

// surplusCame notes that a connection said something that no call had asked for, after it was quiet for a while.
func (p *Pool) reportUnsolicited(conn *connection, silence time.Duration, data []byte) {
	p.Unasked++
	p.unsolicited = append(p.unsolicited, conn.receiver)
	p.log.Warn(logs.Unasked, "connection", conn.number, "receiver", conn.receiver, "last", conn.lastNotice, "carried", conn.callsWritten, "quiet", silence,
		"bytes", len(data), "begins", string(data[:min(len(data), maxLoggedBytes)]))
}

// hearSurplus ends the use of a connection on which something came unasked. Where that may be the true answer to a call whose
// booked one was another's, it is heard for as long as that may come.
func (p *Pool) handleUnsolicited(conn *connection, data []byte) {
	if conn.callsWritten <= 1 {
		p.drop(conn, "said something unasked")
		return
	}
	p.removeIdle(conn)
	conn.receiveOnly, conn.unsolicited, conn.stateSince, conn.waitUntil = true, true, p.now, time.Time{}
	p.readLate(conn, data)
}

// retire keeps a connection from being used again; what still comes on it is heard for a while.
func (p *Pool) retire(conn *connection) {
	p.removeIdle(conn)
	conn.retired = true
}

// letGo closes an idle connection, once its outcomes are confirmed.
func (p *Pool) closeOrRetire(conn *connection, reason string) {
	if p.awaitsLateResponse(conn) {
		p.retire(conn)
	} else {
		p.drop(conn, reason)
	}
}

// unassign takes a call that was not written from the connection that it waits for.
func (p *Pool) unassign(conn *connection) {
	conn.call, conn.stateSince = nil, p.now
	if conn.delisted {
		p.closeOrRetire(conn, "the receiver is gone")
	} else {
		p.idle[conn.receiver] = append(p.idle[conn.receiver], conn)
	}
}

// usable is an idle connection to a receiver that has settled and on which nothing has come, or nil.
func (p *Pool) takeSettledIdle(receiver rules.ReceiverID) *connection {
	idle := p.idle[receiver]
	for i := len(idle) - 1; i >= 0; i-- {
		conn := idle[i]
		if !p.settled(conn) {
			continue
		}
		if conn.socket.Quiet() {
			p.removeIdle(conn)
			return conn
		}
		p.Stale++
		p.retire(conn) // what has come, or its end, is told when it is gathered
		idle = p.idle[receiver]
		i = min(i, len(idle))
	}
	return nil
}

// nextSettled is the idle connection to a receiver that settles next and is worth waiting for, or nil.
func (p *Pool) nextToSettle(receiver rules.ReceiverID) *connection {
	var earliest *connection
	for _, conn := range p.idle[receiver] {
		if earliest == nil || conn.settledAt.Before(earliest.settledAt) {
			earliest = conn
		}
	}
	if earliest == nil || !p.hooks.WaitsToSettle(receiver, earliest.settledAt.Sub(p.now), p.connectTimes[receiver]) {
		return nil
	}
	return earliest
}
