package config

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"os"
	"strings"

	"chuteweir.example/chuteweir/internal/conf"
	"chuteweir.example/chuteweir/internal/directory"
	"chuteweir.example/chuteweir/internal/limits"
	"chuteweir.example/chuteweir/internal/settings"
	"chuteweir.example/chuteweir/rules"
)

// Config is the configuration of a sender.
type Config struct {
	// Listen is the address that clients connect to, Discovery is the platform's, and StateDir is the state directory.
	Name, Listen, Discovery, StateDir string
	Seed                              uint64
	RandomSeed                        bool   // the file sets no seed, and Seed is random
	Format, Level                     string // of the log
	Machine                           limits.Machine
	Settings                          rules.Settings
	Names                             settings.Names
	InitialList                       directory.List // the receivers known before discovery has listed any
}

// Limits returns the limits that follow from the machine and the settings.
func (c Config) Limits() limits.Limits { return limits.For(c.Machine, c.Settings, c.Names.ConnectTime) }

// Load reads a configuration file: the platform's JSON if IsJSON, else TOML. If state is not empty, it replaces the
// state directory of a TOML file; JSON does not set one. The second result lists values that make no sense but do not
// keep a sender from starting; it is empty for TOML, where each fault is an error.
func Load(path, state string) (Config, conf.Faults, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, nil, fmt.Errorf("reading the configuration: %w", err)
	}
	if IsJSON(path, text) {
		return FromPlatform(path, text, state)
	}
	config, faults := FromTOML(path, text)
	if state != "" {
		config.StateDir = state
	}
	return config, nil, faults.ErrorOrNil()
}

// IsJSON reports whether a file is the platform's JSON and not TOML: its name ends in .json or its text begins with {.
func IsJSON(path string, text []byte) bool {
	return strings.HasSuffix(path, ".json") || strings.HasPrefix(strings.TrimSpace(string(text)), "{")
}

// FromTOML reads a configuration in TOML.
func FromTOML(name string, text []byte) (Config, conf.Faults) {
	file, _ := conf.Read(name, text, Table)
	top, log, machine := file.Section(""), file.Section("log"), file.Section("machine")
	config := Config{Name: top.Text("name"), Listen: top.Text("listen"), Discovery: top.Text("discovery"),
		StateDir: top.Text("state"), Format: log.Text("format"), Level: log.Text("level"),
		Machine: limits.Machine{MemoryMB: int(machine.Number("memory") / (1 << 20)), Sockets: machine.Int("sockets"),
			DiskMB: machine.Number("disk") / 1e6, Cores: machine.Number("cores")}}
	seed, given := top.Seed("seed")
	if config.Seed, config.RandomSeed = seed, !given; config.RandomSeed {
		config.Seed = randomSeed()
	}
	config.Settings, config.Names = Read(file)
	config.InitialList.Complete = true
	seen := map[string]bool{}
	for _, block := range file.Sections("receiver") {
		member := directory.Member{ID: block.Text("id"), HostPort: block.Text("address"), Locality: block.Text("zone"),
			Flavor: block.Text("kind"), Cell: int64(block.Number("destination")), Phase: block.Text("standing"),
			Size: block.Number("rate")}
		if seen[member.ID] {
			file.AddFault(block, "id", fmt.Sprintf("%q is used more than once", member.ID), "a unique id")
		}
		if member.Flavor != "" && settings.Index(config.Names.Kinds, member.Flavor) == len(config.Names.Kinds) {
			file.AddFault(block, "kind", fmt.Sprintf("no [[kind]] has the name %q", member.Flavor),
				"one of "+joinOrNone(config.Names.Kinds))
		}
		if member.Locality != "" && settings.Index(config.Names.Zones, member.Locality) == len(config.Names.Zones) {
			file.AddFault(block, "zone", fmt.Sprintf("no [[zone]] has the name %q", member.Locality),
				"one of "+joinOrNone(config.Names.Zones))
		}
		seen[member.ID] = true
		config.InitialList.Members = append(config.InitialList.Members, member)
	}
	return config, file.Faults()
}

// joinOrNone lists names for an error message, or says that there are none.
func joinOrNone(names []string) string {
	if len(names) == 0 {
		return "the configured names, of which there are none"
	}
	return strings.Join(names, ", ")
}

// randomSeed draws a seed from the system's random source.
func randomSeed() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

var (
	// repeats maps the choices of the key repeat.
	repeats = map[string]rules.Repeat{
		"at-most-once": rules.AtMostOnce, "numbered": rules.Numbered, "reissuable": rules.Reissuable,
	}
	// listedRateErrors is how far a listed rate may be too high, as a share of the true one; -1: it is not used.
	listedRateErrors = map[string]float64{"none": -1, "nominal": 0, "rough": 0.5}
)

// Read decodes the sections in Sending, and records the faults that conf.Read can't detect, such as repeated names and
// contradictory keys.
func Read(file *conf.File) (rules.Settings, settings.Names) {
	sending, goal, dismissal, recovery, report := file.Section("sending"), file.Section("goal"),
		file.Section("dismissal"),
		file.Section("return"), file.Section("report")
	span := func(b *conf.Block, key string) rules.Millis { return rules.Millis(b.Number(key)) }
	decoded := rules.Settings{
		Senders: sending.Int("senders"), Slots: sending.Int("slots"),
		HoldLimit: sending.Int("hold"), TripLimit: sending.Int("trips"),
		CancelTrips: sending.Flag("call_off"), Tick: span(sending, "tick"), IdleTimeout: span(sending, "idle_kept"),
		KeyCooldown: span(sending, "key_rest"), WatchOnRequest: sending.Text("list") == "asked",
		RewatchWithin: span(sending, "ask_within"), ListedError: listedRateErrors[sending.Text("listed_rates")],
		TotalCreditWeight: goal.Number("whole"), WorstGradeWeight: goal.Number("worst_grade"),
		OverQuotaWeight:  goal.Number("over_share"),
		LateCreditHalves: goal.Text("late") == "by-halves",
		RetryAfter:       dismissal.Flag("retry_after"), MaxRetryAfter: span(dismissal, "retry_most"),
		ColdCapacity: recovery.Number("cold_from"), WarmUpTime: span(recovery, "warm"),
		OverloadFactor: recovery.Number("multiple"), OverloadTime: span(recovery, "fall"),
	}
	names := settings.Names{ConnectTime: span(sending, "connect_time")}
	if left, limit := report.Text("left"), report.Text("limit"); left != "" && limit != "" {
		names.LoadReportFields = []string{left, limit}
	} else if left != limit {
		file.AddFault(report, "left", "only one of left and limit is empty", "two field names, or both empty")
	}
	addName := func(block *conf.Block, existing *[]string) {
		text := block.Text("name")
		for _, n := range *existing {
			if n == text {
				file.AddFault(block, "name", fmt.Sprintf("%q is used more than once", text), "a unique name")
			}
		}
		if !isHeaderValue(text) && block.IsSet("name") {
			file.AddFault(block, "name", fmt.Sprintf("%q can't be sent in a header", text),
				"1 to 256 printable ASCII characters")
		}
		*existing = append(*existing, text)
	}
	for _, block := range file.Sections("grade") {
		addName(block, &names.Grades)
		grade := rules.Grade{QuotedTime: span(block, "quoted"), ClientTimeout: span(block, "timeout"),
			Credit:    block.Number("credit"),
			LateShare: block.Number("late_share"), Repeat: repeats[block.Text("repeat")],
			ZoneOnly:     block.Flag("zone_only"),
			RemembersFor: span(block, "remembers"), InOrder: block.Flag("in_order")}
		if block.IsSet("quoted") && block.IsSet("timeout") && grade.ClientTimeout < grade.QuotedTime {
			file.AddFault(block, "timeout", "is shorter than the quoted time",
				"at least "+conf.FormatNumber(conf.Span, float64(grade.QuotedTime)))
		}
		if grade.Repeat == rules.Numbered && grade.RemembersFor == 0 {
			file.AddFault(block, "remembers", "is required for a numbered grade", `a span such as "60s"`)
		}
		if grade.Repeat != rules.Numbered && (grade.ZoneOnly || grade.RemembersFor > 0) {
			file.AddFault(block, "repeat", "zone_only and remembers apply only to numbered grades",
				"numbered, or neither key")
		}
		decoded.Grades = append(decoded.Grades, grade)
	}
	for _, block := range file.Sections("portfolio") {
		addName(block, &names.Portfolios)
		decoded.Quotas = append(decoded.Quotas, block.Number("quota"))
	}
	for _, block := range file.Sections("kind") {
		addName(block, &names.Kinds)
		decoded.Kinds = append(decoded.Kinds, rules.Kind{PerCall: 1, SeparateRoutes: block.Flag("apart")})
	}
	for _, block := range file.Sections("zone") {
		addName(block, &names.Zones)
		decoded.ZoneFees = append(decoded.ZoneFees, block.Number("fee"))
	}
	return decoded, names
}

// isHeaderValue reports whether clients can send a name in a header: 1 to 256 printable ASCII characters.
func isHeaderValue(s string) bool {
	return s != "" && len(s) <= 256 && !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r > '~' })
}
