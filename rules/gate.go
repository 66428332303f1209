package rules

import "math"

// What every call has to pass: the six rules, the slots and the windows.

func (s *Sender) routeOpensAt(r *route) Millis {
	if r.state == open {
		return max(s.now, r.waitUntil, r.reopenAt)
	}
	return max(s.now, r.waitUntil)
}

// passesAt is the earliest time at which the six rules let a notice go to a receiver.
func (s *Sender) passesAt(n *notice, rc *receiver) Millis {
	r := rc.route
	if rc.standing != Ready || !s.repeatSafe(n, rc) {
		return never
	}
	at := max(s.routeOpensAt(r), n.restUntil)
	if k := s.keys[n.key]; k != nil {
		at = max(at, k.restUntil)
	}
	if n.mayHaveRun && n.grade.Repeat == Numbered && at >= s.forgottenAt(n) {
		return never
	}
	return at
}

// forgottenAt is from when on a numbered notice that may have run is not sent again: its mark must still be
// known when the call is written, which may be a hold-up later.
func (s *Sender) forgottenAt(n *notice) Millis {
	return n.ranAt + n.grade.RemembersFor - s.settings.Stall
}

// gate is passed by every send, in every state: it keeps the rules and the slots.
func (s *Sender) gate(n *notice, rc *receiver) bool {
	if k := s.keys[n.key]; k != nil && k.line[0] != n || s.passesAt(n, rc) > s.now {
		return false
	}
	if s.joins(rc) != nil {
		return true
	}
	return s.paceAt(rc.route) <= s.now && s.roomFor(rc.route) && s.earn(rc, 0) >= 1
}

func (s *Sender) roomFor(r *route) bool {
	if s.slotsOut >= s.settings.Slots || s.shortUntil > s.now || r.state == open {
		return false
	}
	calls, sick, trials := 0, false, r.proved
	for _, o := range r.destination.routes {
		calls += len(o.out)
		sick = sick || s.sick(o)
	}
	// Many that are sick at once must not hold every slot: what is well needs few, but now.
	if s.doubtOut >= s.doubted && s.doubtful(r) {
		return false
	}
	if r.state == halfOpen {
		for _, c := range r.out {
			if c.trial {
				trials++
			}
		}
		if trials >= halfOpenMaxCalls {
			return false
		}
	}
	share := 0.75
	if sick {
		share = 0.5
	}
	most := max(math.Floor(share*float64(s.settings.Slots)), 1)
	return float64(calls) < most && float64(len(r.out)) < math.Floor(min(r.window, most))
}

// repeatSafe keeps an effect from happening twice.
func (s *Sender) repeatSafe(n *notice, rc *receiver) bool {
	switch {
	case !n.mayHaveRun || n.grade.Repeat == Reissuable || n.grade.Repeat == Numbered && !n.grade.ZoneOnly:
		return true
	case n.grade.Repeat == AtMostOnce:
		return false
	case !n.zoneUnknown:
		return rc.zone == n.ranZone
	}
	return len(rc.route.destination.zones) == 1
}
