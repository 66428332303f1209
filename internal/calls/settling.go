package calls

import (
	"slices"
	"time"

	"chuteweir.example/chuteweir/internal/logs"
	"chuteweir.example/chuteweir/rules"
)

// This file guards against responses that are recorded for calls that they don't belong to. After a response, a
// connection stays unused for limits.SettleTime, because late or duplicate responses usually arrive in that time. An
// outcome on a reused connection stays unconfirmed until the correct response, if there is another one, would have
// arrived; it is retracted if such a response arrives or may have been lost.

// exchange is an answered call on a reused connection, whose response may belong to another call.
type exchange struct {
	notice       rules.NoticeID
	trip         int           // Call.Trip
	id           string        // Call.ID
	status       int           // of the response that was recorded for it
	deadline     time.Time     // of the call; its correct response comes no later
	writtenAt    time.Time     // when the request was written
	readAt       time.Time     // when the response was received
	confirmAfter time.Duration // how long after readAt the correct response would have arrived
	state        exchangeState
}

// exchangeState says whether the outcome of an exchange is known to be correct.
type exchangeState uint8

const (
	unconfirmed exchangeState = iota
	confirmed
	retracted
	mayHaveRun // the outcome only says that the call may have run, so there is nothing to retract
)

// anyExchange matches every exchange.
func anyExchange(exchange) bool { return true }

// isUnconfirmed matches the exchanges whose outcome is neither confirmed nor retracted.
func isUnconfirmed(ex exchange) bool { return ex.state == unconfirmed }

// Confirmation names a trip whose unconfirmed outcome has proved correct.
type Confirmation struct {
	Notice rules.NoticeID
	Trip   int
}

// Retraction is a retracted outcome: it was reported, but its response may have belonged to another call.
type Retraction struct {
	Notice    rules.NoticeID
	Receiver  rules.ReceiverID
	ID        string    // request id of the notice, as its client gave it
	WrittenAt time.Time // when the request was written
}

// statusUnknown stands for the status of a response that was not received.
const statusUnknown = 0

// maxExchanges is how many answered calls a connection keeps. It keeps more only while the oldest of them is
// unconfirmed.
const maxExchanges = 32

// Confirmed returns the trips whose unconfirmed outcomes have proved correct since it was last called.
func (p *Pool) Confirmed() []Confirmation {
	confirmed := p.confirmed
	p.confirmed = nil
	return confirmed
}

// Retractions returns the outcomes retracted since it was last called.
func (p *Pool) Retractions() []Retraction {
	retractions := p.retractions
	p.retractions = nil
	return retractions
}

// UnsolicitedFrom returns the receivers that sent unsolicited bytes since it was last called.
func (p *Pool) UnsolicitedFrom() []rules.ReceiverID {
	receivers := p.unsolicited
	p.unsolicited = nil
	return receivers
}

// recordExchange keeps an answered call whose response may belong to another call.
func (conn *connection) recordExchange(call *Call, status int, confirmAfter time.Duration, state exchangeState) {
	if len(conn.exchanges) >= maxExchanges && conn.exchanges[0].state != unconfirmed {
		conn.exchanges = slices.Delete(conn.exchanges, 0, 1)
	}
	conn.exchanges = append(conn.exchanges, exchange{notice: call.Notice, trip: call.Trip, id: call.ID, status: status,
		deadline: call.deadline, writtenAt: conn.writtenAt,
		readAt: conn.lastRead, confirmAfter: confirmAfter, state: state})
}

// settle starts the time for which a connection stays unused after a response.
func (p *Pool) settle(conn *connection) {
	conn.settledAt = conn.lastRead.Add(p.limits.SettleTime)
}

// settled reports whether the settling time of a connection is over. Bytes may have arrived that were not read yet.
func (p *Pool) settled(conn *connection) bool { return !p.now.Before(conn.settledAt) }

// waitToSettle assigns a call to an idle connection, to be written once that has settled.
func (p *Pool) waitToSettle(conn *connection, call *Call) {
	p.removeIdle(conn)
	conn.call, call.connection = call, conn
	if !slices.Contains(p.settling, conn) {
		p.settling = append(p.settling, conn)
	}
}

// releaseSettled reports through Established the calls whose connections have settled, and returns when the next one
// settles. A connection with unread bytes is looked at again after limits.UnreadRecheckDelay, when they have been read.
func (p *Pool) releaseSettled() (next time.Time) {
	p.settling = slices.DeleteFunc(p.settling, func(conn *connection) bool {
		switch {
		case conn.call == nil || conn.call.written:
			return true
		case p.settled(conn) && conn.socket.NothingUnread():
			p.established = append(p.established, rules.ConnectionUp{Notice: conn.call.Notice})
			return true
		case p.settled(conn):
			conn.settledAt = p.now.Add(p.limits.UnreadRecheckDelay)
		}
		if next.IsZero() || conn.settledAt.Before(next) {
			next = conn.settledAt
		}
		return false
	})
	return next
}

// confirmationDue reports whether an exchange is unconfirmed and its correct response would have arrived by now.
func (p *Pool) confirmationDue(ex exchange) bool {
	return ex.state == unconfirmed && p.now.Sub(ex.readAt) >= ex.confirmAfter
}

// confirmDue confirms the outcomes of a connection whose correct responses would have arrived by now.
func (p *Pool) confirmDue(conn *connection) {
	if !conn.readingBody && slices.ContainsFunc(conn.exchanges, p.confirmationDue) && conn.socket.NothingUnread() {
		p.confirm(conn, p.confirmationDue)
	}
}

// confirm confirms the unconfirmed outcomes of a connection that are accepted by match.
func (p *Pool) confirm(conn *connection, match func(exchange) bool) {
	for i := range conn.exchanges {
		if ex := &conn.exchanges[i]; ex.state == unconfirmed && match(*ex) {
			ex.state = confirmed
			p.confirmed = append(p.confirmed, Confirmation{Notice: ex.notice, Trip: ex.trip})
		}
	}
}

// awaitsLateResponse reports whether the correct response to an answered call may still arrive on a connection.
func (p *Pool) awaitsLateResponse(conn *connection) bool {
	return slices.ContainsFunc(conn.exchanges, func(ex exchange) bool { return p.now.Sub(ex.readAt) < ex.confirmAfter })
}

// retractShifted retracts the outcomes that are wrong if responses were shifted by one call: the correct response to
// the last call has status laterStatus, and that to each earlier call was recorded for the call after it. Only
// exchanges accepted by match are retracted, and none that has the same status either way or whose deadline has passed.
func (p *Pool) retractShifted(conn *connection, laterStatus int, match func(exchange) bool) {
	for i := len(conn.exchanges) - 1; i >= 0; i-- {
		ex := &conn.exchanges[i]
		if ex.status != laterStatus && ex.deadline.After(p.now) && match(*ex) {
			p.retract(conn, ex)
		}
		laterStatus = ex.status
	}
}

// retract retracts an outcome that is unconfirmed or confirmed; others stay as they are.
func (p *Pool) retract(conn *connection, ex *exchange) {
	if ex.state == unconfirmed || ex.state == confirmed {
		ex.state = retracted
		p.retractions = append(p.retractions,
			Retraction{Notice: ex.notice, Receiver: conn.receiver, ID: ex.id, WrittenAt: ex.writtenAt})
	}
}

// retractOnClose retracts unconfirmed outcomes of a connection that is closed, and confirms the rest. The correct
// response to the last call may have been on its way, and the response to an earlier call may have been recorded
// for the call after it.
func (p *Pool) retractOnClose(conn *connection) {
	p.confirm(conn, p.confirmationDue)
	p.retractShifted(conn, statusUnknown, isUnconfirmed)
	p.confirm(conn, anyExchange)
}

// retractTruncated retracts an outcome taken from the head of a response that did not arrive completely: the head
// may belong to the response to an earlier call.
func (p *Pool) retractTruncated(conn *connection) {
	if conn.readingBody && conn.reused() && len(conn.exchanges) > 0 {
		p.retract(conn, &conn.exchanges[len(conn.exchanges)-1])
	}
}

// maxLoggedBytes is how many of the first unsolicited bytes the log shows.
const maxLoggedBytes = 16

// reportUnsolicited counts and logs bytes that no call had asked for. silence is the time between them and the bytes
// received before them on the connection.
func (p *Pool) reportUnsolicited(conn *connection, silence time.Duration, data []byte) {
	p.UnsolicitedReads++
	p.unsolicited = append(p.unsolicited, conn.receiver)
	p.log.Warn(logs.UnsolicitedBytes, "connection", conn.number, "receiver", conn.receiver, "last", conn.lastNotice,
		"carried", conn.callsWritten, "quiet", silence, "bytes", len(data),
		"begins", string(data[:min(len(data), maxLoggedBytes)]))
}

// handleUnsolicited stops using a connection on which unsolicited bytes arrived. A reused connection stays open for
// as long as they may be the correct response to a call that was recorded with the response to another one. A
// connection that has carried one call at most is closed.
func (p *Pool) handleUnsolicited(conn *connection, data []byte) {
	if conn.callsWritten <= 1 {
		p.drop(conn, "received unsolicited bytes")
		return
	}
	p.removeIdle(conn)
	conn.receiveOnly, conn.unsolicited, conn.stateSince, conn.waitUntil = true, true, p.now, time.Time{}
	p.readLate(conn, data)
}

// retire keeps a connection from being used again. Bytes that still arrive on it are read until it is closed.
func (p *Pool) retire(conn *connection) {
	p.removeIdle(conn)
	conn.retired = true
}

// closeOrRetire closes an idle connection, or retires it if a late response may still arrive on it.
func (p *Pool) closeOrRetire(conn *connection, reason string) {
	if p.awaitsLateResponse(conn) {
		p.retire(conn)
	} else {
		p.drop(conn, reason)
	}
}

// unassign frees a connection from a call that was not written. It becomes idle again unless its receiver is no
// longer listed.
func (p *Pool) unassign(conn *connection) {
	conn.call, conn.stateSince = nil, p.now
	if conn.delisted {
		p.closeOrRetire(conn, "receiver no longer listed")
	} else {
		p.idle[conn.receiver] = append(p.idle[conn.receiver], conn)
	}
}

// takeSettledIdle takes the most recently used one of the idle connections to a receiver that have settled and have
// nothing unread, or returns nil. Those found closed or with unread bytes are retired.
func (p *Pool) takeSettledIdle(receiver rules.ReceiverID) *connection {
	idle := p.idle[receiver]
	for i := len(idle) - 1; i >= 0; i-- {
		conn := idle[i]
		if !p.settled(conn) {
			continue
		}
		if conn.socket.NothingUnread() {
			p.removeIdle(conn)
			return conn
		}
		p.StaleConnections++
		p.retire(conn) // its bytes, or its end, are handled when the sockets are next read
		idle = p.idle[receiver]
		i = min(i, len(idle))
	}
	return nil
}

// nextToSettle returns the idle connection to a receiver that settles next, or nil if there is none or it is not
// worth waiting for.
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
