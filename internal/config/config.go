package config

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"

	"chuteweir.example/chuteweir/internal/conf"
	"chuteweir.example/chuteweir/internal/directory"
	"chuteweir.example/chuteweir/internal/limits"
	"chuteweir.example/chuteweir/internal/settings"
	"chuteweir.example/chuteweir/rules"
)

// Config is what a sender is told.
type Config struct {
	Name, Listen, Discovery, State string
	Seed                           uint64
	Drawn                          bool // the seed: the file says none
	Format, Level                  string
	Machine                        limits.Machine
	Settings                       rules.Settings
	Names                          settings.Names
	Known                          directory.List
}

// Limits is what the sender may use of its machine.
func (c Config) Limits() limits.Limits { return limits.For(c.Machine, c.Settings, c.Names.ConnectTime) }

// Load reads a file: JSON if its name ends so or its text begins like an object, else TOML. Faults that a sender can
// live with come as the second value, in the platform's JSON only.
func Load(path, state string) (Config, conf.Faults, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, nil, fmt.Errorf("reading the configuration: %w", err)
	}
	if IsJSON(path, text) {
		return FromPlatform(path, text, state)
	}
	c, faults := FromTOML(path, text)
	if state != "" {
		c.State = state
	}
	return c, nil, faults.Or()
}

// IsJSON tells the platform's form from TOML.
func IsJSON(path string, text []byte) bool {
	return strings.HasSuffix(path, ".json") || strings.HasPrefix(strings.TrimSpace(string(text)), "{")
}

// FromTOML reads a configuration in our words.
func FromTOML(name string, text []byte) (Config, conf.Faults) {
	f, _ := conf.Read(name, text, Table)
	top, log, machine := f.One(""), f.One("log"), f.One("machine")
	c := Config{Name: top.Text("name"), Listen: top.Text("listen"), Discovery: top.Text("discovery"), State: top.Text("state"),
		Format: log.Text("format"), Level: log.Text("level"),
		Machine: limits.Machine{MemoryMB: int(machine.Number("memory") / (1 << 20)), Sockets: machine.Int("sockets"),
			DiskMB: machine.Number("disk") / 1e6, Cores: machine.Number("cores")}}
	seed, said := top.Seed("seed")
	if c.Seed, c.Drawn = seed, !said; c.Drawn {
		c.Seed = draw()
	}
	c.Settings, c.Names = Read(f)
	c.Known.Complete = true
	seen := map[string]bool{}
	for _, b := range f.All("receiver") {
		m := directory.Member{ID: b.Text("id"), HostPort: b.Text("address"), Locality: b.Text("zone"), Flavor: b.Text("kind"),
			Cell: int64(b.Number("destination")), Phase: b.Text("standing"), Size: b.Number("rate")}
		if seen[m.ID] {
			f.Wrong(b, "id", fmt.Sprintf("%q stands twice", m.ID), "an id of its own")
		}
		if m.Flavor != "" && settings.Index(c.Names.Kinds, m.Flavor) == len(c.Names.Kinds) {
			f.Wrong(b, "kind", fmt.Sprintf("no [[kind]] has the name %q", m.Flavor), "one of "+list(c.Names.Kinds))
		}
		if m.Locality != "" && settings.Index(c.Names.Zones, m.Locality) == len(c.Names.Zones) {
			f.Wrong(b, "zone", fmt.Sprintf("no [[zone]] has the name %q", m.Locality), "one of "+list(c.Names.Zones))
		}
		seen[m.ID] = true
		c.Known.Members = append(c.Known.Members, m)
	}
	return c, f.Faults()
}

func list(names []string) string {
	if len(names) == 0 {
		return "none, as there are none"
	}
	return strings.Join(names, ", ")
}

func draw() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

var (
	repeats      = map[string]rules.Repeat{"at-most-once": rules.AtMostOnce, "numbered": rules.Numbered, "reissuable": rules.Reissuable}
	listedErrors = map[string]float64{"none": -1, "nominal": 0, "rough": 0.5}
)

// Read decodes the sections of Sending, and notes the faults that concern several of their keys.
func Read(f *conf.File) (rules.Settings, settings.Names) {
	sending, goal, dismissal, back, report := f.One("sending"), f.One("goal"), f.One("dismissal"), f.One("return"), f.One("report")
	span := func(b *conf.Block, key string) rules.Millis { return rules.Millis(b.Number(key)) }
	s := rules.Settings{
		Senders: sending.Int("senders"), Slots: sending.Int("slots"), HoldLimit: sending.Int("hold"), TripLimit: sending.Int("trips"),
		CallOff: sending.Flag("call_off"), Tick: span(sending, "tick"), IdleKept: span(sending, "idle_kept"),
		KeyRest: span(sending, "key_rest"), ListOnAsk: sending.Text("list") == "asked", AskWithin: span(sending, "ask_within"),
		ListedError: listedErrors[sending.Text("listed_rates")],
		WholeGoal:   goal.Number("whole"), WorstGoal: goal.Number("worst_grade"), OverShare: goal.Number("over_share"),
		HalvesLate: goal.Text("late") == "by-halves",
		RetryAfter: dismissal.Flag("retry_after"), RetryMost: span(dismissal, "retry_most"),
		ColdFrom: back.Number("cold_from"), WarmWithin: span(back, "warm"), TipMultiple: back.Number("multiple"), Fall: span(back, "fall"),
	}
	names := settings.Names{ConnectTime: span(sending, "connect_time")}
	if left, limit := report.Text("left"), report.Text("limit"); left != "" && limit != "" {
		names.Report = []string{left, limit}
	} else if left != limit {
		f.Wrong(report, "left", "one field of the two is empty", "both names, or both empty")
	}
	name := func(b *conf.Block, names *[]string) {
		text := b.Text("name")
		for _, n := range *names {
			if n == text {
				f.Wrong(b, "name", fmt.Sprintf("%q stands twice", text), "a name of its own")
			}
		}
		if !plain(text) && b.Said("name") {
			f.Wrong(b, "name", fmt.Sprintf("%q can't stand in a header", text), "up to 256 printable ASCII characters")
		}
		*names = append(*names, text)
	}
	for _, b := range f.All("grade") {
		name(b, &names.Grades)
		g := rules.Grade{QuotedTime: span(b, "quoted"), ClientTimeout: span(b, "timeout"), Credit: b.Number("credit"),
			LateShare: b.Number("late_share"), Repeat: repeats[b.Text("repeat")], ZoneOnly: b.Flag("zone_only"),
			RemembersFor: span(b, "remembers"), InOrder: b.Flag("in_order")}
		if b.Said("quoted") && b.Said("timeout") && g.ClientTimeout < g.QuotedTime {
			f.Wrong(b, "timeout", "is before the quoted time", "at least "+conf.Show(conf.Span, float64(g.QuotedTime)))
		}
		if g.Repeat == rules.Numbered && g.RemembersFor == 0 {
			f.Wrong(b, "remembers", "a numbered grade needs it", `a span such as "60s"`)
		}
		if g.Repeat != rules.Numbered && (g.ZoneOnly || g.RemembersFor > 0) {
			f.Wrong(b, "repeat", "zone_only and remembers are for numbered grades", "leave them out")
		}
		s.Grades = append(s.Grades, g)
	}
	for _, b := range f.All("portfolio") {
		name(b, &names.Portfolios)
		s.Quotas = append(s.Quotas, b.Number("quota"))
	}
	for _, b := range f.All("kind") {
		name(b, &names.Kinds)
		s.Kinds = append(s.Kinds, rules.Kind{PerCall: 1, Apart: b.Flag("apart")})
	}
	for _, b := range f.All("zone") {
		name(b, &names.Zones)
		s.ZoneFees = append(s.ZoneFees, b.Number("fee"))
	}
	return s, names
}

func plain(s string) bool {
	return s != "" && len(s) <= 256 && !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r > '~' })
}

// platform is the platform's form.
type platform struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    limits.Machine  `json:"limits"`
	Known     directory.List  `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// FromPlatform reads the platform's JSON. What only looks odd comes as faults, and the sender starts all the same.
func FromPlatform(path string, text []byte, state string) (Config, conf.Faults, error) {
	var file platform
	c := Config{State: state, Format: "text", Level: "info"}
	if err := json.Unmarshal(text, &file); err != nil {
		return c, nil, fmt.Errorf("%s: %w", place(path, text, err), err)
	}
	if file.Listen == "" || file.Discovery == "" {
		return c, nil, fmt.Errorf("%s: listen and discovery must be addresses", path)
	}
	var err error
	if c.Settings, c.Names, err = settings.Read(file.Settings); err != nil {
		return c, nil, fmt.Errorf("%s: settings: %w", path, err)
	}
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return c, nil, fmt.Errorf("%s: seed: %w", path, err)
	}
	c.Name, c.Listen, c.Discovery, c.Known, c.Machine = file.Name, file.Listen, file.Discovery, file.Known, file.Limits
	return c, odd(path, text, file.Settings), nil
}

// place names the line that a JSON error is at.
func place(path string, text []byte, err error) string {
	at := int64(-1)
	switch e := err.(type) {
	case *json.SyntaxError:
		at = e.Offset
	case *json.UnmarshalTypeError:
		at = e.Offset
	}
	if at < 0 || at > int64(len(text)) {
		return path
	}
	return fmt.Sprintf("%s:%d", path, 1+strings.Count(string(text[:at]), "\n"))
}

// odd finds values in the platform's settings that a sender reads but that make no sense.
func odd(path string, text []byte, part json.RawMessage) conf.Faults {
	var faults conf.Faults
	lines := lines(text)
	for _, o := range settings.Odd(part) {
		key := "settings." + o.Key
		faults = append(faults, conf.Fault{File: path, Line: lines[key], Key: key, What: o.What, Right: o.Right})
	}
	slices.SortStableFunc(faults, func(a, b conf.Fault) int { return a.Line - b.Line })
	return faults
}

// lines finds the line of each key of a JSON text, by its path such as settings.classes.0.repeat.
func lines(text []byte) map[string]int {
	found, d := map[string]int{}, json.NewDecoder(strings.NewReader(string(text)))
	var walk func(path string) error
	walk = func(path string) error {
		token, err := d.Token()
		if err != nil {
			return err
		}
		delim, nested := token.(json.Delim)
		for i := 0; nested && d.More(); i++ {
			below := strconv.Itoa(i)
			if delim == '{' {
				key, err := d.Token()
				if err != nil {
					return err
				}
				below = fmt.Sprint(key)
			}
			if path != "" {
				below = path + "." + below
			}
			found[below] = 1 + strings.Count(string(text[:d.InputOffset()]), "\n")
			if err := walk(below); err != nil {
				return err
			}
		}
		if nested {
			_, err = d.Token()
		}
		return err
	}
	walk("")
	return found
}

// Platform writes the platform's JSON. What it has no word for (log, cores of the list's own) is left out.
func (c Config) Platform() ([]byte, error) {
	part, err := settings.Write(c.Settings, c.Names)
	if err != nil {
		return nil, err
	}
	known := c.Known
	if known.Members == nil {
		known.Members = []directory.Member{}
	}
	return json.MarshalIndent(platform{Name: c.Name, Listen: c.Listen, Discovery: c.Discovery,
		Seed: strconv.FormatUint(c.Seed, 16), Limits: c.Machine, Known: known, Settings: part}, "", " ")
}

// TOML writes the configuration in our words, each key with its value.
func (c Config) TOML() []byte {
	var b strings.Builder
	text := func(key, value string) { fmt.Fprintf(&b, "%s = %s\n", key, strconv.Quote(value)) }
	bare := func(key string, value any) { fmt.Fprintf(&b, "%s = %v\n", key, value) }
	num := func(key string, value float64) { bare(key, strconv.FormatFloat(value, 'f', -1, 64)) }
	in := func(kind conf.Kind, key string, value float64) { text(key, conf.Show(kind, value)) }
	span := func(key string, m rules.Millis) { in(conf.Span, key, float64(m)) }
	head := func(name string) { fmt.Fprintf(&b, "\n%s\n", name) }
	choice := func(of bool, yes, no string) string {
		if of {
			return yes
		}
		return no
	}
	text("name", c.Name)
	text("listen", c.Listen)
	text("discovery", c.Discovery)
	text("state", c.State)
	if !c.Drawn {
		text("seed", strconv.FormatUint(c.Seed, 16))
	}
	head("[log]")
	text("format", c.Format)
	text("level", c.Level)
	head("[machine]")
	text("memory", fmt.Sprintf("%dMiB", c.Machine.MemoryMB))
	bare("sockets", c.Machine.Sockets)
	in(conf.Size, "disk", math.Round(c.Machine.DiskMB*1e6))
	num("cores", c.Machine.Cores)
	s := c.Settings
	head("[sending]")
	bare("senders", s.Senders)
	bare("slots", s.Slots)
	bare("hold", s.HoldLimit)
	bare("trips", s.TripLimit)
	bare("call_off", s.CallOff)
	span("tick", s.Tick)
	span("idle_kept", s.IdleKept)
	span("connect_time", c.Names.ConnectTime)
	span("key_rest", s.KeyRest)
	text("list", choice(s.ListOnAsk, "asked", "watched"))
	span("ask_within", s.AskWithin)
	text("listed_rates", choice(s.ListedError < 0, "none", choice(s.ListedError == 0, "nominal", "rough")))
	head("[goal]")
	num("whole", s.WholeGoal)
	num("worst_grade", s.WorstGoal)
	num("over_share", s.OverShare)
	text("late", choice(s.HalvesLate, "by-halves", "evenly"))
	head("[dismissal]")
	bare("retry_after", s.RetryAfter)
	span("retry_most", s.RetryMost)
	head("[return]")
	num("cold_from", s.ColdFrom)
	span("warm", s.WarmWithin)
	num("multiple", s.TipMultiple)
	span("fall", s.Fall)
	head("[report]")
	text("left", settings.Name(c.Names.Report, 0))
	text("limit", settings.Name(c.Names.Report, 1))
	for i, g := range s.Grades {
		head("[[grade]]")
		text("name", c.Names.Grades[i])
		span("quoted", g.QuotedTime)
		span("timeout", g.ClientTimeout)
		num("credit", g.Credit)
		num("late_share", g.LateShare)
		for name, repeat := range repeats {
			if repeat == g.Repeat {
				text("repeat", name)
			}
		}
		if g.Repeat == rules.Numbered {
			span("remembers", g.RemembersFor)
			bare("zone_only", g.ZoneOnly)
		}
		bare("in_order", g.InOrder)
	}
	for i, quota := range s.Quotas {
		head("[[portfolio]]")
		text("name", c.Names.Portfolios[i])
		in(conf.Rate, "quota", quota)
	}
	for i, k := range s.Kinds {
		head("[[kind]]")
		text("name", c.Names.Kinds[i])
		bare("apart", k.Apart)
	}
	for i, zone := range c.Names.Zones {
		head("[[zone]]")
		text("name", zone)
		if i < len(s.ZoneFees) {
			num("fee", s.ZoneFees[i])
		}
	}
	for _, m := range c.Known.Members {
		head("[[receiver]]")
		text("id", m.ID)
		text("address", m.HostPort)
		bare("destination", m.Cell)
		if m.Flavor != "" {
			text("kind", m.Flavor)
		}
		if m.Locality != "" {
			text("zone", m.Locality)
		}
		in(conf.Rate, "rate", m.Size)
		text("standing", m.Phase)
	}
	return []byte(b.String())
}
