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
	warmth := float64((s.now - r.recoveredAt) / s.settings.WarmUpTime)
	if r.down {
		warmth = 0
	}
	if warmth >= 1 {
		return rate, false
	}
	presentShare := s.settings.ColdCapacity + (1-s.settings.ColdCapacity)*warmth
	budgetRate := s.settings.OverloadFactor * presentShare * s.capacityShare(r)
	return min(rate, s.budgetUse(r, presentShare)*budgetRate), true
}

// budgetUse returns the part of a recovering route's call budget that all senders together may aim for, when
// the route has a given share of its capacity. Calls of many senders coincide by chance, so the mean must lie
// below the most calls that the terms allow by aimDeviations standard deviations. The calls of few senders
// hardly vary: their part is 1, as it is if the capacity is not known.
func (s *Sender) budgetUse(r *route, capacityShare float64) float64 {
	budget := s.settings.OverloadFactor * max(r.limitRate, r.listedRate) * capacityShare *
		float64(s.settings.OverloadTime)
	if budget <= 0 {
		return 1
	}
	// The mean m solves m + aimDeviations x root of m = mostCalls.
	root := (math.Sqrt(aimDeviations*aimDeviations+4*mostCalls(budget)) - aimDeviations) / 2
	manySenders := 1 - min(1, fewSenders/float64(max(s.settings.Senders, 1)))
	return 1 + (root*root/budget-1)*manySenders
}

// mostCalls returns the most calls within an overload time that the terms allow for a budget of calls.
func mostCalls(budget float64) float64 {
	if budget < smallBudget {
		return budget + 3*math.Sqrt(budget) + 3
	}
	return budget + 2*math.Sqrt(budget) + 2
}

// capacityShare returns this sender's part, in calls per millisecond, of the capacity that a route has when
// it is warm. The notices that all senders hold for the route were accepted since the outage began. So this
// sender's part is its held notices divided by that time, or an even part if that is more. Where the capacity
// is known, more notices may be accepted than the route can handle. It handled no more than its rate before
// the outage, so that rate bounds the part. The parts of all senders add up to the capacity, whether few or
// all of them hold notices.
func (s *Sender) capacityShare(r *route) float64 {
	capacity := max(r.limitRate, r.listedRate)
	evenShare := capacity / float64(max(s.settings.Senders, 1))
	d := r.destination
	ownShare := float64(d.heldNotices) / float64(len(d.routes)) / float64(s.accumulationTime(r))
	if capacity > 0 {
		ownShare = min(ownShare, r.rateBeforeOutage)
	}
	return max(evenShare, ownShare)
}

// accumulationTime returns the time in which the notices were accepted that are held for a route during or
// after an outage: the time since the outage began, or since the submission of the notice that expires first,
// since a sender may have seen only the end of the outage. It is at least a reset time, because a few notices
// of a shorter time say little about their rate.
func (s *Sender) accumulationTime(r *route) Millis {
	began := r.recoveredAt - r.outageDuration
	if r.down {
		began = r.outageSince
	}
	if unrestricted := r.destination.unrestricted; len(unrestricted) > 0 {
		began = min(began, unrestricted[0].submittedAt)
	}
	return max(s.now-began, r.waitUntil-began, resetTimeout)
}

// handledRate returns the rate, in calls per millisecond, at which a route recently handled this sender's
// calls. One call is added, because few calls give only a rough estimate. For a route that was created less
// than minObservation ago, the rate is too low.
func (s *Sender) handledRate(r *route) float64 {
	age := max(s.now-r.createdAt, minObservation)
	windowShare := 1 - math.Exp(-float64(age/statisticsWindow)) // share of the window since the creation
	calls := r.handledCalls.read(s.now, statisticsWindow) / windowShare
	return (calls + 1) / float64(statisticsWindow)
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
