// Package config holds what a sender is told at its start: read from a TOML file in our words or from the
// platform's JSON, checked, and written as either.
package config

import "chuteweir.example/chuteweir/internal/conf"

// Sending is the sections of a configuration that say how a sender decides. Scenarios hold them too.
var Sending = conf.Table{
	{Name: "sending", Doc: "How much a sender does at once, and how it follows the list of receivers.", Keys: []conf.Key{
		{Name: "senders", Kind: conf.Count, Default: "1", Min: 1, Max: 100_000, Doc: "senders that share the destinations, this one among them"},
		{Name: "slots", Kind: conf.Count, Default: "64", Min: 1, Max: 1_000_000, Doc: "calls out at once"},
		{Name: "hold", Kind: conf.Count, Default: "10000", Min: 1, Max: 10_000_000, Doc: "notices held or out at once; more are turned away with 503"},
		{Name: "trips", Kind: conf.Count, Default: "4", Min: 1, Max: 1000, Doc: "calls for one notice at most"},
		{Name: "call_off", Kind: conf.Flag, Default: "true", Doc: "whether calls that are overdue may be called off"},
		{Name: "tick", Kind: conf.Span, Default: `"5ms"`, Min: 0.1, Max: 1000, Doc: "the clock's step; a busy sender gathers for half of it between two turns"},
		{Name: "idle_kept", Kind: conf.Span, Default: `"10s"`, Min: 10, Max: 3_600_000, Doc: "how long receivers keep an idle connection"},
		{Name: "connect_time", Kind: conf.Span, Default: `"1s"`, Min: 1, Max: 60_000, Doc: "how long a connection may take to come up"},
		{Name: "key_rest", Kind: conf.Span, Default: `"0s"`, Max: 600_000, Doc: "rest of a key after a lost call, for grades that keep order"},
		{Name: "list", Kind: conf.Choice, Default: `"watched"`, Choices: []string{"watched", "asked"}, Doc: "`watched`: the list of receivers is watched all the time; `asked`: when the decisions ask for it"},
		{Name: "ask_within", Kind: conf.Span, Default: `"2s"`, Min: 1, Max: 600_000, Doc: "with `asked`: how soon a broken watch has to be begun anew"},
		{Name: "listed_rates", Kind: conf.Choice, Default: `"none"`, Choices: []string{"none", "nominal", "rough"}, Doc: "what the rates in the list are worth: nothing, exact, or up to half too high"},
	}},
	{Name: "goal", Doc: "What the deployment aims for.", Keys: []conf.Key{
		{Name: "whole", Kind: conf.Number, Default: "0.7", Max: 1000, Doc: "weight of all credit"},
		{Name: "worst_grade", Kind: conf.Number, Default: "0.3", Max: 1000, Doc: "weight of the grade served worst"},
		{Name: "over_share", Kind: conf.Share, Default: "0.2", Doc: "what credit counts beyond a portfolio's quota"},
		{Name: "late", Kind: conf.Choice, Default: `"evenly"`, Choices: []string{"evenly", "by-halves"}, Doc: "how credit falls after the quoted time: evenly up to the client timeout, or by half with each further quoted time"},
	}},
	{Name: "dismissal", Doc: "What a dismissal tells.", Keys: []conf.Key{
		{Name: "retry_after", Kind: conf.Flag, Default: "true", Doc: "whether it may tell when to come back"},
		{Name: "retry_most", Kind: conf.Span, Default: `"3s"`, Max: 3_600_000, Doc: "the longest such time"},
	}},
	{Name: "return", Doc: "What a destination takes when it returns from an outage.", Keys: []conf.Key{
		{Name: "cold_from", Kind: conf.Share, Default: "0.2", Doc: "share of its capacity that it has at once"},
		{Name: "warm", Kind: conf.Span, Default: `"10s"`, Min: 1, Max: 3_600_000, Doc: "when it has all of it again, at the latest"},
		{Name: "multiple", Kind: conf.Number, Default: "3", Min: 0.1, Max: 1000, Doc: "sent more than so many times its present capacity for the time of `fall`, it falls over"},
		{Name: "fall", Kind: conf.Span, Default: `"2s"`, Min: 1, Max: 600_000, Doc: "see `multiple`; the decisions also measure other things by it"},
	}},
	{Name: "grade", Many: true, Least: 1, Doc: "A service grade.", Keys: []conf.Key{
		{Name: "name", Kind: conf.Text, Required: true, Doc: "as clients write it in `Request-Class`"},
		{Name: "quoted", Kind: conf.Span, Required: true, Min: 1, Max: 86_400_000, Doc: "the quoted time: credit is full until then"},
		{Name: "timeout", Kind: conf.Span, Required: true, Min: 1, Max: 86_400_000, Doc: "the client timeout; not before the quoted time"},
		{Name: "credit", Kind: conf.Number, Default: "1", Max: 1e9, Doc: "what a notice handled in time earns"},
		{Name: "late_share", Kind: conf.Share, Default: "0.5", Doc: "share of the credit that is left at the client timeout"},
		{Name: "repeat", Kind: conf.Choice, Required: true, Choices: []string{"at-most-once", "numbered", "reissuable"}, Doc: "whether a notice may run again: never, where its mark is known, or always"},
		{Name: "remembers", Kind: conf.Span, Default: `"0s"`, Max: 86_400_000, Doc: "numbered: how long a destination remembers a mark, from the first trip on"},
		{Name: "zone_only", Kind: conf.Flag, Default: "false", Doc: "numbered: a mark is known only within the zone of the first trip"},
		{Name: "in_order", Kind: conf.Flag, Default: "false", Doc: "notices with one `Affinity-Key` go one at a time in the order taken"},
	}},
	{Name: "portfolio", Many: true, Doc: "A portfolio: whose notices these are.", Keys: []conf.Key{
		{Name: "name", Kind: conf.Text, Required: true, Doc: "as clients write it in `Tenant`"},
		{Name: "quota", Kind: conf.Rate, Required: true, Max: 1e9, Doc: "its share in notices a second, at all senders together"},
	}},
	{Name: "kind", Many: true, Doc: "A kind of destination.", Keys: []conf.Key{
		{Name: "name", Kind: conf.Text, Required: true, Doc: "as the list's `flavor` names it"},
		{Name: "apart", Kind: conf.Flag, Default: "false", Doc: "whether its receivers are separate routes, each with limit, wait and breaker of its own"},
	}},
	{Name: "zone", Many: true, Doc: "A zone that receivers stand in.", Keys: []conf.Key{
		{Name: "name", Kind: conf.Text, Required: true, Doc: "as the list's `locality` names it"},
		{Name: "fee", Kind: conf.Number, Default: "0", Max: 1e6, Doc: "price of a notice at a receiver there, where routes are apart"},
	}},
	{Name: "report", Doc: "The fields of `Server-Load` in answers. Both empty: answers hold no report.", Keys: []conf.Key{
		{Name: "left", Kind: conf.Text, Default: `"x0"`, Doc: "the field with the share of the limit that is left"},
		{Name: "limit", Kind: conf.Text, Default: `"x1"`, Doc: "the field with the limit in calls a second"},
	}},
}

// Table is all that a sender's own file may hold.
var Table = append(conf.Table{
	{Doc: "Who the sender is.", Keys: []conf.Key{
		{Name: "name", Kind: conf.Text, Default: `"chuteweir"`, Doc: "stands in each line of the log"},
		{Name: "listen", Kind: conf.Address, Required: true, Doc: "where clients connect"},
		{Name: "discovery", Kind: conf.Address, Required: true, Doc: "where the list of receivers is, and where notices of ends go"},
		{Name: "state", Kind: conf.Text, Required: true, Doc: "the lasting folder, with the ledger; made if its parent is there"},
		{Name: "seed", Kind: conf.Seed, Doc: "of the sender's chance; left out: drawn at each start"},
	}},
	{Name: "log", Doc: "The log, on standard error. `docs/logs.md` lists its lines.", Keys: []conf.Key{
		{Name: "format", Kind: conf.Choice, Default: `"text"`, Choices: []string{"text", "json"}, Doc: "how lines are written"},
		{Name: "level", Kind: conf.Choice, Default: `"info"`, Choices: []string{"debug", "info", "warn", "error"}, Doc: "the least that is written; `debug` tells the way of each notice by its id"},
	}},
	{Name: "machine", Doc: "What the machine grants the sender. All other limits follow from these.", Keys: []conf.Key{
		{Name: "memory", Kind: conf.Size, Default: `"192MiB"`, Min: 16 << 20, Max: 1 << 40, Doc: "memory; the sender keeps Go's own limit at half of it"},
		{Name: "sockets", Kind: conf.Count, Default: "1024", Min: 64, Max: 10_000_000, Doc: "file descriptors"},
		{Name: "disk", Kind: conf.Size, Default: `"3MB"`, Min: 1e6, Max: 1 << 40, Doc: "what the lasting folder may hold"},
		{Name: "cores", Kind: conf.Number, Default: "1", Min: 0.01, Max: 1024, Doc: "share of a core, or cores"},
	}},
}, append(Sending, conf.Section{Name: "receiver", Many: true,
	Doc: "A receiver that the sender knows before discovery has told any. Discovery's list takes their place.", Keys: []conf.Key{
		{Name: "id", Kind: conf.Text, Required: true, Doc: "as discovery names it"},
		{Name: "address", Kind: conf.Address, Required: true, Doc: "where it takes calls"},
		{Name: "destination", Kind: conf.Count, Required: true, Max: 1 << 30, Doc: "its destination's number"},
		{Name: "kind", Kind: conf.Text, Doc: "one of the kinds above"},
		{Name: "zone", Kind: conf.Text, Doc: "one of the zones above"},
		{Name: "rate", Kind: conf.Rate, Default: `"0/s"`, Max: 1e9, Doc: "calls a second that its destination, or its route, takes"},
		{Name: "standing", Kind: conf.Choice, Default: `"ready"`, Choices: []string{"ready", "draining"}, Doc: "what the list says of it"},
	}})...)
