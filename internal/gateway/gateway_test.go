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

var back = Back{ColdFrom: 0.2, Warm: 10_000, Fall: 1000, Multiple: 3}

func base() scenario.Shape {
	return scenario.Shape{Cores: 2, Queue: 2, Service: "fixed", Mean: 10, LimitDepth: 100, Reports: true, TellsWait: 1, Wait: 500}
}

// play sends calls at the given times and writes down what comes of each.
func play(g *Gateway, times ...rules.Millis) string {
	var b strings.Builder
	for _, at := range times {
		v := g.Arrive(at, 1, 1, 1)
		left, limit, told := g.Report(at, 1)
		switch {
		case v.Down:
			fmt.Fprintf(&b, "%v down, by this call %v\n", at, v.Fell)
		case v.Refused:
			fmt.Fprintf(&b, "%v refused, wait %.0f\n", at, v.Wait)
		default:
			fmt.Fprintf(&b, "%v until %.0f\n", at, v.Ends)
		}
		if told {
			fmt.Fprintf(&b, "  left %.2f of %.0f\n", left, limit)
		}
	}
	return b.String()
}

func check(t *testing.T, want, got string) {
	t.Helper()
	if diff := cmp.Diff(strings.TrimSpace(want), strings.TrimSpace(got)); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
}

func TestQueue(t *testing.T) {
	g := New(base(), back, scenario.Chance(1, 1))
	check(t, `
0 until 10
0 until 10
0 until 20
0 until 20
0 refused, wait 500
12 until 30
`, play(g, 0, 0, 0, 0, 0, 12))
}

func TestPlainRate(t *testing.T) {
	s := base()
	s.Limit, s.Cores, s.Mean = 20, 10, 1
	check(t, `
0 until 1
  left 0.50 of 20
0 until 1
  left 0.00 of 20
0 refused, wait 500
  left 0.00 of 20
50 until 51
  left 0.00 of 20
`, play(New(s, back, scenario.Chance(1, 1)), 0, 0, 0, 50))
	s.CountsRefused = true
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
`, play(New(s, back, scenario.Chance(1, 1)), 0, 0, 0, 50, 200))
}

func TestCountInSpans(t *testing.T) {
	s := base()
	s.Limit, s.LimitSpan, s.Cores = 2, 1000, 10
	check(t, `
100 until 110
  left 0.50 of 2
200 until 210
  left 0.00 of 2
300 refused, wait 700
  left 0.00 of 2
1000 until 1010
  left 0.50 of 2
`, play(New(s, back, scenario.Chance(1, 1)), 100, 200, 300, 1000))
}

// Cold, a tenth of the budget of a warm one takes it down, for good; at its own pace it comes back.
func TestFallsOverWhenPushed(t *testing.T) {
	s := base()
	s.Tips, s.Queue = true, 1000 // 200 calls a second warm, 40 cold: 120 in a second are its budget
	push := New(s, back, scenario.Chance(1, 1))
	push.Returned(0)
	fell := -1
	for i := range 300 {
		if push.Arrive(rules.Millis(i), 1+i%3, 1, 1).Fell {
			fell = i
		}
	}
	if by := push.Pushed(); fell < 120 || fell > 135 || by[1]+by[2]+by[3] != fell+1 || !push.Down() {
		t.Errorf("fell at call %d, by %v", fell, by)
	}
	if v := push.Arrive(60_000, 1, 1, 1); !v.Down {
		t.Error("it came back")
	}
	slow := New(s, back, scenario.Chance(1, 1))
	slow.Returned(0)
	for i := range 1000 {
		if slow.Arrive(rules.Millis(i*20), 1, 1, 1).Down {
			t.Fatalf("fell at call %d", i)
		}
	}
	s.Tips = false
	other := New(s, back, scenario.Chance(1, 1))
	other.Returned(0)
	for i := range 300 {
		if other.Arrive(rules.Millis(i), 1, 1, 1).Down {
			t.Fatal("one that does not tip fell over")
		}
	}
}

func TestServiceTimes(t *testing.T) {
	for _, how := range []string{"fixed", "exponential", "lognormal", "bimodal", "pareto"} {
		s := base()
		s.Service, s.CV, s.Queue, s.Cores = how, 0.5, 1, 1
		g := New(s, back, scenario.Chance(7, 7))
		sum := 0.0
		const calls = 200_000
		for i := range calls {
			at := rules.Millis(i) * 1e6
			sum += float64(g.Arrive(at, 1, 1, 1).Ends - at)
		}
		if mean := sum / calls; math.Abs(mean-10) > 0.5 {
			t.Errorf("%s: mean %.2f", how, mean)
		}
	}
}
