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

// NewCommand makes the command that starts a sender with a configuration file and a state directory.
type NewCommand func(configPath, stateDir string) *exec.Cmd

// ServeCommand returns a NewCommand for chuteweir itself, which logs at the given level.
func ServeCommand(program, level string) NewCommand {
	return func(configPath, stateDir string) *exec.Cmd {
		return exec.Command(program, "serve", "--log-format", "json", "--log-level", level, "--state", stateDir,
			configPath)
	}
}

// RelayCommand returns a NewCommand for the plain relay that serves as the baseline of comparisons.
func RelayCommand(program string) NewCommand {
	return func(configPath, _ string) *exec.Cmd { return exec.Command(program, "relay", configPath) }
}

// BreakerChange is a change of a breaker's state, as a sender logged it.
type BreakerChange struct {
	At          rules.Millis `json:"at"` // when the log line was read
	Sender      int          `json:"sender"`
	Destination int          `json:"destination"`
	State       string       `json:"state"`
	Why         string       `json:"why"`
}

// Sender runs one sender of the scenario: a process, and those that replace it after a restart.
type Sender struct {
	number                             int
	env                                *standin.Environment
	start                              NewCommand
	config                             config.Config
	dir, configPath, stateDir, address string

	restartMu sync.Mutex // held from the end of one process until the next one is ready

	mu             sync.Mutex
	command        *exec.Cmd
	exited         chan struct{}
	stopRequested  bool // the process was sent SIGTERM or SIGKILL, so its exit is expected
	exitsCleanly   bool // after SIGTERM it must exit with status 0
	breakerChanges []BreakerChange
	problems       []string // reported as breaches: unexpected exits, data races, undeclared log events
	recentLog      []string // last lines of its log, for failure messages
	peakRSS        int64
	startRSS       int64
	peakFDs        int
	exitedCPU      time.Duration // processor time of the processes that have exited
}

// newSender prepares a sender's state directory and configuration; launch starts its process.
func newSender(number int, env *standin.Environment, start NewCommand, senderConfig config.Config,
	dir string) (*Sender, error) {
	s := &Sender{number: number, env: env, start: start, config: senderConfig, dir: dir,
		address: senderConfig.Listen, exitsCleanly: true,
		configPath: filepath.Join(dir, "config.json"), stateDir: filepath.Join(dir, "state")}
	if err := os.MkdirAll(s.stateDir, 0o700); err != nil {
		return nil, fmt.Errorf("create the state directory of a sender: %w", err)
	}
	return s, s.writeConfig()
}

// writeConfig writes the sender's valid configuration, which replaces a malformed one that a fault has written.
func (s *Sender) writeConfig() error {
	text, err := s.config.Platform()
	if err != nil {
		return fmt.Errorf("encode the configuration of a sender: %w", err)
	}
	return os.WriteFile(s.configPath, text, 0o600)
}

// launch starts the process and waits up to 15 s until it answers GET /up with 200.
func (s *Sender) launch(knownReceivers directory.List) error {
	s.config.InitialList = knownReceivers
	if err := s.writeConfig(); err != nil {
		return err
	}
	command := s.start(s.configPath, s.stateDir)
	logFile, err := os.OpenFile(filepath.Join(s.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open the log of a sender: %w", err)
	}
	stderr, err := command.StderrPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start the process of a sender: %w", err)
	}
	exited := make(chan struct{})
	s.mu.Lock()
	s.command, s.exited, s.stopRequested = command, exited, false
	s.mu.Unlock()
	go func() {
		s.readLog(stderr, logFile)
		logFile.Close()
		err := command.Wait()
		s.mu.Lock()
		if state := command.ProcessState; state != nil {
			s.exitedCPU += state.UserTime() + state.SystemTime()
		}
		if !s.stopRequested {
			s.problems = append(s.problems, fmt.Sprintf("sender %d exited unexpectedly at %.0f ms: %v\n%s", s.number,
				s.env.Clock.Now(), err, strings.Join(s.recentLog, "\n")))
		}
		s.mu.Unlock()
		close(exited)
	}()
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for startedAt := time.Now(); time.Since(startedAt) < 15*time.Second; time.Sleep(5 * time.Millisecond) {
		select {
		case <-exited:
			return fmt.Errorf("sender %d exited before it was ready: %s", s.number, s.logTail())
		default:
		}
		response, err := client.Get("http://" + s.address + "/up")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == 200 {
			s.env.Record.SenderChanged(audit.SenderEvent{Sender: s.number, What: "ready", At: s.env.Clock.Now()})
			if rss, _, err := processUsage(command.Process.Pid); err == nil && s.startRSS == 0 {
				s.startRSS = rss
			}
			return nil
		}
	}
	return fmt.Errorf("sender %d is not ready after 15 s: %s", s.number, s.logTail())
}

// logTail returns the last lines of the sender's log.
func (s *Sender) logTail() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.recentLog, "\n")
}

// readLog copies the process's log to a file. It collects the breaker changes in it, and reports as problems data races
// and events or keys that the documentation of the logs does not list.
func (s *Sender) readLog(stderr io.Reader, logFile io.Writer) {
	scanner := bufio.NewScanner(stderr)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		fmt.Fprintln(logFile, scanner.Text())
		var line struct {
			Message     string `json:"msg"`
			Destination int    `json:"destination"`
			State       string `json:"state"`
			Why         string `json:"why"`
		}
		err := json.Unmarshal(scanner.Bytes(), &line)
		var fields map[string]any
		undeclared := ""
		if json.Unmarshal(scanner.Bytes(), &fields) == nil && line.Message != "" {
			undeclared = logs.Undeclared(fields)
		}
		s.mu.Lock()
		if undeclared != "" {
			s.problems = append(s.problems, "the log has an event or key that docs/logs.md does not list: "+undeclared)
		}
		if s.recentLog = append(s.recentLog, scanner.Text()); len(s.recentLog) > 30 {
			s.recentLog = s.recentLog[1:]
		}
		if strings.Contains(scanner.Text(), "DATA RACE") {
			s.problems = append(s.problems, "data race in the sender; its log shows both accesses")
		}
		if err == nil && line.Message == logs.Breaker {
			s.breakerChanges = append(s.breakerChanges,
				BreakerChange{s.env.Clock.Now(), s.number, line.Destination, line.State, line.Why})
		}
		s.mu.Unlock()
	}
}

// signal sends a signal to the process.
func (s *Sender) signal(sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		s.stopRequested = true
	}
	if s.command != nil && s.command.Process != nil {
		s.command.Process.Signal(sig)
	}
}

// recordState notes a change of the sender's state in the audit record.
func (s *Sender) recordState(state string) {
	s.env.Record.SenderChanged(audit.SenderEvent{Sender: s.number, What: state, At: s.env.Clock.Now()})
}

// kill ends the process with SIGKILL.
func (s *Sender) kill() {
	s.sampleUsage()
	s.recordState("killed")
	s.signal(syscall.SIGKILL)
	<-s.exited
}

// killAfter is the time from SIGTERM to SIGKILL: the shortest that the platform allows for a planned restart.
const killAfter = 3700 * time.Millisecond

// shutdown sends SIGTERM, and kills the process if it has not exited within killAfter.
func (s *Sender) shutdown() error {
	s.sampleUsage()
	s.recordState("leaving")
	s.signal(syscall.SIGTERM)
	select {
	case <-s.exited:
		if state := s.command.ProcessState; state != nil && state.ExitCode() != 0 && s.exitsCleanly {
			return fmt.Errorf("sender %d: expected exit status 0 after SIGTERM, got %d: %s", s.number, state.ExitCode(),
				strings.Join(s.recentLog, "\n"))
		}
		return nil
	case <-time.After(killAfter):
		s.signal(syscall.SIGKILL)
		<-s.exited
		return fmt.Errorf("sender %d did not exit within %v of SIGTERM", s.number, killAfter)
	}
}

// isRunning reports whether a process has been started and has not exited. The caller holds s.mu.
func (s *Sender) isRunning() bool {
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

// sampleUsage updates the peaks of the process's memory and open descriptors.
func (s *Sender) sampleUsage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isRunning() {
		return
	}
	rss, fds, err := processUsage(s.command.Process.Pid)
	if err == nil {
		s.peakRSS, s.peakFDs = max(s.peakRSS, rss), max(s.peakFDs, fds)
	}
}

// cpuTime returns the processor time that all of the sender's processes have used so far.
func (s *Sender) cpuTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := s.exitedCPU
	if s.isRunning() {
		total += processCPU(s.command.Process.Pid)
	}
	return total
}

// limitFiles lets the process open at most extra descriptors beyond those it has open. If extra is negative, it raises
// the limit to the hard limit again.
func (s *Sender) limitFiles(extra int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isRunning() {
		return nil
	}
	pid := s.command.Process.Pid
	var limit unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &limit); err != nil {
		return fmt.Errorf("read the descriptor limit of a sender: %w", err)
	}
	if limit.Cur = limit.Max; extra >= 0 {
		_, openFDs, err := processUsage(pid)
		if err != nil {
			return fmt.Errorf("count the open descriptors of a sender: %w", err)
		}
		limit.Cur = uint64(openFDs + extra)
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		return fmt.Errorf("set the descriptor limit of a sender: %w", err)
	}
	return nil
}

// counter reads one of the sender's counters over HTTP. known is false if the sender does not respond, or is a program
// without that counter.
func (s *Sender) counter(name string) (value int, known bool) {
	client := &http.Client{Timeout: 100 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + s.address + "/counters")
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	for scanner := bufio.NewScanner(io.LimitReader(response.Body, 64<<10)); scanner.Scan(); {
		if text, found := strings.CutPrefix(scanner.Text(), "chuteweir_"+name+" "); found {
			value, err := strconv.Atoi(text)
			return value, err == nil
		}
	}
	return 0, false
}

// processUsage returns a process's resident memory in bytes and the number of its open descriptors, which is 0 without
// the permission to read them.
func processUsage(pid int) (rss int64, fds int, err error) {
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

// processCPU returns the processor time that a running process has used. The kernel counts it in hundredths of a
// second.
func processCPU(pid int) time.Duration {
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
