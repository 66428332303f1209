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

// The interval of a small sample, by a table of Student's t: 2.776 at four degrees of freedom.
func TestEstimate(t *testing.T) {
	e := Of([]float64{1, 2, 3, 4, 5})
	if half := 2.776 * math.Sqrt(2.5/5); e.Mean != 3 || math.Abs(e.Half()-half) > 0.001 {
		t.Errorf("%v, half %v", e, e.Half())
	}
	if d := Difference([]float64{1, 5, 9}, []float64{1.1, 5.1, 9.11}); !d.Sure() || d.Mean < 0.1 || d.Mean > 0.11 {
		t.Errorf("pairs that all grow: %v", d)
	}
	if one := Of([]float64{1}); one.Sure() || !math.IsInf(one.High, 1) {
		t.Errorf("one value tells %v", one)
	}
	low, high := Bootstrap([]float64{1, 2, 3, 4, 5, 6, 7, 8, 9}, Median, 1)
	if low < 1 || low > 4 || high < 6 || high > 9 {
		t.Errorf("median from %v to %v", low, high)
	}
}

func TestWays(t *testing.T) {
	for text, want := range map[string]string{
		"sending.slots":           "no key=value",
		"slots=3":                 "right would be policy=NAME",
		"sending.slots=-3":        "out of range",
		"grade.nothing.quoted=1s": `no [[grade]] has the name "nothing"`,
		"gateway.mean=4ms":        "right would be gateway.NAME.key",
		"traffic.rate.more=4":     "right would be traffic.key",
		"policy=nothing":          "no policy",
		"file=nothing.toml":       "no such file",
	} {
		w, err := ParseWay(text)
		if err == nil {
			_, err = Plan{Scenario: "calm", Ways: []Way{w}, Seeds: Seeds(1, 1)}.Run(context.Background())
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
	w, err := ParseWay("sending.slots=7,grade.dispatch.quoted=900ms,gateway.*.mean=3ms,traffic.rate=40/s")
	if err != nil {
		t.Fatal(err)
	}
	s, err := w.Scenario("sick", 5)
	if err != nil {
		t.Fatal(err)
	}
	if s.Settings.Slots != 7 || s.Settings.Grades[1].QuotedTime != 900 || s.Settings.Grades[0].QuotedTime != 1000 ||
		s.Groups[0].Shape.Mean != 3 || s.Traffic.Rate != 40 || s.Seed != 5 {
		t.Errorf("%+v", s)
	}
}

func TestSweepWays(t *testing.T) {
	slots, err := ParseRange("sending.slots=10,20")
	if err != nil {
		t.Fatal(err)
	}
	rate, err := ParseRange("traffic.rate=100..300/s")
	if err != nil || rate.Unit != "/s" || rate.Low != 100 || rate.High != 300 {
		t.Fatalf("%+v %v", rate, err)
	}
	trips, _ := ParseRange("sending.trips=2,4")
	ways, err := Grid(Way{Name: "ours"}, []Range{slots, trips})
	var names []string
	for _, w := range ways {
		names = append(names, w.Name)
	}
	if diff := cmp.Diff([]string{"sending.slots=10,sending.trips=2", "sending.slots=10,sending.trips=4", "sending.slots=20,sending.trips=2",
		"sending.slots=20,sending.trips=4"}, names); err != nil || diff != "" {
		t.Error(err, diff)
	}
	if _, err := Grid(Way{}, []Range{rate}); err == nil {
		t.Error("a span in a grid is taken")
	}
	parts := map[int]int{}
	for _, w := range Hypercube(Way{}, []Range{rate}, 8, 1) {
		s, err := w.Scenario("calm", 1)
		if err != nil {
			t.Fatal(err)
		}
		parts[int((s.Traffic.Rate-100)/25)]++
	}
	if len(parts) != 8 {
		t.Errorf("eight samples fall into the parts %v", parts)
	}
	for _, bad := range []string{"sending.slots", "=3", "a=3..x", "a=4..3"} {
		if _, err := ParseRange(bad); err == nil {
			t.Errorf("%q is taken", bad)
		}
	}
}

// Rows come in one order with the same figures, however many are played at a time, and outlive being kept.
func TestPlan(t *testing.T) {
	play := func(parallel int) []Row {
		backoff, _ := ParseWay("policy=backoff")
		rows, err := Plan{Scenario: "brief", Ways: []Way{{Name: "ours"}, backoff}, Seeds: Seeds(3, 4), Parallel: parallel}.Run(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		for i := range rows {
			rows[i].Result = nil
		}
		return rows
	}
	rows := play(1)
	if diff := cmp.Diff(rows, play(4)); diff != "" {
		t.Error(diff)
	}
	path := filepath.Join(t.TempDir(), "rows.jsonl")
	if err := Keep(path, rows[:3]); err != nil {
		t.Fatal(err)
	}
	if err := Keep(path, rows[3:]); err != nil {
		t.Fatal(err)
	}
	kept, err := Load(path)
	if diff := cmp.Diff(rows, kept); err != nil || diff != "" {
		t.Error(err, diff)
	}
	if text := Compare(rows, "ours", "policy=backoff"); !strings.Contains(text, "4 seeds") || !strings.Contains(text, "| further |") {
		t.Error(text)
	}
	if err := os.WriteFile(path, []byte("{\"way\":\"x\"}\n{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); err == nil || !strings.Contains(err.Error(), "rows.jsonl:2") {
		t.Errorf("a torn line: %v", err)
	}
	other := append([]Row(nil), rows...)
	other[0].Hash = "another"
	if _, err := CompareRows(rows, other); err == nil {
		t.Error("rows of other settings are compared")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := (Plan{Scenario: "brief", Ways: []Way{{Name: "ours"}}, Seeds: Seeds(1, 3)}).Run(ctx); !errors.Is(err, ErrEnded) {
		t.Errorf("broken off: %v", err)
	}
}

// What is found is shortened, stays bad, and its file plays the same again.
func TestSearch(t *testing.T) {
	s := Search{Base: "brief", Against: model.Oracle, Seeds: Seeds(1, 12), Parallel: 4}
	found, err := s.Run(context.Background())
	if err != nil || len(found) != 12 || found[0].Bad < found[11].Bad {
		t.Fatalf("%v, %d found", err, len(found))
	}
	short, err := s.Shrink(context.Background(), found[0], 0.8)
	if err != nil {
		t.Fatal(err)
	}
	if short.Bad < 0.8*found[0].Bad || len(short.Scenario.Faults) > len(found[0].Scenario.Faults) {
		t.Errorf("%.3f with %d faults became %.3f with %d", found[0].Bad, len(found[0].Scenario.Faults), short.Bad, len(short.Scenario.Faults))
	}
	text, err := s.Write(short, "found")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "found.toml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	again, err := scenario.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	// Spans are written in whole nanoseconds: chance is the same, times differ by less than that.
	r := model.Run(context.Background(), again, model.Options{Workers: 1})
	if r.All.Asked != short.Ours.All.Asked || math.Abs(r.All.Credit-short.Ours.All.Credit) > 0.02 {
		t.Errorf("credit %.4f of %d, its file gives %.4f of %d", short.Ours.All.Credit, short.Ours.All.Asked, r.All.Credit, r.All.Asked)
	}
}
