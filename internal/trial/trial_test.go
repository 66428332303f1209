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

// program is the path of the chuteweir binary that TestMain builds.
var program string

func TestMain(m *testing.M) {
	runAsTestSender()
	folder, err := os.MkdirTemp("", "trial")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(folder, "chuteweir")
	// By default the race detector delays a process's exit by 1 s, which would count towards the time to shut down.
	os.Setenv("GORACE", "atexit_sleep_ms=100")
	if output, err := exec.Command("go", append([]string{"build", "-o", program},
		append(buildFlags, "../../cmd/chuteweir")...)...).CombinedOutput(); err != nil {
		panic(string(output))
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// auditScenario has notices, destinations and faults that expose every defect of the test sender.
const auditScenario = `
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

// maxParallelRuns limits the scenarios that parallel tests run at once; more of them slow each other down.
const maxParallelRuns = 3

// runSlots holds one element for each test that runs a scenario.
var runSlots = make(chan struct{}, maxParallelRuns)

// runInParallel marks a test as parallel and waits until fewer than maxParallelRuns others run.
func runInParallel(t *testing.T) {
	t.Helper()
	t.Parallel()
	runSlots <- struct{}{}
	t.Cleanup(func() { <-runSlots })
}

// runScenario runs the scenario in text with a seed against the senders of start.
func runScenario(t *testing.T, text string, seed uint64, start NewCommand) *Result {
	t.Helper()
	sc, problems := scenario.Read("made up", []byte(text))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	sc.Seed = seed
	result, err := Run(context.Background(), Options{Scenario: sc, Start: start})
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// The audit reports each defect of a test sender as a breach of the right rule, and no breach of a sender without
// defects.
func TestAuditorFindsWrongSenders(t *testing.T) {
	for defect, rule := range map[string]audit.Rule{
		"": -1, "loses": audit.Lost, "late": audit.Lost, "goes on": audit.Lost, "ends delivered": audit.Lost,
		"repeats": audit.Twice, "copies": audit.Twice, "dismisses": audit.Twice, "drains": audit.Drains,
		"pushes": audit.Returns, "order": audit.Order, "waits": audit.Waits, "strays": audit.Other,
	} {
		t.Run("wrong "+defect, func(t *testing.T) {
			runInParallel(t)
			testBinary, err := os.Executable()
			if err != nil {
				t.Fatal(err)
			}
			result := runScenario(t, auditScenario, 1, func(configPath, state string) *exec.Cmd {
				command := exec.Command(testBinary, configPath)
				command.Env = append(os.Environ(), defectVariable+"="+defect)
				return command
			})
			found := map[audit.Rule]int{}
			for _, b := range result.Breaches {
				found[b.Rule]++
			}
			if rule >= 0 && found[rule] == 0 || rule < 0 && len(found) > 0 {
				t.Errorf("breaches by rule: %v; expected some of the defect's rule, or none without a defect\n%s",
					found, audit.FormatBreaches(result.Breaches))
			}
			if result.All.Asked < 300 {
				t.Errorf("got %d notices, expected at least 300 for a meaningful run", result.All.Asked)
			}
		})
	}
}

// shortScenario has the settings of the short scenarios that the real sender runs.
const shortScenario = `
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

// Under heavy faults a sender breaks no rule, and notices for healthy destinations are delivered.
func TestHardHours(t *testing.T) {
	for name, c := range map[string]struct {
		faults    string
		minCredit float64
		maxCredit float64 // 0: no upper bound
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
			runInParallel(t)
			result := runScenario(t, "name = \"hard\"\n"+shortScenario+c.faults, 1, ServeCommand(program, "debug"))
			if !result.Clean() {
				t.Errorf("%d breaches\n%s", len(result.Breaches), audit.FormatBreaches(result.Breaches))
			}
			if result.All.Credit < c.minCredit || c.maxCredit > 0 && result.All.Credit > c.maxCredit ||
				result.All.Asked < 300 {
				t.Errorf("got credit %.3f of %d notices, expected a credit within the case's bounds and 300 notices",
					result.All.Credit, result.All.Asked)
			}
		})
	}
}

// Twenty destinations that hang do not reduce the deliveries to twenty healthy ones, although fewer connections than
// slots are configured. A third of the healthy destinations' notices were dismissed when a shortage of the sender's own
// connections was not reported as a local shortage and slots were not limited to the number of connections.
func TestManyFailingDestinations(t *testing.T) {
	sc, err := scenario.Load("manysick")
	if err != nil {
		t.Fatal(err)
	}
	result, err := Run(context.Background(), Options{Scenario: sc, Start: ServeCommand(program, "info")})
	if err != nil {
		t.Fatal(err)
	}
	if !result.Clean() {
		t.Error(audit.FormatBreaches(result.Breaches))
	}
	if result.Well.Credit < 0.99 || result.Well.Asked < 500 {
		t.Errorf("healthy destinations: got credit %.3f of %d notices, expected at least 0.99 of 500",
			result.Well.Credit, result.Well.Asked)
	}
}

// Destinations that fail, in a different way in each scenario, do not reduce the deliveries to healthy ones. They hold
// a bounded share of the slots, and cause few calls beyond the first of each notice.
func TestSickTakeNothingFromWell(t *testing.T) {
	for _, name := range []string{"sick-half-hang", "sick-half-never-up", "sick-half-dribble", "sick-half-flap",
		"sick-big-hangs", "sick-third-fails", "sick-no-files"} {
		t.Run(name, func(t *testing.T) {
			runInParallel(t)
			sc, err := scenario.Load(name)
			if err != nil {
				t.Fatal(err)
			}
			sc.Traffic.Rate, sc.Settings.Slots, sc.Length, sc.Settle = 100, 12, 5000, 6000
			instance := scenario.NewInstance(sc)
			result, err := Run(context.Background(), Options{Scenario: sc, Start: ServeCommand(program, "info")})
			if err != nil {
				t.Fatal(err)
			}
			if !result.Clean() {
				t.Error(audit.FormatBreaches(result.Breaches))
			}
			impact := result.FailureImpact(func(d int) bool { return len(instance.Destinations[d-1].Faults) > 0 })
			if result.Well.Credit < 0.99 || result.Well.Asked < 70 {
				t.Errorf("healthy destinations: got credit %.3f of %d notices, expected at least 0.99 of 70",
					result.Well.Credit, result.Well.Asked)
			}
			// Two more routes may each hold a call that is not overdue yet, and a gateway sees a call later than its
			// sender starts it.
			if impact.MostSlots > 0.75+3.0/12 || impact.FurtherCalls > 0.1 {
				t.Errorf(
					"failing destinations held %.2f of the slots, expected at most 1; %.3f further calls a notice, 0.1",
					impact.MostSlots, impact.FurtherCalls)
			}
		})
	}
}
