package rules

import "testing"

// connectionUp brings a trip's connection up, and the outcome of a recall.
func (t *trace) connectionUp(notice NoticeID, before ...Event) {
	t.turn(append(before, ConnectionUp{notice})...)
	for _, recalled := range t.recalled {
		for i, trip := range t.trips {
			if trip.Notice == recalled {
				t.trips = append(t.trips[:i], t.trips[i+1:]...)
				t.turn(TripEnded{Notice: trip.Notice, Receiver: trip.Receiver, Result: Recalled})
				break
			}
		}
	}
	t.recalled = nil
}

func TestCallLeavesWhenItsConnectionComesUp(tt *testing.T) {
	t := start(tt, madeUp(), entry(1, 1))
	t.take(1, NoticeTaken{Destination: 1})
	t.pass(100)
	t.connectionUp(1)
	t.note("a notice that is not out, and one not known")
	t.answer(Handled)
	t.connectionUp(1)
	t.connectionUp(77)
}

func TestCallIsTakenBackWithinToldWait(tt *testing.T) {
	t := start(tt, madeUp(), entry(1, 1), entry(2, 1))
	t.take(3, NoticeTaken{Destination: 1, Grade: 2})
	t.pass(50)
	t.note("the wait is told in the very turn in which a connection comes up, and binds the other receiver too")
	trip := t.trips[0]
	t.trips = t.trips[1:]
	t.connectionUp(2, TripEnded{Notice: trip.Notice, Receiver: trip.Receiver, Result: Full, Wait: 1000})
	t.connectionUp(3)
	t.pass(4000)
}

func TestCallIsTakenBackFromReceiverThatDrains(tt *testing.T) {
	t := start(tt, madeUp(), entry(1, 1), entry(2, 1))
	t.take(1, NoticeTaken{Destination: 1})
	drains := entry(t.trips[0].Receiver, 1)
	drains.Standing = Draining
	t.connectionUp(1, ListTold{Entries: []Entry{drains}})
	t.pass(50)
}

func TestCallIsTakenBackWhenItsMarkIsForgotten(tt *testing.T) {
	t := start(tt, madeUp(), entry(1, 1))
	t.take(1, NoticeTaken{Destination: 1, Grade: 1, Trips: 1, Ran: 1, RanAgo: 5800})
	t.pass(300)
	t.connectionUp(1)
}

// wide is the made-up deployment with room for several calls at once to one receiver.
func wide() Settings {
	settings := madeUp()
	settings.Slots = 24
	return settings
}

func TestCallIsTakenBackOnceItsOutageShows(tt *testing.T) {
	t := start(tt, wide(), entry(1, 1))
	t.take(3, NoticeTaken{Destination: 1})
	t.pass(50)
	t.answer(NotConnected)
	t.answer(NotConnected)
	t.note("the third was decided on before the outage showed")
	t.connectionUp(3)
	t.pass(6000)
}

func TestCallIsTakenBackWhileBreakerIsOpenOrTriesOthers(tt *testing.T) {
	t := start(tt, wide(), entry(1, 1))
	t.take(1, NoticeTaken{Destination: 1, Grade: 2})
	t.trips = nil
	t.quiet = true
	for range minimumCallsBeforeCalculation {
		t.take(1, NoticeTaken{Destination: 1})
		t.answer(Errored)
		t.trips = nil
		t.pass(500)
	}
	t.turn(ConnectionUp{1})
	t.pass(resetTimeout)
	t.turn(ConnectionUp{1})
}
