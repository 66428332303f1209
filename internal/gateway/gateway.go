// Package gateway simulates how a destination processes the calls that reach it: its limit, cores and queue, its
// reduced capacity while it is cold after an outage, and its failure when it is overloaded then. It has no clock and no
// sockets; the stand-ins on sockets and the model in simulated time run the same code.
package gateway

import (
	"math"
	"math/rand/v2"

	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/rules"
	"gonum.org/v1/gonum/stat/distuv"
)

// RecoveryProfile describes the capacity of a destination after an outage. The senders' settings contain the same
// values. The capacity starts at ColdShare of the full one and grows to all of it within WarmUp. The destination is
// overloaded when more calls arrive within OverloadWindow than OverloadMultiple times its current capacity.
type RecoveryProfile struct {
	ColdShare              float64
	WarmUp, OverloadWindow rules.Millis
	OverloadMultiple       float64
}

// Response is how a destination processes a call on which no fault has an effect, except by a reduced limit or a longer
// service time.
type Response struct {
	Refused        bool
	RetryAfter     rules.Millis // of a refused call: the requested wait; 0: none requested
	DueAt          rules.Millis // of any other call: when its response is due
	Overloaded     bool         // the destination is overloaded: the call is lost unread, without a response
	CausedOverload bool         // this call overloaded the destination
}

// Gateway simulates one destination. All of its times are on one clock, which never goes back.
type Gateway struct {
	profile         scenario.DestinationProfile
	recovery        RecoveryProfile
	rng             *rand.Rand
	drawServiceTime func() float64

	coreFreeAt   []rules.Millis // time at which each core is free
	queuedStarts []rules.Millis // time at which each queued call starts
	tokens       float64        // calls that the limit allows now; below 0 where refused calls count
	filledAt     rules.Millis   // time of the last refill of the tokens
	windowStart  rules.Millis   // start of the current window of the limit
	windowCalls  int            // calls counted in that window

	returnedAt   rules.Millis // end of the last outage
	cold         bool
	overloaded   bool
	coldArrivals []arrival // within OverloadWindow, while the destination is cold
}

// arrival is a call that arrived at a cold destination.
type arrival struct {
	at     rules.Millis
	sender int
}

// New creates a gateway. All of its random draws come from rng.
func New(profile scenario.DestinationProfile, recovery RecoveryProfile, rng *rand.Rand) *Gateway {
	g := &Gateway{profile: profile, recovery: recovery, rng: rng,
		coreFreeAt: make([]rules.Millis, max(profile.Cores, 1))}
	g.tokens = g.bucketDepth(1)
	mean := float64(profile.Mean)
	switch profile.Service {
	case "exponential":
		d := distuv.Exponential{Rate: 1 / max(mean, 1e-9), Src: rng}
		g.drawServiceTime = d.Rand
	case "lognormal":
		sigma := math.Sqrt(math.Log(1 + profile.CV*profile.CV))
		d := distuv.LogNormal{Mu: math.Log(max(mean, 1e-9)) - sigma*sigma/2, Sigma: sigma, Src: rng}
		g.drawServiceTime = d.Rand
	case "bimodal": // nine tenths of the calls take x, a tenth take 10 x: the mean is 1.9 x
		g.drawServiceTime = func() float64 {
			if rng.Float64() < 0.1 {
				return mean / 1.9 * 10
			}
			return mean / 1.9
		}
	case "pareto": // with alpha 2 the mean is twice the minimum
		d := distuv.Pareto{Xm: max(mean, 1e-9) / 2, Alpha: 2, Src: rng}
		g.drawServiceTime = d.Rand
	default:
		g.drawServiceTime = func() float64 { return mean }
	}
	return g
}

// bucketDepth returns the size of the limit's token bucket, in calls.
func (g *Gateway) bucketDepth(limitShare float64) float64 {
	return max(g.profile.Limit*limitShare*float64(g.profile.LimitDepth)/1000, 1)
}

// Capacity returns how many calls a second the warm destination can process: the lower of its limit and the rate that
// its cores can serve.
func (g *Gateway) Capacity() float64 {
	capacity := math.Inf(1)
	if g.profile.Mean > 0 {
		capacity = float64(len(g.coreFreeAt)) * 1000 / float64(g.profile.Mean)
	}
	if g.profile.Limit > 0 {
		capacity = min(capacity, g.profile.Limit)
	}
	return capacity
}

// capacityShare returns the share of the full capacity that the destination has at a time. It ends the cold state once
// the warm-up is over.
func (g *Gateway) capacityShare(now rules.Millis) float64 {
	if !g.cold {
		return 1
	}
	warmUpProgress := float64((now - g.returnedAt) / g.recovery.WarmUp)
	if warmUpProgress >= 1 {
		g.cold, g.coldArrivals = false, nil
		return 1
	}
	return g.recovery.ColdShare + (1-g.recovery.ColdShare)*warmUpProgress
}

// EndOutage marks the end of an outage: the destination is cold, and its cores and queue are empty. It does nothing to
// a destination that does not get cold or that is overloaded.
func (g *Gateway) EndOutage(now rules.Millis) {
	if !g.profile.OverloadsWhenCold || g.overloaded {
		return
	}
	g.cold, g.returnedAt, g.coldArrivals = true, now, nil
	for i := range g.coreFreeAt {
		g.coreFreeAt[i] = 0
	}
	g.queuedStarts = nil
}

// Arrive processes a call from a sender. limitShare is the factor by which faults reduce the limit, and slowdown the
// factor by which they lengthen the service time; both are 1 without faults.
func (g *Gateway) Arrive(now rules.Millis, sender int, limitShare, slowdown float64) Response {
	if g.overloaded {
		return Response{Overloaded: true}
	}
	capacityShare := g.capacityShare(now)
	if g.cold {
		g.coldArrivals = append(g.coldArrivals, arrival{now, sender})
		for len(g.coldArrivals) > 0 && g.coldArrivals[0].at <= now-g.recovery.OverloadWindow {
			g.coldArrivals = g.coldArrivals[1:]
		}
		// With a budget below three, a few calls at random times would overload the destination.
		budget := g.recovery.OverloadMultiple * g.Capacity() * capacityShare * float64(g.recovery.OverloadWindow) / 1000
		if g.profile.OverloadAllowance {
			budget += overloadAllowance(budget)
		}
		if float64(len(g.coldArrivals)) > max(budget, 3) && now-g.returnedAt >= 0 {
			g.overloaded = true
			return Response{Overloaded: true, CausedOverload: true}
		}
	}
	if refused := g.countAgainstLimit(now, limitShare); refused {
		return g.refuse(now)
	}
	stillQueued := g.queuedStarts[:0]
	for _, at := range g.queuedStarts {
		if at > now {
			stillQueued = append(stillQueued, at)
		}
	}
	g.queuedStarts = stillQueued
	earliest := 0
	for i, free := range g.coreFreeAt {
		if free < g.coreFreeAt[earliest] {
			earliest = i
		}
	}
	startsAt := max(now, g.coreFreeAt[earliest])
	if startsAt > now {
		if len(g.queuedStarts) >= g.profile.Queue {
			return g.refuse(now)
		}
		g.queuedStarts = append(g.queuedStarts, startsAt)
	}
	endsAt := startsAt + rules.Millis(g.drawServiceTime()*slowdown/capacityShare)
	g.coreFreeAt[earliest] = endsAt
	return Response{DueAt: endsAt}
}

// smallBudget is the overload budget, in calls, below which the allowance for chance is larger.
const smallBudget = 30

// overloadAllowance returns how many calls beyond a budget the platform's terms allow, because calls of many senders
// coincide by chance.
func overloadAllowance(budget float64) float64 {
	if budget < smallBudget {
		return 3*math.Sqrt(budget) + 3
	}
	return 2*math.Sqrt(budget) + 2
}

// countAgainstLimit counts a call against the limit and reports whether the call exceeds it.
func (g *Gateway) countAgainstLimit(now rules.Millis, limitShare float64) bool {
	if g.profile.Limit <= 0 {
		return false
	}
	if window := g.profile.LimitWindow; window > 0 {
		if start := rules.Millis(math.Floor(float64(now/window))) * window; start != g.windowStart {
			g.windowStart, g.windowCalls = start, 0
		}
		over := float64(g.windowCalls+1) > max(g.profile.Limit*limitShare*float64(window)/1000, 1)
		if !over || g.profile.CountsRefused {
			g.windowCalls++
		}
		return over
	}
	g.refillTokens(now, limitShare)
	if g.tokens >= 1 {
		g.tokens--
		return false
	}
	if g.profile.CountsRefused {
		g.tokens = max(g.tokens-1, -g.bucketDepth(limitShare))
	}
	return true
}

// refillTokens adds the tokens for the time since the last refill.
func (g *Gateway) refillTokens(now rules.Millis, limitShare float64) {
	g.tokens = min(g.tokens+float64(now-g.filledAt)/1000*g.profile.Limit*limitShare, g.bucketDepth(limitShare))
	g.filledAt = now
}

// refuse returns a refusal that requests a wait in RetryAfterShare of the cases: the rest of the window where the limit
// counts by windows, else RetryAfter.
func (g *Gateway) refuse(now rules.Millis) Response {
	response := Response{Refused: true}
	if g.profile.RetryAfterShare > 0 && g.rng.Float64() < g.profile.RetryAfterShare {
		if response.RetryAfter = g.profile.RetryAfter; g.profile.LimitWindow > 0 {
			response.RetryAfter = g.windowStart + g.profile.LimitWindow - now
		}
	}
	return response
}

// Report returns what the responses report: the remaining share of the limit, and the limit in calls a second. reported
// is false if they report nothing.
func (g *Gateway) Report(now rules.Millis, limitShare float64) (remaining, limit float64, reported bool) {
	if g.profile.Limit <= 0 || !g.profile.ReportsLimit {
		return 0, 0, false
	}
	limit = g.profile.Limit * limitShare
	if window := g.profile.LimitWindow; window > 0 {
		windowLimit := max(limit*float64(window)/1000, 1)
		if rules.Millis(math.Floor(float64(now/window)))*window != g.windowStart {
			return 1, limit, true
		}
		return max(1-float64(g.windowCalls)/windowLimit, 0), limit, true
	}
	g.refillTokens(now, limitShare)
	return max(g.tokens/g.bucketDepth(limitShare), 0), limit, true
}

// CallsBySender returns how many of the calls that overloaded the destination came from each sender.
func (g *Gateway) CallsBySender() map[int]int {
	callsBySender := map[int]int{}
	for _, a := range g.coldArrivals {
		callsBySender[a.sender]++
	}
	return callsBySender
}

// Overloaded reports whether the destination is overloaded. It never recovers from that.
func (g *Gateway) Overloaded() bool { return g.overloaded }
