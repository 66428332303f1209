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

// The interval of a small sample is that of Student's t distribution, which is 2.776 at four degrees of freedom.
func TestEstimate(t *testing.T) {
	e := EstimateMean([]float64{1, 2, 3, 4, 5})
	if halfWidth := 2.776 * math.Sqrt(2.5/5); e.Mean != 3 || math.Abs(e.HalfWidth()-halfWidth) > 0.001 {
		t.Errorf("estimate of 1 to 5 is %v, half width %v; want 3 and 1.963", e, e.HalfWidth())
	}
	if d := PairedDifference([]float64{1, 5, 9}, []float64{1.1, 5.1, 9.11}); !d.ExcludesZero() || d.Mean < 0.1 ||
		d.Mean > 0.11 {
		t.Errorf("pairs that all increase: difference %v; want 0.1 to 0.11 and an interval above 0", d)
	}
	if one := EstimateMean([]float64{1}); one.ExcludesZero() || !math.IsInf(one.High, 1) {
		t.Errorf("one value gives the estimate %v; want an infinite interval", one)
	}
	low, high := BootstrapInterval([]float64{1, 2, 3, 4, 5, 6, 7, 8, 9}, Median, 1)
	if low < 1 || low > 4 || high < 6 || high > 9 {
		t.Errorf("median of 1 to 9 is between %v and %v; want bounds in 1 to 4 and in 6 to 9", low, high)
	}
}

// Invalid variants are reported with the reason, and a valid one changes only the values that it names.
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
		variant, err := ParseVariant(text)
		if err == nil {
			_, err = Plan{Scenario: "calm", Variants: []Variant{variant},
				Seeds: ConsecutiveSeeds(1, 1)}.Run(context.Background())
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("variant %q: error %v; want one with the text of the table", text, err)
		}
	}
	variant, err := ParseVariant("sending.slots=7,grade.dispatch.quoted=900ms,gateway.*.mean=3ms,traffic.rate=40/s")
	if err != nil {
		t.Fatal(err)
	}
	s, err := variant.Scenario("sick", 5)
	if err != nil {
		t.Fatal(err)
	}
	if s.Settings.Slots != 7 || s.Settings.Grades[1].QuotedTime != 900 || s.Settings.Grades[0].QuotedTime != 1000 ||
		s.Groups[0].Profile.Mean != 3 || s.Traffic.Rate != 40 || s.Seed != 5 {
		t.Errorf("the variant's settings were not applied, or others were changed: %+v", s)
	}
}

// A grid has all combinations of the values, and a Latin hypercube has one sample in each part of an interval.
func TestSweepVariants(t *testing.T) {
	slots, err := ParseRange("sending.slots=10,20")
	if err != nil {
		t.Fatal(err)
	}
	rate, err := ParseRange("traffic.rate=100..300/s")
	if err != nil || rate.Unit != "/s" || rate.Low != 100 || rate.High != 300 {
		t.Fatalf("range %+v, error %v; want 100 to 300 with the unit /s", rate, err)
	}
	trips, _ := ParseRange("sending.trips=2,4")
	variants, err := Grid(Variant{Name: "ours"}, []Range{slots, trips})
	var names []string
	for _, variant := range variants {
		names = append(names, variant.Name)
	}
	if diff := cmp.Diff([]string{"sending.slots=10,sending.trips=2", "sending.slots=10,sending.trips=4",
		"sending.slots=20,sending.trips=2",
		"sending.slots=20,sending.trips=4"}, names); err != nil || diff != "" {
		t.Error(err, diff)
	}
	if _, err := Grid(Variant{}, []Range{rate}); err == nil {
		t.Error("Grid accepts an interval; want an error")
	}
	parts := map[int]int{}
	for _, variant := range Hypercube(Variant{}, []Range{rate}, 8, 1) {
		s, err := variant.Scenario("calm", 1)
		if err != nil {
			t.Fatal(err)
		}
		parts[int((s.Traffic.Rate-100)/25)]++
	}
	if len(parts) != 8 {
		t.Errorf("eight samples by eighth of the interval: %v; want one in each", parts)
	}
	for _, bad := range []string{"sending.slots", "=3", "a=3..x", "a=4..3"} {
		if _, err := ParseRange(bad); err == nil {
			t.Errorf("ParseRange accepts %q; want an error", bad)
		}
	}
}

// The order and the figures of rows don't depend on the number of parallel runs, and rows are the same after being
// written to a file and read back.
func TestPlanIsReproducible(t *testing.T) {
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
	loaded, err := LoadRows(path)
	if diff := cmp.Diff(rows, loaded); err != nil || diff != "" {
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
		t.Errorf("LoadRows of an incomplete second line: error %v; want one with rows.jsonl:2", err)
	}
	other := append([]Row(nil), rows...)
	other[0].Hash = "another"
	if _, err := CompareRows(rows, other); err == nil {
		t.Error("CompareRows accepts rows of different settings; want an error")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := (Plan{Scenario: "brief", Variants: []Variant{{Name: "ours"}},
		Seeds: ConsecutiveSeeds(1, 3)}).Run(ctx); !errors.Is(err, ErrInterrupted) {
		t.Errorf("a cancelled plan returns the error %v; want ErrInterrupted", err)
	}
}

// Shrinking a finding keeps enough of its badness, and the scenario file of the result gives the same run.
func TestSearch(t *testing.T) {
	s := Search{Base: "brief", Reference: model.Oracle, Seeds: ConsecutiveSeeds(1, 12), Parallel: 4}
	found, err := s.Run(context.Background())
	if err != nil || len(found) != 12 || found[0].Badness < found[11].Badness {
		t.Fatalf("error %v, %d findings; want 12, the worst first", err, len(found))
	}
	shrunk, err := s.Shrink(context.Background(), found[0], 0.8)
	if err != nil {
		t.Fatal(err)
	}
	if shrunk.Badness < 0.8*found[0].Badness || len(shrunk.Scenario.Faults) > len(found[0].Scenario.Faults) {
		t.Errorf("badness %.3f with %d faults became %.3f with %d; want at least 0.8 of it, and no more faults",
			found[0].Badness, len(found[0].Scenario.Faults), shrunk.Badness, len(shrunk.Scenario.Faults))
	}
	text, err := s.ScenarioFile(shrunk, "found")
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
	if r.All.Asked != shrunk.Ours.All.Asked || math.Abs(r.All.Credit-shrunk.Ours.All.Credit) > 0.02 {
		t.Errorf("credit %.4f of %d notices; its file gives %.4f (want 0.02 more or less) of %d (want the same)",
			shrunk.Ours.All.Credit, shrunk.Ours.All.Asked, r.All.Credit, r.All.Asked)
	}
}
