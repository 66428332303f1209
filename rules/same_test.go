package rules

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestSameDecisions drives senders of several sizes with random events, a hundred thousand in all, and
// compares digests of all actions with the stored ones. A change of the data structures of this package must
// not change its decisions. After a change that is meant to change decisions, UPDATE=1 rewrites the digests.
func TestSameDecisions(t *testing.T) {
	var b strings.Builder
	for seed, size := range []struct{ destinations, slots, hold, turns int }{
		{3, 4, 30, 8000}, {12, 8, 120, 6000}, {60, 40, 1000, 3000}, {300, 200, 5000, 1500},
	} {
		digests := digestDecisions(uint64(seed), size.destinations, size.slots, size.hold, size.turns)
		fmt.Fprintf(&b, "%d destinations, %d slots, hold %d: %s\n", size.destinations, size.slots, size.hold,
			strings.Join(digests, " "))
	}
	const path = "testdata/TestSameDecisions.txt"
	if os.Getenv("UPDATE") != "" {
		if err := os.WriteFile(path, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), b.String()); diff != "" {
		t.Error(diff)
	}
}

// digestDecisions drives a sender of simulated destinations, which are added and removed, fail, refuse calls
// and leave them without response. It returns ten digests, one after each tenth of the turns: the number of
// actions so far, and their hash.
func digestDecisions(seed uint64, destinations, slots, hold, turns int) (digests []string) {
	random := rand.New(rand.NewPCG(seed, 9))
	settings := testSettings()
	settings.CancelTrips, settings.Slots, settings.HoldLimit, settings.TripLimit = true, slots, hold, 6
	settings.LateCreditHalves = seed%2 == 1
	settings.Quotas = []float64{20, 50}
	var list []Entry
	for id := range ReceiverID(2 * destinations) {
		list = append(list, Entry{Receiver: id, Destination: DestinationID(id / 2),
			Kind: KindID(id / 2 % 7 / 6), Zone: ZoneID(id % 2),
			Status: Ready, ListedRate: float64(random.IntN(20))})
	}
	sender := New(seed, settings)
	sender.Decide(0, []Event{ListUpdated{Complete: true, Entries: list}})
	type outstandingTrip struct {
		Send
		sentAt, endsAt Millis
		result         Result
	}
	var outstanding []outstandingTrip
	failsUntil := make([]Millis, destinations) // by destination: until when its calls fail
	failure := make([]Result, destinations)    // by destination: the result of its calls until then
	hash, actionCount := fnv.New64a(), 0
	now, lastNotice := Millis(0), NoticeID(0)
	destinationOf := map[NoticeID]DestinationID{}
	for turn := range turns {
		now += Millis(random.IntN(8)) * settings.Tick
		var events []Event
		for range random.IntN(2 + destinations/8) {
			lastNotice++
			n := NoticeAccepted{Notice: lastNotice, Grade: GradeID(random.IntN(4)),
				Portfolio: PortfolioID(random.IntN(3)), Key: KeyID(random.IntN(30)),
				Destination: DestinationID(random.IntN(destinations)),
				TimeLeft:    Millis(1000 + random.IntN(9000)), Inherited: random.IntN(30) == 0}
			if random.IntN(40) == 0 {
				n.Trips, n.PossibleRuns, n.FirstRunAgo = 2, 1, 500
			}
			destinationOf[lastNotice] = n.Destination
			events = append(events, n)
		}
		if d := random.IntN(destinations); random.IntN(20) == 0 {
			failsUntil[d], failure[d] = now+Millis(500+random.IntN(8000)),
				[]Result{Errored, Refused, TimedOut, NotConnected, Reset}[random.IntN(5)]
		}
		remaining := outstanding[:0]
		for _, trip := range outstanding {
			if trip.endsAt > now {
				remaining = append(remaining, trip)
				continue
			}
			e := TripEnded{Notice: trip.Notice, Receiver: trip.Receiver, Result: trip.result,
				Duration: now - trip.sentAt}
			e.LimitReported, e.LimitRemaining, e.LimitRate = random.IntN(2) > 0, random.Float64(),
				float64(random.IntN(30))
			if trip.result == Refused && random.IntN(2) == 0 {
				e.RequestedWait = Millis(random.IntN(900))
			}
			e.NoticeEnded = trip.result == Handled
			events = append(events, e)
		}
		outstanding = remaining
		if random.IntN(60) == 0 {
			entry := &list[random.IntN(len(list))]
			entry.Status = ReceiverStatus(random.IntN(3))
			events = append(events, ListUpdated{Entries: []Entry{*entry}})
		}
		for _, a := range sender.Decide(now, events) {
			fmt.Fprintf(hash, "%.3f %T %+v\n", now, a, a)
			actionCount++
			if send, ok := a.(Send); ok {
				trip := outstandingTrip{send, now, now + Millis(5+random.IntN(60)), Handled}
				if d := destinationOf[send.Notice]; now < failsUntil[d] {
					if trip.result = failure[d]; trip.result == TimedOut {
						trip.endsAt = now + send.Timeout
					}
				} else if random.IntN(40) == 0 {
					trip.result = Result(random.IntN(8))
				}
				outstanding = append(outstanding, trip)
			}
			if cancel, ok := a.(CancelTrip); ok {
				for i := range outstanding {
					if outstanding[i].Notice == cancel.Notice {
						outstanding[i].result, outstanding[i].endsAt = Cancelled, now
					}
				}
			}
		}
		if (turn+1)%(turns/10) == 0 {
			digests = append(digests, fmt.Sprintf("%d/%08x", actionCount, uint32(hash.Sum64())))
		}
	}
	return digests
}

// BenchmarkHeld measures a turn while a number of notices is held for destinations that cannot be called, and
// notices for healthy destinations are delivered.
func BenchmarkHeld(b *testing.B) {
	for _, held := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(held), func(b *testing.B) { benchmarkTurns(b, 40, 20, held) })
	}
}

// BenchmarkDestinations measures a turn with few outstanding calls at several numbers of destinations.
func BenchmarkDestinations(b *testing.B) {
	for _, destinations := range []int{20, 500, 5000} {
		b.Run(fmt.Sprint(destinations), func(b *testing.B) { benchmarkTurns(b, destinations, 0, 0) })
	}
}

// benchmarkTurns runs two turns for each notice: one for its acceptance and one for the outcome of its trip.
// The first destinations, as many as unavailable says, requested a long wait: the held notices wait for them.
func benchmarkTurns(b *testing.B, destinations, unavailable, held int) {
	settings := testSettings()
	settings.Slots, settings.HoldLimit, settings.ListedError = 400, 100_000, -1
	settings.Grades[0].ClientTimeout = 1e9
	sender := New(1, settings)
	var list []Entry
	for id := range ReceiverID(destinations) {
		list = append(list, Entry{Receiver: id, Destination: DestinationID(id), Status: Ready})
	}
	now := Millis(0)
	sender.Decide(now, []Event{ListUpdated{Complete: true, Entries: list}})
	lastNotice := NoticeID(0)
	for d := range unavailable {
		sender.destinations[DestinationID(d)].routes[0].waitUntil = 1e8
	}
	for i := range held {
		lastNotice++
		sender.Decide(now, []Event{NoticeAccepted{Notice: lastNotice,
			Destination: DestinationID(i % unavailable), TimeLeft: 1e9}})
	}
	for b.Loop() {
		lastNotice++
		now += 0.2
		d := DestinationID(unavailable + int(lastNotice)%(destinations-unavailable))
		for _, a := range sender.Decide(now, []Event{NoticeAccepted{Notice: lastNotice, Destination: d,
			TimeLeft: 20_000}}) {
			if send, ok := a.(Send); ok {
				now += 0.2
				sender.Decide(now, []Event{TripEnded{Notice: send.Notice, Receiver: send.Receiver,
					Result: Handled, Duration: 1, NoticeEnded: true}})
			}
		}
	}
}
