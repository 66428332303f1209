package loop

import (
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
	default:
		l.counters.Lost++
	}
	unrun := e.Result == rules.Full || e.Result == rules.NotConnected || e.Result == rules.Moot || e.Result == rules.Short ||
		e.Result == rules.Recalled
	recorded := n.recorded
	n.recorded = false
	switch {
	case e.Result == rules.Handled && !n.over && l.sender.AnswerMayBeLate(e.Notice, millis(l.now.Sub(l.started))):
		l.counters.HandledLate++
		l.end(e.Notice, directory.GivenUp, 0)
		return
	case e.Over:
		n.over = true
		l.keep(l.ledger.Closed(e.Notice))
	case recorded && unrun:
		l.keep(l.ledger.Unrun(e.Notice))
	}
	l.release(e.Notice, n)
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
	// By the wall clock as it was when the notice was taken, like its other times.
	at := l.now.Add(-n.takenAt.Stepped(l.clock.Now()))
	err := l.ledger.Trip(c.Notice, ledger.Trip{At: at, Zone: zone})
	l.keep(err)
	n.recorded = err == nil
	return err
}

// release lets go of a notice that is over and not out.
func (l *Loop) release(number rules.NoticeID, n *held) {
	if n.over && !n.out {
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
		l.keep(l.ledger.Ended(number, outcome, float64(retryAfter)))
		l.directory.Ended(directory.End{Notice: number, Message: n.id, Outcome: outcome, RetryInMS: float64(retryAfter)})
	}
	n.over = true
	l.release(number, n)
}
