package loop

import (
	"math"

	"chuteweir.example/chuteweir/internal/ledger"
	"chuteweir.example/chuteweir/internal/logs"
	"chuteweir.example/chuteweir/rules"
)

// This file logs what the decisions know of outages, records it in the ledger, and restores it after a restart.

// recordRouteState records the state of a route for the next process.
func (l *Loop) recordRouteState(a rules.RouteStateChanged) {
	route := ledger.RouteRecord{Destination: a.Destination, At: l.clock.Now(), State: a.State}
	if a.Separate {
		if route.Receiver = l.receivers.ID(a.Route); route.Receiver == "" {
			return // it was removed long ago
		}
	}
	// Whole milliseconds are precise enough, and shorter.
	route.State.OutageAge = rules.Millis(math.Round(float64(route.State.OutageAge)))
	route.State.RecoveredAge = rules.Millis(math.Round(float64(route.State.RecoveredAge)))
	route.State.OutageDuration = rules.Millis(math.Round(float64(route.State.OutageDuration)))
	l.logLedgerError(l.ledger.RecordRoute(route))
}

// restoreRouteStates passes the recorded states of routes that are now listed for the first time to the decisions. The
// ages in its events count up to the time of the turn.
func (l *Loop) restoreRouteStates() {
	entries := l.newEntries
	l.newEntries = nil
	if len(l.recordedRoutes) == 0 {
		return
	}
	now := l.clock.Now()
	for _, entry := range entries {
		if entry.Status == rules.Gone {
			continue
		}
		key := recordedRoute{destination: entry.Destination}
		if kinds := l.config.Settings.Kinds; int(entry.Kind) < len(kinds) && kinds[entry.Kind].SeparateRoutes {
			key.receiver = l.receivers.ID(entry.Receiver)
		}
		route, recorded := l.recordedRoutes[key]
		if !recorded {
			continue
		}
		delete(l.recordedRoutes, key)
		state := route.State.After(toMillis(route.At.Until(now)))
		l.log.Info(logs.RouteRestored, "destination", entry.Destination, "receiver", entry.Receiver,
			"in_outage", state.InOutage, "down", state.Down, "since", toDuration(state.OutageAge),
			"warming_up", state.WarmingUp, "recovered", toDuration(state.RecoveredAge),
			"rate_before", state.RateBeforeOutage, "limit", state.Limit)
		l.events = append(l.events, rules.RouteStateRestored{Receiver: entry.Receiver, State: state})
	}
	if l.now.Sub(l.started) > toDuration(rules.OutageRetention) {
		l.forgetUnlistedRoutes()
	}
}

// forgetUnlistedRoutes removes the recorded states of routes that were not listed since the start.
func (l *Loop) forgetUnlistedRoutes() {
	for key := range l.recordedRoutes {
		l.logLedgerError(l.ledger.RecordRoute(ledger.RouteRecord{Destination: key.destination, Receiver: key.receiver}))
	}
	clear(l.recordedRoutes)
}

// recordedRoute identifies a route whose state an earlier process recorded; receiver is empty unless the route is that
// single receiver.
type recordedRoute struct {
	destination rules.DestinationID
	receiver    string
}

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
