package loop

import (
	"chuteweir.example/chuteweir/internal/logs"
	"chuteweir.example/chuteweir/rules"
)

// This file logs what the decisions know of outages.

// logRouteState logs a change of what is known of an outage of a route. First signs are frequent on healthy
// destinations, so they are logged at the debug level only.
func (l *Loop) logRouteState(a rules.RouteStateChanged) {
	state := a.State
	switch {
	case state.InOutage && state.Down:
		name := "down"
		if state.Confirmed {
			name = "confirmed"
		}
		l.log.Info(logs.Outage, "destination", a.Destination, "route", a.Route, "state", name,
			"age", toDuration(state.OutageAge), "rate_before", state.RateBeforeOutage, "limit", state.Limit,
			"held", a.Held)
	case state.WarmingUp && !state.InOutage:
		l.log.Info(logs.Outage, "destination", a.Destination, "route", a.Route, "state", "warming_up",
			"age", toDuration(state.RecoveredAge), "lasted", toDuration(state.OutageDuration),
			"rate_before", state.RateBeforeOutage, "limit", state.Limit, "held", a.Held)
	case l.tracing:
		name := "healthy"
		if state.InOutage {
			name = "sign"
		}
		l.log.Debug(logs.OutageSign, "destination", a.Destination, "route", a.Route, "state", name,
			"limit", state.Limit, "held", a.Held)
	}
}
