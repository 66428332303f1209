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

// soakSeedsVariable is the environment variable with the number of seeds of a long soak.
const soakSeedsVariable = "CHUTEWEIR_SOAK_SEEDS"

const (
	soakSeeds        = 6  // without that variable
	soakCrowdEach    = 3  // every so many seeds a crowd of clients comes
	soakCrowd        = 60 // clients of such a crowd at once
	soakLateGroup    = "limited"
	soakLateSpans    = 3 // spans in which connections come up late
	soakLateFor      = rules.Millis(600)
	soakConnectTime  = rules.Millis(2500) // the kernel asks again after 1 s: connections begun in a late span come up then
	soakSignalsApart = rules.Millis(700)
)

// soakScenario draws troubles by a seed, and adds what makes connections and signals meet told waits.
func soakScenario(t *testing.T, seed uint64) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Load("brief")
	if err != nil {
		t.Fatal(err)
	}
	s.Seed = seed
	scenario.Mix(s)
	s.Names.ConnectTime = soakConnectTime
	draw := scenario.Chance(seed, 1<<45)
	// Slow calls need connections of their own, and a lowered limit tells waits while these come up.
	s.Faults = append(s.Faults,
		scenario.Fault{Kind: scenario.Slow, Group: soakLateGroup, For: s.Length, Part: 1, Share: 0.7, Size: 25, Each: 1000},
		scenario.Fault{Kind: scenario.LowLimit, Group: soakLateGroup, For: s.Length, Part: 1, Share: 1, Size: 0.3, Each: 1000})
	for range soakLateSpans {
		s.Faults = append(s.Faults, scenario.Fault{Kind: scenario.NeverUp, Group: soakLateGroup,
			At: s.Length * rules.Millis(0.02+0.7*draw.Float64()), For: soakLateFor, Part: 1, Share: 1, Size: 1, Each: 1000})
	}
	if seed%soakCrowdEach == 0 {
		s.Faults = append(s.Faults, scenario.Fault{Kind: scenario.Hostile, At: s.Length / 10, For: s.Length / 2, Part: 1, Share: 1,
			Size: soakCrowd, Each: 1000})
	}
	if !strikesSenders(s) {
		at := s.Length * rules.Millis(0.2+0.3*draw.Float64())
		s.Faults = append(s.Faults,
			scenario.Fault{Kind: scenario.Reload, At: at, For: soakSignalsApart / 2, Part: 1, Share: 1, Size: 1, Each: 1000},
			scenario.Fault{Kind: scenario.Stop, At: at + soakSignalsApart, For: 100, Part: 0.5, Share: 1, Size: 1, Each: 1000})
	}
	return s
}

func strikesSenders(s *scenario.Scenario) bool {
	for _, f := range s.Faults {
		if f.Strikes() == scenario.Senders {
			return true
		}
	}
	return false
}

func TestSoakKeepsTheRules(t *testing.T) {
	seeds := soakSeeds
	if text, long := os.LookupEnv(soakSeedsVariable); long {
		var err error
		if seeds, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			playBeside(t)
			r, err := Run(context.Background(), Options{Scenario: soakScenario(t, seed+1), Start: Serve(program, "info")})
			if err != nil {
				t.Fatal(err)
			}
			if !r.Clean() {
				t.Errorf("%d breaches\n%s", len(r.Breaches), audit.Tell(r.Breaches))
			}
			if r.All.Asked < 300 {
				t.Errorf("%d notices tell nothing", r.All.Asked)
			}
		})
	}
}
