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

// seeds is how many to play: a fifth with the race detector, which makes each eight times as slow, or CHUTEWEIR_SEEDS.
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

// All that comes of a run is the same to the bit, whatever the number of workers.
func TestSameWhateverTheWorkers(t *testing.T) {
	for seed := range uint64(seeds(t, 5)) {
		tell := func(workers int) string {
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
		one := tell(1)
		for _, workers := range []int{2, 3} {
			if other := tell(workers); other != one {
				t.Errorf("seed %d: %d workers tell something else: %s", seed+1, workers, cmp.Diff(one[:min(2000,
					len(one))], other[:min(2000, len(other))]))
			}
		}
	}
}

// A window's events come in the order of their times, of those that they concern and of their senders.
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
			t.Fatalf("%v before %v", last, next)
		}
		last = next
	}
}

// Whatever troubles are drawn, our decisions keep the six rules; at the end nothing is left over.
func TestRulesKept(t *testing.T) {
	asked := 0
	for seed := range uint64(seeds(t, 80)) {
		r := Run(context.Background(), load(t, "brief", seed+1, true), Options{Workers: 1, Record: true})
		if len(r.Breaches) > 0 {
			t.Errorf("seed %d: %s", seed+1, audit.Tell(r.Breaches))
		}
		asked += r.All.Asked
	}
	if asked < 500*seeds(t, 80) {
		t.Errorf("%d notices tell nothing", asked)
	}
}

// A sender that takes every grade for reissuable, and one that heeds no waits, are found by the auditor in the model too.
func TestWrongSendersAreFound(t *testing.T) {
	wrong := func(seed uint64, settings rules.Settings, _ rules.Millis) Decider {
		settings.Grades = append([]rules.Grade(nil), settings.Grades...)
		for i := range settings.Grades {
			settings.Grades[i].Repeat = rules.Reissuable
		}
		return rules.New(seed, settings)
	}
	found := map[audit.Rule]int{}
	for seed := range uint64(seeds(t, 20)) {
		for _, b := range Run(context.Background(), load(t, "brief", seed+1, true), Options{Workers: 1,
			Record: true, Policy: wrong}).Breaches {
			found[b.Rule]++
		}
	}
	if found[audit.Twice] == 0 {
		t.Errorf("repeats of what must not run twice: %v", found)
	}
	found = map[audit.Rule]int{}
	for seed := range uint64(10) {
		s := load(t, "brief", seed+1, true)
		s.Traffic.Rate *= 4
		hasty, err := PolicyOf(Immediate, s)
		if err != nil {
			t.Fatal(err)
		}
		for _, b := range Run(context.Background(), s, Options{Workers: 1, Record: true, Policy: hasty}).Breaches {
			found[b.Rule]++
		}
	}
	if found[audit.Waits] == 0 {
		t.Errorf("calls into told waits: %v", found)
	}
}

// Who knows every trouble does best; who calls again at once makes the most calls.
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
			further[name] += r.Further
		}
	}
	for _, name := range Policies() {
		if credit[name] > credit[Oracle]+0.001 {
			t.Errorf("%s earns %.4f, the oracle %.4f", name, credit[name], credit[Oracle])
		}
		if name != Immediate && further[name] > further[Immediate] {
			t.Errorf("%s makes %d further calls, at once %d", name, further[name], further[Immediate])
		}
	}
	if credit["ours"] <= credit[OneTry] || further[Budget] >= further[Backoff] || further[OneTry] != 0 {
		t.Errorf("credit %v, further calls %v", credit, further)
	}
	if _, err := PolicyOf("nothing", load(t, "calm", 1, false)); err == nil {
		t.Error("a policy that does not exist is taken")
	}
}

// A run that is broken off says so and tells what was so far.
func TestBrokenOff(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if r := Run(ctx, load(t, "calm", 1, false), Options{Workers: 1}); !r.Broken {
		t.Error("it ran to its end")
	}
}
