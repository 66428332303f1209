package loop

import (
	"time"

	"chuteweir.example/chuteweir/internal/calls"
	"chuteweir.example/chuteweir/internal/directory"
	"chuteweir.example/chuteweir/internal/ledger"
	"chuteweir.example/chuteweir/internal/logs"
	"chuteweir.example/chuteweir/internal/settings"
	"chuteweir.example/chuteweir/rules"
)

// What trips come to, and the ends of notices, in the ledger and at the platform.

// book writes a trip's outcome into the ledger.
func (l *Loop) book(e rules.TripEnded) {
	n := l.notices[e.Notice]
	n.out = false
	if l.tracing {
		l.log.Debug(logs.Outcome, "id", n.id, "notice", e.Notice, "receiver", e.Receiver, "result", e.Result,
			"spent", span(e.Spent), "wait", span(e.Wait))
	}
	switch e.Result {
	case rules.Handled:
		l.counters.Handled++
	case rules.Full:
		l.counters.Full++
	case rules.Errored:
		l.counters.Errored++
	case rules.NotConnected:
		l.counters.Unmet++
	case rules.Moot:
		l.counters.Unsent++
	case rules.Short:
		l.counters.Short++
		l.uncount(n)
	case rules.Recalled:
		l.counters.Recalled++
		l.uncount(n)
	case rules.Ambiguous:
		l.counters.Ambiguous++
	default:
		l.counters.Lost++
	}
	recorded := n.recorded
	n.recorded = false
	switch {
	case e.Result == rules.Handled && !n.over && l.sender.AnswerMayBeLate(e.Notice, millis(l.now.Sub(l.started))):
		l.counters.HandledLate++
		l.end(e.Notice, directory.GivenUp, 0)
		return
	case e.Over:
		n.over = true
		l.settleOutcome(e, n)
	case recorded && unrun(e.Result):
		l.settleOutcome(e, n)
	}
	l.release(e.Notice, n)
}

// unrun tells an outcome of which the trip has not run.
func unrun(r rules.Result) bool {
	return r == rules.Full || r == rules.NotConnected || r == rules.Moot || r == rules.Short || r == rules.Recalled
}

// confirmTime is how long behind an answer of a receiver the true one would have come, if that was another call's.
func (l *Loop) confirmTime(receiver rules.ReceiverID) time.Duration {
	return span(l.sender.ConfirmTime(receiver))
}

// waitsToSettle tells whether a call waits for a connection that still settles rather than for a new one.
func (l *Loop) waitsToSettle(receiver rules.ReceiverID, left, comesUp time.Duration) bool {
	return l.sender.WaitsToSettle(receiver, millis(left), millis(comesUp))
}

// settleOutcome writes into the ledger that a notice is over or that its last trip has not run; of an unconfirmed outcome only
// once that is confirmed.
func (l *Loop) settleOutcome(e rules.TripEnded, n *held) {
	if !e.Unconfirmed {
		l.writeOutcome(e.Notice, n)
		return
	}
	n.unconfirmed = true
	if n.over {
		l.answered++
		l.heldBytes -= n.body.Held()
		n.body.Free()
		n.body = nil
	}
}

func (l *Loop) writeOutcome(number rules.NoticeID, n *held) {
	if n.over {
		l.keep(l.ledger.Closed(number))
	} else {
		l.keep(l.ledger.Unrun(number))
	}
}

// gatherConfirmations takes what has become of outcomes that were told before they were sure.
func (l *Loop) gatherConfirmations() {
	for _, c := range l.calls.Confirmed() {
		l.confirmed(c)
	}
	for _, d := range l.calls.Doubts() {
		l.doubt(d)
	}
	for _, receiver := range l.calls.Surplus() {
		l.events = append(l.events, rules.SurplusHeard{Receiver: receiver})
	}
}

// confirmed lets the unconfirmed outcome of a trip hold, unless the notice has made another trip since.
func (l *Loop) confirmed(c calls.Confirmation) {
	n := l.notices[c.Notice]
	if n != nil && n.trips != c.Trip {
		return
	}
	if n != nil && n.unconfirmed {
		l.confirmOutcome(c.Notice, n)
		l.release(c.Notice, n)
	}
	l.events = append(l.events, rules.OutcomeConfirmed{Notice: c.Notice})
}

// confirmOutcome lets an unconfirmed outcome hold.
func (l *Loop) confirmOutcome(number rules.NoticeID, n *held) {
	n.unconfirmed = false
	if n.over {
		l.answered--
	}
	l.writeOutcome(number, n)
}

// doubt takes an outcome back: neither that the notice was delivered nor that it never ran holds. One that is over gets an end at the
// platform, which does no harm where it was delivered.
func (l *Loop) doubt(d calls.Doubt) {
	n := l.notices[d.Notice]
	l.counters.Doubted++
	l.log.Warn(logs.Doubted, "id", d.ID, "notice", d.Notice, "receiver", d.Receiver, "written_ago", l.now.Sub(d.Written),
		"held", n != nil && !n.over)
	l.events = append(l.events, rules.OutcomeDoubted{Notice: d.Notice, Receiver: d.Receiver, SentAgo: millis(l.now.Sub(d.Written))})
	switch {
	case n == nil && l.ended.has(d.ID):
	case n == nil:
		l.ended.add(d.ID, l.now)
		l.counters.GivenUp++
		l.directory.Ended(directory.End{Notice: d.Notice, Message: d.ID, Outcome: directory.GivenUp})
	case !n.over:
		n.unconfirmed = false
	case n.unconfirmed:
		l.answered--
		l.end(d.Notice, directory.GivenUp, 0)
	}
}

// uncount takes back a trip that has not left.
func (l *Loop) uncount(n *held) {
	if n.trips > 1 {
		l.counters.Further--
	}
	n.trips--
}

// record writes a trip into the ledger, just before its call is written.
func (l *Loop) record(c *calls.Call) error {
	if left := l.sender.WaitLeft(c.Receiver, millis(l.now.Sub(l.started))); left > 0 {
		l.counters.InWait++
		l.log.Warn(logs.WrittenInWait, "id", c.ID, "notice", c.Notice, "receiver", c.Receiver, "begun_ago", l.now.Sub(c.Begun),
			"left", span(left))
	}
	zone := settings.Name(l.config.Names.Zones, int(c.Zone))
	n := l.notices[c.Notice]
	if n.unconfirmed { // its last trip, which may run again
		l.confirmOutcome(c.Notice, n)
	}
	// By the wall clock as it was when the notice was taken, like its other times.
	at := l.now.Add(-n.takenAt.Stepped(l.clock.Now()))
	err := l.ledger.Trip(c.Notice, ledger.Trip{At: at, Zone: zone})
	l.keep(err)
	n.recorded = err == nil
	return err
}

// release lets go of a notice that is over and not out.
func (l *Loop) release(number rules.NoticeID, n *held) {
	if n.over && !n.out && !n.unconfirmed {
		l.heldBytes -= n.body.Held()
		n.body.Free()
		delete(l.notices, number)
	}
}

// end gives a notice its end: to its client in the notice's own turn, else to the platform.
func (l *Loop) end(number rules.NoticeID, outcome string, retryAfter rules.Millis) {
	n := l.notices[number]
	if n.request == nil {
		if outcome == directory.GivenUp {
			l.counters.GivenUp++
		} else {
			l.counters.HandedBack++
		}
		if l.tracing {
			l.log.Debug(logs.Ended, "id", n.id, "notice", number, "outcome", outcome, "retry_in_ms", float64(retryAfter))
		}
		l.ended.add(n.id, l.now)
		l.keep(l.ledger.Ended(number, outcome, float64(retryAfter)))
		l.directory.Ended(directory.End{Notice: number, Message: n.id, Outcome: outcome, RetryInMS: float64(retryAfter)})
	}
	n.unconfirmed = false // whatever its last trip came to, it has its end
	n.over = true
	l.release(number, n)
}
