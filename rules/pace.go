package rules

import "math"

// This file limits the rate of calls to a route: by the limit that its receivers report, and by the capacity
// of a destination that recovers from an outage.

// allowedRate returns the rate, in calls per millisecond, at which calls may be sent to a route: this
// sender's share of the limit, and during and after an outage its part of the capacity of the recovering
// route, which grows from Settings.ColdCapacity to full within Settings.WarmUpTime. It also reports whether
// the route recovers.
func (s *Sender) allowedRate(r *route) (rate float64, recovering bool) {
	if rate = r.limitShare * r.limitRate; r.limitRate <= 0 {
		rate = math.Inf(1)
	}
	warmth, outage := float64((s.now-r.recoveredAt)/s.settings.WarmUpTime), r.outageDuration
	if r.down {
		warmth, outage = 0, max(s.now, r.waitUntil, r.outageSince+resetTimeout)-r.outageSince
	}
	if warmth >= 1 {
		return rate, false
	}
	capacity := s.capacityShare(r, outage) * (s.settings.ColdCapacity + (1-s.settings.ColdCapacity)*warmth)
	factor := recoveryRateFactor -
		(recoveryRateFactor-1)*min(1, fewSenders/float64(max(s.settings.Senders, 1)))
	return min(rate, factor*s.settings.OverloadFactor*capacity), true
}

// capacityShare returns this sender's part, in calls per millisecond, of the capacity that a route has when
// it is warm, after an outage of the given length. The notices that all senders hold for the route were
// accepted during the outage. So this sender's part is its held notices divided by that time, or an even part
// if that is more. The time is at least a reset time, because many senders see only the end of an outage.
// Where the route has a limit, more notices may be accepted than it can handle. It handled no more than its
// rate before the outage, so that rate bounds the part.
func (s *Sender) capacityShare(r *route, outage Millis) float64 {
	evenShare := max(r.limitRate, r.listedRate) / float64(max(s.settings.Senders, 1))
	ownShare := float64(r.destination.heldNotices) / float64(len(r.destination.routes)) / float64(outage)
	if r.limitRate > 0 {
		ownShare = min(ownShare, r.maxRateBeforeOutage)
	}
	return max(evenShare, ownShare)
}

// maxHandledRate returns an upper bound of the rate, in calls per millisecond, at which a route recently
// handled this sender's calls: the observed rate plus two standard deviations and two calls, because few
// calls give only a rough estimate. The bound is infinite for a route that has been known for a short time
// only.
func (s *Sender) maxHandledRate(r *route) float64 {
	age := s.now - r.createdAt
	if age < handledRateKnownAfter {
		return math.Inf(1)
	}
	windowShare := 1 - math.Exp(-float64(age/statisticsWindow)) // share of the window since the creation
	calls := r.handledCalls.read(s.now, statisticsWindow) / windowShare
	return (calls + 2*math.Sqrt(calls) + 2) / float64(statisticsWindow)
}

// nextCallAt returns the time of the next call to a route. Senders that saw the same outage must not all call
// at its end, so the first call after a sign of an outage waits for a random share of the interval.
func (s *Sender) nextCallAt(r *route) Millis {
	rate, _ := s.allowedRate(r)
	return r.pacingStart + Millis(r.pacingPhase/rate)
}

// advancePace starts the interval to the next call of a route. Except during recovery, unused intervals may
// be caught up, for a share of the overload time.
func (s *Sender) advancePace(r *route) {
	at := s.nextCallAt(r)
	r.pacingStart, r.pacingPhase = s.now, 1
	if _, recovering := s.allowedRate(r); !recovering {
		r.pacingStart = max(at, s.now-burstShare*s.settings.OverloadTime)
	}
}
