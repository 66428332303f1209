package model

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"chuteweir.example/chuteweir/internal/gateway"
	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/rules"
)

// The baselines: the policies of textbooks and libraries, for comparison only. They respect slots, trip limits and
// at-most-once notices, and no other rule that the daemon follows.
const (
	OneTry        = "one-try"   // a single call for each notice
	Immediate     = "immediate" // retries without delay
	Backoff       = "backoff"   // retries with exponential backoff and full jitter
	Budget        = "budget"    // Backoff, with retries limited to a tenth of the first calls
	Bucket        = "bucket"    // Backoff, and per destination a token bucket at this sender's share of its rate limit
	Gradient      = "gradient"  // Backoff, and per destination a limit on calls in flight that adapts to latency
	Breaker       = "breaker"   // Backoff, and per destination a circuit breaker with the rules of sony/gobreaker
	LeastInFlight = "least"     // Backoff, to the receiver with the fewest calls in flight
	Oracle        = "oracle"    // knows the active faults and each destination's capacity
)

// Policies lists the names of the daemon's policy and of the baselines.
func Policies() []string {
	return []string{"ours", OneTry, Immediate, Backoff, Budget, Bucket, Gradient, Breaker, LeastInFlight, Oracle}
}

// PolicyOf returns the policy with this name, for a scenario. The empty name means the daemon's policy.
func PolicyOf(name string, s *scenario.Scenario) (Policy, error) {
	switch {
	case name == "" || name == "ours":
		return Daemon, nil
	case !slices.Contains(Policies(), name):
		return nil, fmt.Errorf("no policy %q; want one of %s", name, strings.Join(Policies(), ", "))
	}
	instance := scenario.NewInstance(s)
	return func(seed uint64, settings rules.Settings, startedAt rules.Millis) Decider {
		return &baseline{policy: name, settings: settings, startedAt: startedAt, instance: instance,
			rng:     rand.New(rand.NewPCG(seed, 1)),
			notices: map[rules.NoticeID]*baselineNotice{}, dests: map[rules.DestinationID]*baselineDestination{},
			receivers: map[rules.ReceiverID]*baselineReceiver{}}
	}, nil
}

// baselineNotice is a notice as a baseline keeps it.
type baselineNotice struct {
	rules.NoticeAccepted
	deadline, readyAt rules.Millis
	trips             int
	mayHaveRun        bool
	sentTo            *baselineReceiver
	heapIndex         int
}

// baselineReceiver is a receiver as a baseline keeps it.
type baselineReceiver struct {
	id       rules.ReceiverID
	dest     *baselineDestination
	ready    bool
	inFlight int
}

// baselineDestination is the state that a baseline keeps of a destination.
type baselineDestination struct {
	number                 int
	receivers              []*baselineReceiver
	nextReceiver, inFlight int
	reportedRate           float64 // reported by the receivers, calls per second
	// Bucket.
	tokens   float64
	filledAt rules.Millis
	// Gradient.
	inFlightLimit, minLatency float64
	// Breaker.
	state                 string
	windowStart, openedAt rules.Millis
	calls, failed         int
	trialSent             bool
}

// baseline is a Decider for any of the baseline policies.
type baseline struct {
	policy      string
	settings    rules.Settings
	startedAt   rules.Millis
	instance    *scenario.Instance
	rng         *rand.Rand
	now         rules.Millis
	notices     map[rules.NoticeID]*baselineNotice
	waiting     noticesByReady
	dests       map[rules.DestinationID]*baselineDestination
	receivers   map[rules.ReceiverID]*baselineReceiver
	usedSlots   int
	retryTokens float64 // of Budget: each notice adds a tenth, each retry takes one
	actions     []rules.Action
	timerAt     rules.Millis // time of the last timer set
}

// emit adds an action to those that Decide returns.
func (p *baseline) emit(a rules.Action) { p.actions = append(p.actions, a) }

// Decide receives the events since the last call and returns the actions to execute.
func (p *baseline) Decide(now rules.Millis, events []rules.Event) []rules.Action {
	p.now, p.actions = now, nil
	for _, e := range events {
		switch e := e.(type) {
		case rules.ListUpdated:
			p.updateList(e)
		case rules.NoticeAccepted:
			n := &baselineNotice{NoticeAccepted: e, deadline: now + e.TimeLeft, readyAt: now, trips: e.Trips,
				mayHaveRun: e.PossibleRuns > 0}
			p.notices[e.Notice] = n
			p.retryTokens = min(p.retryTokens+0.1, 100)
			heap.Push(&p.waiting, n)
		case rules.TripEnded:
			p.tripEnded(e)
		case rules.ConnectionUp:
			p.emit(rules.Write(e))
		case rules.ListFailed:
			p.emit(rules.WatchList{})
		}
	}
	p.sendWaiting()
	if next := p.nextTimer(); next < p.timerAt || p.timerAt <= now {
		p.timerAt = next
		if next < never {
			p.emit(rules.SetTimer{After: max(next-now, p.settings.Tick)})
		}
	}
	return p.actions
}

// updateList applies a report of the receiver list.
func (p *baseline) updateList(e rules.ListUpdated) {
	if e.Complete {
		for _, rc := range p.receivers {
			rc.ready = false
		}
	}
	for _, x := range e.Entries {
		d := p.dests[x.Destination]
		if d == nil {
			d = &baselineDestination{number: int(x.Destination), state: "closed", inFlightLimit: 20}
			p.dests[x.Destination] = d
		}
		rc := p.receivers[x.Receiver]
		if rc == nil {
			rc = &baselineReceiver{id: x.Receiver, dest: d}
			p.receivers[x.Receiver] = rc
			d.receivers = append(d.receivers, rc)
		}
		rc.ready = x.Status == rules.Ready
	}
}

// tripEnded records the result of a trip, and ends its notice or schedules a retry.
func (p *baseline) tripEnded(e rules.TripEnded) {
	n := p.notices[e.Notice]
	if n == nil || n.sentTo == nil {
		return
	}
	rc := n.sentTo
	d := rc.dest
	n.sentTo = nil
	p.usedSlots--
	rc.inFlight--
	d.inFlight--
	if e.LimitReported {
		d.reportedRate = e.LimitRate
	}
	p.learn(d, e)
	if e.Result == rules.Handled || e.NoticeEnded {
		delete(p.notices, e.Notice)
		return
	}
	notRun := e.Result == rules.Refused || e.Result == rules.NotConnected || e.Result == rules.NotSent ||
		e.Result == rules.LocalShortage
	n.mayHaveRun = n.mayHaveRun || !notRun
	grade := p.settings.Grades[n.Grade]
	limit := p.settings.TripLimit
	if p.policy == OneTry {
		limit = 1
	}
	if p.policy == Budget && n.trips < limit {
		if p.retryTokens < 1 {
			limit = 0
		} else {
			p.retryTokens--
		}
	}
	if n.trips >= limit || n.mayHaveRun && grade.Repeat == rules.AtMostOnce {
		p.endNotice(n)
		return
	}
	n.readyAt = p.now + e.RequestedWait
	if p.policy != Immediate {
		n.readyAt += rules.Millis(p.rng.Float64() * math.Min(50*math.Exp2(float64(n.trips)), float64(grade.QuotedTime)))
	}
	heap.Push(&p.waiting, n)
}

// learn updates what Gradient and Breaker know of a destination from the result of a trip.
func (p *baseline) learn(d *baselineDestination, e rules.TripEnded) {
	failed := e.Result != rules.Handled && e.Result != rules.Refused && e.Result != rules.LocalShortage
	switch p.policy {
	case Gradient:
		spent := float64(max(e.Duration, 0.1))
		if e.Result == rules.Handled && (d.minLatency == 0 || spent < d.minLatency) {
			d.minLatency = spent
		}
		d.minLatency *= 1.001 // lets the minimum rise if the destination has become slower for good
		if d.minLatency > 0 {
			gradient := min(max(2*d.minLatency/spent, 0.5), 1)
			d.inFlightLimit = min(max(d.inFlightLimit*gradient+math.Sqrt(d.inFlightLimit)/4, 1),
				float64(p.settings.Slots))
		}
	case Breaker:
		if p.now-d.windowStart > 30_000 {
			d.calls, d.failed, d.windowStart = 0, 0, p.now
		}
		d.calls++
		if failed {
			d.failed++
		}
		switch {
		case d.state == "half-open" && !failed:
			d.state, d.calls, d.failed, d.windowStart, d.trialSent = "closed", 0, 0, p.now, false
		case d.state == "half-open", d.state == "closed" && d.calls >= 10 && 2*d.failed >= d.calls:
			d.state, d.openedAt, d.trialSent = "open", p.now, false
		}
	}
}

// endNotice breaks a notice off if it may have taken effect, and dismisses it otherwise.
func (p *baseline) endNotice(n *baselineNotice) {
	if n.mayHaveRun {
		p.emit(rules.BreakOff{Notice: n.Notice})
	} else {
		p.emit(rules.Dismiss{Notice: n.Notice})
	}
	delete(p.notices, n.Notice)
}

// allows reports whether a call to a destination may be sent now, and otherwise when to check again.
func (p *baseline) allows(d *baselineDestination) (ok bool, retryAt rules.Millis) {
	retryAt = p.now + 10
	switch p.policy {
	case Bucket:
		if d.reportedRate <= 0 {
			return true, 0
		}
		rate := d.reportedRate / float64(max(p.settings.Senders, 1)) / 1000
		d.tokens = min(d.tokens+float64(p.now-d.filledAt)*rate, max(200*rate, 1))
		if d.filledAt = p.now; d.tokens < 1 {
			return false, p.now + rules.Millis((1-d.tokens)/rate)
		}
		d.tokens--
	case Gradient:
		return float64(d.inFlight) < d.inFlightLimit, retryAt
	case Breaker:
		if d.state == "open" && p.now >= d.openedAt+5000 {
			d.state = "half-open"
		}
		if d.state == "open" {
			return false, d.openedAt + 5000
		}
		if d.state == "half-open" {
			if d.trialSent {
				return false, retryAt
			}
			d.trialSent = true
		}
	case Oracle:
		return p.oracleAllows(d)
	}
	return true, 0
}

// oracleAllows reports whether no fault that fails calls is active and this sender's share of the capacity is free,
// and otherwise when to check again.
func (p *baseline) oracleAllows(d *baselineDestination) (bool, rules.Millis) {
	at := p.startedAt + p.now
	destination := p.instance.Destinations[d.number-1]
	for _, f := range destination.Faults {
		failsCalls := gateway.Outage(f) || f.Kind == scenario.Malformed || f.Kind == scenario.Errors ||
			f.Kind == scenario.ResetAfter ||
			f.Kind == scenario.Flap || f.Kind == scenario.Dribble
		if failsCalls && f.Active(at) {
			return false, p.now + max(f.Next(at)-at, 1)
		}
	}
	if limit := destination.Group.Profile.Limit; limit > 0 {
		rate := limit / float64(max(p.settings.Senders, 1)) / 1000
		d.tokens = min(d.tokens+float64(p.now-d.filledAt)*rate, max(100*rate, 1))
		if d.filledAt = p.now; d.tokens < 1 {
			return false, p.now + rules.Millis((1-d.tokens)/rate)
		}
		d.tokens--
	}
	return true, 0
}

// sendWaiting sends the waiting notices that are due while there are free slots, and ends those whose deadline
// is near.
func (p *baseline) sendWaiting() {
	for len(p.waiting) > 0 && p.waiting[0].readyAt <= p.now && p.usedSlots < p.settings.Slots {
		n := heap.Pop(&p.waiting).(*baselineNotice)
		if p.now >= n.deadline-3*p.settings.Tick {
			p.endNotice(n)
			continue
		}
		d := p.dests[n.Destination]
		var receiver *baselineReceiver
		if d != nil {
			receiver = p.chooseReceiver(d)
		}
		if receiver == nil {
			n.readyAt = p.now + 50
			heap.Push(&p.waiting, n)
			continue
		}
		ok, retryAt := p.allows(d)
		if !ok {
			n.readyAt = min(max(retryAt, p.now+1), n.deadline-3*p.settings.Tick)
			heap.Push(&p.waiting, n)
			continue
		}
		n.sentTo, n.trips = receiver, n.trips+1
		p.usedSlots++
		receiver.inFlight++
		d.inFlight++
		p.emit(rules.Send{Notice: n.Notice, Receiver: receiver.id,
			Timeout: min(p.settings.Grades[n.Grade].QuotedTime, n.deadline-p.now)})
	}
}

// chooseReceiver returns the destination's next ready receiver in turn or, for LeastInFlight, the one with the fewest
// calls in flight. It returns nil if no receiver is ready.
func (p *baseline) chooseReceiver(d *baselineDestination) *baselineReceiver {
	var best *baselineReceiver
	d.nextReceiver++
	for i := range d.receivers {
		rc := d.receivers[(d.nextReceiver+i)%len(d.receivers)]
		switch {
		case !rc.ready:
		case best == nil, p.policy == LeastInFlight && rc.inFlight < best.inFlight:
			best = rc
		}
	}
	return best
}

// nextTimer returns the time at which the waiting notices must be checked again.
func (p *baseline) nextTimer() rules.Millis {
	if len(p.waiting) == 0 {
		return never
	}
	return max(p.waiting[0].readyAt, p.now+p.settings.Tick)
}

// noticesByReady is a heap of notices, ordered by the time from which they may be sent.
type noticesByReady []*baselineNotice

func (h noticesByReady) Len() int { return len(h) }
func (h noticesByReady) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].readyAt, h[j].readyAt), cmp.Compare(h[i].Notice, h[j].Notice)) < 0
}
func (h noticesByReady) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *noticesByReady) Push(x any) {
	n := x.(*baselineNotice)
	n.heapIndex = len(*h)
	*h = append(*h, n)
}
func (h *noticesByReady) Pop() any {
	old := *h
	n := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return n
}
