// Package gateway holds what a destination does with the calls that reach it: its limit, cores and queue, what it
// takes while it is cold, and when it falls over. It has no clock and no sockets; the stand-ins on sockets and any
// model in simulated time run the very same code.
package gateway

import (
	"math"
	"math/rand/v2"

	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/rules"
	"gonum.org/v1/gonum/stat/distuv"
)

// Back is what a destination takes when it returns from an outage, by the settings that senders are told.
type Back struct {
	ColdFrom   float64
	Warm, Fall rules.Millis
	Multiple   float64
}

// Verdict is what happens to a call.
type Verdict struct {
	Refused bool
	Wait    rules.Millis // refused: told to wait so long; 0: not told
	Ends    rules.Millis // else: when its answer is due
	Down    bool         // it has fallen over: no answer, the call is lost unseen
	Fell    bool         // by this call
}

// Gateway is one destination. All of its times are on one clock, which never goes back.
type Gateway struct {
	shape   scenario.Shape
	back    Back
	draw    *rand.Rand
	service func() float64

	cores   []rules.Millis // when each is free
	waiting []rules.Millis // when each call that waits begins
	tokens  float64
	filled  rules.Millis
	spanAt  rules.Millis // beginning of the present span
	spanned int          // calls counted in it

	returned rules.Millis // from the last outage
	cold     bool
	down     bool
	arrivals []arrival // while it is cold
}

type arrival struct {
	at   rules.Millis
	from int
}

// New makes a gateway. Its chance comes from draw alone.
func New(shape scenario.Shape, back Back, draw *rand.Rand) *Gateway {
	g := &Gateway{shape: shape, back: back, draw: draw, cores: make([]rules.Millis, max(shape.Cores, 1))}
	g.tokens = g.depth(1)
	mean := float64(shape.Mean)
	switch shape.Service {
	case "exponential":
		d := distuv.Exponential{Rate: 1 / max(mean, 1e-9), Src: draw}
		g.service = d.Rand
	case "lognormal":
		sigma := math.Sqrt(math.Log(1 + shape.CV*shape.CV))
		d := distuv.LogNormal{Mu: math.Log(max(mean, 1e-9)) - sigma*sigma/2, Sigma: sigma, Src: draw}
		g.service = d.Rand
	case "bimodal": // nine tenths at x, a tenth at 10 x: the mean is 1.9 x
		g.service = func() float64 {
			if draw.Float64() < 0.1 {
				return mean / 1.9 * 10
			}
			return mean / 1.9
		}
	case "pareto": // alpha 2: the mean is twice the least
		d := distuv.Pareto{Xm: max(mean, 1e-9) / 2, Alpha: 2, Src: draw}
		g.service = d.Rand
	default:
		g.service = func() float64 { return mean }
	}
	return g
}

func (g *Gateway) depth(part float64) float64 {
	return max(g.shape.Limit*part*float64(g.shape.LimitDepth)/1000, 1)
}

// Capacity is how many calls a second it can take when it is warm: its limit, or what its cores can serve.
func (g *Gateway) Capacity() float64 {
	capacity := math.Inf(1)
	if g.shape.Mean > 0 {
		capacity = float64(len(g.cores)) * 1000 / float64(g.shape.Mean)
	}
	if g.shape.Limit > 0 {
		capacity = min(capacity, g.shape.Limit)
	}
	return capacity
}

// warmth is the share of its capacity that it has at a time.
func (g *Gateway) warmth(now rules.Millis) float64 {
	if !g.cold {
		return 1
	}
	x := float64((now - g.returned) / g.back.Warm)
	if x >= 1 {
		g.cold, g.arrivals = false, nil
		return 1
	}
	return g.back.ColdFrom + (1-g.back.ColdFrom)*x
}

// Returned says that an outage has just ended: it is cold, and empty.
func (g *Gateway) Returned(now rules.Millis) {
	if !g.shape.Tips || g.down {
		return
	}
	g.cold, g.returned, g.arrivals = true, now, nil
	for i := range g.cores {
		g.cores[i] = 0
	}
	g.waiting = nil
}

// Arrive takes a call from a sender. part is the share of its limit that is left to it, 1 in good times; slower is
// how many times as long it takes.
func (g *Gateway) Arrive(now rules.Millis, from int, part, slower float64) Verdict {
	if g.down {
		return Verdict{Down: true}
	}
	warmth := g.warmth(now)
	if g.cold {
		g.arrivals = append(g.arrivals, arrival{now, from})
		for len(g.arrivals) > 0 && g.arrivals[0].at <= now-g.back.Fall {
			g.arrivals = g.arrivals[1:]
		}
		// Few calls tell nothing: a budget below three would fall over by chance.
		budget := g.back.Multiple * g.Capacity() * warmth * float64(g.back.Fall) / 1000
		if float64(len(g.arrivals)) > max(budget, 3) && now-g.returned >= 0 {
			g.down = true
			return Verdict{Down: true, Fell: true}
		}
	}
	if refused := g.limited(now, part); refused {
		return g.refuse(now)
	}
	waiting := g.waiting[:0]
	for _, at := range g.waiting {
		if at > now {
			waiting = append(waiting, at)
		}
	}
	g.waiting = waiting
	first := 0
	for i, free := range g.cores {
		if free < g.cores[first] {
			first = i
		}
	}
	begins := max(now, g.cores[first])
	if begins > now {
		if len(g.waiting) >= g.shape.Queue {
			return g.refuse(now)
		}
		g.waiting = append(g.waiting, begins)
	}
	ends := begins + rules.Millis(g.service()*slower/warmth)
	g.cores[first] = ends
	return Verdict{Ends: ends}
}

// limited books a call under the limit and tells whether it is over it.
func (g *Gateway) limited(now rules.Millis, part float64) bool {
	if g.shape.Limit <= 0 {
		return false
	}
	if span := g.shape.LimitSpan; span > 0 {
		if begin := rules.Millis(math.Floor(float64(now/span))) * span; begin != g.spanAt {
			g.spanAt, g.spanned = begin, 0
		}
		over := float64(g.spanned+1) > max(g.shape.Limit*part*float64(span)/1000, 1)
		if !over || g.shape.CountsRefused {
			g.spanned++
		}
		return over
	}
	g.fill(now, part)
	if g.tokens >= 1 {
		g.tokens--
		return false
	}
	if g.shape.CountsRefused {
		g.tokens = max(g.tokens-1, -g.depth(part))
	}
	return true
}

func (g *Gateway) fill(now rules.Millis, part float64) {
	g.tokens = min(g.tokens+float64(now-g.filled)/1000*g.shape.Limit*part, g.depth(part))
	g.filled = now
}

func (g *Gateway) refuse(now rules.Millis) Verdict {
	v := Verdict{Refused: true}
	if g.shape.TellsWait > 0 && g.draw.Float64() < g.shape.TellsWait {
		if v.Wait = g.shape.Wait; g.shape.LimitSpan > 0 {
			v.Wait = g.spanAt + g.shape.LimitSpan - now
		}
	}
	return v
}

// Report is what its answers tell: the share of the limit that is left, and the limit in calls a second.
func (g *Gateway) Report(now rules.Millis, part float64) (left, limit float64, told bool) {
	if g.shape.Limit <= 0 || !g.shape.Reports {
		return 0, 0, false
	}
	limit = g.shape.Limit * part
	if span := g.shape.LimitSpan; span > 0 {
		count := max(limit*float64(span)/1000, 1)
		if rules.Millis(math.Floor(float64(now/span)))*span != g.spanAt {
			return 1, limit, true
		}
		return max(1-float64(g.spanned)/count, 0), limit, true
	}
	g.fill(now, part)
	return max(g.tokens/g.depth(part), 0), limit, true
}

// Pushed tells how many of the calls that pushed it over came from each sender.
func (g *Gateway) Pushed() map[int]int {
	by := map[int]int{}
	for _, a := range g.arrivals {
		by[a.from]++
	}
	return by
}

// Down tells whether it has fallen over.
func (g *Gateway) Down() bool { return g.down }
