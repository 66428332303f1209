package rules

import (
	"math/rand/v2"
	"testing"
)

// TestOddEvents plays odd but legal events, drawn from a seed, and holds every action to the six rules.
func TestOddEvents(tt *testing.T) {
	for seed := range uint64(12) {
		oddRun(tt, rand.New(rand.NewPCG(seed, 1)))
	}
}

type oddNotice struct {
	NoticeTaken
	until         Millis
	trips, ended  int
	out, mightRun bool
	ranZone       ZoneID
}

func oddRun(tt *testing.T, draw *rand.Rand) {
	settings := madeUp()
	settings.CallOff, settings.HoldLimit = true, 40
	var list []Entry
	for id := range ReceiverID(6) {
		list = append(list, Entry{Receiver: id, Destination: DestinationID(id / 2), Kind: KindID(id / 4), Zone: ZoneID(id % 2),
			Standing: Ready, ListedRate: float64(draw.IntN(20))})
	}
	t := &trace{sender: New(draw.Uint64(), settings)}
	t.turn(ListTold{Whole: true, Entries: list})
	notices := map[NoticeID]*oddNotice{}
	waits := map[DestinationID]Millis{}
	var order []*oddNotice
	fault := func(what string, n *oddNotice) { tt.Errorf("%s: notice %+v at %.0f", what, n, t.now) }
	for range 4000 {
		t.now += Millis(draw.IntN(40)) * settings.Tick
		var events []Event
		for range draw.IntN(4) {
			t.next++
			n := &oddNotice{NoticeTaken: NoticeTaken{Notice: t.next, Grade: GradeID(draw.IntN(4)), Key: KeyID(draw.IntN(3)),
				Destination: DestinationID(draw.IntN(4)), Left: Millis(draw.IntN(6000)), Inherited: draw.IntN(9) == 0}}
			n.until = t.now + n.Left
			notices[n.Notice] = n
			order = append(order, n)
			events = append(events, n.NoticeTaken)
		}
		for len(t.trips) > 0 && draw.IntN(3) > 0 {
			trip := t.trips[0]
			t.trips = t.trips[1:]
			n := notices[trip.Notice]
			e := TripEnded{Notice: trip.Notice, Receiver: trip.Receiver, Result: Result(draw.IntN(8)), Spent: 90}
			n.out, n.mightRun = false, n.mightRun || e.Result != Full && e.Result != NotConnected && e.Result != Moot
			e.LimitTold, e.LimitLeft, e.LimitRate = draw.IntN(2) > 0, draw.Float64(), float64(draw.IntN(9))
			if e.Result == Full && list[trip.Receiver].Kind == 0 {
				e.Wait = Millis(draw.IntN(900))
				waits[n.Destination] = max(waits[n.Destination], t.now+e.Wait)
			}
			if e.Result == Handled && n.ended == 0 {
				e.Over, n.ended = true, 1
			}
			events = append(events, e)
		}
		if draw.IntN(50) == 0 {
			entry := &list[draw.IntN(len(list))]
			entry.Standing = Standing(draw.IntN(3))
			events = append(events, ListTold{Entries: []Entry{*entry}}, NoticeWithdrawn{Notice: 1 << 30})
		}
		for _, a := range t.sender.Decide(t.now, events) {
			switch a := a.(type) {
			case Send:
				n := notices[a.Notice]
				entry := list[a.Receiver]
				switch {
				case n.ended > 0 || n.out || n.trips >= settings.TripLimit:
					fault("sent again", n)
				case entry.Standing != Ready || entry.Destination != n.Destination:
					fault("sent astray", n)
				case t.now < waits[n.Destination]:
					fault("sent in a wait", n)
				case n.mightRun && (n.Grade >= 2 || n.Grade == 1 && entry.Zone != n.ranZone), n.Inherited && n.Grade == 1:
					fault("might run twice", n)
				}
				if !n.mightRun {
					n.ranZone = entry.Zone
				}
				for _, o := range order {
					if o == n {
						break
					}
					if o.Key == n.Key && n.Key != 0 && o.Grade == 1 && n.Grade == 1 && (o.ended == 0 || o.out) {
						fault("out of turn", n)
					}
				}
				n.out = true
				n.trips++
				t.trips = append(t.trips, a)
			case Dismiss:
				if n := notices[a.Notice]; n.mightRun && n.Grade >= 1 || n.out {
					fault("dismissed", n)
				}
				notices[a.Notice].ended++
			case BreakOff:
				notices[a.Notice].ended++
			}
		}
		for _, n := range order {
			if n.ended > 1 || n.ended == 0 && !n.out && t.now > n.until {
				fault("not ended once in time", n)
			}
		}
	}
}
