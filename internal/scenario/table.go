package scenario

import (
	"chuteweir.example/chuteweir/internal/conf"
	"chuteweir.example/chuteweir/internal/config"
)

// faultKinds are the troubles that a scenario may script, by whom they strike.
var faultKinds = map[string]Struck{
	Refuse: Destinations, Shut: Destinations, Hang: Destinations, Silent: Destinations, NeverUp: Destinations,
	ResetBefore: Destinations, ResetAfter: Destinations, Errors: Destinations, Spoilt: Destinations, Slow: Destinations,
	Dribble: Destinations, Pauses: Destinations, LowLimit: Destinations, Flap: Destinations,
	Drain: Destinations, Vanish: Destinations,
	ListSilent: Platforms, ListGarbage: Platforms, EndsRefused: Platforms,
	Kill: Senders, Stop: Senders, Freeze: Senders, Reload: Senders, FewFiles: Senders,
	Hostile: Clients, Burst: Clients,
}

// Table is all that a scenario's file may hold: its own sections and those of a configuration that say how a sender
// decides.
var Table = append(conf.Table{
	{Doc: "What is played.", Keys: []conf.Key{
		{Name: "name", Kind: conf.Text, Required: true, Doc: "its name"},
		{Name: "about", Kind: conf.Text, Doc: "what it is for"},
		{Name: "seed", Kind: conf.Count, Default: "1", Max: 1 << 50, Doc: "of all chance in it"},
		{Name: "length", Kind: conf.Span, Default: `"10s"`, Min: 100, Max: 86_400_000, Doc: "how long notices come"},
		{Name: "settle", Kind: conf.Span, Default: `"15s"`, Max: 3_600_000, Doc: "how long their ends are waited for after that, at the most"},
	}},
	{Name: "machine", Doc: "What each sender's machine grants it.", Keys: []conf.Key{
		{Name: "memory", Kind: conf.Size, Default: `"192MiB"`, Min: 16 << 20, Max: 1 << 40, Doc: "memory"},
		{Name: "sockets", Kind: conf.Count, Default: "1024", Min: 64, Max: 10_000_000, Doc: "file descriptors"},
		{Name: "disk", Kind: conf.Size, Default: `"64MB"`, Min: 1e6, Max: 1 << 40, Doc: "what the lasting folder may hold"},
		{Name: "cores", Kind: conf.Number, Default: "1", Min: 0.01, Max: 1024, Doc: "told to the sender, not enforced"},
	}},
	{Name: "traffic", Doc: "What clients hand in, at times that do not depend on the answers.", Keys: []conf.Key{
		{Name: "rate", Kind: conf.Rate, Default: `"100/s"`, Min: 0.01, Max: 1e7, Doc: "notices a second, in the mean"},
		{Name: "shape", Kind: conf.Choice, Default: `"steady"`, Choices: []string{"steady", "ramp", "peak"}, Doc: "`ramp`: from nothing to twice the rate; `peak`: half the rate with an evening peak of twice the rate in the middle"},
		{Name: "zipf", Kind: conf.Number, Default: "0", Max: 10, Doc: "how unevenly destinations are asked for: the k-th gets a share of 1 over k to this power"},
		{Name: "clumps", Kind: conf.Share, Default: "0", Doc: "share of the notices that come in clumps for one destination"},
		{Name: "clump", Kind: conf.Count, Default: "20", Min: 1, Max: 1e6, Doc: "notices of a clump"},
		{Name: "clump_span", Kind: conf.Span, Default: `"500ms"`, Min: 1, Max: 600_000, Doc: "time within which a clump comes"},
		{Name: "body", Kind: conf.Size, Default: `"200B"`, Max: 65_536, Doc: "size of a notice's body"},
		{Name: "keys", Kind: conf.Count, Default: "0", Max: 1e9, Doc: "distinct keys of the grades that keep order; 0: notices carry none"},
		{Name: "again", Kind: conf.Share, Default: "1", Doc: "share of the dismissed notices that come again while there is time"},
		{Name: "trace", Kind: conf.Text, Doc: "a file of recorded traffic (`chutelab lab trace`), in place of drawn; its path counts from this file. `length` cuts it"},
		{Name: "first", Kind: conf.Count, Default: "0", Max: 10_000_000, Doc: "notices that come evenly in the first `first_span`, beside the others"},
		{Name: "first_group", Kind: conf.Text, Doc: "the group of destinations that they are for, in turn"},
		{Name: "first_grade", Kind: conf.Text, Doc: "their grade"},
		{Name: "first_span", Kind: conf.Span, Default: `"1s"`, Min: 1, Max: 3_600_000, Doc: "how long they take to come"},
		{Name: "patience", Kind: conf.Span, Default: `"400ms"`, Min: 1, Max: 600_000, Doc: "how long a client waits for the answer"},
	}},
	{Name: "platform", Doc: "The platform that tells the list and takes the notices of ends.", Keys: []conf.Key{
		{Name: "delay", Kind: conf.Span, Default: `"50ms"`, Max: 600_000, Doc: "how late the list tells a change"},
	}},
	{Name: "senders", Doc: "The senders.", Keys: []conf.Key{
		{Name: "count", Kind: conf.Count, Default: "1", Min: 1, Max: 100_000, Doc: "how many there are; takes the place of `sending.senders`"},
		{Name: "notice", Kind: conf.Span, Default: `"1s"`, Max: 600_000, Doc: "how long clients go on choosing a dead one"},
	}},
	{Name: "gateway", Many: true, Least: 1, Doc: "A group of destinations that are alike.", Keys: []conf.Key{
		{Name: "name", Kind: conf.Text, Required: true, Doc: "by which faults mean the group"},
		{Name: "destinations", Kind: conf.Count, Default: "1", Min: 1, Max: 1_000_000, Doc: "how many"},
		{Name: "receivers", Kind: conf.Count, Default: "1", Min: 1, Max: 1000, Doc: "receivers of each"},
		{Name: "kind", Kind: conf.Text, Doc: "one of the `[[kind]]` names"},
		{Name: "weight", Kind: conf.Number, Default: "1", Max: 1e9, Doc: "how often one of these destinations is asked for, against others"},
		{Name: "cores", Kind: conf.Count, Default: "4", Min: 1, Max: 100_000, Doc: "calls served at once by each destination"},
		{Name: "queue", Kind: conf.Count, Default: "64", Max: 1e7, Doc: "calls that may wait; one more is turned away"},
		{Name: "service", Kind: conf.Choice, Default: `"lognormal"`, Choices: []string{"fixed", "exponential", "lognormal", "bimodal", "pareto"}, Doc: "how the time of a call is spread. `bimodal`: a tenth takes ten times as long as the rest; `pareto`: a heavy tail"},
		{Name: "mean", Kind: conf.Span, Default: `"5ms"`, Max: 3_600_000, Doc: "mean time of a call"},
		{Name: "cv", Kind: conf.Number, Default: "0.5", Max: 100, Doc: "lognormal: its coefficient of variation"},
		{Name: "limit", Kind: conf.Rate, Default: `"0/s"`, Max: 1e9, Doc: "calls a second that a destination takes from all senders; 0: no limit but its capacity"},
		{Name: "limit_span", Kind: conf.Span, Default: `"0s"`, Max: 3_600_000, Doc: "above 0: the limit is a count in fixed spans of this length, else a plain rate"},
		{Name: "limit_depth", Kind: conf.Span, Default: `"200ms"`, Min: 1, Max: 3_600_000, Doc: "plain rate: what was not used for so long may be made up"},
		{Name: "counts_refused", Kind: conf.Flag, Default: "false", Doc: "whether refused calls use up the limit"},
		{Name: "reports", Kind: conf.Flag, Default: "true", Doc: "whether answers tell what is left of a limit"},
		{Name: "tells_wait", Kind: conf.Share, Default: "0", Doc: "share of the refusals that tell a wait"},
		{Name: "wait", Kind: conf.Span, Default: `"500ms"`, Max: 3_600_000, Doc: "that wait"},
		{Name: "connections", Kind: conf.Count, Default: "0", Max: 1e7, Doc: "connections that a destination holds, idle ones too; one more is closed at once; 0: any number"},
		{Name: "tips", Kind: conf.Flag, Default: "false", Doc: "whether it is cold after an outage and falls over when pushed then, by the figures of `[return]`"},
	}},
	{Name: "fault", Many: true, Doc: "A trouble, at its exact time.", Keys: []conf.Key{
		{Name: "kind", Kind: conf.Choice, Required: true, Choices: kindNames(), Doc: "what happens; see below"},
		{Name: "at", Kind: conf.Span, Required: true, Max: 86_400_000, Doc: "when, from the first notice's time on"},
		{Name: "for", Kind: conf.Span, Default: `"1s"`, Max: 86_400_000, Doc: "how long"},
		{Name: "part", Kind: conf.Share, Default: "1", Doc: "share of the destinations, or of the senders, that it strikes; one at least"},
		{Name: "group", Kind: conf.Text, Doc: "the group of destinations; empty: any"},
		{Name: "busiest", Kind: conf.Flag, Default: "false", Doc: "strikes those asked for most; else they are drawn"},
		{Name: "grade", Kind: conf.Text, Doc: "only calls of this grade; empty: all"},
		{Name: "share", Kind: conf.Share, Default: "1", Doc: "share of the calls that it strikes"},
		{Name: "size", Kind: conf.Number, Default: "1", Max: 1e6, Doc: "`slow`: times as long; `low-limit`: share of the limit that is left; `hostile`: clients at once; `burst`: times the rate; `few-files`: descriptors more"},
		{Name: "each", Kind: conf.Span, Default: `"1s"`, Min: 1, Max: 3_600_000, Doc: "`pauses`, `flap`: how often it begins anew; it lasts half of that"},
	}},
}, sending()...)

// sending is the sections that a configuration has too; grades and portfolios have a share of the traffic besides.
func sending() conf.Table {
	share := conf.Key{Name: "share", Kind: conf.Number, Default: "1", Max: 1e9, Doc: "its part of the traffic, against others"}
	var table conf.Table
	for _, s := range config.Sending {
		if s.Name == "grade" || s.Name == "portfolio" {
			s.Keys = append(append([]conf.Key(nil), s.Keys...), share)
		}
		table = append(table, s)
	}
	return table
}
