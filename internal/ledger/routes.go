package ledger

import (
	"bytes"
	"encoding/json"
	"errors"

	"chuteweir.example/chuteweir/internal/clock"
	"chuteweir.example/chuteweir/rules"
)

// This file keeps what the decisions must know of routes after a restart. A record replaces the earlier one of its route.

// Records of routes take up at most 1/routeShare of the capacity. Those that hold only a limit take up half of that, so
// that outages can still be recorded.
const routeShare = 20

// ErrTooManyRoutes reports that the state of a route was not recorded, for lack of capacity.
var ErrTooManyRoutes = errors.New("the ledger has no capacity for the state of another route")

// RouteRecord is the state of a route at a time.
type RouteRecord struct {
	Destination rules.DestinationID
	Receiver    string       `json:",omitempty"` // ID of the receiver, if the route is that single receiver
	At          clock.Moment // of State
	State       rules.RouteState
}

// routeKey identifies a route across processes.
type routeKey struct {
	destination rules.DestinationID
	receiver    string
}

// decodeRoute decodes the payload of a route's record.
func decodeRoute(payload []byte) (RouteRecord, bool) {
	var route RouteRecord
	err := json.Unmarshal(payload, &route)
	return route, err == nil
}

// RecordRoute records the state of a route. A state without any content removes the record of the route.
func (l *Ledger) RecordRoute(route RouteRecord) error {
	key := routeKey{route.Destination, route.Receiver}
	payload, err := json.Marshal(route)
	if err != nil {
		return err
	}
	isRemoval := route.State == rules.RouteState{}
	if isRemoval && l.routes[key] == nil {
		return nil
	}
	allowed := l.capacity / routeShare
	if !route.State.InOutage && !route.State.WarmingUp {
		allowed /= 2
	}
	size := int64(headerSize + minRecordLen + len(payload))
	growth := size - int64(len(l.routes[key]))
	if !isRemoval && growth > 0 && l.routeBytes+growth > allowed {
		return ErrTooManyRoutes
	}
	return l.append(0, kindRoute, payload)
}

// applyRoute updates the live records of routes with a record.
func (l *Ledger) applyRoute(record []byte) {
	route, valid := decodeRoute(record[headerSize+minRecordLen:])
	if !valid {
		return
	}
	key := routeKey{route.Destination, route.Receiver}
	l.routeBytes -= int64(len(l.routes[key]))
	delete(l.routes, key)
	if route.State != (rules.RouteState{}) {
		l.routes[key] = bytes.Clone(record)
		l.routeBytes += int64(len(record))
	}
}

// Routes returns the recorded states of routes, in no particular order.
func (l *Ledger) Routes() []RouteRecord {
	var routes []RouteRecord
	for _, record := range l.routes {
		if route, valid := decodeRoute(record[headerSize+minRecordLen:]); valid {
			routes = append(routes, route)
		}
	}
	return routes
}
