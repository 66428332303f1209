package trial

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"chuteweir.example/chuteweir/internal/audit"
	"chuteweir.example/chuteweir/internal/scenario"
)

var program string

func TestMain(m *testing.M) {
	doubleMain()
	folder, err := os.MkdirTemp("", "trial")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(folder, "chuteweir")
	if out, err := exec.Command("go", append([]string{"build", "-o", program}, append(buildFlags, "../../cmd/chuteweir")...)...).CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// troubles has something of all that a wrong sender may do wrong.
const troubles = `
name = "troubles"
length = "3s"
settle = "5s"
[traffic]
rate = "150/s"
keys = 3
again = 0
[return]
cold_from = 0.2
warm = "10s"
multiple = 2
fall = "1s"
[[grade]]
name = "dispatch"
quoted = "1s"
timeout = "2500ms"
repeat = "at-most-once"
[[grade]]
name = "order"
quoted = "1s"
timeout = "2500ms"
repeat = "reissuable"
in_order = true
[[portfolio]]
name = "acme"
quota = "500/s"
[[gateway]]
name = "resets"
destinations = 2
receivers = 2
[[gateway]]
name = "limited"
limit = "15/s"
tells_wait = 1
wait = "400ms"
[[gateway]]
name = "cold"
limit = "20/s"
cores = 8
tips = true
[[gateway]]
name = "drains"
receivers = 2
[[fault]]
kind = "reset-after"
group = "resets"
at = "300ms"
for = "2s"
share = 0.3
[[fault]]
kind = "refuse"
group = "cold"
at = "200ms"
for = "1s"
[[fault]]
kind = "drain"
group = "drains"
at = "100ms"
for = "2900ms"
`

func play(t *testing.T, text string, seed uint64, start Start) *Result {
	t.Helper()
	s, faults := scenario.Read("made up", []byte(text))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	s.Seed = seed
	r, err := Run(context.Background(), Options{Scenario: s, Start: start})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Each way to be wrong is found, under its rule; a sender that is right is not blamed.
func TestAuditorFindsWrongSenders(t *testing.T) {
	for wrong, rule := range map[string]audit.Rule{
		"": -1, "loses": audit.Lost, "late": audit.Lost, "goes on": audit.Lost, "ends delivered": audit.Lost,
		"repeats": audit.Twice, "copies": audit.Twice, "dismisses": audit.Twice, "drains": audit.Drains,
		"pushes": audit.Returns, "order": audit.Order, "waits": audit.Waits, "strays": audit.Other,
	} {
		t.Run("wrong "+wrong, func(t *testing.T) {
			t.Parallel()
			self, err := os.Executable()
			if err != nil {
				t.Fatal(err)
			}
			r := play(t, troubles, 1, func(config, state string) *exec.Cmd {
				c := exec.Command(self, config)
				c.Env = append(os.Environ(), asDouble+"="+wrong)
				return c
			})
			found := map[audit.Rule]int{}
			for _, b := range r.Breaches {
				found[b.Rule]++
			}
			if rule >= 0 && found[rule] == 0 || rule < 0 && len(found) > 0 {
				t.Errorf("found %v\n%s", found, audit.Tell(r.Breaches))
			}
			if r.All.Asked < 300 {
				t.Errorf("%d notices tell nothing", r.All.Asked)
			}
		})
	}
}
