// Package stage holds what the review's cases share: a record, the sender as a process of its own, started with the command of
// the deploy file, and small stand-ins for platform and receivers. All of it stays on loopback addresses and uses free ports.
package stage

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	NoRun  = 2
)

// Stage is one run of a case.
type Stage struct {
	Root    string // of the repository
	Folder  string // of this run, removed at its end
	Trouble bool   // false with TROUBLE=0
	Started time.Time

	mu      sync.Mutex
	record  *os.File
	senders []*Sender
}

// Open begins a run; record is the file of the record. The root of the repository is the working folder.
func Open(record string) (*Stage, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "deploy", "balancer.toml")); err != nil {
		return nil, fmt.Errorf("the working folder is not the repository's root: %w", err)
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &Stage{Root: root, Folder: folder, Trouble: os.Getenv("TROUBLE") != "0", Started: time.Now(), record: file}, nil
}

// Main runs a case: it opens the stage, plays, and exits with the case's status. Whatever happens, the processes that it started
// are ended, after the longest time that a case may take at the latest.
func Main(play func(*Stage) (int, error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "one argument: the file of the record")
		os.Exit(NoRun)
	}
	s, err := Open(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NoRun)
	}
	type end struct {
		status int
		err    error
	}
	ended := make(chan end, 1)
	go func() {
		status, err := play(s)
		ended <- end{status, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	e := end{status: NoRun}
	select {
	case e = <-ended:
	case got := <-signals:
		e.err = fmt.Errorf("ended by %v", got)
	case <-time.After(longest):
		e.err = errors.New("it took too long")
	}
	if e.err != nil {
		e.status = NoRun
		s.Tell("the case could not run: %v", e.err)
	}
	s.Close()
	os.Exit(e.status)
}

// longest is what a case may take.
const longest = 110 * time.Second

// Close ends all processes that the run started and removes its folder.
func (s *Stage) Close() {
	for _, sender := range s.senders {
		sender.Kill()
	}
	os.RemoveAll(s.Folder)
	s.mu.Lock()
	s.record.Close()
	s.mu.Unlock()
}

// Say writes a line of the record.
func (s *Stage) Say(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%10.4f %s\n", time.Since(s.Started).Seconds(), fmt.Sprintf(format, args...))
}

// Tell writes a line of the record and prints it.
func (s *Stage) Tell(format string, args ...any) {
	s.Say(format, args...)
	fmt.Printf(format+"\n", args...)
}

// FreeAddress is a loopback address with a free port.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Member is a receiver as discovery lists it.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// List is discovery's list.
type List struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Setup is the configuration of a sender, in the platform's form.
type Setup struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Seed      string         `json:"seed"`
	Limits    map[string]any `json:"limits"`
	Known     List           `json:"known"`
	Settings  map[string]any `json:"settings"`
}

// SmallDeployment is a configuration of two classes, one that may run again and one that must never run twice, and of one kind
// of destination. A case changes what it has to.
func SmallDeployment(listen, discovery string, known List) Setup {
	const second = 1_000_000
	class := func(name, repeat string, aim, deadline int, worth float64) map[string]any {
		return map[string]any{"name": name, "repeat": repeat, "aim": aim, "deadline": deadline, "worth": worth, "late_worth": 0.3,
			"key_scope": "all", "key_ttl": 5 * second, "stream": false}
	}
	return Setup{Name: "n0", Listen: listen, Discovery: discovery, Seed: fmt.Sprintf("%016x", time.Now().UnixNano()),
		Limits: map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": 512, "disk_mb": 3},
		Known:  known,
		Settings: map[string]any{
			"classes": []any{class("status", "free", 2*second, 20*second, 1), class("order", "single_shot", 2*second, 12*second, 3)},
			"clients": map[string]any{"marks_retry": true}, "discovery": "automatic", "family": "deliver", "group_size": 1,
			"family_info": map[string]any{"fee_by_zone": []float64{0}, "loses_worth": "by_half", "per_call": []int{1},
				"separate_routes": []bool{false}, "slots": 16, "turned_away_price": 0.0},
			"goal": map[string]any{"whole": 0.5, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.2}, "kinds": []string{"plain"},
			"layer": 0, "layers": []string{"destinations"}, "me": 0, "zone": 0, "zones": []string{"a"}, "tick": 5000,
			"limits": map[string]any{"cancel": true, "conn_idle": 12 * second, "connect_timeout": second, "cpu_us_per_request": 0.0,
				"cpu_us_per_s": 500000, "max_retry_after": 2 * second, "multiplex": 1, "open_cap": 200, "parallel_tries": false,
				"peers": false, "probes": false, "retry_after": false, "send_cap": 8},
			"obligations": map[string]any{"answer_slack": 20000, "cold_from": 0.2, "drain_grace": second, "fall": 2 * second,
				"must_ask_in": 10 * second, "tip_multiple": 2.5, "warm_within": 10 * second},
			"over_share_worth": 0.2, "realms": []any{}, "reporting": map[string]any{"fields": []string{"x0", "x1"}, "how": "piggyback"},
			"weight_source": "silent", "worth_by": "request",
		}}
}

// Sender is a sender's process, and its lasting folder and configuration.
type Sender struct {
	stage                 *Stage
	run                   string
	Setup                 Setup
	folder, config, state string
	command               *exec.Cmd
	exited                chan struct{}
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// NewSender makes the lasting folder and writes the configuration.
func (s *Stage) NewSender(setup Setup) (*Sender, error) {
	deploy, err := os.ReadFile(filepath.Join(s.Root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return nil, errors.New("the deploy file names no run command")
	}
	folder := filepath.Join(s.Folder, setup.Name)
	p := &Sender{stage: s, run: string(run[1]), Setup: setup, folder: folder, config: filepath.Join(folder, "config.json"),
		state: filepath.Join(folder, "state")}
	if err := os.MkdirAll(p.state, 0o700); err != nil {
		return nil, err
	}
	s.senders = append(s.senders, p)
	return p, p.Configure()
}

// Configure writes the configuration anew, in one step.
func (p *Sender) Configure() error {
	text, err := json.Marshal(p.Setup)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.config+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(p.config+".new", p.config)
}

// Start starts the process and waits until it answers GET /up with 200.
func (p *Sender) Start() error {
	log, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command("/bin/sh", "-c", p.run)
	p.command.Dir = p.stage.Root
	p.command.Env = append(os.Environ(), "PROXY_NAME="+p.Setup.Name, "PROXY_LISTEN="+p.Setup.Listen,
		"PROXY_DISCOVERY="+p.Setup.Discovery, "PROXY_STATE="+p.state, "PROXY_CONFIG="+p.config)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) { c.Wait(); close(exited) }(p.command, p.exited)
	p.stage.Say("sender %s started, process %d", p.Setup.Name, p.command.Process.Pid)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case <-p.exited:
			return fmt.Errorf("the sender ended at its start:\n%s", p.Log())
		default:
		}
		if a, err := client.Get("http://" + p.Setup.Listen + "/up"); err == nil {
			a.Body.Close()
			if a.StatusCode == 200 {
				p.stage.Say("sender %s is ready", p.Setup.Name)
				return nil
			}
		}
	}
	return errors.New("the sender was not ready within 30 s")
}

// Signal sends a signal to the process.
func (p *Sender) Signal(signal syscall.Signal) {
	p.stage.Say("sender %s gets %v", p.Setup.Name, signal)
	p.command.Process.Signal(signal)
}

// Kill ends the process, if it runs, and waits for its end.
func (p *Sender) Kill() {
	if p.command == nil || p.Ended() {
		return
	}
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Ended tells whether the process has ended.
func (p *Sender) Ended() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Log is what the process has written.
func (p *Sender) Log() string {
	text, _ := os.ReadFile(filepath.Join(p.folder, "log"))
	return string(text)
}

// Counters is what GET /counters tells.
func (p *Sender) Counters() string {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Get("http://" + p.Setup.Listen + "/counters")
	if err != nil {
		return err.Error()
	}
	defer a.Body.Close()
	text, _ := io.ReadAll(a.Body)
	return strings.ReplaceAll(strings.TrimSpace(string(text)), "\n", " ")
}
