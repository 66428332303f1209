package rules

import "math"

// How fast calls may leave for a route: its limit, and the return from an outage.

// rate is how many calls a millisecond may leave for a route: this sender's share of the limit, and after an
// outage its part of what the route can take while cold.
func (s *Sender) rate(r *route) (rate float64, returning bool) {
	if rate = r.share * r.limitRate; r.limitRate <= 0 {
		rate = math.Inf(1)
	}
	warm, down := float64((s.now-r.returnedAt)/s.settings.WarmWithin), r.downFor
	if r.down {
		warm, down = 0, max(s.now, r.waitUntil, r.badSince+resetTimeout)-r.badSince
	}
	if warm >= 1 {
		return rate, false
	}
	capacity := s.partOfCapacity(r, down) * (s.settings.ColdFrom + (1-s.settings.ColdFrom)*warm)
	part := ownPart - (ownPart-1)*min(1, few/float64(max(s.settings.Senders, 1)))
	return min(rate, part*s.settings.TipMultiple*capacity), true
}

// partOfCapacity is this sender's part of a warm route's capacity, a millisecond, after an outage of a
// length. What all senders hold for the route came in over the outage: so this sender's part is what it
// holds over that time (a reset time at least: many see the end only), or an even part. More may come in
// than the route can take, where it has a limit; but no more was handled before: so what this sender holds
// counts up to that.
func (s *Sender) partOfCapacity(r *route, outage Millis) float64 {
	even := max(r.limitRate, r.listedRate) / float64(max(s.settings.Senders, 1))
	own := float64(r.destination.held) / float64(len(r.destination.routes)) / float64(outage)
	if r.limitRate > 0 {
		own = min(own, r.servedRate)
	}
	return max(even, own)
}

// mostServed is the rate, a millisecond, at which a route has handled this sender's calls lately, with two
// standard deviations and two calls on top, since few calls tell it but roughly. A route known for a short
// time has no such bound.
func (s *Sender) mostServed(r *route) float64 {
	known := s.now - r.madeAt
	if known < knownAfter {
		return math.Inf(1)
	}
	seen := 1 - math.Exp(-float64(known/statisticsWindow)) // part of the window
	calls := r.served.read(s.now, statisticsWindow) / seen
	return (calls + 2*math.Sqrt(calls) + 2) / float64(statisticsWindow)
}

// paceAt is when the next call may leave for a route. Senders that saw the same outage must not all call at
// its end, so the first call after its signs comes at a part of the span that is drawn.
func (s *Sender) paceAt(r *route) Millis {
	rate, _ := s.rate(r)
	return r.pacedFrom + Millis(r.phase/rate)
}

// pace books a call to a route.
func (s *Sender) pace(r *route) {
	at := s.paceAt(r)
	r.pacedFrom, r.phase = s.now, 1
	if _, returning := s.rate(r); !returning {
		r.pacedFrom = max(at, s.now-burstPart*s.settings.Fall)
	}
}
