package rules

import "math"

// This file holds the checks before each send: the six delivery rules (internal/audit lists and verifies
// them), the slots, the delay windows and the pace.

// routeAvailableAt returns when the requested waits, the backoff and the open breaker of a route are over.
func (s *Sender) routeAvailableAt(r *route) Millis {
	if r.state == open {
		return max(s.now, r.waitUntil, r.halfOpenAt)
	}
	return max(s.now, r.waitUntil)
}

// allowedAt returns the earliest time at which the six rules allow a notice to be sent to a receiver, apart
// from the order of the notices of a key, which maySend checks.
func (s *Sender) allowedAt(n *notice, rc *receiver) Millis {
	r := rc.route
	if rc.status != Ready || !s.repeatSafe(n, rc) {
		return never
	}
	at := max(s.routeAvailableAt(r), s.delayedUntil(n))
	if queue := s.keys[n.key]; queue != nil {
		at = max(at, queue.cooldownUntil)
	}
	if n.mayHaveRun && n.grade.Repeat == Numbered && at >= s.markUnsafeFrom(n) {
		return never
	}
	return at
}

// markUnsafeFrom returns the time from which on a numbered notice that may have run is not sent again. The
// receiver must still remember its mark when the call is written, and a pause of the process may delay that.
func (s *Sender) markUnsafeFrom(n *notice) Millis {
	return n.firstRunAt + n.grade.RemembersFor - s.settings.MaxPause
}

// mayBeRepeated reports whether a notice may be sent again to some receiver, as far as the receiver list does
// not matter for that.
func (s *Sender) mayBeRepeated(n *notice) bool {
	switch {
	case !n.mayHaveRun || n.grade.Repeat == Reissuable:
		return true
	case n.grade.Repeat == Numbered:
		return s.now < s.markUnsafeFrom(n)
	}
	return false
}

// maySend reports whether a notice may be sent to a receiver now. Each send passes this check, whatever the
// state of the breaker.
func (s *Sender) maySend(n *notice, rc *receiver) bool {
	if queue := s.keys[n.key]; queue != nil && queue.notices[0] != n || s.allowedAt(n, rc) > s.now {
		return false
	}
	if s.joinableCall(rc) != nil {
		return true
	}
	return s.nextCallAt(rc.route) <= s.now && s.hasSlotFor(rc.route) && s.addTokens(rc, 0) >= 1
}

// hasSlotFor reports whether the limits on concurrent calls allow a further call to a route: the slots of the
// sender, of the destination and of all suspect routes, the trials of a half-open breaker and the delay
// window.
func (s *Sender) hasSlotFor(r *route) bool {
	if s.slotsInUse >= s.settings.Slots || s.shortageUntil > s.now || r.state == open {
		return false
	}
	calls, failing, trials := 0, false, r.succeededTrials
	for _, o := range r.destination.routes {
		calls += len(o.outstanding)
		failing = failing || s.failing(o)
	}
	// Many routes that fail at once must not use every slot. Healthy routes need few slots, but need them at
	// once.
	if s.suspectSlots >= s.maxSuspectSlots && s.suspect(r) {
		return false
	}
	if r.state == halfOpen {
		for _, c := range r.outstanding {
			if c.trial {
				trials++
			}
		}
		if trials >= halfOpenMaxCalls {
			return false
		}
	}
	share := 0.75 // of the slots, for the calls to one destination
	if failing {
		share = 0.5
	}
	maxCalls := max(math.Floor(share*float64(s.settings.Slots)), 1)
	return float64(calls) < maxCalls && float64(len(r.outstanding)) < math.Floor(min(r.delayWindow, maxCalls))
}

// repeatSafe reports whether sending a notice to a receiver cannot cause a second effect.
func (s *Sender) repeatSafe(n *notice, rc *receiver) bool {
	switch {
	case !n.mayHaveRun || n.grade.Repeat == Reissuable || n.grade.Repeat == Numbered && !n.grade.ZoneOnly:
		return true
	case n.grade.Repeat == AtMostOnce:
		return false
	case !n.zoneUnknown:
		return rc.zone == n.runZone
	}
	return len(rc.route.destination.zones) == 1
}
