// Package scenario defines the test scenarios that are run against senders: the senders' settings, the destinations,
// the traffic and a script of faults, read from TOML files. A scenario and its seed determine all destinations, the
// arrival of every notice and what each fault affects. No clock is involved, so that runs on sockets and in simulated
// time use the same instance.
package scenario

import (
	"embed"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"strings"

	"chuteweir.example/chuteweir/internal/conf"
	"chuteweir.example/chuteweir/internal/config"
	"chuteweir.example/chuteweir/internal/limits"
	"chuteweir.example/chuteweir/internal/settings"
	"chuteweir.example/chuteweir/rules"
)

// The kinds of fault. A fault acts from its start to its end; its share says how many of the calls it affects.
const (
	Refuse          = "refuse"       // new connections are refused and open ones are reset
	Shut            = "shut"         // all calls are refused with status 503
	Hang            = "hang"         // calls are read and never answered
	Silent          = "silent"       // no data is sent on any connection, and new connections are never established
	NeverUp         = "never-up"     // new connections are never established
	ResetBefore     = "reset-before" // the connection is reset before the call is read
	ResetAfter      = "reset-after"  // the connection is reset after the call is read
	Errors          = "errors"       // calls fail immediately with status 500
	Malformed       = "spoilt"       // responses are malformed
	Slow            = "slow"         // calls take longer
	Dribble         = "dribble"      // responses are sent at one byte a second
	Pauses          = "pauses"       // periodically, nothing is read or sent for half of each period
	LowLimit        = "low-limit"    // the call limit is lowered
	Flap            = "flap"         // periodically, connections are refused for half of each period
	Drain           = "drain"        // receivers drain and others replace them; at the end the drained ones are removed
	Vanish          = "vanish"       // receivers are missing from the receiver list and unreachable until the end
	ListSilent      = "list-silent"  // the platform does not respond
	ListGarbage     = "list-garbage" // the platform serves malformed receiver lists
	OutcomesRefused = "ends-refused" // the platform refuses outcome reports
	Kill            = "kill"         // senders are killed and restart at the end
	Stop            = "stop"         // senders are asked to shut down; each restarts after its exit, at the end or later
	Freeze          = "freeze"       // senders are paused
	FewFiles        = "few-files"    // senders may open only a few more file descriptors
	Reload          = "reload"       // senders reload a malformed configuration, and at the end a valid one
	Hostile         = "hostile"      // misbehaving clients connect in addition to the normal ones
	Burst           = "burst"        // the notice rate is multiplied
)

// FaultTarget is the part of the environment that a kind of fault affects.
type FaultTarget int

// The targets of faults.
const (
	Destinations FaultTarget = iota
	Platforms
	Senders
	Clients
)

// faultKindNames returns the names of all kinds of fault in alphabetical order, on which Mix's random choice depends.
func faultKindNames() []string {
	var names []string
	for name := range faultKinds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Scenario is one test scenario as read from its file. Shares are relative to the sum of all shares.
type Scenario struct {
	Name, About           string
	Seed                  uint64
	Length, Settle        rules.Millis // duration of the traffic; longest wait for final outcomes after it
	Machine               limits.Machine
	Settings              rules.Settings
	Names                 settings.Names
	GradeShares           []float64
	PortfolioShares       []float64
	Traffic               Traffic
	ListDelay             rules.Millis // delay until a change appears in the receiver list
	Senders               int
	FailureDetectionDelay rules.Millis // how long clients keep choosing a sender that has died
	Groups                []Group
	Faults                []Fault
	Trace                 []Arrival // recorded traffic that replaces the generated traffic
}

// Traffic describes the notices that clients submit. Clumps are batches of notices for one destination; ResubmitShare
// is the share of the dismissed notices that are submitted again, and AnswerTimeout is how long a client waits for the
// response to a submission.
type Traffic struct {
	Rate          float64 // notices a second
	Shape         string  // how the rate changes over the run: steady, ramp or peak
	Zipf          float64 // exponent of the Zipf distribution over destinations
	ClumpShare    float64 // share of the notices that arrive in clumps
	ClumpSize     int     // notices in a clump
	ClumpDuration rules.Millis
	BodySize      int // bytes
	KeyCount      int // distinct affinity keys; 0: notices have no key
	ResubmitShare float64
	AnswerTimeout rules.Millis
	First         FirstNotices
}

// FirstNotices are notices for the destinations of one group that arrive from the start in addition to all others.
type FirstNotices struct {
	Count        int
	Group, Grade string
	Duration     rules.Millis
}

// Group is a set of destinations with the same properties.
type Group struct {
	Name                    string
	Destinations, Receivers int
	Kind                    string
	Weight                  float64 // share of the traffic, relative to other destinations
	Profile                 DestinationProfile
}

// DestinationProfile describes the capacity and the behaviour of a destination.
type DestinationProfile struct {
	Cores, Queue      int          // concurrent calls; further calls that may wait
	Service           string       // distribution of the service time
	Mean              rules.Millis // mean service time
	CV                float64      // coefficient of variation of a lognormal service time
	Limit             float64      // calls a second; 0: no limit
	LimitWindow       rules.Millis // length of the windows in which calls are counted; 0: the limit is a token bucket
	LimitDepth        rules.Millis // time in which the token bucket fills at the rate of the limit
	CountsRefused     bool         // refused calls count towards the limit
	ReportsLimit      bool         // responses report the remaining limit
	RetryAfterShare   float64      // share of the refusals that request a wait
	RetryAfter        rules.Millis // the requested wait where the limit has no window
	Connections       int          // maximum number of connections; 0: no maximum
	OverloadsWhenCold bool         // the destination is cold after an outage and can be overloaded then
	OverloadAllowance bool         // its overload budget has an allowance for calls that coincide by chance
}

// Fault is one scripted fault: its kind, its time, what it affects and how strongly.
type Fault struct {
	Kind        string
	At, For     rules.Millis
	Part        float64      // affected share of the destinations or senders
	Group       string       // empty: all groups
	Busiest     bool         // affects the destinations with the most traffic instead of random ones
	Grade       string       // empty: all grades
	Share, Size float64      // affected share of the calls; strength, whose meaning depends on the kind
	Period      rules.Millis // period of a periodic fault
}

// Target returns the target of the fault.
func (f Fault) Target() FaultTarget { return faultKinds[f.Kind] }

// Until returns the time at which the fault ends.
func (f Fault) Until() rules.Millis { return f.At + f.For }

// Active reports whether the fault acts at a time. Periodic faults act in the first half of each period.
func (f Fault) Active(at rules.Millis) bool {
	if at < f.At || at >= f.Until() {
		return false
	}
	if f.Kind != Flap && f.Kind != Pauses {
		return true
	}
	return f.halfPeriods(at)%2 == 0
}

// halfPeriods returns how many half periods have passed since the start of the fault. The added 1e-6 makes sure that a
// time which was computed from a number of half periods yields that same number in spite of rounding.
func (f Fault) halfPeriods(at rules.Millis) int64 { return int64((at-f.At)/(f.Period/2) + 1e-6) }

// Next returns the first time after at when the fault starts or stops acting, or -1 if there is none.
func (f Fault) Next(at rules.Millis) rules.Millis {
	switch {
	case at < f.At:
		return f.At
	case at >= f.Until():
		return -1
	case f.Kind != Flap && f.Kind != Pauses:
		return f.Until()
	}
	return min(f.At+rules.Millis(f.halfPeriods(at)+1)*f.Period/2, f.Until())
}

//go:embed builtin/*.toml
var builtinFiles embed.FS

// Builtin returns the names of the scenarios that are built into the program, those of the two sets included.
func Builtin() []string {
	entries, _ := fs.ReadDir(builtinFiles, "builtin")
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return append(append(names, FailingSet()...), ValidationSet()...)
}

// Text returns the text of a scenario: of a built-in one by its name, of any other by the path of its file.
func Text(name string) ([]byte, error) {
	if text, ok := setScenarioText(name); ok {
		return []byte(text), nil
	}
	if text, err := builtinFiles.ReadFile("builtin/" + name + ".toml"); err == nil {
		return text, nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: no file, and none of %s: %w", name, strings.Join(Builtin(), ", "), err)
	}
	return text, nil
}

// Load reads a scenario by its name or path. The error lists all faults of the file.
func Load(name string) (*Scenario, error) {
	text, err := Text(name)
	if err != nil {
		return nil, err
	}
	s, faults := Read(name, text)
	return s, faults.ErrorOrNil()
}

// Read parses the text of a scenario and returns it with all faults of the text. The messages of the faults contain
// name.
func Read(name string, text []byte) (*Scenario, conf.Faults) {
	file, _ := conf.Read(name, text, Table)
	top, machine, traffic := file.Section(""), file.Section("machine"), file.Section("traffic")
	duration := func(block *conf.Block, key string) rules.Millis { return rules.Millis(block.Number(key)) }
	s := &Scenario{Name: top.Text("name"), About: top.Text("about"), Seed: uint64(top.Number("seed")),
		Length: duration(top, "length"), Settle: duration(top, "settle"),
		Machine: limits.Machine{MemoryMB: int(machine.Number("memory") / (1 << 20)), Sockets: machine.Int("sockets"),
			DiskMB: machine.Number("disk") / 1e6, Cores: machine.Number("cores")},
		Traffic: Traffic{Rate: traffic.Number("rate"), Shape: traffic.Text("shape"), Zipf: traffic.Number("zipf"),
			ClumpShare: traffic.Number("clumps"), ClumpSize: traffic.Int("clump"),
			ClumpDuration: duration(traffic, "clump_span"), BodySize: traffic.Int("body"),
			KeyCount: traffic.Int("keys"), ResubmitShare: traffic.Number("again"),
			AnswerTimeout: duration(traffic, "patience"),
			First: FirstNotices{Count: traffic.Int("first"), Group: traffic.Text("first_group"),
				Grade: traffic.Text("first_grade"), Duration: duration(traffic, "first_span")}},
		ListDelay: duration(file.Section("platform"), "delay"), Senders: file.Section("senders").Int("count"),
		FailureDetectionDelay: duration(file.Section("senders"), "notice")}
	s.Settings, s.Names = config.Read(file)
	s.Settings.Senders = s.Senders
	for _, block := range file.Sections("grade") {
		s.GradeShares = append(s.GradeShares, block.Number("share"))
	}
	for _, block := range file.Sections("portfolio") {
		s.PortfolioShares = append(s.PortfolioShares, block.Number("share"))
	}
	groups := map[string]bool{}
	for _, block := range file.Sections("gateway") {
		group := Group{Name: block.Text("name"), Destinations: block.Int("destinations"),
			Receivers: block.Int("receivers"), Kind: block.Text("kind"), Weight: block.Number("weight"),
			Profile: DestinationProfile{Cores: block.Int("cores"), Queue: block.Int("queue"),
				Service: block.Text("service"), Mean: duration(block, "mean"), CV: block.Number("cv"),
				Limit: block.Number("limit"), LimitWindow: duration(block, "limit_span"),
				LimitDepth: duration(block, "limit_depth"), CountsRefused: block.Flag("counts_refused"),
				ReportsLimit: block.Flag("reports"), RetryAfterShare: block.Number("tells_wait"),
				RetryAfter: duration(block, "wait"), Connections: block.Int("connections"),
				OverloadsWhenCold: block.Flag("tips"), OverloadAllowance: block.Flag("tips_allowance")}}
		if groups[group.Name] {
			file.AddFault(block, "name", fmt.Sprintf("another [[gateway]] has the name %q", group.Name),
				"a name of its own")
		}
		if group.Kind != "" && !slices.Contains(s.Names.Kinds, group.Kind) {
			file.AddFault(block, "kind", fmt.Sprintf("no [[kind]] has the name %q", group.Kind),
				"the name of a [[kind]]")
		}
		if group.Profile.LimitWindow > 0 && group.Profile.Limit == 0 {
			file.AddFault(block, "limit_span", "the gateway has no limit", "a limit, or no limit_span")
		}
		groups[group.Name] = true
		s.Groups = append(s.Groups, group)
	}
	if first := s.Traffic.First; first.Count > 0 {
		if !groups[first.Group] {
			file.AddFault(traffic, "first_group", fmt.Sprintf("no [[gateway]] has the name %q", first.Group),
				"the name of a [[gateway]]")
		}
		if !slices.Contains(s.Names.Grades, first.Grade) {
			file.AddFault(traffic, "first_grade", fmt.Sprintf("no [[grade]] has the name %q", first.Grade),
				"one of "+strings.Join(s.Names.Grades, ", "))
		}
	}
	if path := traffic.Text("trace"); path != "" {
		if err := s.readTrace(name, path); err != nil {
			file.AddFault(traffic, "trace", err.Error(), "a file written by lab trace")
		}
	}
	for _, block := range file.Sections("fault") {
		fault := Fault{Kind: block.Text("kind"), At: duration(block, "at"), For: duration(block, "for"),
			Part: block.Number("part"), Group: block.Text("group"), Busiest: block.Flag("busiest"),
			Grade: block.Text("grade"), Share: block.Number("share"), Size: block.Number("size"),
			Period: duration(block, "each")}
		if fault.Group != "" && !groups[fault.Group] {
			file.AddFault(block, "group", fmt.Sprintf("no [[gateway]] has the name %q", fault.Group),
				"the name of a [[gateway]]")
		}
		if fault.Grade != "" && !slices.Contains(s.Names.Grades, fault.Grade) {
			file.AddFault(block, "grade", fmt.Sprintf("no [[grade]] has the name %q", fault.Grade),
				"one of "+strings.Join(s.Names.Grades, ", "))
		}
		if fault.Target() != Destinations && (fault.Group != "" || fault.Grade != "") {
			file.AddFault(block, "kind", fault.Kind+" does not affect destinations", "no group and no grade")
		}
		if fault.At >= s.Length {
			file.AddFault(block, "at", "is not before the end of the traffic",
				"before "+conf.FormatNumber(conf.Span, float64(s.Length)))
		}
		s.Faults = append(s.Faults, fault)
	}
	return s, file.Faults()
}
