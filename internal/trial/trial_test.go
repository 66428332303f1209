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
	// The race detector lets a sender sleep for a second at its exit, which is none of its own time.
	os.Setenv("GORACE", "atexit_sleep_ms=100")
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

// playsAtOnce is how many scenarios parallel tests play at once: more hold each other up.
const playsAtOnce = 3

var playing = make(chan struct{}, playsAtOnce)

// playBeside lets a test's play begin beside few others.
func playBeside(t *testing.T) {
	t.Helper()
	t.Parallel()
	playing <- struct{}{}
	t.Cleanup(func() { <-playing })
}

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
			playBeside(t)
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

// head is the settings of short scenarios for the real sender.
const head = `
length = "4s"
settle = "10s"
[traffic]
rate = "150/s"
[senders]
count = 2
notice = "200ms"
[[grade]]
name = "status"
quoted = "1s"
timeout = "4s"
repeat = "reissuable"
[[grade]]
name = "dispatch"
quoted = "1s"
timeout = "4s"
credit = 3
repeat = "at-most-once"
[[grade]]
name = "order"
quoted = "1s"
timeout = "4s"
repeat = "numbered"
remembers = "30s"
in_order = true
[[portfolio]]
name = "acme"
quota = "500/s"
[[gateway]]
name = "site"
destinations = 6
receivers = 2
limit = "80/s"
tells_wait = 0.5
`

// What a sender does in the worst hours breaks no rule, and what is well is served.
func TestHardHours(t *testing.T) {
	for name, c := range map[string]struct {
		script string
		least  float64 // of the credit
		most   float64 // 0: any
	}{
		"calm": {"", 0.999, 0},
		"all sick, the hold full": {`
[sending]
hold = 60
[[fault]]
kind = "hang"
at = "200ms"
for = "2s"`, 0.05, 0.9},
		"killed amid load, and started again": {`
[[fault]]
kind = "kill"
at = "1s"
for = "300ms"
[[fault]]
kind = "kill"
at = "2500ms"
for = "300ms"
part = 0.5`, 0.6, 0},
		"platform silent from the start": {`
[[fault]]
kind = "list-silent"
at = "0s"
for = "4s"`, 0.999, 0},
		"ends refused, half of the calls reset": {`
[[fault]]
kind = "ends-refused"
at = "500ms"
for = "2s"
[[fault]]
kind = "reset-after"
at = "500ms"
for = "2s"
share = 0.5`, 0.3, 0},
		"garbage for a configuration": {`
[[fault]]
kind = "reload"
at = "500ms"
for = "1s"`, 0.999, 0},
		"bad clients, some that never read": {`
[[fault]]
kind = "hostile"
at = "100ms"
for = "3s"
size = 40`, 0.99, 0},
		"drains, replacements, lists that can't be read": {`
[[fault]]
kind = "drain"
at = "500ms"
for = "1500ms"
part = 0.5
[[fault]]
kind = "list-garbage"
at = "2s"
for = "1s"
[[fault]]
kind = "vanish"
at = "1s"
for = "1s"
part = 0.2`, 0.9, 0},
		"connections that never come up, and silence": {`
[[fault]]
kind = "never-up"
at = "500ms"
for = "1500ms"
part = 0.4
[[fault]]
kind = "silent"
at = "1s"
for = "1500ms"
part = 0.3`, 0.4, 0},
		"spoilt answers, a byte a second, flapping": {`
[[fault]]
kind = "spoilt"
at = "500ms"
for = "2s"
share = 0.5
part = 0.5
[[fault]]
kind = "dribble"
at = "1s"
for = "1s"
part = 0.2
[[fault]]
kind = "flap"
at = "1s"
for = "2s"
each = "400ms"
part = 0.3`, 0.5, 0},
		"told to leave, and standing still": {`
[[fault]]
kind = "stop"
at = "500ms"
for = "500ms"
part = 0.5
[[fault]]
kind = "freeze"
at = "2500ms"
for = "800ms"
part = 0.5`, 0.6, 0},
	} {
		t.Run(name, func(t *testing.T) {
			playBeside(t)
			r := play(t, "name = \"hard\"\n"+head+c.script, 1, Serve(program, "debug"))
			if !r.Clean() {
				t.Errorf("%d breaches\n%s", len(r.Breaches), audit.Tell(r.Breaches))
			}
			if r.All.Credit < c.least || c.most > 0 && r.All.Credit > c.most || r.All.Asked < 300 {
				t.Errorf("credit %.3f of %d notices", r.All.Credit, r.All.Asked)
			}
		})
	}
}

// Twenty destinations that hang, with fewer connections than slots are configured, take nothing from twenty that are
// well. Before shortages were told as such and slots held to the connections, a third of these notices were handed back.
func TestManySick(t *testing.T) {
	s, err := scenario.Load("manysick")
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(context.Background(), Options{Scenario: s, Start: Serve(program, "info")})
	if err != nil {
		t.Fatal(err)
	}
	if !r.Clean() {
		t.Error(audit.Tell(r.Breaches))
	}
	if r.Well.Credit < 0.99 || r.Well.Asked < 500 {
		t.Errorf("credit where all is well %.3f of %d", r.Well.Credit, r.Well.Asked)
	}
}

// Destinations that are sick, each in its way, take nothing from those that are well, hold a bounded part of the slots,
// and bring no wave of further calls.
func TestSickTakeNothingFromWell(t *testing.T) {
	for _, name := range []string{"sick-half-hang", "sick-half-never-up", "sick-half-dribble", "sick-half-flap", "sick-big-hangs",
		"sick-third-fails", "sick-no-files"} {
		t.Run(name, func(t *testing.T) {
			playBeside(t)
			s, err := scenario.Load(name)
			if err != nil {
				t.Fatal(err)
			}
			s.Traffic.Rate, s.Settings.Slots, s.Length, s.Settle = 100, 12, 5000, 6000
			struck := scenario.Lay(s)
			r, err := Run(context.Background(), Options{Scenario: s, Start: Serve(program, "info")})
			if err != nil {
				t.Fatal(err)
			}
			if !r.Clean() {
				t.Error(audit.Tell(r.Breaches))
			}
			trouble := r.Trouble(func(d int) bool { return len(struck.Destinations[d-1].Faults) > 0 })
			if r.Well.Credit < 0.99 || r.Well.Asked < 70 {
				t.Errorf("credit where all is well %.3f of %d", r.Well.Credit, r.Well.Asked)
			}
			// Two routes more may hold a call that is not overdue yet, and the gateways see a call later than its sender.
			if trouble.MostSlots > 0.75+3.0/12 || trouble.Further > 0.1 {
				t.Errorf("the sick held %.2f of the slots; %.3f further calls for a notice", trouble.MostSlots, trouble.Further)
			}
		})
	}
}
