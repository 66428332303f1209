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

// TestSameDecisions plays a hundred thousand odd events at several sizes and compares the digest of all actions with the
// one kept: a change of how the module remembers must not change what it decides. One that is meant to decide
// otherwise writes them anew with UPDATE=1.
func TestSameDecisions(tt *testing.T) {
	var b strings.Builder
	for seed, size := range []struct{ destinations, slots, hold, turns int }{
		{3, 4, 30, 8000}, {12, 8, 120, 6000}, {60, 40, 1000, 3000}, {300, 200, 5000, 1500},
	} {
		digests := digest(uint64(seed), size.destinations, size.slots, size.hold, size.turns)
		fmt.Fprintf(&b, "%d destinations, %d slots, hold %d: %s\n", size.destinations, size.slots, size.hold, strings.Join(digests, " "))
	}
	const path = "testdata/TestSameDecisions.txt"
	if os.Getenv("UPDATE") != "" {
		if err := os.WriteFile(path, []byte(b.String()), 0o644); err != nil {
			tt.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		tt.Fatal(err)
	}
	if diff := cmp.Diff(string(want), b.String()); diff != "" {
		tt.Error(diff)
	}
}

// digest plays a world of destinations that come and go, fail, refuse and fall silent, and sums its actions up, with
// the count of them, ten times on the way.
func digest(seed uint64, destinations, slots, hold, turns int) (digests []string) {
	draw := rand.New(rand.NewPCG(seed, 9))
	settings := madeUp()
	settings.CallOff, settings.Slots, settings.HoldLimit, settings.TripLimit = true, slots, hold, 6
	settings.HalvesLate = seed%2 == 1
	settings.Quotas = []float64{20, 50}
	var list []Entry
	for id := range ReceiverID(2 * destinations) {
		list = append(list, Entry{Receiver: id, Destination: DestinationID(id / 2), Kind: KindID(id / 2 % 7 / 6), Zone: ZoneID(id % 2),
			Standing: Ready, ListedRate: float64(draw.IntN(20))})
	}
	sender := New(seed, settings)
	sender.Decide(0, []Event{ListTold{Whole: true, Entries: list}})
	type trip struct {
		Send
		at, ends Millis
		result   Result
	}
	var out []trip
	until := make([]Millis, destinations) // while a destination is sick
	sick := make([]Result, destinations)
	hash, actions := fnv.New64a(), 0
	now, next := Millis(0), NoticeID(0)
	places := map[NoticeID]DestinationID{}
	for turn := range turns {
		now += Millis(draw.IntN(8)) * settings.Tick
		var events []Event
		for range draw.IntN(2 + destinations/8) {
			next++
			n := NoticeTaken{Notice: next, Grade: GradeID(draw.IntN(4)), Portfolio: PortfolioID(draw.IntN(3)), Key: KeyID(draw.IntN(30)),
				Destination: DestinationID(draw.IntN(destinations)), Left: Millis(1000 + draw.IntN(9000)), Inherited: draw.IntN(30) == 0}
			if draw.IntN(40) == 0 {
				n.Trips, n.Ran, n.RanAgo = 2, 1, 500
			}
			places[next] = n.Destination
			events = append(events, n)
		}
		if d := draw.IntN(destinations); draw.IntN(20) == 0 {
			until[d], sick[d] = now+Millis(500+draw.IntN(8000)), []Result{Errored, Full, TimedOut, NotConnected, Reset}[draw.IntN(5)]
		}
		rest := out[:0]
		for _, t := range out {
			if t.ends > now {
				rest = append(rest, t)
				continue
			}
			e := TripEnded{Notice: t.Notice, Receiver: t.Receiver, Result: t.result, Spent: now - t.at}
			e.LimitTold, e.LimitLeft, e.LimitRate = draw.IntN(2) > 0, draw.Float64(), float64(draw.IntN(30))
			if t.result == Full && draw.IntN(2) == 0 {
				e.Wait = Millis(draw.IntN(900))
			}
			e.Over = t.result == Handled
			events = append(events, e)
		}
		out = rest
		if draw.IntN(60) == 0 {
			entry := &list[draw.IntN(len(list))]
			entry.Standing = Standing(draw.IntN(3))
			events = append(events, ListTold{Entries: []Entry{*entry}})
		}
		for _, a := range sender.Decide(now, events) {
			fmt.Fprintf(hash, "%.3f %T %+v\n", now, a, a)
			actions++
			if s, sends := a.(Send); sends {
				t := trip{s, now, now + Millis(5+draw.IntN(60)), Handled}
				if d := places[s.Notice]; now < until[d] {
					if t.result = sick[d]; t.result == TimedOut {
						t.ends = now + s.TimeOut
					}
				} else if draw.IntN(40) == 0 {
					t.result = Result(draw.IntN(8))
				}
				out = append(out, t)
			}
			if c, off := a.(CallOff); off {
				for i := range out {
					if out[i].Notice == c.Notice {
						out[i].result, out[i].ends = Cancelled, now
					}
				}
			}
		}
		if (turn+1)%(turns/10) == 0 {
			digests = append(digests, fmt.Sprintf("%d/%08x", actions, uint32(hash.Sum64())))
		}
	}
	return digests
}

// BenchmarkHeld is what a turn costs with so many notices held for destinations that are shut, beside traffic that is well.
func BenchmarkHeld(b *testing.B) {
	for _, held := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(held), func(b *testing.B) { benchmarkTurns(b, 40, 20, held) })
	}
}

// BenchmarkDestinations is what a turn costs with so many destinations, a few calls out.
func BenchmarkDestinations(b *testing.B) {
	for _, destinations := range []int{20, 500, 5000} {
		b.Run(fmt.Sprint(destinations), func(b *testing.B) { benchmarkTurns(b, destinations, 0, 0) })
	}
}

// benchmarkTurns plays a turn for each notice and one for its answer. The first sick destinations are open, and hold.
func benchmarkTurns(b *testing.B, destinations, sick, held int) {
	settings := madeUp()
	settings.Slots, settings.HoldLimit, settings.ListedError = 400, 100_000, -1
	settings.Grades[0].ClientTimeout = 1e9
	sender := New(1, settings)
	var list []Entry
	for id := range ReceiverID(destinations) {
		list = append(list, Entry{Receiver: id, Destination: DestinationID(id), Standing: Ready})
	}
	now := Millis(0)
	sender.Decide(now, []Event{ListTold{Whole: true, Entries: list}})
	next := NoticeID(0)
	for d := range sick {
		sender.destinations[DestinationID(d)].routes[0].waitUntil = 1e8
	}
	for i := range held {
		next++
		sender.Decide(now, []Event{NoticeTaken{Notice: next, Destination: DestinationID(i % sick), Left: 1e9}})
	}
	for b.Loop() {
		next++
		now += 0.2
		d := DestinationID(sick + int(next)%(destinations-sick))
		for _, a := range sender.Decide(now, []Event{NoticeTaken{Notice: next, Destination: d, Left: 20_000}}) {
			if s, sends := a.(Send); sends {
				now += 0.2
				sender.Decide(now, []Event{TripEnded{Notice: s.Notice, Receiver: s.Receiver, Result: Handled, Spent: 1, Over: true}})
			}
		}
	}
}
