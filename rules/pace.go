package rules

import "math"

// How fast calls may leave for a route: its limit, and the return from an outage.

// rate is how many calls a millisecond may leave for a route: this sender's share of the limit, and after an
// outage its part of what the route can take while cold.
func (s *Sender) allowedRate(r *route) (allowedRate float64, recovering bool) {
	if allowedRate = r.limitShare * r.limitRate; r.limitRate <= 0 {
		allowedRate = math.Inf(1)
	}
	warmth, outage := float64((s.now-r.recoveredAt)/s.settings.WarmWithin), r.outageDuration
	if r.down {
		warmth, outage = 0, max(s.now, r.waitUntil, r.outageSince+resetTimeout)-r.outageSince
	}
	if warmth >= 1 {
		return allowedRate, false
	}
	capacity := s.capacityShare(r, outage) * (s.settings.ColdFrom + (1-s.settings.ColdFrom)*warmth)
	factor := recoveryRateFactor - (recoveryRateFactor-1)*min(1, fewSenders/float64(max(s.settings.Senders, 1)))
	return min(allowedRate, factor*s.settings.TipMultiple*capacity), true
}

// partOfCapacity is this sender's part of a warm route's capacity, a millisecond, after an outage of a
// length. What all senders hold for the route came in over the outage: so this sender's part is what it
// holds over that time (a reset time at least: many see the end only), or an even part. More may come in
// than the route can take, where it has a limit; but no more was handled before: so what this sender holds
// counts up to that.
func (s *Sender) capacityShare(r *route, outage Millis) float64 {
	evenShare := max(r.limitRate, r.listedRate) / float64(max(s.settings.Senders, 1))
	ownShare := float64(r.destination.heldNotices) / float64(len(r.destination.routes)) / float64(outage)
	if r.limitRate > 0 {
		ownShare = min(ownShare, r.maxRateBeforeOutage)
	}
	return max(evenShare, ownShare)
}

// mostServed is the rate, a millisecond, at which a route has handled this sender's calls lately, with two
// standard deviations and two calls on top, since few calls tell it but roughly. A route known for a short
// time has no such bound.
func (s *Sender) maxServedRate(r *route) float64 {
	age := s.now - r.createdAt
	if age < servedRateKnownAfter {
		return math.Inf(1)
	}
	windowShare := 1 - math.Exp(-float64(age/statisticsWindow)) // part of the window
	calls := r.handledCalls.read(s.now, statisticsWindow) / windowShare
	return (calls + 2*math.Sqrt(calls) + 2) / float64(statisticsWindow)
}

// paceAt is when the next call may leave for a route. Senders that saw the same outage must not all call at
// its end, so the first call after its signs comes at a part of the span that is drawn.
func (s *Sender) nextCallAt(r *route) Millis {
	rate, _ := s.allowedRate(r)
	return r.pacingStart + Millis(r.pacingPhase/rate)
}

// pace books a call to a route.
func (s *Sender) advancePace(r *route) {
	at := s.nextCallAt(r)
	r.pacingStart, r.pacingPhase = s.now, 1
	if _, recovering := s.allowedRate(r); !recovering {
		r.pacingStart = max(at, s.now-burstShare*s.settings.Fall)
	}
}
