package rules

import "testing"

// establishConnection reports, after the events before, that the connection for the call of a notice is
// established. If the sender then recalls calls, it reports their outcomes.
func (trace *decisionTrace) establishConnection(notice NoticeID, before ...Event) {
	trace.runTurn(append(before, ConnectionUp{notice})...)
	for _, recalled := range trace.recalled {
		for i, trip := range trace.outstanding {
			if trip.Notice == recalled {
				trace.outstanding = append(trace.outstanding[:i], trace.outstanding[i+1:]...)
				trace.runTurn(TripEnded{Notice: trip.Notice, Receiver: trip.Receiver, Result: Recalled})
				break
			}
		}
	}
	trace.recalled = nil
}

func TestCallLeavesWhenItsConnectionComesUp(t *testing.T) {
	trace := startTrace(t, testSettings(), entry(1, 1))
	trace.accept(1, NoticeAccepted{Destination: 1})
	trace.advance(100)
	trace.establishConnection(1)
	trace.note("a connection for a notice without outstanding trip, and one for an unknown notice")
	trace.endTrip(Handled)
	trace.establishConnection(1)
	trace.establishConnection(77)
}

func TestCallIsRecalledDuringRequestedWait(t *testing.T) {
	trace := startTrace(t, testSettings(), entry(1, 1), entry(2, 1))
	trace.accept(3, NoticeAccepted{Destination: 1, Grade: 2})
	trace.advance(50)
	trace.note("a wait requested in the turn in which a connection comes up applies to both receivers")
	trip := trace.outstanding[0]
	trace.outstanding = trace.outstanding[1:]
	trace.establishConnection(2, TripEnded{Notice: trip.Notice, Receiver: trip.Receiver, Result: Refused,
		RequestedWait: 1000})
	trace.establishConnection(3)
	trace.advance(4000)
}

func TestCallIsRecalledFromDrainingReceiver(t *testing.T) {
	trace := startTrace(t, testSettings(), entry(1, 1), entry(2, 1))
	trace.accept(1, NoticeAccepted{Destination: 1})
	draining := entry(trace.outstanding[0].Receiver, 1)
	draining.Status = Draining
	trace.establishConnection(1, ListUpdated{Entries: []Entry{draining}})
	trace.advance(50)
}

func TestCallIsRecalledWhenItsMarkIsForgotten(t *testing.T) {
	trace := startTrace(t, testSettings(), entry(1, 1))
	trace.accept(1, NoticeAccepted{Destination: 1, Grade: 1, Trips: 1, PossibleRuns: 1, FirstRunAgo: 5800})
	trace.advance(300)
	trace.establishConnection(1)
}

// settingsWithManySlots returns testSettings with enough slots for several concurrent calls to one receiver.
func settingsWithManySlots() Settings {
	settings := testSettings()
	settings.Slots = 24
	return settings
}

func TestCallIsRecalledAfterOutageIsDetected(t *testing.T) {
	trace := startTrace(t, settingsWithManySlots(), entry(1, 1))
	trace.accept(3, NoticeAccepted{Destination: 1})
	trace.advance(50)
	trace.endTrip(NotConnected)
	trace.endTrip(NotConnected)
	trace.note("the third call was decided on before the outage was detected")
	trace.establishConnection(3)
	trace.advance(6000)
}

func TestCallIsRecalledWhileBreakerIsOpenOrHalfOpen(t *testing.T) {
	trace := startTrace(t, settingsWithManySlots(), entry(1, 1))
	trace.accept(1, NoticeAccepted{Destination: 1, Grade: 2})
	trace.outstanding = nil
	trace.omitSends = true
	for range minimumCallsBeforeCalculation {
		trace.accept(1, NoticeAccepted{Destination: 1})
		trace.endTrip(Errored)
		trace.outstanding = nil
		trace.advance(500)
	}
	trace.runTurn(ConnectionUp{1})
	trace.advance(resetTimeout)
	trace.runTurn(ConnectionUp{1})
}
