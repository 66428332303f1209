package config

import (
	"os"
	"strings"
	"testing"

	"chuteweir.example/chuteweir/internal/limits"
	"chuteweir.example/chuteweir/internal/logs"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// completeConfig sets keys of every section.
const completeConfig = `
name = "n0"
listen = "127.0.0.1:8443"
discovery = "127.0.0.1:8500"
state = "state"
seed = "8c1f30d27a5be964"
[log]
format = "json"
[machine]
memory = "64MiB"
disk = "5MB"
cores = 0.5
[sending]
slots = 40
listed_rates = "rough"
list = "asked"
[goal]
late = "by-halves"
[[grade]]
name = "note"
quoted = "1.5s"
timeout = "12s"
repeat = "reissuable"
[[grade]]
name = "order"
quoted = "1s"
timeout = "12s"
credit = 3
repeat = "numbered"
remembers = "60s"
zone_only = true
in_order = true
[[portfolio]]
name = "acme"
quota = "50/s"
[[kind]]
name = "shop"
apart = true
[[zone]]
name = "here"
fee = 0.1
[[receiver]]
id = "s-1"
address = "127.0.0.1:9000"
destination = 1
kind = "shop"
zone = "here"
rate = "20/s"
`

// TestConverts writes a configuration as TOML and as the platform's JSON: each must read back as the same
// configuration.
func TestConverts(t *testing.T) {
	c, faults := FromTOML("f.toml", []byte(completeConfig))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	again, faults := FromTOML("printed.toml", c.TOML())
	if diff := cmp.Diff(c, again); diff != "" || len(faults) > 0 {
		t.Errorf("written and read back: %v\n%s", faults, diff)
	}
	text, err := c.Platform()
	if err != nil {
		t.Fatal(err)
	}
	back, warnings, err := FromPlatform("config.json", text, "state")
	if err != nil || len(warnings) > 0 {
		t.Fatal(err, warnings)
	}
	if diff := cmp.Diff(c, back, cmpopts.IgnoreFields(Config{}, "Format")); diff != "" {
		t.Errorf("written as the platform's JSON and read back:\n%s", diff)
	}
}

// TestReportsFaults reads faults that concern several keys, and values of the JSON form that make no sense: each must
// be reported with its line and what was expected.
func TestReportsFaults(t *testing.T) {
	bad := strings.NewReplacer(`timeout = "12s"
repeat = "reissuable"`, `timeout = "1s"
repeat = "reissuable"
zone_only = true`, `name = "order"`, `name = "note"`, `remembers = "60s"`, ``, `kind = "shop"`, `kind = "barn"`,
		`slots = 40`, `slots = -4`).Replace(completeConfig)
	_, faults := FromTOML("f.toml", []byte(bad))
	want := `f.toml:14: sending.slots: -4 is out of range; right would be a count such as 12, from 1 to 1000000
f.toml:22: grade.timeout: is shorter than the quoted time; right would be at least 1.5s
f.toml:23: grade.repeat: zone_only and remembers apply only to numbered grades; right would be numbered, or neither key
f.toml:25: grade.remembers: is required for a numbered grade; right would be a span such as "60s"
f.toml:26: grade.name: "note" is used more than once; right would be a unique name
f.toml:47: receiver.kind: no [[kind]] has the name "barn"; right would be one of shop`
	if diff := cmp.Diff(want, faults.Error()); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
	text := `{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1",
"settings": {"tick": 5000, "group_size": 1, "limits": {"send_cap": 4, "conn_idle": 1},
"obligations": {"fall": 1, "warm_within": 1, "tip_multiple": 2},
"family_info": {"slots": -8},
"classes": [{"name": "a", "aim": 5, "deadline": 5, "repeat": "sometimes"}]}}`
	_, warnings, err := FromPlatform("c.json", []byte(text), "state")
	want = `c.json:4: settings.family_info.slots: no call can be sent; right would be at least 1
c.json:5: settings.classes.0.repeat: "sometimes" is unknown and treated as single_shot; right would be one of free, guarded, single_shot`
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, warnings.Error()); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
	_, _, err = FromPlatform("c.json", []byte("{\n\"listen\": 5\n}"), "state")
	if err == nil || !strings.HasPrefix(err.Error(), "c.json:2: ") {
		t.Errorf("got %v, want an error with the prefix c.json:2", err)
	}
}

// TestPages checks that the pages of keys and log events match the tables that the program uses.
func TestPages(t *testing.T) {
	for path, generated := range map[string]string{
		"../../docs/configuration.md": Table.Markdown(), "../../docs/logs.md": logs.Markdown()} {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		head, _, found := strings.Cut(string(text), "<!-- made by UPDATE=1 go test ./internal/config -->\n")
		if !found {
			t.Fatalf("%s has no marker line for its table", path)
		}
		want := head + "<!-- made by UPDATE=1 go test ./internal/config -->\n\n" + generated
		if os.Getenv("UPDATE") != "" {
			if err := os.WriteFile(path, []byte(want), 0o644); err != nil {
				t.Fatal(err)
			}
		} else if diff := cmp.Diff(want, string(text)); diff != "" {
			t.Errorf("%s is out of date; run UPDATE=1 go test ./internal/config\n%s", path, diff)
		}
	}
}

// TestDefaults checks that the default limits of a TOML file are those of package limits.
func TestDefaults(t *testing.T) {
	c, _ := FromTOML("f.toml", []byte(completeConfig))
	if diff := cmp.Diff(limits.Machine{MemoryMB: 64, Sockets: 1024, DiskMB: 5, Cores: 0.5}, c.Machine); diff != "" {
		t.Error(diff)
	}
}
