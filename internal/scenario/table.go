package scenario

import (
	"chuteweir.example/chuteweir/internal/conf"
	"chuteweir.example/chuteweir/internal/config"
)

// faultKinds maps each kind of fault to its target.
var faultKinds = map[string]FaultTarget{
	Refuse: Destinations, Shut: Destinations, Hang: Destinations, Silent: Destinations, NeverUp: Destinations,
	ResetBefore: Destinations, ResetAfter: Destinations, Errors: Destinations, Malformed: Destinations,
	Slow:    Destinations,
	Dribble: Destinations, Pauses: Destinations, LowLimit: Destinations, Flap: Destinations,
	Drain: Destinations, Vanish: Destinations,
	ListSilent: Platforms, ListGarbage: Platforms, OutcomesRefused: Platforms,
	Kill: Senders, Stop: Senders, Freeze: Senders, Reload: Senders, FewFiles: Senders,
	Hostile: Clients, Burst: Clients,
}

// Table lists all keys of a scenario's file: the sections of its own, and the sections of a sender's configuration that
// control the sender's decisions.
var Table = append(conf.Table{
	{Doc: "The scenario itself.", Keys: []conf.Key{
		{Name: "name", Kind: conf.Text, Required: true, Doc: "name of the scenario"},
		{Name: "about", Kind: conf.Text, Doc: "what the scenario is for"},
		{Name: "seed", Kind: conf.Count, Default: "1", Max: 1 << 50, Doc: "seed of all random draws of the scenario"},
		{Name: "length", Kind: conf.Span, Default: `"10s"`, Min: 100, Max: 86_400_000,
			Doc: "how long clients submit notices"},
		{Name: "settle", Kind: conf.Span, Default: `"15s"`, Max: 3_600_000,
			Doc: "how long the run waits for final outcomes after that, at most"},
	}},
	{Name: "machine", Doc: "The resources that each sender has.", Keys: []conf.Key{
		{Name: "memory", Kind: conf.Size, Default: `"192MiB"`, Min: 16 << 20, Max: 1 << 40, Doc: "memory"},
		{Name: "sockets", Kind: conf.Count, Default: "1024", Min: 64, Max: 10_000_000, Doc: "file descriptors"},
		{Name: "disk", Kind: conf.Size, Default: `"64MB"`, Min: 1e6, Max: 1 << 40,
			Doc: "maximum size of the state directory"},
		{Name: "cores", Kind: conf.Number, Default: "1", Min: 0.01, Max: 1024,
			Doc: "cores that the sender's configuration states; not enforced"},
	}},
	{Name: "traffic", Doc: "The notices that clients submit, at times that do not depend on the responses.",
		Keys: []conf.Key{
			{Name: "rate", Kind: conf.Rate, Default: `"100/s"`, Min: 0.01, Max: 1e7,
				Doc: "mean number of notices a second"},
			{Name: "shape", Kind: conf.Choice, Default: `"steady"`, Choices: []string{"steady", "ramp", "peak"},
				Doc: "`ramp`: rises from 0 to twice the rate; `peak`: half the rate with an evening peak of twice the rate in the middle"},
			{Name: "zipf", Kind: conf.Number, Default: "0", Max: 10,
				Doc: "exponent of the Zipf distribution of traffic over destinations: the k-th destination has a weight of 1 over k to this power"},
			{Name: "clumps", Kind: conf.Share, Default: "0",
				Doc: "share of the notices that arrive in clumps; all notices of a clump are for one destination"},
			{Name: "clump", Kind: conf.Count, Default: "20", Min: 1, Max: 1e6, Doc: "notices in a clump"},
			{Name: "clump_span", Kind: conf.Span, Default: `"500ms"`, Min: 1, Max: 600_000,
				Doc: "time within which the notices of a clump arrive"},
			{Name: "body", Kind: conf.Size, Default: `"200B"`, Max: 65_536, Doc: "size of a notice's body"},
			{Name: "keys", Kind: conf.Count, Default: "0", Max: 1e9,
				Doc: "number of distinct keys in the grades that keep order; 0: notices carry no key"},
			{Name: "again", Kind: conf.Share, Default: "1",
				Doc: "share of the dismissed notices that are submitted again if time is left"},
			{Name: "trace", Kind: conf.Text,
				Doc: "a file of recorded traffic (`chutelab lab trace`) that replaces the generated traffic; a relative path is relative to this file. Notices after `length` are left out"},
			{Name: "first", Kind: conf.Count, Default: "0", Max: 10_000_000,
				Doc: "notices that arrive evenly during the first `first_span`, in addition to the others"},
			{Name: "first_group", Kind: conf.Text, Doc: "the group whose destinations receive them in turn"},
			{Name: "first_grade", Kind: conf.Text, Doc: "grade of the first notices"},
			{Name: "first_span", Kind: conf.Span, Default: `"1s"`, Min: 1, Max: 3_600_000,
				Doc: "time within which the first notices arrive"},
			{Name: "patience", Kind: conf.Span, Default: `"400ms"`, Min: 1, Max: 600_000,
				Doc: "how long a client waits for the response to its request"},
		}},
	{Name: "platform", Doc: "The platform, which serves the receiver list and takes outcome reports.", Keys: []conf.Key{
		{Name: "delay", Kind: conf.Span, Default: `"50ms"`, Max: 600_000,
			Doc: "delay until a change appears in the receiver list"},
	}},
	{Name: "senders", Doc: "The senders.", Keys: []conf.Key{
		{Name: "count", Kind: conf.Count, Default: "1", Min: 1, Max: 100_000,
			Doc: "number of senders; replaces `sending.senders`"},
		{Name: "notice", Kind: conf.Span, Default: `"1s"`, Max: 600_000,
			Doc: "how long clients keep choosing a sender that has died"},
	}},
	{Name: "gateway", Repeated: true, MinCount: 1, Doc: "A group of destinations with the same properties.", Keys: []conf.Key{
		{Name: "name", Kind: conf.Text, Required: true, Doc: "name of the group, to which faults refer"},
		{Name: "destinations", Kind: conf.Count, Default: "1", Min: 1, Max: 1_000_000,
			Doc: "number of destinations in the group"},
		{Name: "receivers", Kind: conf.Count, Default: "1", Min: 1, Max: 1000, Doc: "receivers of each destination"},
		{Name: "kind", Kind: conf.Text, Doc: "one of the `[[kind]]` names"},
		{Name: "weight", Kind: conf.Number, Default: "1", Max: 1e9,
			Doc: "traffic of each of these destinations, relative to the weights of the others"},
		{Name: "cores", Kind: conf.Count, Default: "4", Min: 1, Max: 100_000,
			Doc: "calls that each destination processes concurrently"},
		{Name: "queue", Kind: conf.Count, Default: "64", Max: 1e7,
			Doc: "calls that may wait in the queue; further calls are refused"},
		{Name: "service", Kind: conf.Choice, Default: `"lognormal"`,
			Choices: []string{"fixed", "exponential", "lognormal", "bimodal", "pareto"},
			Doc:     "distribution of the service time of a call. `bimodal`: a tenth takes ten times as long as the rest; `pareto`: a heavy tail"},
		{Name: "mean", Kind: conf.Span, Default: `"5ms"`, Max: 3_600_000, Doc: "mean service time of a call"},
		{Name: "cv", Kind: conf.Number, Default: "0.5", Max: 100,
			Doc: "`lognormal`: coefficient of variation of the service time"},
		{Name: "limit", Kind: conf.Rate, Default: `"0/s"`, Max: 1e9,
			Doc: "calls a second that a destination accepts from all senders together; 0: limited by its capacity only"},
		{Name: "limit_span", Kind: conf.Span, Default: `"0s"`, Max: 3_600_000,
			Doc: "above 0: the limit counts calls in fixed windows of this length; 0: the limit is a token bucket"},
		{Name: "limit_depth", Kind: conf.Span, Default: `"200ms"`, Min: 1, Max: 3_600_000,
			Doc: "token bucket: the depth of the bucket, as the time in which it fills at the rate of the limit"},
		{Name: "counts_refused", Kind: conf.Flag, Default: "false",
			Doc: "whether refused calls count towards the limit"},
		{Name: "reports", Kind: conf.Flag, Default: "true",
			Doc: "whether responses report how much of the limit is left"},
		{Name: "tells_wait", Kind: conf.Share, Default: "0",
			Doc: "share of the refusals that request a wait by `Retry-After`"},
		{Name: "wait", Kind: conf.Span, Default: `"500ms"`, Max: 3_600_000,
			Doc: "the requested wait; with `limit_span`, the rest of the window instead"},
		{Name: "connections", Kind: conf.Count, Default: "0", Max: 1e7,
			Doc: "maximum number of connections to a destination, including idle ones; further ones are closed at once; 0: no maximum"},
		{Name: "tips", Kind: conf.Flag, Default: "false",
			Doc: "whether the destination is cold after an outage and can be overloaded then, as `[return]` describes"},
		{Name: "tips_allowance", Kind: conf.Flag, Default: "false",
			Doc: "`tips`: whether the budget of N calls within `fall` has the allowance of the platform's terms for calls that coincide by chance: 2 sqrt(N) + 2 calls, below 30 calls 3 sqrt(N) + 3"},
	}},
	{Name: "fault", Repeated: true, Doc: "A fault, scripted at an exact time.", Keys: []conf.Key{
		{Name: "kind", Kind: conf.Choice, Required: true, Choices: faultKindNames(), Doc: "what happens; see below"},
		{Name: "at", Kind: conf.Span, Required: true, Max: 86_400_000,
			Doc: "when the fault starts, counted from the start of the traffic"},
		{Name: "for", Kind: conf.Span, Default: `"1s"`, Max: 86_400_000, Doc: "how long the fault lasts"},
		{Name: "part", Kind: conf.Share, Default: "1",
			Doc: "share of the destinations or of the senders that are affected; at least one is"},
		{Name: "group", Kind: conf.Text, Doc: "the group from which the destinations are chosen; empty: all groups"},
		{Name: "busiest", Kind: conf.Flag, Default: "false",
			Doc: "whether the destinations with the most traffic are affected; otherwise they are chosen at random"},
		{Name: "grade", Kind: conf.Text, Doc: "affects only calls of this grade; empty: all grades"},
		{Name: "share", Kind: conf.Share, Default: "1", Doc: "share of the calls that are affected"},
		{Name: "size", Kind: conf.Number, Default: "1", Max: 1e6,
			Doc: "`slow`: factor of the service time; `low-limit`: factor of the limit; `hostile`: concurrent clients; `burst`: factor of the notice rate; `few-files`: file descriptors that may still be opened"},
		{Name: "each", Kind: conf.Span, Default: `"1s"`, Min: 1, Max: 3_600_000,
			Doc: "`pauses`, `flap`: length of a period; the fault acts in the first half of each"},
	}},
}, senderSections()...)

// senderSections returns the sections that a sender's configuration has too. In a scenario, grades and portfolios also
// have a share of the traffic.
func senderSections() conf.Table {
	share := conf.Key{Name: "share", Kind: conf.Number, Default: "1", Max: 1e9,
		Doc: "its part of the traffic, relative to the shares of the others"}
	var table conf.Table
	for _, s := range config.Sending {
		if s.Name == "grade" || s.Name == "portfolio" {
			s.Keys = append(append([]conf.Key(nil), s.Keys...), share)
		}
		table = append(table, s)
	}
	return table
}
