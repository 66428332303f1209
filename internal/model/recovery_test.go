package model

import (
	"context"
	"fmt"
	"testing"

	"chuteweir.example/chuteweir/internal/audit"
	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/rules"
)

// The scenarios of the tests in this file, in which one destination fails until outageEnd (ms).
const (
	restartScenario = "../../docs/lab/outage-restart.toml"
	busyScenario    = "../../docs/lab/busy-outage.toml"

	outageEnd rules.Millis = 31_950
)

// outageKinds lists the kinds of outage after which a destination is cold.
var outageKinds = []string{scenario.Refuse, scenario.Shut, scenario.Silent, scenario.Errors, scenario.Hang}

// restart returns a fault that restarts a part of the senders, at a time relative to the end of the outage (ms).
func restart(kind string, at rules.Millis, part float64) scenario.Fault {
	return scenario.Fault{Kind: kind, At: outageEnd + at, For: 640, Part: part, Share: 1, Size: 1, Period: 1000}
}

// expectNoOverload runs a scenario with several seeds, each with the next kind of outage, and expects that no
// destination is overloaded.
func expectNoOverload(t *testing.T, path string, usualSeeds int, change func(*scenario.Scenario)) {
	t.Helper()
	for seed := range uint64(max(seeds(t, usualSeeds), 1)) {
		s := load(t, path, seed+1, false)
		s.Faults[0].Kind = outageKinds[seed%uint64(len(outageKinds))]
		change(s)
		r := Run(context.Background(), s, Options{Workers: 1, Record: true})
		if r.Overloads > 0 || len(r.Breaches) > 0 {
			t.Errorf("seed %d, %s: %d overloads\n%s", seed+1, s.Faults[0].Kind, r.Overloads,
				audit.FormatBreaches(r.Breaches))
		}
	}
}

// Guards against overloading a recovering destination by senders that forgot its outage when they restarted.
func TestRecoveringDestinationIsNotOverloadedAfterSendersRestart(t *testing.T) {
	for name, restarts := range map[string][]scenario.Fault{
		"killed 500 ms after the beginning": {restart(scenario.Kill, 500-12_950, 1)},
		"killed 7 s before the end":         {restart(scenario.Kill, -7000, 1)},
		"killed 2.6 s before the end":       {restart(scenario.Kill, -2590, 1)},
		"killed 750 ms before the end":      {restart(scenario.Kill, -750, 1)},
		"killed across the end":             {restart(scenario.Kill, -300, 1)},
		"killed 1 s into the warm-up":       {restart(scenario.Kill, 1000, 1)},
		"killed 4 s into the warm-up":       {restart(scenario.Kill, 4000, 1)},
		"half of them killed":               {restart(scenario.Kill, -2590, 0.5)},
		"killed twice":                      {restart(scenario.Kill, -6000, 1), restart(scenario.Kill, -2000, 1)},
		"killed in outage and warm-up":      {restart(scenario.Kill, -2000, 1), restart(scenario.Kill, 2500, 1)},
		"shut down 4 s before the end":      {restart(scenario.Stop, -4000, 1)},
		"shut down 1 s before the end":      {restart(scenario.Stop, -1000, 1)},
		"shut down in the warm-up":          {restart(scenario.Stop, 1500, 1)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			expectNoOverload(t, restartScenario, 10, func(s *scenario.Scenario) {
				s.Faults = append(s.Faults[:1], restarts...)
			})
		})
	}
}

// Guards against a pace during recoveries that suits one sender but is too high in total when all have work.
func TestRecoveringBusyDestinationIsNotOverloadedByItsSenders(t *testing.T) {
	for _, senders := range []int{4, 24, 48, 128} {
		t.Run(fmt.Sprintf("%d senders", senders), func(t *testing.T) {
			t.Parallel()
			expectNoOverload(t, busyScenario, 10, func(s *scenario.Scenario) {
				s.Senders, s.Settings.Senders = senders, senders
			})
		})
	}
}

// shortOutage makes the first fault of a scenario a short outage, and replaces the others by restarts.
func shortOutage(s *scenario.Scenario, duration rules.Millis, restarts ...scenario.Fault) {
	s.Faults[0].At, s.Faults[0].For = outageEnd-duration, duration
	s.Faults = append(s.Faults[:1], restarts...)
}

// Guards against an outage that restarted senders see only briefly, and after which they heed no warm-up.
func TestRecoveringDestinationIsNotOverloadedAfterShortOutageWithRestart(t *testing.T) {
	for _, duration := range []rules.Millis{4000, 6000} {
		t.Run(fmt.Sprintf("%.0f ms", duration), func(t *testing.T) {
			t.Parallel()
			expectNoOverload(t, restartScenario, 10, func(s *scenario.Scenario) {
				shortOutage(s, duration, restart(scenario.Kill, 400-duration, 1))
			})
		})
	}
}

// Guards against calls of senders that saw one refusal or lost call each, and are not paced at the end of the outage.
func TestRecoveringDestinationIsNotOverloadedAfterSingleSigns(t *testing.T) {
	for _, duration := range []rules.Millis{1200, 2500, 4000} {
		t.Run(fmt.Sprintf("%.0f ms", duration), func(t *testing.T) {
			t.Parallel()
			expectNoOverload(t, restartScenario, 10, func(s *scenario.Scenario) {
				shortOutage(s, duration)
			})
		})
	}
}
