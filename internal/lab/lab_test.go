package lab

import (
	"context"
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chuteweir.example/chuteweir/internal/model"
	"chuteweir.example/chuteweir/internal/scenario"
	"github.com/google/go-cmp/cmp"
)

// Checks the interval of a small sample against a table of Student's t distribution: 2.776 at four degrees of freedom.
func TestEstimate(t *testing.T) {
	e := EstimateMean([]float64{1, 2, 3, 4, 5})
	if half := 2.776 * math.Sqrt(2.5/5); e.Mean != 3 || math.Abs(e.HalfWidth()-half) > 0.001 {
		t.Errorf("estimate %v, half width %v", e, e.HalfWidth())
	}
	if d := PairedDifference([]float64{1, 5, 9}, []float64{1.1, 5.1, 9.11}); !d.ExcludesZero() || d.Mean < 0.1 || d.Mean > 0.11 {
		t.Errorf("pairs that all increase: difference %v", d)
	}
	if one := EstimateMean([]float64{1}); one.ExcludesZero() || !math.IsInf(one.High, 1) {
		t.Errorf("one value gives the estimate %v", one)
	}
	low, high := BootstrapInterval([]float64{1, 2, 3, 4, 5, 6, 7, 8, 9}, Median, 1)
	if low < 1 || low > 4 || high < 6 || high > 9 {
		t.Errorf("median between %v and %v", low, high)
	}
}

func TestParseVariant(t *testing.T) {
	for text, want := range map[string]string{
		"sending.slots":           "expected key=value, found",
		"slots=3":                 "expected policy=NAME",
		"sending.slots=-3":        "out of range",
		"grade.nothing.quoted=1s": `no [[grade]] has the name "nothing"`,
		"gateway.mean=4ms":        "expected gateway.NAME.key",
		"traffic.rate.more=4":     "expected traffic.key",
		"policy=nothing":          "no policy",
		"file=nothing.toml":       "no such file",
	} {
		w, err := ParseVariant(text)
		if err == nil {
			_, err = Plan{Scenario: "calm", Variants: []Variant{w}, Seeds: ConsecutiveSeeds(1, 1)}.Run(context.Background())
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
	w, err := ParseVariant("sending.slots=7,grade.dispatch.quoted=900ms,gateway.*.mean=3ms,traffic.rate=40/s")
	if err != nil {
		t.Fatal(err)
	}
	s, err := w.Scenario("sick", 5)
	if err != nil {
		t.Fatal(err)
	}
	if s.Settings.Slots != 7 || s.Settings.Grades[1].QuotedTime != 900 || s.Settings.Grades[0].QuotedTime != 1000 ||
		s.Groups[0].Profile.Mean != 3 || s.Traffic.Rate != 40 || s.Seed != 5 {
		t.Errorf("%+v", s)
	}
}

func TestSweepVariants(t *testing.T) {
	slots, err := ParseRange("sending.slots=10,20")
	if err != nil {
		t.Fatal(err)
	}
	rate, err := ParseRange("traffic.rate=100..300/s")
	if err != nil || rate.Unit != "/s" || rate.Low != 100 || rate.High != 300 {
		t.Fatalf("%+v %v", rate, err)
	}
	trips, _ := ParseRange("sending.trips=2,4")
	variants, err := Grid(Variant{Name: "ours"}, []Range{slots, trips})
	var names []string
	for _, w := range variants {
		names = append(names, w.Name)
	}
	if diff := cmp.Diff([]string{"sending.slots=10,sending.trips=2", "sending.slots=10,sending.trips=4",
		"sending.slots=20,sending.trips=2",
		"sending.slots=20,sending.trips=4"}, names); err != nil || diff != "" {
		t.Error(err, diff)
	}
	if _, err := Grid(Variant{}, []Range{rate}); err == nil {
		t.Error("a grid accepts an interval")
	}
	parts := map[int]int{}
	for _, w := range Hypercube(Variant{}, []Range{rate}, 8, 1) {
		s, err := w.Scenario("calm", 1)
		if err != nil {
			t.Fatal(err)
		}
		parts[int((s.Traffic.Rate-100)/25)]++
	}
	if len(parts) != 8 {
		t.Errorf("eight samples should fall into eight parts, found %v", parts)
	}
	for _, bad := range []string{"sending.slots", "=3", "a=3..x", "a=4..3"} {
		if _, err := ParseRange(bad); err == nil {
			t.Errorf("ParseRange accepts %q", bad)
		}
	}
}

// The order and the figures of rows don't depend on the number of parallel runs, and rows are the same after being
// written to a file and read back.
func TestPlan(t *testing.T) {
	runPlan := func(parallel int) []Row {
		backoff, _ := ParseVariant("policy=backoff")
		rows, err := Plan{Scenario: "brief", Variants: []Variant{{Name: "ours"}, backoff},
			Seeds: ConsecutiveSeeds(3, 4), Parallel: parallel}.Run(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		for i := range rows {
			rows[i].Result = nil
		}
		return rows
	}
	rows := runPlan(1)
	if diff := cmp.Diff(rows, runPlan(4)); diff != "" {
		t.Error(diff)
	}
	path := filepath.Join(t.TempDir(), "rows.jsonl")
	if err := AppendRows(path, rows[:3]); err != nil {
		t.Fatal(err)
	}
	if err := AppendRows(path, rows[3:]); err != nil {
		t.Fatal(err)
	}
	kept, err := LoadRows(path)
	if diff := cmp.Diff(rows, kept); err != nil || diff != "" {
		t.Error(err, diff)
	}
	if text := CompareVariants(rows, "ours", "policy=backoff"); !strings.Contains(text, "4 seeds") ||
		!strings.Contains(text, "| further |") {
		t.Error(text)
	}
	if err := os.WriteFile(path, []byte("{\"way\":\"x\"}\n{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadRows(path); err == nil || !strings.Contains(err.Error(), "rows.jsonl:2") {
		t.Errorf("an incomplete line: %v", err)
	}
	other := append([]Row(nil), rows...)
	other[0].Hash = "another"
	if _, err := CompareRows(rows, other); err == nil {
		t.Error("CompareRows accepts rows of different settings")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := (Plan{Scenario: "brief", Variants: []Variant{{Name: "ours"}}, Seeds: ConsecutiveSeeds(1, 3)}).Run(ctx); !errors.Is(err, ErrInterrupted) {
		t.Errorf("a cancelled plan returns %v", err)
	}
}

// Shrinking a finding keeps enough of its badness, and the scenario file of the result gives the same run.
func TestSearch(t *testing.T) {
	s := Search{Base: "brief", Reference: model.Oracle, Seeds: ConsecutiveSeeds(1, 12), Parallel: 4}
	found, err := s.Run(context.Background())
	if err != nil || len(found) != 12 || found[0].Badness < found[11].Badness {
		t.Fatalf("%v, %d found", err, len(found))
	}
	shortened, err := s.Shrink(context.Background(), found[0], 0.8)
	if err != nil {
		t.Fatal(err)
	}
	if shortened.Badness < 0.8*found[0].Badness || len(shortened.Scenario.Faults) > len(found[0].Scenario.Faults) {
		t.Errorf("%.3f with %d faults became %.3f with %d",
			found[0].Badness, len(found[0].Scenario.Faults), shortened.Badness, len(shortened.Scenario.Faults))
	}
	text, err := s.ScenarioFile(shortened, "found")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "found.toml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	reloaded, err := scenario.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	// Durations are written in whole nanoseconds: the random draws are the same, and times differ by less than that.
	r := model.Run(context.Background(), reloaded, model.Options{Workers: 1})
	if r.All.Asked != shortened.Ours.All.Asked || math.Abs(r.All.Credit-shortened.Ours.All.Credit) > 0.02 {
		t.Errorf("credit %.4f of %d notices, its file gives %.4f of %d",
			shortened.Ours.All.Credit, shortened.Ours.All.Asked, r.All.Credit, r.All.Asked)
	}
}
