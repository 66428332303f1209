package scenario

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chuteweir.example/chuteweir/rules"
	"github.com/google/go-cmp/cmp"
)

// Every built-in scenario loads without faults, and the error for an unknown name lists them.
func TestBuiltin(t *testing.T) {
	for _, name := range Builtin() {
		if s, err := Load(name); err != nil || s.Name != name || s.About == "" {
			t.Errorf("Load(%q): %v; want the scenario of this name, with a description", name, err)
		}
	}
	if _, err := Load("nothing.toml"); err == nil || !strings.Contains(err.Error(), "calm") {
		t.Errorf("Load of an unknown name: error %v; want one that lists the built-in scenarios", err)
	}
}

// smallScenario has four senders, two grades and one group of ten destinations.
const smallScenario = `
name = "small"
length = "20s"
[traffic]
rate = "200/s"
zipf = 1
clumps = 0.2
clump = 10
[senders]
count = 4
[[grade]]
name = "a"
quoted = "1s"
timeout = "4s"
repeat = "reissuable"
share = 3
[[grade]]
name = "b"
quoted = "1s"
timeout = "4s"
repeat = "at-most-once"
[[gateway]]
name = "g"
destinations = 10
receivers = 2
[[fault]]
kind = "hang"
at = "1s"
part = 0.3
[[fault]]
kind = "hang"
at = "1s"
part = 0.1
busiest = true
[[fault]]
kind = "kill"
at = "1s"
part = 0.5
`

// The same seed yields the same instance and arrivals; another seed yields others.
func TestInstanceFollowsFromSeed(t *testing.T) {
	show := func(seed uint64) string {
		s, faults := Read("small", []byte(smallScenario))
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		s.Seed = seed
		instance := NewInstance(s)
		var b strings.Builder
		for _, d := range instance.Destinations {
			fmt.Fprintf(&b, "%d %.3f %v %d\n", d.Number, d.Weight, d.Receivers, len(d.Faults))
		}
		fmt.Fprintln(&b, instance.AffectedSenders[2])
		arrivals := instance.Arrivals()
		for {
			a, ok := arrivals.Next()
			if !ok {
				return b.String()
			}
			fmt.Fprintf(&b, "%+v\n", a)
		}
	}
	if diff := cmp.Diff(show(1), show(1)); diff != "" {
		t.Error(diff)
	}
	if show(1) == show(2) {
		t.Error("seeds 1 and 2 yield the same instance")
	}
}

// The number, order, grades, destinations and distribution over time of the arrivals fit each traffic shape.
func TestArrivals(t *testing.T) {
	for _, shape := range []string{"steady", "ramp", "peak"} {
		s, _ := Read("small", []byte(smallScenario))
		s.Traffic.Shape = shape
		instance := NewInstance(s)
		count, grades, thirds, last := 0, [2]int{}, [3]int{}, rules.Millis(0)
		destinations := map[int]int{}
		for arrivals := instance.Arrivals(); ; count++ {
			a, ok := arrivals.Next()
			if !ok {
				break
			}
			if a.At < last {
				t.Fatalf("shape %s: an arrival at %v follows one at %v; want the order of their times", shape, a.At,
					last)
			}
			last = a.At
			grades[a.Grade]++
			destinations[a.Destination]++
			thirds[min(int(a.At/instance.Length*3), 2)]++
		}
		if math.Abs(float64(count)-4000) > 400 || math.Abs(float64(grades[0])/float64(count)-0.75) > 0.05 ||
			len(destinations) != 10 {
			t.Errorf("shape %s: %d notices, %v by grade, %v by destination; want 3600 to 4400, 3 to 1, 10 destinations",
				shape, count, grades, destinations)
		}
		if shape == "ramp" && thirds[2] < 3*thirds[0] || shape == "peak" && thirds[1] < 2*thirds[0] {
			t.Errorf("shape %s: %v notices by third of the run; want ramp 3rd >= 3 x 1st, peak 2nd >= 2 x 1st", shape,
				thirds)
		}
	}
}

// A periodic fault acts in the first half of each period.
func TestFaultTimes(t *testing.T) {
	f := Fault{Kind: Flap, At: 1000, For: 2500, Period: 1000}
	var b strings.Builder
	for at := rules.Millis(0); at >= 0; at = f.Next(at) {
		fmt.Fprintf(&b, "%v %v\n", at, f.Active(at))
	}
	if diff := cmp.Diff("0 false\n1000 true\n1500 false\n2000 true\n2500 false\n3000 true\n3500 false\n",
		b.String()); diff != "" {
		t.Error(diff)
	}
}

// Next always returns a later time, whatever the fault's times and period are. If it returned the same time, rounding
// would make a script loop forever.
func TestFaultTimesAdvance(t *testing.T) {
	rng := NewRand(1, 1)
	for range 10_000 {
		f := Fault{Kind: Pauses, At: rules.Millis(5000 * rng.Float64()), For: rules.Millis(4000 * rng.Float64()),
			Period: 200 + rules.Millis(600*rng.Float64())}
		active := false
		for at := f.At; at >= 0; {
			next := f.Next(at)
			if next >= 0 && next <= at {
				t.Fatalf("%+v: next time %v is not after %v", f, next, at)
			}
			if now := f.Active(at); now == active && next >= 0 {
				t.Fatalf("%+v: Active does not change at %v", f, at)
			} else {
				active = now
			}
			at = next
		}
	}
}

// Contradictions between the keys of a scenario are reported with their lines.
func TestReadReportsContradictions(t *testing.T) {
	bad := strings.NewReplacer(`kind = "kill"`, "kind = \"kill\"\ngroup = \"g\"", `at = "1s"
part = 0.3`, `at = "30s"
grade = "c"`).Replace(smallScenario)
	_, faults := Read("small", []byte(bad))
	want := `small:28: fault.at: is not before the end of the traffic; right would be before 20s
small:29: fault.grade: no [[grade]] has the name "c"; right would be one of a, b
small:36: fault.kind: kill does not affect destinations; right would be no group and no grade`
	if diff := cmp.Diff(want, faults.Error()); diff != "" {
		t.Error(diff)
	}
}

// The tables of keys in docs/scenarios.md are generated from Table.
func TestPageMatchesTable(t *testing.T) {
	const path = "../../docs/scenarios.md"
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	const mark = "<!-- made by UPDATE=1 go test ./internal/scenario -->\n"
	head, _, found := strings.Cut(string(text), mark)
	if !found {
		t.Fatal("docs/scenarios.md has no place for the table")
	}
	want := head + mark + "\n" + Table.Markdown()
	if os.Getenv("UPDATE") != "" {
		if err := os.WriteFile(path, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	} else if diff := cmp.Diff(want, string(text)); diff != "" {
		t.Errorf("%s is out of date; UPDATE=1 go test ./internal/scenario\n%s", path, diff)
	}
}

// Recorded traffic is replayed as it was written up to the scenario's length, and faults of its file are reported with
// their lines.
func TestTrace(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	want := []Recorded{{0, 3, "a", "", 0, 10}, {2.5, 1, "b", "", 4, 0}, {30_000, 1, "b", "", 0, 0}}
	var text strings.Builder
	if err := WriteTrace(&text, want); err != nil {
		t.Fatal(err)
	}
	write("t.csv", text.String())
	path := write("s.toml", strings.Replace(smallScenario, "zipf = 1", "trace = \"t.csv\"", 1))
	s, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	arrivals := NewInstance(s).Arrivals()
	var got []Arrival
	for a, ok := arrivals.Next(); ok; a, ok = arrivals.Next() {
		got = append(got, a)
	}
	if diff := cmp.Diff([]Arrival{{At: 0, Destination: 3, Grade: 0, Body: 10},
		{At: 2.5, Destination: 1, Grade: 1, Key: 4}}, got); diff != "" {
		t.Error(diff)
	}
	for line, want := range map[string]string{"x,1,a,,0,0": "at_ms",
		"0,11,a,,0,0": "from 1 to 10", "0,1,c,,0,0": "[a b]",
		"0,1,a,p,0,0": "portfolio",
		"0,1,a,,-1,0": "key", "0,1,a,,0,99999": "65536", "0,1,a": "fields"} {
		write("t.csv", strings.Join(traceHeader, ",")+"\n0,1,a,,0,0\n"+line+"\n")
		if _, err := Load(path); err == nil || !strings.Contains(err.Error(), want) ||
			!strings.Contains(err.Error(), "3") {
			t.Errorf("trace with the line %q: error %v; want one that names line 3 and the field", line, err)
		}
	}
}
