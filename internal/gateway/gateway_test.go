package gateway

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/rules"
	"github.com/google/go-cmp/cmp"
)

var recovery = RecoveryProfile{ColdShare: 0.2, WarmUp: 10_000, OverloadWindow: 1000, OverloadMultiple: 3}

// baseProfile returns a destination with two cores and a queue for two calls, each of which takes 10 ms.
func baseProfile() scenario.DestinationProfile {
	return scenario.DestinationProfile{Cores: 2, Queue: 2, Service: "fixed", Mean: 10, LimitDepth: 100,
		ReportsLimit: true, RetryAfterShare: 1, RetryAfter: 500}
}

// run sends calls at the given times and formats the response to each, and what it reports of the limit.
func run(g *Gateway, times ...rules.Millis) string {
	var b strings.Builder
	for _, at := range times {
		response := g.Arrive(at, 1, 1, 1)
		remaining, limit, reported := g.Report(at, 1)
		switch {
		case response.Overloaded:
			fmt.Fprintf(&b, "%v down, by this call %v\n", at, response.CausedOverload)
		case response.Refused:
			fmt.Fprintf(&b, "%v refused, wait %.0f\n", at, response.RetryAfter)
		default:
			fmt.Fprintf(&b, "%v until %.0f\n", at, response.DueAt)
		}
		if reported {
			fmt.Fprintf(&b, "  left %.2f of %.0f\n", remaining, limit)
		}
	}
	return b.String()
}

// check compares two texts without the white space around them.
func check(t *testing.T, want, got string) {
	t.Helper()
	if diff := cmp.Diff(strings.TrimSpace(want), strings.TrimSpace(got)); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
}

func TestQueueIsBounded(t *testing.T) {
	g := New(baseProfile(), recovery, scenario.NewRand(1, 1))
	check(t, `
0 until 10
0 until 10
0 until 20
0 until 20
0 refused, wait 500
12 until 30
`, run(g, 0, 0, 0, 0, 0, 12))
}

func TestTokenBucketLimit(t *testing.T) {
	profile := baseProfile()
	profile.Limit, profile.Cores, profile.Mean = 20, 10, 1
	check(t, `
0 until 1
  left 0.50 of 20
0 until 1
  left 0.00 of 20
0 refused, wait 500
  left 0.00 of 20
50 until 51
  left 0.00 of 20
`, run(New(profile, recovery, scenario.NewRand(1, 1)), 0, 0, 0, 50))
	profile.CountsRefused = true
	check(t, `
0 until 1
  left 0.50 of 20
0 until 1
  left 0.00 of 20
0 refused, wait 500
  left 0.00 of 20
50 refused, wait 500
  left 0.00 of 20
200 until 201
  left 0.50 of 20
`, run(New(profile, recovery, scenario.NewRand(1, 1)), 0, 0, 0, 50, 200))
}

func TestWindowLimit(t *testing.T) {
	profile := baseProfile()
	profile.Limit, profile.LimitWindow, profile.Cores = 2, 1000, 10
	check(t, `
100 until 110
  left 0.50 of 2
200 until 210
  left 0.00 of 2
300 refused, wait 700
  left 0.00 of 2
1000 until 1010
  left 0.50 of 2
`, run(New(profile, recovery, scenario.NewRand(1, 1)), 100, 200, 300, 1000))
}

// A cold destination is overloaded for good by a fraction of the calls that a warm one accepts. It recovers if it gets
// no more calls than its present capacity allows. A destination that does not get cold can't be overloaded.
func TestOverloadedWhenColdAndOverBudget(t *testing.T) {
	profile := baseProfile()
	// The capacity is 200 calls a second warm and 40 cold, so the budget starts at 120 calls a second.
	profile.OverloadsWhenCold, profile.Queue = true, 1000
	fast := New(profile, recovery, scenario.NewRand(1, 1))
	fast.EndOutage(0)
	overloadedAt := -1
	for i := range 300 {
		if fast.Arrive(rules.Millis(i), 1+i%3, 1, 1).CausedOverload {
			overloadedAt = i
		}
	}
	if by := fast.CallsBySender(); overloadedAt < 120 || overloadedAt > 135 || by[1]+by[2]+by[3] != overloadedAt+1 ||
		!fast.Overloaded() {
		t.Errorf("overloaded at call %d, calls by sender %v; want call 120 to 135, with all calls up to it counted",
			overloadedAt, by)
	}
	if response := fast.Arrive(60_000, 1, 1, 1); !response.Overloaded {
		t.Error("an overloaded destination recovered")
	}
	slow := New(profile, recovery, scenario.NewRand(1, 1))
	slow.EndOutage(0)
	for i := range 1000 {
		if slow.Arrive(rules.Millis(i*20), 1, 1, 1).Overloaded {
			t.Fatalf("overloaded at call %d at a rate below the capacity", i)
		}
	}
	profile.OverloadsWhenCold = false
	unaffected := New(profile, recovery, scenario.NewRand(1, 1))
	unaffected.EndOutage(0)
	for i := range 300 {
		if unaffected.Arrive(rules.Millis(i), 1, 1, 1).Overloaded {
			t.Fatal("a destination with OverloadsWhenCold false was overloaded")
		}
	}
}

func TestServiceTimes(t *testing.T) {
	for _, service := range []string{"fixed", "exponential", "lognormal", "bimodal", "pareto"} {
		profile := baseProfile()
		profile.Service, profile.CV, profile.Queue, profile.Cores = service, 0.5, 1, 1
		g := New(profile, recovery, scenario.NewRand(7, 7))
		sum := 0.0
		const calls = 200_000
		for i := range calls {
			at := rules.Millis(i) * 1e6
			sum += float64(g.Arrive(at, 1, 1, 1).DueAt - at)
		}
		if mean := sum / calls; math.Abs(mean-10) > 0.5 {
			t.Errorf("service %s: mean service time %.2f ms; want 10 ms, 0.5 more or less", service, mean)
		}
	}
}
