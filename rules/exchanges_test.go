package rules

import "testing"

func unconfirmedOutcome(e *TripEnded) { e.Unconfirmed = true }

func TestNextNoticeOfAKeyWaitsUntilAnOutcomeIsConfirmed(tt *testing.T) {
	t := start(tt, madeUp(), entry(1, 1))
	t.take(5, NoticeTaken{Destination: 1, Grade: 1, Key: 7})
	t.answer(Handled, unconfirmedOutcome)
	t.pass(500)
	t.note("the first is confirmed")
	t.turn(OutcomeConfirmed{1})
	t.answer(Handled, unconfirmedOutcome)
	t.pass(500)
	t.note("the second is doubted")
	t.turn(OutcomeDoubted{Notice: 2, Receiver: 1, SentAgo: 600})
	t.await()
	t.note("the third is ended before its refusal is confirmed")
	t.answer(Full, unconfirmedOutcome)
	t.turn(NoticeWithdrawn{3})
	t.pass(500)
	t.turn(OutcomeConfirmed{3})
	t.answer(Handled)
	t.note("the fourth was surely its own, so the fifth goes at once")
	t.answer(Handled, unconfirmedOutcome)
	t.turn(OutcomeConfirmed{5})
	t.say("%d keys, %d unconfirmed", len(t.sender.keys), len(t.sender.unconfirmed))
}
