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

// Destination is one destination of a scenario's instance, with the faults that affect it.
type Destination struct {
	Number    int
	Group     *Group
	Weight    float64  // share of the traffic, relative to other destinations
	Receivers []string // ids of the receivers at the start
	Faults    []Fault
}

// Instance is a scenario with everything that the scenario and its seed determine.
type Instance struct {
	*Scenario
	Destinations         []*Destination
	AffectedSenders      map[int][]int // affected senders of each sender fault, by the fault's index in Faults
	cumulativeWeights    []float64     // of the destinations
	cumulativeGrades     []float64
	cumulativePortfolios []float64
}

// The random streams. Each has its own generator, so that the draws of one stream do not change those of another.
const (
	streamLayout = iota + 1
	streamArrivals
	streamClumps
	// StreamGateways is the base of the destinations' streams; the number of the destination is added to it.
	StreamGateways = 1 << 20
)

// NewRand returns a random generator for one stream of a seed.
func NewRand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// NewInstance creates the instance of a scenario.
func NewInstance(s *Scenario) *Instance {
	instance, rng := &Instance{Scenario: s, AffectedSenders: map[int][]int{}}, NewRand(s.Seed, streamLayout)
	for i := range s.Groups {
		g := &s.Groups[i]
		for range g.Destinations {
			d := &Destination{Number: len(instance.Destinations) + 1, Group: g}
			for r := range g.Receivers {
				d.Receivers = append(d.Receivers, fmt.Sprintf("%s-%d-%d", g.Name, d.Number, r+1))
			}
			instance.Destinations = append(instance.Destinations, d)
		}
	}
	ranks := rng.Perm(len(instance.Destinations))
	for i, d := range instance.Destinations {
		d.Weight = d.Group.Weight / math.Pow(float64(ranks[i]+1), s.Traffic.Zipf)
	}
	for i, f := range s.Faults {
		switch f.Target() {
		case Destinations:
			var eligible []*Destination
			for _, d := range instance.Destinations {
				if f.Group == "" || d.Group.Name == f.Group {
					eligible = append(eligible, d)
				}
			}
			rng.Shuffle(len(eligible), func(i, j int) { eligible[i], eligible[j] = eligible[j], eligible[i] })
			if f.Busiest {
				slices.SortStableFunc(eligible, func(a, b *Destination) int { return cmp.Compare(b.Weight, a.Weight) })
			}
			for _, d := range eligible[:shareOf(f.Part, len(eligible))] {
				d.Faults = append(d.Faults, f)
			}
		case Senders:
			instance.AffectedSenders[i] = rng.Perm(s.Senders)[:shareOf(f.Part, s.Senders)]
		}
	}
	sum := 0.0
	for _, d := range instance.Destinations {
		sum += d.Weight
		instance.cumulativeWeights = append(instance.cumulativeWeights, sum)
	}
	instance.cumulativeGrades, instance.cumulativePortfolios = cumulativeSums(s.GradeShares),
		cumulativeSums(s.PortfolioShares)
	return instance
}

// shareOf returns a share of a count, rounded, but at least 1 where the count allows it.
func shareOf(share float64, count int) int {
	return min(max(int(math.Round(share*float64(count))), 1), count)
}

// cumulativeSums returns the running sums of the shares.
func cumulativeSums(shares []float64) []float64 {
	sum, sums := 0.0, []float64{}
	for _, s := range shares {
		sum += s
		sums = append(sums, sum)
	}
	return sums
}

// chooseWeighted draws an index with the probabilities that the cumulative weights give.
func chooseWeighted(rng *rand.Rand, cumulativeWeights []float64) int {
	if len(cumulativeWeights) == 0 {
		return 0
	}
	x := rng.Float64() * cumulativeWeights[len(cumulativeWeights)-1]
	return min(sort.SearchFloat64s(cumulativeWeights, x), len(cumulativeWeights)-1)
}

// Arrival is a notice that a client submits for the first time.
type Arrival struct {
	At                     rules.Millis
	Destination            int // the destination's number
	Grade, Portfolio, Body int
	Key                    int // 0: no key
}

// Arrivals generates the notices of an instance in the order of their times.
type Arrivals struct {
	instance      *Instance
	rng           *rand.Rand
	clumpRNG      *rand.Rand
	nextSingle    rules.Millis // time of the next notice that is not part of a clump
	nextClump     rules.Millis // start of the next clump
	queued        arrivalHeap  // notices of started clumps, and the first notices
	tracePosition int          // number of recorded notices that were returned
}

// arrivalHeap orders arrivals by time.
type arrivalHeap []Arrival

func (h arrivalHeap) Len() int           { return len(h) }
func (h arrivalHeap) Less(i, j int) bool { return h[i].At < h[j].At }
func (h arrivalHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *arrivalHeap) Push(x any)        { *h = append(*h, x.(Arrival)) }
func (h *arrivalHeap) Pop() any          { a := (*h)[len(*h)-1]; *h = (*h)[:len(*h)-1]; return a }

// Arrivals returns a generator of the instance's notices, from the first one on.
func (instance *Instance) Arrivals() *Arrivals {
	a := &Arrivals{instance: instance, rng: NewRand(instance.Seed, streamArrivals),
		clumpRNG: NewRand(instance.Seed, streamClumps), nextClump: rules.Millis(math.Inf(1))}
	a.nextSingle = a.nextPoissonTime(0, a.rng, instance.Traffic.Rate*(1-instance.Traffic.ClumpShare))
	a.queueFirstNotices()
	if instance.Traffic.ClumpShare > 0 {
		a.nextClump = a.nextPoissonTime(0, a.clumpRNG,
			instance.Traffic.Rate*instance.Traffic.ClumpShare/float64(instance.Traffic.ClumpSize))
	}
	return a
}

// queueFirstNotices puts the first notices into the heap that also orders the notices of clumps.
func (a *Arrivals) queueFirstNotices() {
	first := a.instance.Traffic.First
	var destinations []int
	for _, d := range a.instance.Destinations {
		if d.Group.Name == first.Group {
			destinations = append(destinations, d.Number)
		}
	}
	grade := slices.Index(a.instance.Names.Grades, first.Grade)
	for i := range first.Count {
		a.queued = append(a.queued, Arrival{At: first.Duration * rules.Millis(i) / rules.Millis(first.Count),
			Destination: destinations[i%len(destinations)], Grade: grade, Body: a.instance.Traffic.BodySize})
	}
}

// rateFactor returns the rate at a time, relative to the mean rate.
func (instance *Instance) rateFactor(at rules.Millis) float64 {
	progress, factor := float64(at/instance.Length), 1.0
	switch instance.Traffic.Shape {
	case "ramp":
		factor = 2 * progress
	case "peak": // half the rate plus a bell curve; the mean over the length is 1
		factor = 0.5 + 1.5*math.Exp(-math.Pow((progress-0.5)/0.188, 2))
	}
	for _, fault := range instance.Faults {
		if fault.Kind == Burst && fault.Active(at) {
			factor *= fault.Size
		}
	}
	return factor
}

// maxRateFactor returns an upper bound of rateFactor. The shapes ramp and peak reach 2 without a burst.
func (instance *Instance) maxRateFactor() float64 {
	maximum := 2.0
	for _, fault := range instance.Faults {
		if fault.Kind == Burst {
			maximum *= max(fault.Size, 1)
		}
	}
	return maximum
}

// nextPoissonTime draws the next time after at of a Poisson process, thinned to the rate factor at each time. The
// result is not before the end of the traffic, and may be infinite, if no notice follows.
func (a *Arrivals) nextPoissonTime(at rules.Millis, rng *rand.Rand, rate float64) rules.Millis {
	maxFactor := a.instance.maxRateFactor()
	if rate <= 0 {
		return rules.Millis(math.Inf(1))
	}
	for at < a.instance.Length {
		at += rules.Millis(rng.ExpFloat64() / (rate * maxFactor) * 1000)
		if rng.Float64()*maxFactor < a.instance.rateFactor(at) {
			return at
		}
	}
	return rules.Millis(math.Inf(1))
}

// Next returns the next notice; ok is false after the last one.
func (a *Arrivals) Next() (arrival Arrival, ok bool) {
	if trace := a.instance.Trace; len(trace) > 0 {
		if a.tracePosition == len(trace) || trace[a.tracePosition].At >= a.instance.Length {
			return Arrival{}, false
		}
		a.tracePosition++
		return trace[a.tracePosition-1], true
	}
	traffic := &a.instance.Traffic
	for a.nextClump <= a.nextSingle && a.nextClump < a.instance.Length &&
		(len(a.queued) == 0 || a.nextClump <= a.queued[0].At) {
		first := a.drawArrival(a.clumpRNG, a.nextClump)
		for range traffic.ClumpSize {
			member := a.drawArrival(a.clumpRNG, a.nextClump+rules.Millis(a.clumpRNG.Float64())*traffic.ClumpDuration)
			member.Destination = first.Destination
			heap.Push(&a.queued, member)
		}
		a.nextClump = a.nextPoissonTime(a.nextClump, a.clumpRNG,
			traffic.Rate*traffic.ClumpShare/float64(traffic.ClumpSize))
	}
	if len(a.queued) > 0 && a.queued[0].At <= a.nextSingle {
		return heap.Pop(&a.queued).(Arrival), true
	}
	if a.nextSingle >= a.instance.Length {
		return Arrival{}, false
	}
	arrival = a.drawArrival(a.rng, a.nextSingle)
	a.nextSingle = a.nextPoissonTime(a.nextSingle, a.rng, traffic.Rate*(1-traffic.ClumpShare))
	return arrival, true
}

// drawArrival draws the destination, grade, portfolio and key of a notice.
func (a *Arrivals) drawArrival(rng *rand.Rand, at rules.Millis) Arrival {
	instance := a.instance
	arrival := Arrival{At: at, Destination: chooseWeighted(rng, instance.cumulativeWeights) + 1,
		Grade:     chooseWeighted(rng, instance.cumulativeGrades),
		Portfolio: chooseWeighted(rng, instance.cumulativePortfolios), Body: instance.Traffic.BodySize}
	if instance.Traffic.KeyCount > 0 && instance.Settings.Grades[arrival.Grade].InOrder {
		arrival.Key = 1 + rng.IntN(instance.Traffic.KeyCount)
	}
	return arrival
}

// EarnedCredit returns the credit that a notice of a grade earns if it is handled the given time after its submission:
// all of it within the quoted time, none from the client timeout on, and less with every moment in between, but at
// least LateShare of it.
func (s *Scenario) EarnedCredit(grade int, after rules.Millis) float64 {
	g := s.Settings.Grades[grade]
	switch lateness := float64((after - g.QuotedTime) / max(g.ClientTimeout-g.QuotedTime, 1e-9)); {
	case after >= g.ClientTimeout:
		return 0
	case after <= g.QuotedTime:
		return g.Credit
	case s.Settings.LateCreditHalves:
		return g.Credit * max(g.LateShare, math.Exp2(-float64((after-g.QuotedTime)/g.QuotedTime)))
	default:
		return g.Credit * (1 - (1-g.LateShare)*lateness)
	}
}
