package rules

// This file reports the part of a route's state that must survive a restart of the sender, and restores it:
// outages that were seen, the warm-up after them, and limits that were learnt. Without it a new process would
// call a destination during an outage and after it as if it were healthy.

// OutageRetention is how long an outage without further signs is remembered of a route that is not listed.
const OutageRetention = 20 * statisticsWindow

// limitChange is the relative change of a reported limit from which on the new limit is reported again. Some
// receivers report their limit with noise.
const limitChange = 0.25

// savedState is what was last reported of a route's state.
type savedState struct {
	outageSince, recoveredAt Millis
	down, confirmed          bool
	limitRate                float64
}

// noteStateChange marks a route whose state may have to be reported at the end of this turn.
func (s *Sender) noteStateChange(r *route) {
	if !r.stateChanged {
		r.stateChanged = true
		s.changedRoutes = append(s.changedRoutes, r)
	}
}

// reportRouteStates reports the routes whose state differs from what was last reported.
func (s *Sender) reportRouteStates() {
	for _, r := range s.changedRoutes {
		r.stateChanged = false
		present := s.stateToSave(r)
		if present == r.saved {
			continue
		}
		r.saved = present
		s.emit(RouteStateChanged{Destination: r.destination.id, Route: r.id,
			Separate: r.destination.kind.SeparateRoutes, Held: r.destination.heldNotices,
			State: s.routeState(r)})
	}
	s.changedRoutes = s.changedRoutes[:0]
}

// stateToSave returns the present state of a route for the comparison with what was last reported.
func (s *Sender) stateToSave(r *route) savedState {
	present := savedState{outageSince: r.outageSince, recoveredAt: -never, down: r.down,
		confirmed: r.outageConfirmed, limitRate: r.saved.limitRate}
	if s.warmingUp(r) {
		present.recoveredAt = r.recoveredAt
	}
	change := r.limitRate - r.saved.limitRate
	if change > limitChange*r.saved.limitRate || -change > limitChange*r.saved.limitRate {
		present.limitRate = r.limitRate
	}
	return present
}

// warmingUp reports whether a route's last outage has ended and the warm-up after it is not over.
func (s *Sender) warmingUp(r *route) bool { return s.now-r.recoveredAt < s.settings.WarmUpTime }

// NoteOutcomes takes the outcomes of trips into account without sending anything or ending any notice, and
// returns the changes of routes' states. It replaces Decide late in a shutdown.
func (s *Sender) NoteOutcomes(now Millis, events []Event) []Action {
	s.now, s.actions = now, nil
	for _, e := range events {
		if ended, ok := e.(TripEnded); ok {
			s.endTrip(ended)
		}
	}
	s.actions = nil
	s.reportRouteStates()
	return s.actions
}

// remembersOutage reports whether an outage of a route, or the warm-up after it, must be remembered although
// no receiver of the route is listed.
func (s *Sender) remembersOutage(r *route) bool {
	return s.warmingUp(r) || r.outageSince != never && s.now-r.lastOutageSignAt < OutageRetention
}

// reportForgottenRoute reports that nothing of a route's state needs to survive a restart any more.
func (s *Sender) reportForgottenRoute(r *route) {
	if r.saved != (savedState{outageSince: never, recoveredAt: -never}) {
		s.emit(RouteStateChanged{Destination: r.destination.id, Route: r.id,
			Separate: r.destination.kind.SeparateRoutes})
	}
}

// routeState returns the part of a route's state that must survive a restart.
func (s *Sender) routeState(r *route) RouteState {
	state := RouteState{Limit: r.limitRate * 1000}
	if r.outageSince != never {
		state.InOutage, state.Down, state.Confirmed = true, r.down, r.outageConfirmed
		state.OutageAge = s.now - r.outageSince
	}
	if s.warmingUp(r) {
		state.WarmingUp = true
		state.RecoveredAge, state.OutageDuration = s.now-r.recoveredAt, r.outageDuration
	}
	if state.InOutage || state.WarmingUp {
		state.RateBeforeOutage = r.rateBeforeOutage * 1000
	}
	return state
}

// restoreRouteState applies what an earlier process recorded of a route, unless this process has learnt of an
// outage by itself. The next call is due at a random time, because other senders may restart at the same
// time.
func (s *Sender) restoreRouteState(e RouteStateRestored) {
	rc := s.receivers[e.Receiver]
	if rc == nil {
		return
	}
	r, state := rc.route, e.State
	if r.outageSince != never || s.warmingUp(r) {
		return
	}
	if r.limitRate == 0 {
		r.limitRate = state.Limit / 1000
	}
	r.rateBeforeOutage = state.RateBeforeOutage / 1000
	if state.WarmingUp {
		r.recoveredAt, r.outageDuration = s.now-state.RecoveredAge, state.OutageDuration
	}
	if state.InOutage {
		r.outageSince, r.lastOutageSignAt = s.now-state.OutageAge, s.now
		r.down, r.outageConfirmed = state.Down, state.Confirmed
	}
	r.pacingStart, r.pacingPhase = s.now, s.random()
	r.saved = savedState{outageSince: r.outageSince, recoveredAt: -never, down: r.down,
		confirmed: r.outageConfirmed, limitRate: r.limitRate}
	if s.warmingUp(r) {
		r.saved.recoveredAt = r.recoveredAt
	}
}
