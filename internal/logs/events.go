package logs

import (
	"fmt"
	"slices"
	"strings"
)

// The names of the log events. They and their keys are stable across versions.
const (
	Ready                    = "ready"
	ShuttingDown             = "leaving"
	CountersLine             = "counters"
	Breaker                  = "breaker"
	Outage                   = "outage"
	OutageSign               = "outage_sign"
	RouteRestored            = "route_restored"
	ListUnverified           = "list_unverified"
	ListVerified             = "list_verified"
	Reloaded                 = "reloaded"
	ReloadRefused            = "reload_refused"
	ConfigWarning            = "config_odd"
	SlotsCapped              = "slots_capped"
	PlatformResponseUnusable = "platform_broken"
	LedgerTorn               = "ledger_torn"
	LedgerFailed             = "ledger_failed"
	ClockStepped             = "clock_stepped"
	LinesDropped             = "lines_dropped"
	LinesOmitted             = "left_out"

	Accepted        = "taken"
	Restored        = "restored"
	Refused         = "refused"
	Trip            = "trip"
	Outcome         = "outcome"
	Ended           = "ended"
	ReportConfirmed = "closed"

	WrittenInWait    = "written_in_wait"
	Connecting       = "connecting"
	Connected        = "connected"
	Disconnected     = "disconnected"
	Written          = "written"
	WaitRequested    = "wait_told"
	Answered         = "answered"
	UnsolicitedBytes = "unasked"
	OutcomeRetracted = "doubted"
)

// Event describes one kind of log line.
type Event struct {
	Name, Level string
	Keys        []string // other than those common to all lines
	Sampled     bool     // lines beyond a rate limit are omitted and counted
	Doc         string   // the meaning, for the table that Markdown returns
}

// Events lists every event that the sender logs.
var Events = []Event{
	{Ready, "info", []string{"listen", "receivers", "restored"}, false,
		"the sender accepts requests; `restored` is the number of pending notices of earlier processes"},
	{ShuttingDown, "info", []string{"held", "out"}, false,
		"the sender is shutting down; it holds `held` notices, and `out` calls are in flight"},
	{CountersLine, "info", []string{"sender", "held", "owed"}, false,
		"all counters since the start, at SIGUSR1 and at exit; `owed` is the number of pending outcome reports"},
	{Breaker, "info", []string{"destination", "route", "state", "why"}, false,
		"the breaker of a route changed its state; `route` is the number of the route's first receiver"},
	{Outage, "info", []string{"destination", "route", "state", "age", "lasted", "rate_before", "limit", "held"}, true,
		"an outage of a route: `down` or `confirmed` (calls are spaced as long as it lasts; `age` is the time since its first sign), or `warming_up` (it ended `age` ago after `lasted`); `rate_before` is the rate of handled calls before it and `limit` the reported limit, both in calls a second, and `held` the notices held for the destination"},
	{OutageSign, "debug", []string{"destination", "route", "state", "limit", "held"}, false,
		"`sign`: a failure or refusal that may begin an outage; `healthy`: no sign, outage or warm-up is left"},
	{RouteRestored, "info", []string{"destination", "receiver", "in_outage", "down", "since", "warming_up", "recovered", "rate_before", "limit"}, true,
		"what an earlier process recorded of a route was restored: whether it is in an outage, and the time `since` its first sign; whether it warms up after one, and how long ago it `recovered`; `rate_before` and `limit` as in `outage`"},
	{ListUnverified, "info", []string{"held"}, true,
		"the receiver list may be out of date, since the watch failed, `discovery` was replaced or the process was stopped; discovery is asked for changes, and meanwhile no call is started, for 0.5 s at most and half of each notice's time; `held` is the number of notices held"},
	{ListVerified, "info", []string{"after", "receivers", "held"}, true,
		"discovery has confirmed the receiver list, `after` the start or after `list_unverified`; `receivers` are listed now, and `held` notices are held"},
	{Reloaded, "info", []string{"discovery", "owed"}, false,
		"SIGHUP: the configuration was reloaded; `owed` outcome reports are pending and go to the new address"},
	{ReloadRefused, "error", []string{"why"}, false,
		"SIGHUP: the configuration file is unusable, one line for each fault, for 100 at most; the old configuration stays in force"},
	{ConfigWarning, "warn", []string{"why"}, false,
		"a value in the platform's file makes no sense; the sender continues"},
	{SlotsCapped, "warn", []string{"slots", "connections", "capped"}, false,
		"more slots are configured than the number of connections to receivers allows, which is a quarter of the file descriptors; the number of slots used is `capped`"},
	{PlatformResponseUnusable, "warn", []string{"why"}, true,
		"a response of the platform was unusable; the last receiver list stays valid, outcome reports are sent again"},
	{LedgerTorn, "warn", []string{"bytes"}, false,
		"the end of the ledger could not be read, because the previous process was killed during a write"},
	{ClockStepped, "warn", []string{"notice", "stepped"}, true,
		"the wall clock was changed by `stepped` since an earlier process accepted the notice; its times were corrected"},
	{LedgerFailed, "error", []string{"why"}, true,
		"the ledger could not be written"},
	{WrittenInWait, "warn", []string{"id", "notice", "receiver", "begun_ago", "left"}, true,
		"a call was written while its destination had requested a wait: `left` is the rest of that wait, `begun_ago` the time since the decision to make the call"},
	{LinesDropped, "warn", []string{"count"}, false,
		"`count` log lines were lost, because the reader of standard error did not keep up"},
	{LinesOmitted, "info", []string{"event", "count"}, false,
		"`count` lines of a sampled event were omitted, because it was logged too often"},
	{Accepted, "debug", []string{"id", "notice", "grade", "portfolio", "key", "destination", "body", "left"}, false,
		"a notice was accepted"},
	{Restored, "debug", []string{"id", "notice", "trips", "may_have_run", "left"}, false,
		"a pending notice of an earlier process was passed to the decision module; `left` is the time that remains for it"},
	{Refused, "debug", []string{"id", "status"}, false,
		"a notice was rejected with the HTTP status `status`"},
	{Trip, "debug", []string{"id", "notice", "receiver", "address", "time_out"}, false,
		"a trip was started"},
	{Connecting, "debug", []string{"connection", "notice", "receiver", "address"}, false,
		"a connection to a receiver was started for a call; `connection` is its number in this process"},
	{Connected, "debug", []string{"connection", "notice", "receiver", "local", "took"}, false,
		"a connection to a receiver was established; `local` is its address on the sender's side"},
	{Written, "debug", []string{"connection", "id", "notice", "receiver",
		"begun_ago", "fresh", "carried", "rested"}, false,
		"a call was written; `fresh`: it is the first on its connection, otherwise the connection had carried `carried` calls, and `rested` is the time since the last byte was received on it"},
	{Disconnected, "debug", []string{"connection", "notice", "receiver", "why", "connected"}, false,
		"a connection to a receiver was closed; `notice` is the notice of the call that it carried, or 0, and `why` says which side closed it and for what reason"},
	{Answered, "debug", []string{"connection", "notice", "receiver", "status", "after", "behind"}, false,
		"a complete response was read; `after` is the time since its call was written, `behind` whether further bytes followed the response"},
	{UnsolicitedBytes, "warn", []string{"connection", "receiver", "last", "carried", "quiet", "bytes", "begins"}, true,
		"a receiver sent unsolicited bytes, on a connection that had carried `carried` calls (`last` is the notice of the latest) and was quiet for the duration `quiet`; such bytes can be mistaken for the response to another call"},
	{OutcomeRetracted, "warn", []string{"id", "notice", "receiver", "written_ago", "held"}, true,
		"an outcome was retracted, because the response may belong to another call: if the notice is no longer `held`, its outcome is reported to the platform; if it is, it counts as one that may have taken effect"},
	{WaitRequested, "debug", []string{"receiver", "wait"}, false,
		"a receiver requested a wait in a response that is not complete yet; waits requested by complete responses are logged with `outcome`"},
	{Outcome, "debug", []string{"id", "notice", "receiver", "result", "spent", "wait"}, false,
		"a trip ended"},
	{Ended, "debug", []string{"id", "notice", "outcome", "retry_in_ms"}, false,
		"a notice got a final answer other than handled"},
	{ReportConfirmed, "debug", []string{"notice"}, false,
		"the platform confirmed the outcome report of the notice; nothing more is pending for it"},
}

// findEvent returns the event with a name, or nil.
func findEvent(name string) *Event {
	for i := range Events {
		if Events[i].Name == name {
			return &Events[i]
		}
	}
	return nil
}

// Undeclared returns what in a log line, decoded from JSON, is not declared in Events: the event's name, or a key
// other than those common to all lines. It returns "" if everything is declared.
func Undeclared(line map[string]any) string {
	name, _ := line["msg"].(string)
	declared := findEvent(name)
	if declared == nil {
		return "event " + name
	}
	for key := range line {
		if !slices.Contains([]string{"time", "level", "msg", "name"}, key) && !slices.Contains(declared.Keys, key) {
			return "key " + key + " of event " + name
		}
	}
	return ""
}

// Markdown returns the Markdown table that documents the events.
func Markdown() string {
	var page strings.Builder
	page.WriteString("| event | level | keys | meaning |\n| --- | --- | --- | --- |\n")
	for _, e := range Events {
		doc := e.Doc
		if e.Sampled {
			doc += "; sampled"
		}
		fmt.Fprintf(&page, "| `%s` | %s | `%s` | %s |\n", e.Name, e.Level, strings.Join(e.Keys, "`, `"), doc)
	}
	return page.String()
}
