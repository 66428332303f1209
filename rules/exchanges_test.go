package rules

import "testing"

// unconfirmedOutcome is an option of endTrip: the response may belong to another call.
func unconfirmedOutcome(e *TripEnded) { e.Unconfirmed = true }

func TestNextNoticeOfAKeyWaitsUntilAnOutcomeIsConfirmed(t *testing.T) {
	trace := startTrace(t, testSettings(), entry(1, 1))
	trace.accept(5, NoticeAccepted{Destination: 1, Grade: 1, Key: 7})
	trace.endTrip(Handled, unconfirmedOutcome)
	trace.advance(500)
	trace.note("the first outcome is confirmed")
	trace.runTurn(OutcomeConfirmed{1})
	trace.endTrip(Handled, unconfirmedOutcome)
	trace.advance(500)
	trace.note("the second outcome is retracted")
	trace.runTurn(OutcomeRetracted{Notice: 2, Receiver: 1, SentAgo: 600})
	trace.awaitTrip()
	trace.note("the third notice is withdrawn before its refusal is confirmed")
	trace.endTrip(Refused, unconfirmedOutcome)
	trace.runTurn(NoticeWithdrawn{3})
	trace.advance(500)
	trace.runTurn(OutcomeConfirmed{3})
	trace.endTrip(Handled)
	trace.note("the fourth outcome was certain, so the fifth notice is sent at once")
	trace.endTrip(Handled, unconfirmedOutcome)
	trace.runTurn(OutcomeConfirmed{5})
	trace.record("%d keys, %d unconfirmed", len(trace.sender.keys), len(trace.sender.unconfirmed))
}
