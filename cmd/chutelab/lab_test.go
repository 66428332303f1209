package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// run runs a command of the program within the test process and returns its output.
func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	c := commands()
	c.SetOut(&out)
	c.SetErr(&out)
	c.SetArgs(args)
	err := c.Execute()
	return out.String(), err
}

// Runs each command of the lab with few seeds and checks its output and the files it writes.
func TestLab(t *testing.T) {
	folder := t.TempDir()
	rows, worst := filepath.Join(folder, "rows.jsonl"), filepath.Join(folder, "worst.toml")
	for _, c := range []struct {
		args string
		want []string
	}{
		{"lab run --scenario brief --way mix=true --seeds 3 --audit --rows " + rows + " --out " + folder,
			[]string{"| mix=true | 3 |"}},
		{"lab run --scenario brief --workers 2", []string{"events a second", "credit 1.0000"}},
		{"lab compare --scenario sick --b policy=one-try --seeds 4 --out " + folder,
			[]string{"4 seeds", "| credit |", "A is better"}},
		{"lab compare --scenario sick --b sending.trips=1 --seeds 2 --width 0.01 --most 6",
			[]string{"seeds, the same for both"}},
		{"lab compare --rows-a " + rows + " --rows-b " + rows, []string{"no difference seen"}},
		{"lab sweep --scenario sick --param sending.slots=8,64 --param sending.trips=1,4 --seeds 2 --out " + folder,
			[]string{"sending.slots=8,sending.trips=4", "sending.slots=64,sending.trips=1"}},
		{"lab sweep --scenario sick --param traffic.rate=50..400/s --samples 3 --seeds 1", []string{"traffic.rate="}},
		{"lab sweep --scenario sick --param policy=ours,one-try --seeds 1", []string{"policy=one-try"}},
		{"lab search --scenario brief --seeds 6 --write " + worst, []string{"lost: credit", "shortened:"}},
		{"lab run --seeds 2 --scenario " + worst, []string{"| ours | 2 |"}},
		{"lab search --scenario brief --seeds 4 --breaches", []string{"no rule broken in 4 runs"}},
		{"lab report --against mix=true " + rows, []string{"| mix=true | 3 |"}},
	} {
		out, err := run(t, strings.Fields(c.args)...)
		if err != nil {
			t.Errorf("%s: %v", c.args, err)
		}
		for _, want := range c.want {
			if !strings.Contains(out, want) {
				t.Errorf("%s: no %q in\n%s", c.args, want, out)
			}
		}
	}
	for _, name := range []string{"run.md", "run-credit.svg", "compare.md", "compare-credit.svg",
		"sweep.md", "sweep.svg"} {
		if info, err := os.Stat(filepath.Join(folder, name)); err != nil || info.Size() < 100 {
			t.Errorf("%s: expected a file of at least 100 bytes: %v", name, err)
		}
	}
}

// A plan that exceeds --memory ends with an error that names the cause and says that the completed runs are kept.
func TestLabMemory(t *testing.T) {
	rows := filepath.Join(t.TempDir(), "rows.jsonl")
	_, err := run(t, "lab", "run", "--scenario", "mixed", "--seeds", "2000",
		"--parallel", "2", "--memory", "0.001", "--rows", rows)
	if err == nil || !strings.Contains(err.Error(), "over --memory") || !strings.Contains(err.Error(), "are kept") {
		t.Error(err)
	}
}

// Each wrong use fails with an error that names the mistake.
func TestLabMisused(t *testing.T) {
	for args, want := range map[string]string{
		"lab compare --b ours=1":                     "--b",
		"lab compare":                                "the same variant",
		"lab compare --b sending.trips=1 --figure x": "--figure",
		"lab compare --rows-a x":                     "go together",
		"lab sweep":                                  "--param",
		"lab sweep --param sending.slots=1..4":       "--samples",
		"lab run --scenario nothing":                 "no file, and none of",
		"lab report nothing.jsonl":                   "lab run --rows writes one",
		"lab trace nothing.log":                      "reading a log",
		"lab run --way policy=nothing":               "no policy",
		"sick --only nothing":                        "--only nothing",
	} {
		if _, err := run(t, strings.Fields(args)...); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: not the expected error: %v", args, err)
		}
	}
}

// Converts a sender's log to the recorded traffic that a scenario can replay.
func TestLabTrace(t *testing.T) {
	folder := t.TempDir()
	log := filepath.Join(folder, "n0.log")
	text := `{"time":"2026-12-01T10:00:00.5Z","level":"DEBUG","msg":"taken","id":"x","grade":"status","portfolio":"acme","key":"981","destination":2,"body":40}
{"time":"2026-12-01T10:00:00.6Z","level":"DEBUG","msg":"closed","notice":1}
{"time":"2026-12-01T10:00:00.25Z","level":"DEBUG","msg":"taken","id":"y","grade":"dispatch","portfolio":"acme","key":"0","destination":1,"body":10}
`
	if err := os.WriteFile(log, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := run(t, "lab", "trace", log)
	if want := "at_ms,destination,grade,portfolio,key,body\n0.000,1,dispatch,acme,0,10\n250.000,2,status,acme,1,40\n"; err != nil || out != want {
		t.Errorf("error %v, or not the expected output:\n%s", err, out)
	}
	if err := os.WriteFile(log, []byte("no JSON\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := run(t, "lab", "trace", log); err == nil || !strings.Contains(err.Error(), "n0.log:1") {
		t.Errorf("expected an error that names n0.log:1, got %v", err)
	}
}
