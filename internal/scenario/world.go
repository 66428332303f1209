package scenario

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"

	"chuteweir.example/chuteweir/rules"
)

// Destination is one destination of a world, with the faults that strike it.
type Destination struct {
	Number    int
	Group     *Group
	Weight    float64
	Receivers []string // ids at the start
	Faults    []Fault
}

// World is what follows from a scenario and its seed.
type World struct {
	*Scenario
	Destinations []*Destination
	Struck       map[int][]int // senders that each fault of senders strikes, by the fault's place in Faults
	cumulated    []float64     // weights of the destinations
	grades       []float64
	portfolios   []float64
}

// The streams of chance, each with a generator of its own: what one draws doesn't change what another does.
const (
	streamWorld = iota + 1
	streamArrivals
	streamClumps
	// StreamGateways is the first of the destinations' streams; the number of the destination is added.
	StreamGateways = 1 << 20
)

// Chance is a generator for one stream of a seed.
func Chance(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// Lay lays out the world of a scenario.
func Lay(s *Scenario) *World {
	w, draw := &World{Scenario: s, Struck: map[int][]int{}}, Chance(s.Seed, streamWorld)
	for i := range s.Groups {
		g := &s.Groups[i]
		for range g.Destinations {
			d := &Destination{Number: len(w.Destinations) + 1, Group: g}
			for r := range g.Receivers {
				d.Receivers = append(d.Receivers, fmt.Sprintf("%s-%d-%d", g.Name, d.Number, r+1))
			}
			w.Destinations = append(w.Destinations, d)
		}
	}
	ranks := draw.Perm(len(w.Destinations))
	for i, d := range w.Destinations {
		d.Weight = d.Group.Weight / math.Pow(float64(ranks[i]+1), s.Traffic.Zipf)
	}
	for i, f := range s.Faults {
		switch f.Strikes() {
		case Destinations:
			var able []*Destination
			for _, d := range w.Destinations {
				if f.Group == "" || d.Group.Name == f.Group {
					able = append(able, d)
				}
			}
			draw.Shuffle(len(able), func(i, j int) { able[i], able[j] = able[j], able[i] })
			if f.Busiest {
				slices.SortStableFunc(able, func(a, b *Destination) int { return cmp.Compare(b.Weight, a.Weight) })
			}
			for _, d := range able[:part(f.Part, len(able))] {
				d.Faults = append(d.Faults, f)
			}
		case Senders:
			w.Struck[i] = draw.Perm(s.Senders)[:part(f.Part, s.Senders)]
		}
	}
	sum := 0.0
	for _, d := range w.Destinations {
		sum += d.Weight
		w.cumulated = append(w.cumulated, sum)
	}
	w.grades, w.portfolios = cumulate(s.GradeShares), cumulate(s.PortfolioShares)
	return w
}

func part(share float64, of int) int { return min(max(int(math.Round(share*float64(of))), 1), of) }

func cumulate(shares []float64) []float64 {
	sum, all := 0.0, []float64{}
	for _, s := range shares {
		sum += s
		all = append(all, sum)
	}
	return all
}

// choose draws a place by cumulated weights.
func choose(draw *rand.Rand, cumulated []float64) int {
	if len(cumulated) == 0 {
		return 0
	}
	x := draw.Float64() * cumulated[len(cumulated)-1]
	return min(sort.SearchFloat64s(cumulated, x), len(cumulated)-1)
}

// Arrival is a notice that a client hands in for the first time.
type Arrival struct {
	At                     rules.Millis
	Destination            int // its number
	Grade, Portfolio, Body int
	Key                    int // 0: none
}

// Arrivals tells a world's notices one after the other.
type Arrivals struct {
	w      *World
	draw   *rand.Rand
	clumps *rand.Rand
	next   rules.Millis // of those that come alone
	clump  rules.Millis // when the next clump begins
	later  pending      // notices of clumps that have begun
	told   int          // of the recorded ones
}

type pending []Arrival

func (p pending) Len() int           { return len(p) }
func (p pending) Less(i, j int) bool { return p[i].At < p[j].At }
func (p pending) Swap(i, j int)      { p[i], p[j] = p[j], p[i] }
func (p *pending) Push(x any)        { *p = append(*p, x.(Arrival)) }
func (p *pending) Pop() any          { a := (*p)[len(*p)-1]; *p = (*p)[:len(*p)-1]; return a }

// Arrivals begins a world's notices.
func (w *World) Arrivals() *Arrivals {
	a := &Arrivals{w: w, draw: Chance(w.Seed, streamArrivals), clumps: Chance(w.Seed, streamClumps), clump: rules.Millis(math.Inf(1))}
	a.next = a.after(0, a.draw, w.Traffic.Rate*(1-w.Traffic.Clumps))
	a.first()
	if w.Traffic.Clumps > 0 {
		a.clump = a.after(0, a.clumps, w.Traffic.Rate*w.Traffic.Clumps/float64(w.Traffic.Clump))
	}
	return a
}

// first puts the notices that come before all others among those that come later: by heap, as clumps do.
func (a *Arrivals) first() {
	first := a.w.Traffic.First
	var to []int
	for _, d := range a.w.Destinations {
		if d.Group.Name == first.Group {
			to = append(to, d.Number)
		}
	}
	grade := slices.Index(a.w.Names.Grades, first.Grade)
	for i := range first.Count {
		a.later = append(a.later, Arrival{At: first.Span * rules.Millis(i) / rules.Millis(first.Count), Destination: to[i%len(to)],
			Grade: grade, Body: a.w.Traffic.Body})
	}
}

// factor is the rate at a time, against the mean one.
func (w *World) factor(at rules.Millis) float64 {
	x, f := float64(at/w.Length), 1.0
	switch w.Traffic.Shape {
	case "ramp":
		f = 2 * x
	case "peak": // half the rate and a bell on top; its mean over the length is 1
		f = 0.5 + 1.5*math.Exp(-math.Pow((x-0.5)/0.188, 2))
	}
	for _, fault := range w.Faults {
		if fault.Kind == Burst && fault.Active(at) {
			f *= fault.Size
		}
	}
	return f
}

// most is what factor never exceeds.
func (w *World) most() float64 {
	most := 2.0
	for _, fault := range w.Faults {
		if fault.Kind == Burst {
			most *= max(fault.Size, 1)
		}
	}
	return most
}

// after draws the next time of a Poisson process that is thinned to the rate at each time.
func (a *Arrivals) after(at rules.Millis, draw *rand.Rand, rate float64) rules.Millis {
	most := a.w.most()
	if rate <= 0 {
		return rules.Millis(math.Inf(1))
	}
	for at < a.w.Length {
		at += rules.Millis(draw.ExpFloat64() / (rate * most) * 1000)
		if draw.Float64()*most < a.w.factor(at) {
			return at
		}
	}
	return rules.Millis(math.Inf(1))
}

// Next is the next notice; ok is false behind the last.
func (a *Arrivals) Next() (arrival Arrival, ok bool) {
	if trace := a.w.Trace; len(trace) > 0 {
		if a.told == len(trace) || trace[a.told].At >= a.w.Length {
			return Arrival{}, false
		}
		a.told++
		return trace[a.told-1], true
	}
	t := &a.w.Traffic
	for a.clump <= a.next && a.clump < a.w.Length && (len(a.later) == 0 || a.clump <= a.later[0].At) {
		first := a.one(a.clumps, a.clump)
		for range t.Clump {
			one := a.one(a.clumps, a.clump+rules.Millis(a.clumps.Float64())*t.ClumpSpan)
			one.Destination = first.Destination
			heap.Push(&a.later, one)
		}
		a.clump = a.after(a.clump, a.clumps, t.Rate*t.Clumps/float64(t.Clump))
	}
	if len(a.later) > 0 && a.later[0].At <= a.next {
		return heap.Pop(&a.later).(Arrival), true
	}
	if a.next >= a.w.Length {
		return Arrival{}, false
	}
	arrival = a.one(a.draw, a.next)
	a.next = a.after(a.next, a.draw, t.Rate*(1-t.Clumps))
	return arrival, true
}

func (a *Arrivals) one(draw *rand.Rand, at rules.Millis) Arrival {
	w := a.w
	one := Arrival{At: at, Destination: choose(draw, w.cumulated) + 1, Grade: choose(draw, w.grades),
		Portfolio: choose(draw, w.portfolios), Body: w.Traffic.Body}
	if w.Traffic.Keys > 0 && w.Settings.Grades[one.Grade].InOrder {
		one.Key = 1 + draw.IntN(w.Traffic.Keys)
	}
	return one
}

// Worth is the credit that a notice of a grade earns when it is handled so long after its hand-in.
func (s *Scenario) Worth(grade int, after rules.Millis) float64 {
	g := s.Settings.Grades[grade]
	switch late := float64((after - g.QuotedTime) / max(g.ClientTimeout-g.QuotedTime, 1e-9)); {
	case after >= g.ClientTimeout:
		return 0
	case after <= g.QuotedTime:
		return g.Credit
	case s.Settings.HalvesLate:
		return g.Credit * max(g.LateShare, math.Exp2(-float64((after-g.QuotedTime)/g.QuotedTime)))
	default:
		return g.Credit * (1 - (1-g.LateShare)*late)
	}
}
