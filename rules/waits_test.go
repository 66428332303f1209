package rules

import "testing"

// apart is an entry of a destination whose receivers are separate routes.
func apart(id ReceiverID, standing Standing) Entry {
	return Entry{Receiver: id, Destination: 1, Kind: 1, Standing: standing, ListedRate: 20}
}

func TestWaitOfSeparateRouteOutlivesItsBeingGone(tt *testing.T) {
	t := start(tt, madeUp(), apart(1, Ready), apart(2, Draining))
	t.take(1, NoticeTaken{Destination: 1})
	t.answer(Full, wait(12_000))
	t.note("gone, and listed again before the wait is over")
	t.turn(ListTold{Entries: []Entry{apart(1, Gone)}})
	t.pass(5000)
	t.turn(ListTold{Entries: []Entry{apart(1, Ready)}})
	t.pass(10_000)
}

func TestShorterWaitDoesNotReplaceLongerOne(tt *testing.T) {
	t := start(tt, madeUp(), entry(1, 1), entry(2, 1))
	t.take(2, NoticeTaken{Destination: 1})
	t.answer(Full, wait(5000))
	t.pass(50)
	t.answer(Full, wait(100))
	t.turn(WaitTold{Receiver: 2, Wait: 300})
	t.pass(8000)
}

func TestWaitToldBeforeOutcomeBindsAllReceivers(tt *testing.T) {
	t := start(tt, madeUp(), entry(1, 1), entry(2, 1))
	t.take(1, NoticeTaken{Destination: 1})
	t.turn(WaitTold{Receiver: 1, Wait: 1000}, WaitTold{Receiver: 99, Wait: 1000})
	t.take(1, NoticeTaken{Destination: 1})
	t.pass(1500)
}
