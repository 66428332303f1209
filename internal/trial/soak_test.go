package trial

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"testing"

	"chuteweir.example/chuteweir/internal/audit"
	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/rules"
)

// soakSeedsVariable is the environment variable that sets the number of seeds of a long soak.
const soakSeedsVariable = "CHUTEWEIR_SOAK_SEEDS"

const (
	soakSeeds               = 6  // if soakSeedsVariable is not set
	soakHostileSeedInterval = 3  // seeds divisible by this have hostile clients
	soakHostileClients      = 60 // hostile clients at once
	soakSlowConnectGroup    = "limited"
	soakSlowConnectPeriods  = 3                  // periods in which connections are established late
	soakSlowConnectDuration = rules.Millis(600)  // ms, of each such period
	soakConnectTime         = rules.Millis(2500) // ms; the kernel repeats a SYN 1 s later, in time to connect
	soakSignalInterval      = rules.Millis(700)  // ms, from the reload to the stop of a sender
	outageSoakSeeds         = 5
	outageSoakSenders       = 4
	outageSoakKillDuration  = rules.Millis(600) // ms, from a kill to the next start
)

// soakScenario draws random faults by a seed, and adds faults that make late connections and signals coincide with
// requested waits.
func soakScenario(t *testing.T, seed uint64) *scenario.Scenario {
	t.Helper()
	drawn, err := scenario.Load("brief")
	if err != nil {
		t.Fatal(err)
	}
	drawn.Seed = seed
	scenario.Mix(drawn)
	drawn.Names.ConnectTime = soakConnectTime
	random := scenario.NewRand(seed, 1<<45)
	// Slow calls make the sender open more connections, and a lowered limit makes the gateway request waits while these
	// are being established.
	drawn.Faults = append(drawn.Faults,
		scenario.Fault{Kind: scenario.Slow, Group: soakSlowConnectGroup, For: drawn.Length, Part: 1, Share: 0.7,
			Size: 25, Period: 1000},
		scenario.Fault{Kind: scenario.LowLimit, Group: soakSlowConnectGroup, For: drawn.Length, Part: 1, Share: 1,
			Size: 0.3, Period: 1000})
	for range soakSlowConnectPeriods {
		drawn.Faults = append(drawn.Faults, scenario.Fault{Kind: scenario.NeverUp, Group: soakSlowConnectGroup,
			At: drawn.Length * rules.Millis(0.02+0.7*random.Float64()), For: soakSlowConnectDuration, Part: 1, Share: 1,
			Size: 1, Period: 1000})
	}
	if seed%soakHostileSeedInterval == 0 {
		drawn.Faults = append(drawn.Faults, scenario.Fault{Kind: scenario.Hostile, At: drawn.Length / 10,
			For: drawn.Length / 2, Part: 1, Share: 1, Size: soakHostileClients, Period: 1000})
	}
	if !hasSenderFaults(drawn) {
		at := drawn.Length * rules.Millis(0.2+0.3*random.Float64())
		drawn.Faults = append(drawn.Faults,
			scenario.Fault{Kind: scenario.Reload, At: at, For: soakSignalInterval / 2, Part: 1, Share: 1, Size: 1,
				Period: 1000},
			scenario.Fault{Kind: scenario.Stop, At: at + soakSignalInterval, For: 100, Part: 0.5, Share: 1, Size: 1,
				Period: 1000})
	}
	return drawn
}

// outageSoakScenario draws an outage of the destinations that can be overloaded, and restarts by SIGKILL and by SIGTERM
// before its end, after a reload, or in the warm-up.
func outageSoakScenario(t *testing.T, seed uint64) *scenario.Scenario {
	t.Helper()
	drawn, err := scenario.Load("brief")
	if err != nil {
		t.Fatal(err)
	}
	drawn.Seed, drawn.Senders, drawn.Settings.Senders = seed, outageSoakSenders, outageSoakSenders
	random := scenario.NewRand(seed, 1<<46)
	kinds := []string{scenario.Refuse, scenario.Shut, scenario.Hang, scenario.Silent, scenario.Errors}
	add := func(kind, group string, at, duration rules.Millis, part, size float64) {
		drawn.Faults = append(drawn.Faults, scenario.Fault{Kind: kind, Group: group, At: at, For: duration, Part: part,
			Share: 1, Size: size, Period: 1000})
	}
	begin, duration := rules.Millis(500+500*random.Float64()), rules.Millis(1500+1500*random.Float64())
	add(kinds[seed%uint64(len(kinds))], soakSlowConnectGroup, begin, duration, 0.6, 1)
	reloadAt := begin + duration*rules.Millis(0.2+0.3*random.Float64())
	add(scenario.Reload, "", reloadAt, soakSignalInterval/2, 1, 1)
	add(scenario.Stop, "", reloadAt+soakSignalInterval/4, 100, 0.5, 1)
	add(scenario.Kill, "", begin+duration*rules.Millis(0.5+0.8*random.Float64()), outageSoakKillDuration, 0.7, 1)
	if seed%soakHostileSeedInterval == 0 {
		add(scenario.Hostile, "", drawn.Length/10, drawn.Length/2, 1, soakHostileClients)
	}
	return drawn
}

// hasSenderFaults reports whether a fault of the scenario affects senders.
func hasSenderFaults(s *scenario.Scenario) bool {
	for _, f := range s.Faults {
		if f.Target() == scenario.Senders {
			return true
		}
	}
	return false
}

// Under randomly drawn faults the senders break none of the six rules.
func TestSoakKeepsTheRules(t *testing.T) { soak(t, soakSeeds, soakScenario) }

// Guards against an outage that restarts, in series with other signals, make the senders forget.
func TestSoakOfRestartsAroundOutagesKeepsTheRules(t *testing.T) {
	soak(t, outageSoakSeeds, outageSoakScenario)
}

// soak runs a scenario drawn by each seed, of which there are usualSeeds if soakSeedsVariable is not set.
func soak(t *testing.T, usualSeeds int, draw func(*testing.T, uint64) *scenario.Scenario) {
	t.Helper()
	seeds := usualSeeds
	if text, isSet := os.LookupEnv(soakSeedsVariable); isSet {
		var err error
		if seeds, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			runInParallel(t)
			result, err := Run(context.Background(),
				Options{Scenario: draw(t, seed+1), Start: ServeCommand(program, "info")})
			if err != nil {
				t.Fatal(err)
			}
			if !result.Clean() {
				t.Errorf("%d breaches\n%s", len(result.Breaches), audit.FormatBreaches(result.Breaches))
			}
			if result.All.Asked < 300 {
				t.Errorf("got %d notices, expected at least 300 for a meaningful run", result.All.Asked)
			}
		})
	}
}
