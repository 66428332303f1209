package logs

import (
	"fmt"
	"slices"
	"strings"
)

// The names of the log's lines. They and their keys stay as they are from one version to the next.
const (
	Ready          = "ready"
	Leaving        = "leaving"
	CountersLine   = "counters"
	Breaker        = "breaker"
	Reloaded       = "reloaded"
	ReloadRefused  = "reload_refused"
	ConfigOdd      = "config_odd"
	SlotsCapped    = "slots_capped"
	PlatformBroken = "platform_broken"
	LedgerTorn     = "ledger_torn"
	LedgerFailed   = "ledger_failed"
	ClockStepped   = "clock_stepped"
	LinesDropped   = "lines_dropped"
	LeftOut        = "left_out"

	Taken    = "taken"
	Restored = "restored"
	Refused  = "refused"
	Trip     = "trip"
	Outcome  = "outcome"
	Ended    = "ended"
	Closed   = "closed"

	WrittenInWait = "written_in_wait"
	Connecting    = "connecting"
	Connected     = "connected"
	Disconnected  = "disconnected"
	Written       = "written"
	WaitTold      = "wait_told"
	Answered      = "answered"
	Unasked       = "unasked"
	Doubted       = "doubted"
)

// Event is one kind of line.
type Event struct {
	Name, Level string
	Keys        []string
	Sampled     bool // repeated lines are left out and counted
	Doc         string
}

// Events is all lines that a sender logs.
var Events = []Event{
	{Ready, "info", []string{"listen", "receivers", "restored"}, false, "the sender serves; `restored` notices are owed from before its start"},
	{Leaving, "info", []string{"held", "out"}, false, "told to leave; so many notices are held, and calls out"},
	{CountersLine, "info", []string{"sender", "held", "owed"}, false, "what was counted since the start: at SIGUSR1 and at the end"},
	{Breaker, "info", []string{"destination", "route", "state", "why"}, false, "a route's breaker changed its state; `route` is the number of its first receiver"},
	{Reloaded, "info", []string{"discovery", "owed"}, false, "SIGHUP: the configuration was read anew, and so many ends go to the new address"},
	{ReloadRefused, "error", []string{"why"}, false, "SIGHUP: the file can't be used, a line for each fault; the old configuration holds"},
	{ConfigOdd, "warn", []string{"why"}, false, "a value of the platform's file makes no sense; the sender goes on"},
	{SlotsCapped, "warn", []string{"slots", "connections", "capped"}, false, "more slots are configured than connections to receivers are granted (a quarter of the descriptors): so many are used"},
	{PlatformBroken, "warn", []string{"why"}, true, "an answer of the platform could not be used; the last list holds, ends are told again"},
	{LedgerTorn, "warn", []string{"bytes"}, false, "the ledger's end could not be read: the process before was killed within a write"},
	{ClockStepped, "warn", []string{"notice", "stepped"}, true, "the wall clock was set by so much since a notice was taken, before this start: its times were set right"},
	{LedgerFailed, "error", []string{"why"}, true, "the ledger could not be written"},
	{WrittenInWait, "warn", []string{"id", "notice", "receiver", "begun_ago", "left"}, true, "a call was written while its destination had told to wait: `left` is what was left of that, `begun_ago` is since the call was decided on"},
	{LinesDropped, "warn", []string{"count"}, false, "standard error was not read for a while; so many lines are lost"},
	{LeftOut, "info", []string{"event", "count"}, false, "so many lines of an event were left out, as they came too often"},
	{Taken, "debug", []string{"id", "notice", "grade", "portfolio", "key", "destination", "body", "left"}, false, "a notice was taken on"},
	{Restored, "debug", []string{"id", "notice", "trips", "may_have_run", "left"}, false, "a notice that an earlier process owed goes back to the decisions, with the time that it has `left`"},
	{Refused, "debug", []string{"id", "status"}, false, "a notice was turned away with this status"},
	{Trip, "debug", []string{"id", "notice", "receiver", "address", "time_out"}, false, "a trip was begun"},
	{Connecting, "debug", []string{"connection", "notice", "receiver", "address"}, false, "a connection to a receiver was begun for a call; `connection` is its number in this process"},
	{Connected, "debug", []string{"connection", "notice", "receiver", "local", "took"}, false, "a connection to a receiver came up; `local` is its address at this end"},
	{Written, "debug", []string{"connection", "id", "notice", "receiver", "begun_ago", "fresh", "carried", "rested"}, false, "a call was written; `fresh`: on a connection that carried none before; else it had carried so many, and `rested` since the last byte was heard on it"},
	{Disconnected, "debug", []string{"connection", "notice", "receiver", "why", "connected"}, false, "a connection to a receiver ended, with the call that it carried or 0; `why` also tells who ended it"},
	{Answered, "debug", []string{"connection", "notice", "receiver", "status", "after", "behind"}, false, "an answer was read whole, so long `after` its call was written, whether bytes came `behind` it"},
	{Unasked, "warn", []string{"connection", "receiver", "last", "carried", "quiet", "bytes", "begins"}, true, "a receiver sent what no call had asked for, on a connection that had carried so many calls, the notice of the `last` of them, and had been `quiet` for so long; such bytes may belong to another call than the one that they would be booked on"},
	{Doubted, "warn", []string{"id", "notice", "receiver", "written_ago", "held"}, true, "an outcome was taken back, since the answer may have been another call's: a notice that is not `held` any more gets an end at the platform, and one that is counts as one that may have run"},
	{WaitTold, "debug", []string{"receiver", "wait"}, false, "a receiver told to wait by an answer whose end has not come; waits told by whole answers stand in `outcome`"},
	{Outcome, "debug", []string{"id", "notice", "receiver", "result", "spent", "wait"}, false, "a trip came to its end"},
	{Ended, "debug", []string{"id", "notice", "outcome", "retry_in_ms"}, false, "a notice has its final answer, other than by being handled"},
	{Closed, "debug", []string{"notice"}, false, "the platform has taken that answer; nothing more is owed"},
}

func event(name string) *Event {
	for i := range Events {
		if Events[i].Name == name {
			return &Events[i]
		}
	}
	return nil
}

// Unlisted tells what of a line, decoded from JSON, is not among the events: its name, or a key that it has beside those
// that every line has.
func Unlisted(line map[string]any) string {
	name, _ := line["msg"].(string)
	e := event(name)
	if e == nil {
		return "event " + name
	}
	for key := range line {
		if !slices.Contains([]string{"time", "level", "msg", "name"}, key) && !slices.Contains(e.Keys, key) {
			return "key " + key + " of event " + name
		}
	}
	return ""
}

// Page documents the events in Markdown.
func Page() string {
	var b strings.Builder
	b.WriteString("| event | level | keys | what it tells |\n| --- | --- | --- | --- |\n")
	for _, e := range Events {
		doc := e.Doc
		if e.Sampled {
			doc += "; sampled"
		}
		fmt.Fprintf(&b, "| `%s` | %s | `%s` | %s |\n", e.Name, e.Level, strings.Join(e.Keys, "`, `"), doc)
	}
	return b.String()
}
