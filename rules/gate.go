package rules

import "math"

// What every call has to pass: the six rules, the slots and the windows.

func (s *Sender) routeAvailableAt(r *route) Millis {
	if r.state == open {
		return max(s.now, r.waitUntil, r.halfOpenAt)
	}
	return max(s.now, r.waitUntil)
}

// passesAt is the earliest time at which the six rules let a notice go to a receiver.
func (s *Sender) allowedAt(n *notice, rc *receiver) Millis {
	r := rc.route
	if rc.status != Ready || !s.repeatSafe(n, rc) {
		return never
	}
	at := max(s.routeAvailableAt(r), n.notBefore)
	if queue := s.keys[n.key]; queue != nil {
		at = max(at, queue.cooldownUntil)
	}
	if n.mayHaveRun && n.grade.Repeat == Numbered && at >= s.markUnsafeFrom(n) {
		return never
	}
	return at
}

// forgottenAt is from when on a numbered notice that may have run is not sent again: its mark must still be
// known when the call is written, which may be a hold-up later.
func (s *Sender) markUnsafeFrom(n *notice) Millis {
	return n.firstRunAt + n.grade.RemembersFor - s.settings.Stall
}

// gate is passed by every send, in every state: it keeps the rules and the slots.
func (s *Sender) maySend(n *notice, rc *receiver) bool {
	if queue := s.keys[n.key]; queue != nil && queue.notices[0] != n || s.allowedAt(n, rc) > s.now {
		return false
	}
	if s.joinableCall(rc) != nil {
		return true
	}
	return s.nextCallAt(rc.route) <= s.now && s.hasSlotFor(rc.route) && s.addTokens(rc, 0) >= 1
}

func (s *Sender) hasSlotFor(r *route) bool {
	if s.slotsInUse >= s.settings.Slots || s.shortageUntil > s.now || r.state == open {
		return false
	}
	calls, failing, trials := 0, false, r.succeededTrials
	for _, o := range r.destination.routes {
		calls += len(o.outstanding)
		failing = failing || s.failing(o)
	}
	// Many that are sick at once must not hold every slot: what is well needs few, but now.
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
	share := 0.75
	if failing {
		share = 0.5
	}
	maxCalls := max(math.Floor(share*float64(s.settings.Slots)), 1)
	return float64(calls) < maxCalls && float64(len(r.outstanding)) < math.Floor(min(r.delayWindow, maxCalls))
}

// repeatSafe keeps an effect from happening twice.
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
