// Package scenario holds what is played against senders: their settings, destinations, traffic and a script of
// faults, read from TOML files. From a scenario and its seed follow, without any clock, all destinations, the arrival
// of every notice and whom each fault strikes: the same for stand-ins on sockets and in simulated time.
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

// The kinds of fault.
const (
	Refuse      = "refuse"       // connections are refused, open ones reset
	Shut        = "shut"         // all calls are turned away
	Hang        = "hang"         // calls are taken and never answered
	Silent      = "silent"       // nothing is said on any connection, new ones never come up
	NeverUp     = "never-up"     // new connections never come up
	ResetBefore = "reset-before" // the connection is reset before the call was read
	ResetAfter  = "reset-after"  // the connection is reset after the call was read
	Errors      = "errors"       // calls fail at once
	Spoilt      = "spoilt"       // answers that can't be used
	Slow        = "slow"         // calls take longer
	Dribble     = "dribble"      // answers come a byte a second
	Pauses      = "pauses"       // nothing moves for a while, again and again
	LowLimit    = "low-limit"    // the limit is lowered
	Flap        = "flap"         // refuses connections, again and again
	Drain       = "drain"        // receivers drain, others take their place, then they are gone
	Vanish      = "vanish"       // receivers are gone from the list and from the network, until the end
	ListSilent  = "list-silent"  // the platform says nothing
	ListGarbage = "list-garbage" // the platform tells lists that can't be read
	EndsRefused = "ends-refused" // the platform takes no notices of ends
	Kill        = "kill"         // senders are killed, and start again at the end
	Stop        = "stop"         // senders are told to leave, and start again once they have, not before the end
	Freeze      = "freeze"       // senders stand still
	FewFiles    = "few-files"    // senders may open only a few descriptors more
	Reload      = "reload"       // senders are told to read a configuration that is garbage, and at the end a good one
	Hostile     = "hostile"      // bad clients beside the usual ones
	Burst       = "burst"        // more notices than usual
)

// Struck says whom a kind of fault strikes.
type Struck int

// Whom faults strike.
const (
	Destinations Struck = iota
	Platforms
	Senders
	Clients
)

func kindNames() []string {
	var names []string
	for name := range faultKinds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Scenario is one scenario.
type Scenario struct {
	Name, About     string
	Seed            uint64
	Length, Settle  rules.Millis
	Machine         limits.Machine
	Settings        rules.Settings
	Names           settings.Names
	GradeShares     []float64
	PortfolioShares []float64
	Traffic         Traffic
	ListDelay       rules.Millis
	Senders         int
	FrontNotice     rules.Millis // how long clients go on choosing a dead sender
	Groups          []Group
	Faults          []Fault
	Trace           []Arrival // recorded traffic, in place of drawn
}

// Traffic is what clients hand in.
type Traffic struct {
	Rate      float64 // notices a second
	Shape     string
	Zipf      float64
	Clumps    float64
	Clump     int
	ClumpSpan rules.Millis
	Body      int
	Keys      int
	Again     float64
	Patience  rules.Millis
	First     First
}

// First is notices that come before all others for the destinations of a group.
type First struct {
	Count        int
	Group, Grade string
	Span         rules.Millis
}

// Group is destinations that are alike.
type Group struct {
	Name                    string
	Destinations, Receivers int
	Kind                    string
	Weight                  float64
	Shape                   Shape
}

// Shape is what a destination is like.
type Shape struct {
	Cores, Queue  int
	Service       string
	Mean          rules.Millis
	CV            float64
	Limit         float64 // calls a second; 0: none
	LimitSpan     rules.Millis
	LimitDepth    rules.Millis
	CountsRefused bool
	Reports       bool
	TellsWait     float64
	Wait          rules.Millis
	Connections   int
	Tips          bool
}

// Fault is one trouble.
type Fault struct {
	Kind        string
	At, For     rules.Millis
	Part        float64
	Group       string
	Busiest     bool
	Grade       string // empty: all
	Share, Size float64
	Each        rules.Millis
}

// Strikes says whom.
func (f Fault) Strikes() Struck { return faultKinds[f.Kind] }

// Until is its end.
func (f Fault) Until() rules.Millis { return f.At + f.For }

// Active tells whether it acts at a time; those that come again and again act in the first half of each turn.
func (f Fault) Active(at rules.Millis) bool {
	if at < f.At || at >= f.Until() {
		return false
	}
	if f.Kind != Flap && f.Kind != Pauses {
		return true
	}
	return f.halves(at)%2 == 0
}

// halves is how many halves of a turn are over. A time that was reckoned from a number of halves gives that number back,
// however it was rounded.
func (f Fault) halves(at rules.Millis) int64 { return int64((at-f.At)/(f.Each/2) + 1e-6) }

// Next is the next time after at when it begins or ceases to act, or -1.
func (f Fault) Next(at rules.Millis) rules.Millis {
	switch {
	case at < f.At:
		return f.At
	case at >= f.Until():
		return -1
	case f.Kind != Flap && f.Kind != Pauses:
		return f.Until()
	}
	return min(f.At+rules.Millis(f.halves(at)+1)*f.Each/2, f.Until())
}

//go:embed builtin/*.toml
var builtin embed.FS

// Builtin names the scenarios that come with the program.
func Builtin() []string {
	entries, _ := fs.ReadDir(builtin, "builtin")
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return append(append(names, SickSet()...), HourSet()...)
}

// Text is a scenario's file: one that comes with the program by its name, any other by its path.
func Text(name string) ([]byte, error) {
	if text, ok := ofSet(name); ok {
		return []byte(text), nil
	}
	if text, err := builtin.ReadFile("builtin/" + name + ".toml"); err == nil {
		return text, nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: no file, and none of %s: %w", name, strings.Join(Builtin(), ", "), err)
	}
	return text, nil
}

// Load reads a scenario.
func Load(name string) (*Scenario, error) {
	text, err := Text(name)
	if err != nil {
		return nil, err
	}
	s, faults := Read(name, text)
	return s, faults.Or()
}

// Read reads a scenario's text.
func Read(name string, text []byte) (*Scenario, conf.Faults) {
	f, _ := conf.Read(name, text, Table)
	top, machine, traffic := f.One(""), f.One("machine"), f.One("traffic")
	span := func(b *conf.Block, key string) rules.Millis { return rules.Millis(b.Number(key)) }
	s := &Scenario{Name: top.Text("name"), About: top.Text("about"), Seed: uint64(top.Number("seed")),
		Length: span(top, "length"), Settle: span(top, "settle"),
		Machine: limits.Machine{MemoryMB: int(machine.Number("memory") / (1 << 20)), Sockets: machine.Int("sockets"),
			DiskMB: machine.Number("disk") / 1e6, Cores: machine.Number("cores")},
		Traffic: Traffic{Rate: traffic.Number("rate"), Shape: traffic.Text("shape"), Zipf: traffic.Number("zipf"),
			Clumps: traffic.Number("clumps"), Clump: traffic.Int("clump"), ClumpSpan: span(traffic, "clump_span"),
			Body: traffic.Int("body"), Keys: traffic.Int("keys"), Again: traffic.Number("again"), Patience: span(traffic, "patience"),
			First: First{Count: traffic.Int("first"), Group: traffic.Text("first_group"), Grade: traffic.Text("first_grade"),
				Span: span(traffic, "first_span")}},
		ListDelay: span(f.One("platform"), "delay"), Senders: f.One("senders").Int("count"), FrontNotice: span(f.One("senders"), "notice")}
	s.Settings, s.Names = config.Read(f)
	s.Settings.Senders = s.Senders
	for _, b := range f.All("grade") {
		s.GradeShares = append(s.GradeShares, b.Number("share"))
	}
	for _, b := range f.All("portfolio") {
		s.PortfolioShares = append(s.PortfolioShares, b.Number("share"))
	}
	groups := map[string]bool{}
	for _, b := range f.All("gateway") {
		g := Group{Name: b.Text("name"), Destinations: b.Int("destinations"), Receivers: b.Int("receivers"), Kind: b.Text("kind"),
			Weight: b.Number("weight"), Shape: Shape{Cores: b.Int("cores"), Queue: b.Int("queue"), Service: b.Text("service"),
				Mean: span(b, "mean"), CV: b.Number("cv"), Limit: b.Number("limit"), LimitSpan: span(b, "limit_span"),
				LimitDepth: span(b, "limit_depth"), CountsRefused: b.Flag("counts_refused"), Reports: b.Flag("reports"),
				TellsWait: b.Number("tells_wait"), Wait: span(b, "wait"), Connections: b.Int("connections"), Tips: b.Flag("tips")}}
		if groups[g.Name] {
			f.Wrong(b, "name", fmt.Sprintf("%q stands twice", g.Name), "a name of its own")
		}
		if g.Kind != "" && !slices.Contains(s.Names.Kinds, g.Kind) {
			f.Wrong(b, "kind", fmt.Sprintf("no [[kind]] has the name %q", g.Kind), "one that has")
		}
		if g.Shape.LimitSpan > 0 && g.Shape.Limit == 0 {
			f.Wrong(b, "limit_span", "there is no limit", "a limit, or no limit_span")
		}
		groups[g.Name] = true
		s.Groups = append(s.Groups, g)
	}
	if first := s.Traffic.First; first.Count > 0 {
		if !groups[first.Group] {
			f.Wrong(traffic, "first_group", fmt.Sprintf("no [[gateway]] has the name %q", first.Group), "one that has")
		}
		if !slices.Contains(s.Names.Grades, first.Grade) {
			f.Wrong(traffic, "first_grade", fmt.Sprintf("no [[grade]] has the name %q", first.Grade), "one of "+strings.Join(s.Names.Grades, ", "))
		}
	}
	if path := traffic.Text("trace"); path != "" {
		if err := s.readTrace(name, path); err != nil {
			f.Wrong(traffic, "trace", err.Error(), "a file that lab trace wrote")
		}
	}
	for _, b := range f.All("fault") {
		x := Fault{Kind: b.Text("kind"), At: span(b, "at"), For: span(b, "for"), Part: b.Number("part"), Group: b.Text("group"),
			Busiest: b.Flag("busiest"), Grade: b.Text("grade"), Share: b.Number("share"), Size: b.Number("size"), Each: span(b, "each")}
		if x.Group != "" && !groups[x.Group] {
			f.Wrong(b, "group", fmt.Sprintf("no [[gateway]] has the name %q", x.Group), "one that has")
		}
		if x.Grade != "" && !slices.Contains(s.Names.Grades, x.Grade) {
			f.Wrong(b, "grade", fmt.Sprintf("no [[grade]] has the name %q", x.Grade), "one of "+strings.Join(s.Names.Grades, ", "))
		}
		if x.Strikes() != Destinations && (x.Group != "" || x.Grade != "") {
			f.Wrong(b, "kind", x.Kind+" strikes no destinations", "no group and no grade")
		}
		if x.At >= s.Length {
			f.Wrong(b, "at", "is behind the last notice", "before "+conf.Show(conf.Span, float64(s.Length)))
		}
		s.Faults = append(s.Faults, x)
	}
	return s, f.Faults()
}
