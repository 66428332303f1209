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

// This file records the results of trips and the final outcomes of notices in the ledger, and reports the latter to
// the platform.

// recordOutcome counts a trip's result, and records in the ledger that the notice has ended or that the trip has not
// run. A notice whose delivery may have come after the client timeout still needs a final outcome.
func (l *Loop) recordOutcome(e rules.TripEnded) {
	n := l.notices[e.Notice]
	n.inFlight = false
	if l.tracing {
		l.log.Debug(logs.Outcome, "id", n.id, "notice", e.Notice, "receiver", e.Receiver, "result", e.Result,
			"spent", toDuration(e.Duration), "wait", toDuration(e.RequestedWait))
	}
	switch e.Result {
	case rules.Handled:
		l.counters.Handled++
	case rules.Refused:
		l.counters.Full++
	case rules.Errored:
		l.counters.Errored++
	case rules.NotConnected:
		l.counters.NotConnected++
	case rules.NotSent:
		l.counters.NotSent++
	case rules.LocalShortage:
		l.counters.LocalShortages++
		l.uncountTrip(n)
	case rules.Recalled:
		l.counters.Recalled++
		l.uncountTrip(n)
	case rules.Ambiguous:
		l.counters.Ambiguous++
	default:
		l.counters.Lost++
	}
	tripRecorded := n.tripRecorded
	n.tripRecorded = false
	switch {
	case e.Result == rules.Handled && !n.ended && l.sender.ResponseMayBeLate(e.Notice, toMillis(l.now.Sub(l.started))):
		l.counters.HandledLate++
		l.endNotice(e.Notice, directory.GivenUp, 0)
		return
	case e.NoticeEnded:
		n.ended = true
		l.writeOutcomeOnceConfirmed(e, n)
	case tripRecorded && didNotRun(e.Result):
		l.writeOutcomeOnceConfirmed(e, n)
	}
	l.release(e.Notice, n)
}

// didNotRun reports whether a result proves that the trip had no effect at the receiver.
func didNotRun(r rules.Result) bool {
	return r == rules.Refused || r == rules.NotConnected || r == rules.NotSent || r == rules.LocalShortage ||
		r == rules.Recalled
}

// confirmTime returns how long to wait after a response of a receiver for the correct one, in case the response
// belongs to another call.
func (l *Loop) confirmTime(receiver rules.ReceiverID) time.Duration {
	return toDuration(l.sender.ConfirmTime(receiver))
}

// waitsToSettle reports whether a call waits for a connection that will have settled when the time left is over,
// rather than opening a new one. The last new connection to the receiver took connectTime to connect.
func (l *Loop) waitsToSettle(receiver rules.ReceiverID, left, connectTime time.Duration) bool {
	return l.sender.WaitsToSettle(receiver, toMillis(left), toMillis(connectTime))
}

// writeOutcomeOnceConfirmed records in the ledger that a notice is ended or that its last trip has not run. An
// unconfirmed outcome is recorded only when it is confirmed; until then an ended notice is held without its body.
func (l *Loop) writeOutcomeOnceConfirmed(e rules.TripEnded, n *heldNotice) {
	if !e.Unconfirmed {
		l.writeOutcome(e.Notice, n)
		return
	}
	n.unconfirmed = true
	if n.ended {
		l.awaitingConfirmation++
		l.heldBytes -= n.body.Held()
		n.body.Free()
		n.body = nil
	}
}

// writeOutcome records in the ledger that a notice is ended, or else that its last trip has not run.
func (l *Loop) writeOutcome(number rules.NoticeID, n *heldNotice) {
	if n.ended {
		l.logLedgerError(l.ledger.RecordClosed(number))
	} else {
		l.logLedgerError(l.ledger.RecordNotRun(number))
	}
}

// collectConfirmations processes the confirmations and retractions of outcomes that were reported unconfirmed.
func (l *Loop) collectConfirmations() {
	for _, c := range l.calls.Confirmed() {
		l.applyConfirmation(c)
	}
	for _, retraction := range l.calls.Retractions() {
		l.retractOutcome(retraction)
	}
	for _, receiver := range l.calls.UnsolicitedFrom() {
		l.events = append(l.events, rules.UnsolicitedBytes{Receiver: receiver})
	}
}

// applyConfirmation confirms the outcome of a trip, unless the notice has made another trip since.
func (l *Loop) applyConfirmation(c calls.Confirmation) {
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

// confirmOutcome marks a notice's unconfirmed outcome as confirmed and records it in the ledger.
func (l *Loop) confirmOutcome(number rules.NoticeID, n *heldNotice) {
	n.unconfirmed = false
	if n.ended {
		l.awaitingConfirmation--
	}
	l.writeOutcome(number, n)
}

// retractOutcome retracts a trip's outcome: it is no longer known whether the notice was delivered or the trip
// never ran. A notice that had ended is reported to the platform as given up, which does no harm if it was
// delivered.
func (l *Loop) retractOutcome(retraction calls.Retraction) {
	n := l.notices[retraction.Notice]
	l.counters.Retracted++
	l.log.Warn(logs.OutcomeRetracted, "id", retraction.ID, "notice", retraction.Notice, "receiver", retraction.Receiver,
		"written_ago", l.now.Sub(retraction.WrittenAt), "held", n != nil && !n.ended)
	l.events = append(l.events, rules.OutcomeRetracted{Notice: retraction.Notice, Receiver: retraction.Receiver,
		SentAgo: toMillis(l.now.Sub(retraction.WrittenAt))})
	switch {
	case n == nil && l.endedIDs.has(retraction.ID):
	case n == nil:
		l.endedIDs.add(retraction.ID, l.now)
		l.counters.GivenUp++
		l.directory.ReportOutcome(directory.FinalOutcome{Notice: retraction.Notice, Message: retraction.ID,
			Outcome: directory.GivenUp})
	case !n.ended:
		n.unconfirmed = false
	case n.unconfirmed:
		l.awaitingConfirmation--
		l.endNotice(retraction.Notice, directory.GivenUp, 0)
	}
}

// uncountTrip undoes the counting of a trip that was not sent.
func (l *Loop) uncountTrip(n *heldNotice) {
	if n.trips > 1 {
		l.counters.FurtherTrips--
	}
	n.trips--
}

// recordTrip records a trip in the ledger, just before its call is written. On an error the call must not be
// written.
func (l *Loop) recordTrip(c *calls.Call) error {
	if left := l.sender.RemainingWait(c.Receiver, toMillis(l.now.Sub(l.started))); left > 0 {
		l.counters.WrittenDuringWait++
		l.log.Warn(logs.WrittenInWait, "id", c.ID, "notice", c.Notice, "receiver", c.Receiver,
			"begun_ago", l.now.Sub(c.StartedAt), "left", toDuration(left))
	}
	zone := settings.Name(l.config.Names.Zones, int(c.Zone))
	n := l.notices[c.Notice]
	if n.unconfirmed { // the notice makes another trip, so the outcome of its last one stands
		l.confirmOutcome(c.Notice, n)
	}
	// By the wall clock as it stood when the notice was accepted, like the notice's other times.
	at := l.now.Add(-n.acceptedAt.StepUntil(l.clock.Now()))
	err := l.ledger.RecordTrip(c.Notice, ledger.Trip{At: at, Zone: zone})
	l.logLedgerError(err)
	n.tripRecorded = err == nil
	return err
}

// release frees a notice if it is ended and has neither a trip in flight nor an unconfirmed outcome.
func (l *Loop) release(number rules.NoticeID, n *heldNotice) {
	if n.ended && !n.inFlight && !n.unconfirmed {
		l.heldBytes -= n.body.Held()
		n.body.Free()
		delete(l.notices, number)
	}
}

// endNotice ends a notice. Its final outcome is recorded and reported to the platform, unless its client is still
// waiting for the answer to its submission: in that case admit answers the client in the same turn.
func (l *Loop) endNotice(number rules.NoticeID, outcome string, retryAfter rules.Millis) {
	n := l.notices[number]
	if n.request == nil {
		if outcome == directory.GivenUp {
			l.counters.GivenUp++
		} else {
			l.counters.HandedBack++
		}
		if l.tracing {
			l.log.Debug(logs.Ended, "id", n.id, "notice", number, "outcome", outcome,
				"retry_in_ms", float64(retryAfter))
		}
		l.endedIDs.add(n.id, l.now)
		l.logLedgerError(l.ledger.RecordOutcome(number, outcome, float64(retryAfter)))
		l.directory.ReportOutcome(directory.FinalOutcome{Notice: number, Message: n.id, Outcome: outcome,
			RetryInMS: float64(retryAfter)})
	}
	n.unconfirmed = false // the final outcome stands, whatever the result of the last trip
	n.ended = true
	l.release(number, n)
}
