// Package trial plays a scenario against real sender processes among stand-ins on loopback sockets, has the record
// audited, and sums up how it went.
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

// Options is what to play, and against what.
type Options struct {
	Scenario *scenario.Scenario
	Start    Start
	Keep     string         // folder for configurations, ledgers and logs; empty: none are kept
	Progress func(Progress) // told a few times a second
	// Targets are senders that run already, in place of those that a run starts: they must ask the platform at Platform.
	Targets  []string
	Platform string
	PID      int // of the process whose processor time and memory count, with Targets
	// CPUFrom is the time in the scenario from which on processor time counts, and the notices that it is shared by.
	CPUFrom rules.Millis
	// Sick tells which destinations count as sick in the result; nil: those that a fault strikes.
	Sick    func(destination int) bool
	Prepare func(*standin.Stage, *standin.Gateways, *standin.Platform)
}

// Progress is how far a run has come.
type Progress struct {
	At, Length rules.Millis
	Offered    int
	Open       int // taken on and not over
}

// Run plays a scenario. An error means that it could not be played; what went wrong in it is in the result.
func Run(ctx context.Context, o Options) (*Result, error) {
	w := scenario.Lay(o.Scenario)
	folder := o.Keep
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "chuteweir-try"); err != nil {
			return nil, fmt.Errorf("making a folder for the run: %w", err)
		}
		defer os.RemoveAll(folder)
	}
	stage := standin.NewStage(w)
	defer stage.Close()
	gateways, err := standin.NewGateways(stage)
	if err != nil {
		return nil, err
	}
	platform, err := standin.NewPlatform(stage, gateways, w.Senders)
	if err != nil {
		return nil, err
	}
	if o.Prepare != nil {
		o.Prepare(stage, gateways, platform)
	}
	t := &trial{Options: o, stage: stage, platform: platform}
	defer t.killAll()
	var addresses []string
	if len(o.Targets) > 0 {
		if w.Senders = len(o.Targets); o.Platform == "" {
			return nil, errors.New("senders that run already need a platform at an address that they know")
		}
		if err := platform.Listen(0, o.Platform); err != nil {
			return nil, err
		}
		addresses = o.Targets
		if err := awaitTargets(ctx, o.Targets); err != nil {
			return nil, err
		}
	}
	for i := range w.Senders - len(o.Targets) {
		c := config.Config{Name: fmt.Sprintf("n%d", i), Listen: stage.Free(), Discovery: platform.Address(i),
			Seed: scenario.Chance(w.Seed, 1<<42+uint64(i)).Uint64(), Machine: w.Machine, Settings: w.Settings, Names: w.Names}
		s, err := newSender(i, stage, o.Start, c, filepath.Join(folder, c.Name))
		if err != nil {
			return nil, err
		}
		t.senders = append(t.senders, s)
		addresses = append(addresses, c.Listen)
	}
	for _, s := range t.senders {
		if err := s.launch(platform.List()); err != nil {
			return nil, err
		}
	}
	t.clients = standin.NewClients(stage, addresses)
	platform.Ended = func(_ int, e directory.End) { t.clients.Ended(e) }
	answers := hdrhistogram.New(1, 120_000_000, 3)
	var mu sync.Mutex
	t.clients.Answer = func(status int, took rules.Millis) {
		mu.Lock()
		defer mu.Unlock()
		if status > 0 {
			answers.RecordValue(max(int64(took*1000), 1))
		}
	}
	stop := context.AfterFunc(ctx, stage.Close)
	defer stop()
	t.usedBefore = t.used()
	began := time.Now()
	stage.Clock.Begin()
	if o.CPUFrom > 0 {
		go func() {
			if stage.At(o.CPUFrom) {
				t.mu.Lock()
				defer t.mu.Unlock()
				t.usedBefore = t.used()
			}
		}()
	}
	watched := make(chan struct{})
	go func() { t.watch(); close(watched) }()
	var scripts sync.WaitGroup
	for i, f := range w.Faults {
		for _, n := range w.Struck[i] {
			scripts.Add(1)
			go func() { defer scripts.Done(); t.strike(t.senders[n], f) }()
		}
	}
	t.clients.Run()
	handed := time.Since(began)
	scripts.Wait()
	for until := w.Length + w.Settle; stage.Clock.Now() < until && stage.Record.Open() > 0 && ctx.Err() == nil; {
		time.Sleep(20 * time.Millisecond)
	}
	if ctx.Err() != nil {
		return nil, fmt.Errorf("playing %s: %w", w.Name, ctx.Err())
	}
	used := t.used()
	for _, s := range t.senders {
		s.sample()
	}
	t.clients.Quit()
	var leaving sync.WaitGroup
	for _, s := range t.senders {
		leaving.Add(1)
		go func() {
			defer leaving.Done()
			if err := s.leave(); err != nil {
				t.fault(err)
			}
		}()
	}
	leaving.Wait()
	until := stage.Clock.Now()
	stage.Close()
	<-watched
	mu.Lock()
	defer mu.Unlock()
	return t.result(answers, handed, used-t.usedBefore, until), nil
}

type trial struct {
	Options
	stage    *standin.Stage
	platform *standin.Platform
	clients  *standin.Clients
	senders  []*Sender
	mu       sync.Mutex
	faults   []error
	held     []Point
	// usedBefore is the processor time that does not count.
	usedBefore time.Duration
	rss        int64 // of PID
	fds        int
}

// Point is how much was held at a time, and how many calls the senders said were out.
type Point struct {
	At   rules.Millis `json:"at"`
	Open int          `json:"open"`
	Out  int          `json:"out"`
}

// used is the processor time of all senders so far.
func (t *trial) used() time.Duration {
	if t.PID > 0 {
		return cpuOf(t.PID)
	}
	var used time.Duration
	for _, s := range t.senders {
		used += s.used()
	}
	return used
}

// awaitTargets waits until senders that run already serve.
func awaitTargets(ctx context.Context, targets []string) error {
	for _, address := range targets {
		last := error(nil)
		for began := time.Now(); ; {
			answer, err := http.Get("http://" + address + "/up")
			if err == nil {
				answer.Body.Close()
				if answer.StatusCode == 200 {
					break
				}
				err = fmt.Errorf("/up answers %d", answer.StatusCode)
			}
			if last = err; time.Since(began) > 5*time.Second || ctx.Err() != nil {
				return fmt.Errorf("sender at %s does not serve: %w", address, last)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(500 * time.Millisecond) // its watch begins
	return nil
}

func (t *trial) fault(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, err)
}

// killAll is for runs that are broken off.
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

// watch samples what the senders take, and tells the progress.
func (t *trial) watch() {
	for {
		now := t.stage.Clock.Now()
		open := t.stage.Record.Open()
		out := 0
		for _, s := range t.senders {
			s.sample()
			if n, told := s.counter("out"); told {
				out += n
			}
		}
		t.mu.Lock()
		t.held = append(t.held, Point{now, open, out})
		t.mu.Unlock()
		if t.PID > 0 {
			if rss, fds, err := usage(t.PID); err == nil {
				t.mu.Lock()
				t.rss, t.fds = max(t.rss, rss), max(t.fds, fds)
				t.mu.Unlock()
			}
		}
		if t.Progress != nil {
			t.Progress(Progress{now, t.stage.World.Length, int(t.clients.Offered.Load()), open})
		}
		deadline := time.Now().Add(250 * time.Millisecond)
		for time.Now().Before(deadline) {
			if t.stage.Ended() {
				return
			}
			time.Sleep(25 * time.Millisecond)
		}
	}
}

// restart ends a sender's process and starts another one. A fault that comes before that serves waits for it.
func (t *trial) restart(s *Sender, f scenario.Fault) {
	s.changing.Lock()
	defer s.changing.Unlock()
	if f.Kind == scenario.Kill {
		t.clients.Dead(s.number)
		s.kill()
	} else {
		t.clients.Leaving(s.number)
		if err := s.leave(); err != nil {
			t.fault(err)
		}
	}
	if !t.stage.At(f.Until()) {
		return
	}
	s.life("starting") // what it was told before ends here, though it is found ready a little later
	if err := s.launch(t.platform.List()); err != nil {
		t.fault(err)
		return
	}
	t.clients.Back(s.number)
}

// strike plays a fault of a sender.
func (t *trial) strike(s *Sender, f scenario.Fault) {
	if !t.stage.At(f.At) {
		return
	}
	switch f.Kind {
	case scenario.Kill, scenario.Stop:
		t.restart(s, f)
	case scenario.Freeze:
		s.life("frozen")
		s.signal(syscall.SIGSTOP)
		t.stage.At(f.Until())
		s.signal(syscall.SIGCONT)
		s.life("going on")
	case scenario.FewFiles:
		if err := s.limitFiles(int(f.Size)); err != nil {
			t.fault(err)
		}
		t.stage.At(f.Until())
		if err := s.limitFiles(-1); err != nil {
			t.fault(err)
		}
	case scenario.Reload:
		if err := os.WriteFile(s.path, []byte(`{"listen": "127.0.0.1:`), 0o600); err != nil {
			t.fault(err)
		}
		s.signal(syscall.SIGHUP)
		t.stage.At(f.Until())
		if err := t.platform.Listen(s.number, ""); err != nil {
			t.fault(err)
		}
		s.config.Discovery = t.platform.Address(s.number)
		if err := s.configure(); err != nil {
			t.fault(err)
		}
		s.signal(syscall.SIGHUP)
	}
}

// Breaches is what the auditor found, with the senders' crashes.
func (t *trial) breaches(until rules.Millis) []audit.Breach {
	found := t.stage.Record.Check(t.stage.World.Settings, audit.Usual, until)
	for _, s := range t.senders {
		s.mu.Lock()
		for _, crash := range s.crashes {
			found = append(found, audit.Breach{Rule: audit.Other, What: crash})
		}
		s.mu.Unlock()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, err := range t.faults {
		found = append(found, audit.Breach{Rule: audit.Other, What: err.Error()})
	}
	if n := t.clients.BadOpen.Load(); n > 0 {
		found = append(found, audit.Breach{Rule: audit.Other,
			What: fmt.Sprintf("%d of %d bad clients got neither an error nor a close in time", n, t.clients.Bad.Load())})
	}
	return found
}
