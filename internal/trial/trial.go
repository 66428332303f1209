// Package trial runs a scenario against real sender processes. Stand-ins on loopback sockets act as the clients, the
// gateways and the platform; the record of what they saw is audited and summarized in a Result.
package trial

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"chuteweir.example/chuteweir/internal/audit"
	"chuteweir.example/chuteweir/internal/config"
	"chuteweir.example/chuteweir/internal/directory"
	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/internal/standin"
	"chuteweir.example/chuteweir/rules"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Options selects the scenario of a run and the senders that it runs against.
type Options struct {
	Scenario *scenario.Scenario
	Start    NewCommand     // makes the command of each sender process
	KeepDir  string         // directory for configurations, ledgers and logs; if empty, they are deleted after the run
	Progress func(Progress) // if set, called about four times a second
	// Targets holds the addresses of senders that are running already; the run starts none of its own then. They must
	// use the platform at the address Platform.
	Targets  []string
	Platform string
	PID      int // with Targets: the process whose processor time and memory are measured
	// CPUFrom is the scenario time at which the measurement of processor time per notice begins. Processor time used
	// and notices due before it are left out.
	CPUFrom rules.Millis
	// IsFailing reports whether the result counts a destination as failing. If nil, a destination is failing if a fault
	// of the scenario affects it.
	IsFailing func(destination int) bool
	// Prepare, if set, is called with the stand-ins before any sender starts.
	Prepare func(*standin.Environment, *standin.Gateways, *standin.Platform)
}

// Progress reports how far a run has advanced.
type Progress struct {
	At, Length rules.Millis // current time and length of the scenario
	Submitted  int          // notices submitted
	Open       int          // accepted notices without a final answer
}

// Run runs a scenario. It returns an error only if the scenario could not be run; faults of the senders are breaches in
// the result.
func Run(ctx context.Context, options Options) (*Result, error) {
	instance := scenario.NewInstance(options.Scenario)
	dir := options.KeepDir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "chuteweir-try"); err != nil {
			return nil, fmt.Errorf("create a directory for the run: %w", err)
		}
		defer os.RemoveAll(dir)
	}
	env := standin.NewEnvironment(instance)
	defer env.Close()
	gateways, err := standin.NewGateways(env)
	if err != nil {
		return nil, err
	}
	platform, err := standin.NewPlatform(env, gateways, instance.Senders)
	if err != nil {
		return nil, err
	}
	if options.Prepare != nil {
		options.Prepare(env, gateways, platform)
	}
	current := &trial{Options: options, env: env, platform: platform}
	defer current.killAll()
	var addresses []string
	if len(options.Targets) > 0 {
		if instance.Senders = len(options.Targets); options.Platform == "" {
			return nil, errors.New("targets are given, but not the platform address that they are configured with")
		}
		if err := platform.Listen(0, options.Platform); err != nil {
			return nil, err
		}
		addresses = options.Targets
		if err := awaitTargets(ctx, options.Targets); err != nil {
			return nil, err
		}
	}
	for i := range instance.Senders - len(options.Targets) {
		senderConfig := config.Config{Name: fmt.Sprintf("n%d", i), Listen: env.UnusedAddress(),
			Discovery: platform.Address(i),
			Seed:      scenario.NewRand(instance.Seed, 1<<42+uint64(i)).Uint64(), Machine: instance.Machine,
			Settings: instance.Settings, Names: instance.Names}
		sender, err := newSender(i, env, options.Start, senderConfig, filepath.Join(dir, senderConfig.Name))
		if err != nil {
			return nil, err
		}
		current.senders = append(current.senders, sender)
		addresses = append(addresses, senderConfig.Listen)
	}
	for _, s := range current.senders {
		if err := s.launch(platform.List()); err != nil {
			return nil, err
		}
	}
	current.clients = standin.NewClients(env, addresses)
	platform.OnOutcome = func(_ int, e directory.FinalOutcome) { current.clients.HandleOutcome(e) }
	responseTimes := hdrhistogram.New(1, 120_000_000, 3)
	var responseTimesMu sync.Mutex
	current.clients.OnResponse = func(status int, duration rules.Millis) {
		responseTimesMu.Lock()
		defer responseTimesMu.Unlock()
		if status > 0 {
			responseTimes.RecordValue(max(int64(duration*1000), 1))
		}
	}
	stopWatchingContext := context.AfterFunc(ctx, env.Close)
	defer stopWatchingContext()
	current.uncountedCPU = current.cpuTime()
	startedAt := time.Now()
	env.Clock.Start()
	if options.CPUFrom > 0 {
		go func() {
			if env.WaitUntil(options.CPUFrom) {
				current.mu.Lock()
				defer current.mu.Unlock()
				current.uncountedCPU = current.cpuTime()
			}
		}()
	}
	monitorDone := make(chan struct{})
	go func() { current.monitor(); close(monitorDone) }()
	var faultScripts sync.WaitGroup
	for i, fault := range instance.Faults {
		for _, affected := range instance.AffectedSenders[i] {
			faultScripts.Add(1)
			go func() { defer faultScripts.Done(); current.applyFault(current.senders[affected], fault) }()
		}
	}
	current.clients.Run()
	submitDuration := time.Since(startedAt)
	faultScripts.Wait()
	for deadline := instance.Length + instance.Settle; env.Clock.Now() < deadline &&
		env.Record.Unfinished() > 0 && ctx.Err() == nil; {
		time.Sleep(20 * time.Millisecond)
	}
	if ctx.Err() != nil {
		return nil, fmt.Errorf("run scenario %q: %w", instance.Name, ctx.Err())
	}
	cpuTime := current.cpuTime()
	for _, s := range current.senders {
		s.sampleUsage()
	}
	current.clients.CloseIdle()
	var shutdowns sync.WaitGroup
	for _, s := range current.senders {
		shutdowns.Add(1)
		go func() {
			defer shutdowns.Done()
			if err := s.shutdown(); err != nil {
				current.addError(err)
			}
		}()
	}
	shutdowns.Wait()
	endedAt := env.Clock.Now()
	env.Close()
	<-monitorDone
	responseTimesMu.Lock()
	defer responseTimesMu.Unlock()
	return current.result(responseTimes, submitDuration, cpuTime-current.uncountedCPU, endedAt), nil
}

// trial is the state of one run.
type trial struct {
	Options
	env         *standin.Environment
	platform    *standin.Platform
	clients     *standin.Clients
	senders     []*Sender
	mu          sync.Mutex // guards the fields below
	runErrors   []error    // errors of the run, reported as breaches
	heldSamples []HeldSample
	// uncountedCPU is the processor time used before the measurement began.
	uncountedCPU time.Duration
	peakRSS      int64 // of PID
	peakFDs      int
}

// HeldSample is, at one time, the number of accepted notices without a final answer, and the number of outstanding
// calls that the senders reported in their counters.
type HeldSample struct {
	At          rules.Millis `json:"at"`
	Open        int          `json:"open"`
	Outstanding int          `json:"out"`
}

// cpuTime returns the processor time that all senders, or the process PID, have used so far.
func (t *trial) cpuTime() time.Duration {
	if t.PID > 0 {
		return processCPU(t.PID)
	}
	var total time.Duration
	for _, s := range t.senders {
		total += s.cpuTime()
	}
	return total
}

// awaitTargets waits until each of the running senders answers GET /up with 200.
func awaitTargets(ctx context.Context, targets []string) error {
	for _, address := range targets {
		lastErr := error(nil)
		for startedAt := time.Now(); ; {
			response, err := http.Get("http://" + address + "/up")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == 200 {
					break
				}
				err = fmt.Errorf("GET /up: expected status 200, got %d", response.StatusCode)
			}
			if lastErr = err; time.Since(startedAt) > 5*time.Second || ctx.Err() != nil {
				return fmt.Errorf("sender at %s is not ready: %w", address, lastErr)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(500 * time.Millisecond) // in which the senders subscribe to the receiver list
	return nil
}

// addError records an error of the run, which the result reports as a breach.
func (t *trial) addError(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runErrors = append(t.runErrors, err)
}

// killAll kills the senders that still run, when a run ends early.
func (t *trial) killAll() {
	for _, s := range t.senders {
		if s.command == nil {
			continue
		}
		select {
		case <-s.exited:
		default:
			s.signal(syscall.SIGKILL)
			<-s.exited
		}
	}
}

// monitor samples the senders' resource usage and counters and reports the progress, until the run ends.
func (t *trial) monitor() {
	for {
		now := t.env.Clock.Now()
		open := t.env.Record.Unfinished()
		outstanding := 0
		for _, s := range t.senders {
			s.sampleUsage()
			if count, known := s.counter("out"); known {
				outstanding += count
			}
		}
		t.mu.Lock()
		t.heldSamples = append(t.heldSamples, HeldSample{now, open, outstanding})
		t.mu.Unlock()
		if t.PID > 0 {
			if rss, fds, err := processUsage(t.PID); err == nil {
				t.mu.Lock()
				t.peakRSS, t.peakFDs = max(t.peakRSS, rss), max(t.peakFDs, fds)
				t.mu.Unlock()
			}
		}
		if t.Progress != nil {
			t.Progress(Progress{now, t.env.Instance.Length, int(t.clients.FirstSubmissions.Load()), open})
		}
		deadline := time.Now().Add(250 * time.Millisecond)
		for time.Now().Before(deadline) {
			if t.env.Ended() {
				return
			}
			time.Sleep(25 * time.Millisecond)
		}
	}
}

// restart ends a sender's process, by SIGKILL or SIGTERM according to the fault, and starts a new one when the fault
// ends. Another kill or stop of the same sender waits until the new process is ready.
func (t *trial) restart(s *Sender, fault scenario.Fault) {
	s.restartMu.Lock()
	defer s.restartMu.Unlock()
	if fault.Kind == scenario.Kill {
		t.clients.MarkDown(s.number)
		s.kill()
	} else {
		t.clients.MarkLeaving(s.number)
		if err := s.shutdown(); err != nil {
			t.addError(err)
		}
	}
	if !t.env.WaitUntil(fault.Until()) {
		return
	}
	// From here on the audit no longer holds the sender to what only the old process received, such as requested waits:
	// the new process may make calls a little before launch finds it ready.
	s.recordState("starting")
	if err := s.launch(t.platform.List()); err != nil {
		t.addError(err)
		return
	}
	t.clients.MarkUp(s.number)
}

// applyFault waits until a fault that affects a sender begins, and applies it until it ends.
func (t *trial) applyFault(s *Sender, fault scenario.Fault) {
	if !t.env.WaitUntil(fault.At) {
		return
	}
	switch fault.Kind {
	case scenario.Kill, scenario.Stop:
		t.restart(s, fault)
	case scenario.Freeze:
		s.recordState("frozen")
		s.signal(syscall.SIGSTOP)
		t.env.WaitUntil(fault.Until())
		s.signal(syscall.SIGCONT)
		s.recordState("going on")
	case scenario.FewFiles:
		if err := s.limitFiles(int(fault.Size)); err != nil {
			t.addError(err)
		}
		t.env.WaitUntil(fault.Until())
		if err := s.limitFiles(-1); err != nil {
			t.addError(err)
		}
	case scenario.Reload:
		if err := os.WriteFile(s.configPath, []byte(`{"listen": "127.0.0.1:`), 0o600); err != nil {
			t.addError(err)
		}
		s.signal(syscall.SIGHUP)
		t.env.WaitUntil(fault.Until())
		if err := t.platform.Listen(s.number, ""); err != nil {
			t.addError(err)
		}
		s.config.Discovery = t.platform.Address(s.number)
		if err := s.writeConfig(); err != nil {
			t.addError(err)
		}
		s.signal(syscall.SIGHUP)
	}
}

// breaches returns the breaches that the audit finds, and one for each problem of a sender, each error of the run, and
// bad clients that were not handled in time.
func (t *trial) breaches(endedAt rules.Millis) []audit.Breach {
	found := t.env.Record.Check(t.env.Instance.Settings, audit.DefaultTolerances, endedAt)
	for _, s := range t.senders {
		s.mu.Lock()
		for _, problem := range s.problems {
			found = append(found, audit.Breach{Rule: audit.Other, What: problem})
		}
		s.mu.Unlock()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, err := range t.runErrors {
		found = append(found, audit.Breach{Rule: audit.Other, What: err.Error()})
	}
	if count := t.clients.HostileUnanswered.Load(); count > 0 {
		found = append(found, audit.Breach{Rule: audit.Other,
			What: fmt.Sprintf("%d of %d bad clients got neither an error response nor a close within 3 s", count,
				t.clients.HostileConnections.Load())})
	}
	return found
}
