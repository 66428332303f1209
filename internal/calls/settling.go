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
	due     time.Time // its true answer comes no later
	written time.Time
	heard   time.Time     // when that was
	confirm time.Duration // how long behind it the true answer would have come
	state   exchangeState
}

// exchangeState is what is known of an exchange's outcome.
type exchangeState uint8

const (
	unconfirmed exchangeState = iota
	confirmed
	doubted
	mayHaveRun // the outcome said no more than that: there is nothing to take back
)

func anyExchange(exchange) bool { return true }

func isUnconfirmed(e exchange) bool { return e.state == unconfirmed }

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
const exchangesKept = 32

// Confirmed hands over the trips whose unconfirmed outcomes hold, since the last time.
func (p *Pool) Confirmed() []Confirmation {
	confirmed := p.confirmed
	p.confirmed = nil
	return confirmed
}

// Doubts hands over the calls whose outcomes are in doubt, since the last time.
func (p *Pool) Doubts() []Doubt {
	doubts := p.doubts
	p.doubts = nil
	return doubts
}

// Surplus hands over the receivers that sent more than they were asked for, since the last time.
func (p *Pool) Surplus() []rules.ReceiverID {
	surplus := p.surplus
	p.surplus = nil
	return surplus
}

// remember notes an outcome that may be another call's.
func (l *connection) remember(c *Call, status int, confirm time.Duration, state exchangeState) {
	if len(l.exchanges) >= exchangesKept && l.exchanges[0].state != unconfirmed {
		l.exchanges = slices.Delete(l.exchanges, 0, 1)
	}
	l.exchanges = append(l.exchanges, exchange{notice: c.Notice, trip: c.Trip, id: c.ID, status: status, due: c.due, written: l.wrote,
		heard: l.heard, confirm: confirm, state: state})
}

// settle lets a connection settle behind an answer.
func (p *Pool) settle(l *connection) {
	l.settledAt = l.heard.Add(p.limits.SettleTime)
}

// settled tells whether a connection has settled, as far as its time goes.
func (p *Pool) settled(l *connection) bool { return !p.now.Before(l.settledAt) }

// waitToSettle lets a call wait for an idle connection that still settles.
func (p *Pool) waitToSettle(l *connection, c *Call) {
	p.removeIdle(l)
	l.call, c.connection = c, l
	if !slices.Contains(p.waiting, l) {
		p.waiting = append(p.waiting, l)
	}
}

// stepWaiting asks whether calls may leave whose connections have settled, and returns when the next one will. What has come on a
// connection and was not heard yet is waited for.
func (p *Pool) stepWaiting() (next time.Time) {
	p.waiting = slices.DeleteFunc(p.waiting, func(l *connection) bool {
		switch {
		case l.call == nil || l.call.written:
			return true
		case p.settled(l) && l.conn.Quiet():
			p.up = append(p.up, rules.ConnectionUp{Notice: l.call.Notice})
			return true
		case p.settled(l):
			l.settledAt = p.now.Add(p.limits.Unheard)
		}
		if next.IsZero() || l.settledAt.Before(next) {
			next = l.settledAt
		}
		return false
	})
	return next
}

// overdue tells whether the true answer to an unconfirmed call would have come by now.
func (p *Pool) overdue(e exchange) bool {
	return e.state == unconfirmed && p.now.Sub(e.heard) >= e.confirm
}

// confirmOld lets outcomes of a connection hold of which the true answers would have come by now.
func (p *Pool) confirmOld(l *connection) {
	if !l.rest && slices.ContainsFunc(l.exchanges, p.overdue) && l.conn.Quiet() {
		p.confirm(l, p.overdue)
	}
}

// confirm lets outcomes of a connection hold.
func (p *Pool) confirm(l *connection, which func(exchange) bool) {
	for i := range l.exchanges {
		if e := &l.exchanges[i]; e.state == unconfirmed && which(*e) {
			e.state = confirmed
			p.confirmed = append(p.confirmed, Confirmation{Notice: e.notice, Trip: e.trip})
		}
	}
}

// awaited tells whether the true answer to a call may still come on a connection.
func (p *Pool) awaited(l *connection) bool {
	return slices.ContainsFunc(l.exchanges, func(e exchange) bool { return p.now.Sub(e.heard) < e.confirm })
}

// doubt takes outcomes back that don't hold if an answer with another status was the true one to the last call, and so the answer to each
// call before was booked on the call behind it. Of these it takes back which are told.
func (p *Pool) doubt(l *connection, status int, which func(exchange) bool) {
	for i := len(l.exchanges) - 1; i >= 0; i-- {
		e := &l.exchanges[i]
		if e.status != status && e.due.After(p.now) && which(*e) {
			p.takeBack(l, e)
		}
		status = e.status
	}
}

// takeBack puts an outcome in doubt.
func (p *Pool) takeBack(l *connection, e *exchange) {
	if e.state == unconfirmed || e.state == confirmed {
		e.state = doubted
		p.doubts = append(p.doubts, Doubt{Notice: e.notice, Receiver: l.receiver, ID: e.id, Written: e.written})
	}
}

// doubtEnded takes unconfirmed outcomes back whose connection ends: the true answer to the last call may have been on its way, and that to
// a call before may have been booked on the call behind it.
func (p *Pool) doubtEnded(l *connection) {
	p.confirm(l, p.overdue)
	p.doubt(l, statusUnknown, isUnconfirmed)
	p.confirm(l, anyExchange)
}

// doubtCut takes back what the head of an answer has told that did not come whole: it may be a part of an earlier call's.
func (p *Pool) doubtCut(l *connection) {
	if l.rest && l.unsure() && len(l.exchanges) > 0 {
		p.takeBack(l, &l.exchanges[len(l.exchanges)-1])
	}
}

// surplusShown is how many bytes of what came unasked the log shows.
const surplusShown = 16

// surplusCame notes that a connection said something that no call had asked for, after it was quiet for a while.
func (p *Pool) surplusCame(l *connection, quiet time.Duration, b []byte) {
	p.Unasked++
	p.surplus = append(p.surplus, l.receiver)
	p.log.Warn(logs.Unasked, "connection", l.number, "receiver", l.receiver, "last", l.last, "carried", l.carried, "quiet", quiet,
		"bytes", len(b), "begins", string(b[:min(len(b), surplusShown)]))
}

// hearSurplus ends the use of a connection on which something came unasked. Where that may be the true answer to a call whose
// booked one was another's, it is heard for as long as that may come.
func (p *Pool) hearSurplus(l *connection, b []byte) {
	if l.carried <= 1 {
		p.drop(l, "said something unasked")
		return
	}
	p.removeIdle(l)
	l.givenUp, l.surplus, l.since, l.waitUntil = true, true, p.now, time.Time{}
	p.hearLate(l, b)
}

// retire keeps a connection from being used again; what still comes on it is heard for a while.
func (p *Pool) retire(l *connection) {
	p.removeIdle(l)
	l.retired = true
}

// letGo closes an idle connection, once its outcomes are confirmed.
func (p *Pool) letGo(l *connection, why string) {
	if p.awaited(l) {
		p.retire(l)
	} else {
		p.drop(l, why)
	}
}

// unassign takes a call that was not written from the connection that it waits for.
func (p *Pool) unassign(l *connection) {
	l.call, l.since = nil, p.now
	if l.gone {
		p.letGo(l, "the receiver is gone")
	} else {
		p.idle[l.receiver] = append(p.idle[l.receiver], l)
	}
}

// usable is an idle connection to a receiver that has settled and on which nothing has come, or nil.
func (p *Pool) usable(receiver rules.ReceiverID) *connection {
	idle := p.idle[receiver]
	for i := len(idle) - 1; i >= 0; i-- {
		l := idle[i]
		if !p.settled(l) {
			continue
		}
		if l.conn.Quiet() {
			p.removeIdle(l)
			return l
		}
		p.Stale++
		p.retire(l) // what has come, or its end, is told when it is gathered
		idle = p.idle[receiver]
		i = min(i, len(idle))
	}
	return nil
}

// nextSettled is the idle connection to a receiver that settles next and is worth waiting for, or nil.
func (p *Pool) nextSettled(receiver rules.ReceiverID) *connection {
	var first *connection
	for _, l := range p.idle[receiver] {
		if first == nil || l.settledAt.Before(first.settledAt) {
			first = l
		}
	}
	if first == nil || !p.hooks.WaitsToSettle(receiver, first.settledAt.Sub(p.now), p.comesUp[receiver]) {
		return nil
	}
	return first
}
