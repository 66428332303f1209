package rules

import "testing"

// separateRouteEntry returns the list entry of a receiver that is a separate route.
func separateRouteEntry(id ReceiverID, status ReceiverStatus) Entry {
	return Entry{Receiver: id, Destination: 1, Kind: 1, Status: status, ListedRate: 20}
}

func TestWaitOfSeparateRouteOutlivesItsRemoval(t *testing.T) {
	trace := startTrace(t, testSettings(), separateRouteEntry(1, Ready), separateRouteEntry(2, Draining))
	trace.accept(1, NoticeAccepted{Destination: 1})
	trace.endTrip(Refused, requestWait(12_000))
	trace.note("the receiver is gone, and listed again before the wait is over")
	trace.runTurn(ListUpdated{Entries: []Entry{separateRouteEntry(1, Gone)}})
	trace.advance(5000)
	trace.runTurn(ListUpdated{Entries: []Entry{separateRouteEntry(1, Ready)}})
	trace.advance(10_000)
}

func TestShorterWaitDoesNotReplaceLongerOne(t *testing.T) {
	trace := startTrace(t, testSettings(), entry(1, 1), entry(2, 1))
	trace.accept(2, NoticeAccepted{Destination: 1})
	trace.endTrip(Refused, requestWait(5000))
	trace.advance(50)
	trace.endTrip(Refused, requestWait(100))
	trace.runTurn(WaitRequested{Receiver: 2, Wait: 300})
	trace.advance(8000)
}

func TestWaitRequestedBeforeOutcomeAppliesToAllReceivers(t *testing.T) {
	trace := startTrace(t, testSettings(), entry(1, 1), entry(2, 1))
	trace.accept(1, NoticeAccepted{Destination: 1})
	trace.runTurn(WaitRequested{Receiver: 1, Wait: 1000}, WaitRequested{Receiver: 99, Wait: 1000})
	trace.accept(1, NoticeAccepted{Destination: 1})
	trace.advance(1500)
}
