package trial

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"chuteweir.example/chuteweir/internal/audit"
	"chuteweir.example/chuteweir/internal/config"
	"chuteweir.example/chuteweir/internal/directory"
	"chuteweir.example/chuteweir/internal/logs"
	"chuteweir.example/chuteweir/internal/standin"
	"chuteweir.example/chuteweir/rules"
	"golang.org/x/sys/unix"
)

// Start makes the command that starts a sender by a configuration file and a lasting folder.
type Start func(config, state string) *exec.Cmd

// Serve starts chuteweir itself, at a log level.
func Serve(program, level string) Start {
	return func(config, state string) *exec.Cmd {
		return exec.Command(program, "serve", "--log-format", "json", "--log-level", level, "--state", state, config)
	}
}

// Relay starts the plain relay that senders are compared with.
func Relay(program string) Start {
	return func(config, _ string) *exec.Cmd { return exec.Command(program, "relay", config) }
}

// Turn is a change of a breaker, as a sender logged it.
type Turn struct {
	At          rules.Millis `json:"at"`
	Sender      int          `json:"sender"`
	Destination int          `json:"destination"`
	State       string       `json:"state"`
	Why         string       `json:"why"`
}

// Sender is a process under trial.
type Sender struct {
	number                       int
	stage                        *standin.Stage
	start                        Start
	config                       config.Config
	folder, path, state, address string

	changing sync.Mutex // held from the end of one process until the next one serves

	mu       sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
	away     bool // ended by us
	orderly  bool // it answers SIGTERM by leaving
	turns    []Turn
	crashes  []string
	last     []string // lines of its log
	peakRSS  int64
	startRSS int64
	peakFDs  int
	cpu      time.Duration // of processes that have ended
}

func newSender(number int, stage *standin.Stage, start Start, c config.Config, folder string) (*Sender, error) {
	s := &Sender{number: number, stage: stage, start: start, config: c, folder: folder, address: c.Listen, orderly: true,
		path: filepath.Join(folder, "config.json"), state: filepath.Join(folder, "state")}
	if err := os.MkdirAll(s.state, 0o700); err != nil {
		return nil, fmt.Errorf("making a sender's folder: %w", err)
	}
	return s, s.configure()
}

// configure writes the configuration that is good.
func (s *Sender) configure() error {
	text, err := s.config.Platform()
	if err != nil {
		return fmt.Errorf("writing a sender's configuration: %w", err)
	}
	return os.WriteFile(s.path, text, 0o600)
}

// launch starts the process and waits until it serves.
func (s *Sender) launch(known directory.List) error {
	s.config.Known = known
	if err := s.configure(); err != nil {
		return err
	}
	command := s.start(s.path, s.state)
	out, err := os.OpenFile(filepath.Join(s.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("opening a sender's log: %w", err)
	}
	lines, err := command.StderrPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return fmt.Errorf("starting a sender: %w", err)
	}
	exited := make(chan struct{})
	s.mu.Lock()
	s.command, s.exited, s.away = command, exited, false
	s.mu.Unlock()
	go func() {
		s.read(lines, out)
		out.Close()
		err := command.Wait()
		s.mu.Lock()
		if state := command.ProcessState; state != nil {
			s.cpu += state.UserTime() + state.SystemTime()
		}
		if !s.away {
			s.crashes = append(s.crashes, fmt.Sprintf("sender %d ended by itself at %.0f: %v\n%s", s.number, s.stage.Clock.Now(), err,
				strings.Join(s.last, "\n")))
		}
		s.mu.Unlock()
		close(exited)
	}()
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for began := time.Now(); time.Since(began) < 15*time.Second; time.Sleep(5 * time.Millisecond) {
		select {
		case <-exited:
			return fmt.Errorf("sender %d ended before it served: %s", s.number, s.lastLines())
		default:
		}
		answer, err := client.Get("http://" + s.address + "/up")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == 200 {
			s.stage.Record.Life(audit.Life{Sender: s.number, What: "ready", At: s.stage.Clock.Now()})
			if rss, _, err := usage(command.Process.Pid); err == nil && s.startRSS == 0 {
				s.startRSS = rss
			}
			return nil
		}
	}
	return fmt.Errorf("sender %d does not serve: %s", s.number, s.lastLines())
}

// lastLines is the end of the sender's log.
func (s *Sender) lastLines() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.last, "\n")
}

// read keeps the log and takes the breakers' changes out of it.
func (s *Sender) read(lines io.Reader, out io.Writer) {
	in := bufio.NewScanner(lines)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		fmt.Fprintln(out, in.Text())
		var line struct {
			Message     string `json:"msg"`
			Destination int    `json:"destination"`
			State       string `json:"state"`
			Why         string `json:"why"`
		}
		err := json.Unmarshal(in.Bytes(), &line)
		var all map[string]any
		unlisted := ""
		if json.Unmarshal(in.Bytes(), &all) == nil && line.Message != "" {
			unlisted = logs.Unlisted(all)
		}
		s.mu.Lock()
		if unlisted != "" {
			s.crashes = append(s.crashes, "the log has what docs/logs.md does not list: "+unlisted)
		}
		if s.last = append(s.last, in.Text()); len(s.last) > 30 {
			s.last = s.last[1:]
		}
		if strings.Contains(in.Text(), "DATA RACE") {
			s.crashes = append(s.crashes, "a race in the sender; its log has both sides")
		}
		if err == nil && line.Message == logs.Breaker {
			s.turns = append(s.turns, Turn{s.stage.Clock.Now(), s.number, line.Destination, line.State, line.Why})
		}
		s.mu.Unlock()
	}
}

func (s *Sender) signal(sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		s.away = true
	}
	if s.command != nil && s.command.Process != nil {
		s.command.Process.Signal(sig)
	}
}

func (s *Sender) life(what string) {
	s.stage.Record.Life(audit.Life{Sender: s.number, What: what, At: s.stage.Clock.Now()})
}

// kill ends the process at once.
func (s *Sender) kill() {
	s.sample()
	s.life("killed")
	s.signal(syscall.SIGKILL)
	<-s.exited
}

// leave tells it to leave, and kills it if it does not in time.
func (s *Sender) leave() error {
	s.sample()
	s.life("leaving")
	s.signal(syscall.SIGTERM)
	select {
	case <-s.exited:
		if state := s.command.ProcessState; state != nil && state.ExitCode() != 0 && s.orderly {
			return fmt.Errorf("sender %d left with status %d: %s", s.number, state.ExitCode(), strings.Join(s.last, "\n"))
		}
		return nil
	case <-time.After(4 * time.Second):
		s.signal(syscall.SIGKILL)
		<-s.exited
		return fmt.Errorf("sender %d did not leave within 4 s", s.number)
	}
}

// running tells whether its process has not ended; s.mu is held.
func (s *Sender) running() bool {
	if s.exited == nil {
		return false
	}
	select {
	case <-s.exited:
		return false
	default:
		return true
	}
}

// sample looks at what the process takes.
func (s *Sender) sample() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running() {
		return
	}
	rss, fds, err := usage(s.command.Process.Pid)
	if err == nil {
		s.peakRSS, s.peakFDs = max(s.peakRSS, rss), max(s.peakFDs, fds)
	}
}

// used is the processor time of all its processes so far.
func (s *Sender) used() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	used := s.cpu
	if s.running() {
		used += cpuOf(s.command.Process.Pid)
	}
	return used
}

// limitFiles lets the process open only so many descriptors more than it holds; below 0: as many as ever.
func (s *Sender) limitFiles(more int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running() {
		return nil
	}
	pid := s.command.Process.Pid
	var limit unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &limit); err != nil {
		return fmt.Errorf("reading a sender's limit of descriptors: %w", err)
	}
	if limit.Cur = limit.Max; more >= 0 {
		_, held, err := usage(pid)
		if err != nil {
			return fmt.Errorf("counting a sender's descriptors: %w", err)
		}
		limit.Cur = uint64(held + more)
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		return fmt.Errorf("limiting a sender's descriptors: %w", err)
	}
	return nil
}

// counter asks the sender for one of its counters; a sender that is away, or a program that has none, tells nothing.
func (s *Sender) counter(name string) (value int, told bool) {
	client := &http.Client{Timeout: 100 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + s.address + "/counters")
	if err != nil {
		return 0, false
	}
	defer answer.Body.Close()
	for in := bufio.NewScanner(io.LimitReader(answer.Body, 64<<10)); in.Scan(); {
		if text, found := strings.CutPrefix(in.Text(), "chuteweir_"+name+" "); found {
			value, err := strconv.Atoi(text)
			return value, err == nil
		}
	}
	return 0, false
}

// usage is a process's resident memory in bytes and its descriptors.
func usage(pid int) (rss int64, fds int, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				return 0, 0, err
			}
			rss = kb << 10
		}
	}
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil && !errors.Is(err, os.ErrPermission) {
		return rss, 0, err
	}
	return rss, len(entries), nil
}

// cpuOf is a running process's processor time; the kernel counts it in hundredths of a second.
func cpuOf(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond
}
