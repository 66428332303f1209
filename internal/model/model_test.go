package model

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"chuteweir.example/chuteweir/internal/audit"
	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/rules"
	"github.com/google/go-cmp/cmp"
)

// load reads a scenario and sets its seed; with mix set, its faults are replaced by faults drawn from the seed.
func load(t *testing.T, name string, seed uint64, mix bool) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Load(name)
	if err != nil {
		t.Fatal(err)
	}
	if s.Seed = seed; mix {
		scenario.Mix(s)
	}
	return s
}

// seeds returns the number of seeds to run: CHUTEWEIR_SEEDS if it is set, otherwise the usual number, or a fifth of it
// with the race detector, which makes each run eight times as slow.
func seeds(t *testing.T, usual int) int {
	if text := os.Getenv("CHUTEWEIR_SEEDS"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	if raced {
		return usual / 5
	}
	return usual
}

// A run gives identical results and audit data with any number of workers.
func TestResultIndependentOfWorkers(t *testing.T) {
	for seed := range uint64(seeds(t, 5)) {
		runJSON := func(workers int) string {
			s := load(t, "brief", seed+1, true)
			r := Run(context.Background(), s, Options{Workers: workers, Record: true})
			view, err := json.Marshal(r.View)
			if err != nil {
				t.Fatal(err)
			}
			text, err := json.Marshal(r)
			if err != nil {
				t.Fatal(err)
			}
			return string(text) + string(view)
		}
		oneWorker := runJSON(1)
		for _, workers := range []int{2, 3} {
			if other := runJSON(workers); other != oneWorker {
				t.Errorf("seed %d: result with %d workers differs from that with one: %s", seed+1, workers,
					cmp.Diff(oneWorker[:min(2000, len(oneWorker))], other[:min(2000, len(other))]))
			}
		}
	}
}

// The heap returns events ordered by time, receiving node, sending node and sequence number.
func TestHeap(t *testing.T) {
	w, draw := &worker{}, rand.New(rand.NewPCG(1, 1))
	for i := range 5000 {
		w.push(event{at: rules.Millis(draw.IntN(50)), to: int32(draw.IntN(5)), from: int32(draw.IntN(5)),
			seq: uint64(i)})
		if draw.IntN(3) == 0 {
			w.pop()
		}
	}
	last := w.pop()
	for len(w.heap) > 0 {
		next := w.pop()
		if !last.before(&next) {
			t.Fatalf("popped %v before %v; want the other order", last, next)
		}
		last = next
	}
}

// The daemon's policy breaks none of the six rules of the audit under faults drawn at random, and leaves no notice
// without a final outcome.
func TestRulesKept(t *testing.T) {
	asked := 0
	for seed := range uint64(seeds(t, 80)) {
		r := Run(context.Background(), load(t, "brief", seed+1, true), Options{Workers: 1, Record: true})
		if len(r.Breaches) > 0 {
			t.Errorf("seed %d: %s", seed+1, audit.FormatBreaches(r.Breaches))
		}
		asked += r.All.Asked
	}
	if asked < 500*seeds(t, 80) {
		t.Errorf("%d notices in all runs; want at least 500 per seed", asked)
	}
}

// The audit finds two faulty senders: one that treats every grade as reissuable, and one that ignores requested waits.
func TestAuditFindsFaultySenders(t *testing.T) {
	allReissuable := func(seed uint64, settings rules.Settings, _ rules.Millis) Decider {
		settings.Grades = append([]rules.Grade(nil), settings.Grades...)
		for i := range settings.Grades {
			settings.Grades[i].Repeat = rules.Reissuable
		}
		return rules.New(seed, settings)
	}
	found := map[audit.Rule]int{}
	for seed := range uint64(seeds(t, 20)) {
		for _, b := range Run(context.Background(), load(t, "brief", seed+1, true),
			Options{Workers: 1, Record: true, Policy: allReissuable}).Breaches {
			found[b.Rule]++
		}
	}
	if found[audit.Twice] == 0 {
		t.Errorf("no breach found of the rule that at-most-once notices take effect once; breaches by rule: %v", found)
	}
	found = map[audit.Rule]int{}
	for seed := range uint64(10) {
		s := load(t, "brief", seed+1, true)
		s.Traffic.Rate *= 4
		immediate, err := PolicyOf(Immediate, s)
		if err != nil {
			t.Fatal(err)
		}
		for _, b := range Run(context.Background(), s, Options{Workers: 1, Record: true, Policy: immediate}).Breaches {
			found[b.Rule]++
		}
	}
	if found[audit.Waits] == 0 {
		t.Errorf("no breach found of the rule that requested waits are kept; breaches by rule: %v", found)
	}
}

// The oracle, which knows all faults, earns the most credit; retrying without delay makes the most further calls.
func TestBaselines(t *testing.T) {
	credit, further := map[string]float64{}, map[string]int{}
	for _, name := range Policies() {
		for seed := range uint64(3) {
			s := load(t, "sick-third-fails", seed+1, false)
			policy, err := PolicyOf(name, s)
			if err != nil {
				t.Fatal(err)
			}
			r := Run(context.Background(), s, Options{Workers: 1, Policy: policy})
			credit[name] += r.All.Credit / 3
			further[name] += r.FurtherCalls
		}
	}
	for _, name := range Policies() {
		if credit[name] > credit[Oracle]+0.001 {
			t.Errorf("credit of policy %s is %.4f, above the oracle's %.4f", name, credit[name], credit[Oracle])
		}
		if name != Immediate && further[name] > further[Immediate] {
			t.Errorf("policy %s made %d further calls, more than the %d of retries without delay",
				name, further[name], further[Immediate])
		}
	}
	if credit["ours"] <= credit[OneTry] || further[Budget] >= further[Backoff] || further[OneTry] != 0 {
		t.Errorf("credit %v, further calls %v; want credit ours > one-try, calls budget < backoff and one-try = 0",
			credit, further)
	}
	if _, err := PolicyOf("nothing", load(t, "calm", 1, false)); err == nil {
		t.Error("PolicyOf accepted the unknown policy \"nothing\"; want an error")
	}
}

// A run whose context is cancelled returns a result that is marked Cancelled.
func TestCancelledRunIsMarkedCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if r := Run(ctx, load(t, "calm", 1, false), Options{Workers: 1}); !r.Cancelled {
		t.Error("result of a cancelled run is not marked Cancelled")
	}
}
