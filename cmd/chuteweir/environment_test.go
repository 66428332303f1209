package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"chuteweir.example/chuteweir/internal/config"
	"chuteweir.example/chuteweir/internal/directory"
	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/internal/standin"
	"github.com/google/go-cmp/cmp"
)

// This file holds the test environment: the simulated gateways and platform around a sender process, and a record of
// what they receive from it.

// testScenario is the scenario that all tests run. Some tests replace a few of its values.
const testScenario = `
name = "made up"
[machine]
memory = "192MiB"
sockets = 1024
disk = "1MB"
[sending]
slots = 8
hold = 50
trips = 4
idle_kept = "10s"
connect_time = "500ms"
listed_rates = "nominal"
[goal]
whole = 0.5
worst_grade = 0.2
[return]
multiple = 2
[[grade]]
name = "note"
quoted = "3s"
timeout = "12s"
repeat = "reissuable"
[[grade]]
name = "order"
quoted = "3s"
timeout = "12s"
credit = 3
repeat = "at-most-once"
[[portfolio]]
name = "acme"
quota = "50/s"
[[kind]]
name = "shop"
[[zone]]
name = "here"
[[gateway]] # destination 1
name = "s"
kind = "shop"
limit = "20/s"
[[gateway]] # destination 2, whose only receiver is draining
name = "t"
`

// syncBuffer is a text buffer that several goroutines may write to.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (s *syncBuffer) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

// environment is a sender process under test, with the simulated gateways and platform around it.
type environment struct {
	t          *testing.T
	simulation *standin.Environment // of the gateways and the platform
	gateways   *standin.Gateways
	platform   *standin.Platform

	mu               sync.Mutex // guards the fields up to respond
	trace            []string   // a line for each call, outcome report and answer to a client, in the order received
	acceptsReports   bool       // whether the platform accepts outcome reports; if not, it responds with 500
	unreadableReport string     // the platform responds with 400 to reports that contain this text, unless it is empty
	listReplacement  string     // what the platform sends in place of the receiver list, unless it is empty
	// answerList, if set, may answer a request for the receiver list in place of the platform, and returns whether it did.
	answerList func(http.ResponseWriter, *http.Request) bool
	knownList  *directory.List // written to the sender's configuration in place of the platform's present list, if set
	respond    func(*standin.ReceivedCall) standin.Reply

	listen, stateDirectory, configPath string
	config                             config.Config
	sender                             *exec.Cmd
	log                                *syncBuffer
}

// startEnvironment starts a sender in its own environment, with the settings and limits of testScenario. Replacements
// are pairs of old and new texts in it.
func startEnvironment(t *testing.T, replacements ...string) *environment {
	parsed, faults := scenario.Read("made up", []byte(strings.NewReplacer(replacements...).Replace(testScenario)))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	env := &environment{t: t, acceptsReports: true, stateDirectory: t.TempDir(),
		configPath: filepath.Join(t.TempDir(), "config.json"),
		simulation: standin.NewEnvironment(scenario.NewInstance(parsed)),
		respond:    func(*standin.ReceivedCall) standin.Reply { return standin.Reply{Status: 200} }}
	t.Cleanup(env.simulation.Close)
	var err error
	env.gateways, err = standin.NewGateways(env.simulation)
	env.must(err)
	env.gateways.Script = env.receiveCall
	env.platform = env.newPlatform("platform")
	env.listen = env.simulation.UnusedAddress()
	env.config = config.Config{Name: "n0", Listen: env.listen, Seed: 0x8c1f30d27a5be964, Machine: parsed.Machine,
		Settings: parsed.Settings, Names: parsed.Names}
	t.Cleanup(env.killSender)
	env.startSender()
	return env
}

// must fails the test if there is an error.
func (env *environment) must(err error) {
	env.t.Helper()
	if err != nil {
		env.t.Fatal(err)
	}
}

// newPlatform opens a simulated platform that records the outcome reports it receives under its name. Only the one
// named "platform" can be made to refuse reports.
func (env *environment) newPlatform(name string) *standin.Platform {
	platform, err := standin.NewPlatform(env.simulation, env.gateways, 1)
	env.must(err)
	platform.Override = func(_ int, writer http.ResponseWriter, request *http.Request, body []byte) bool {
		env.mu.Lock()
		acceptsReports, unreadableReport, listReplacement, answerList :=
			env.acceptsReports || name != "platform", env.unreadableReport, env.listReplacement, env.answerList
		env.mu.Unlock()
		switch {
		case request.Method == "GET" && listReplacement != "":
			time.Sleep(20 * time.Millisecond)
			io.WriteString(writer, listReplacement)
			return true
		case request.Method == "GET":
			return answerList != nil && answerList(writer, request)
		case unreadableReport != "" && strings.Contains(string(body), unreadableReport):
			writer.WriteHeader(400)
			return true
		}
		env.record("%s: %s", name, strings.TrimSpace(string(body)))
		if !acceptsReports {
			writer.WriteHeader(500)
		}
		return !acceptsReports
	}
	platform.Change(env.member("t-2-1", 2, "draining"))
	return platform
}

// member returns the entry of a receiver in the receiver list.
func (env *environment) member(id string, destination int, phase string) directory.Member {
	return directory.Member{ID: id, HostPort: env.gateways.Address(id), Locality: "here", Flavor: "shop",
		Cell: int64(destination), Phase: phase, Size: 20}
}

// replaceReceiver removes the first receiver of destination 1 from a platform's receiver list and adds another one.
func (env *environment) replaceReceiver(platform *standin.Platform) {
	env.must(env.gateways.Open("other", 1))
	platform.Change(env.member("s-1-1", 1, "gone"), env.member("other", 1, "ready"))
}

// record appends a line to the trace.
func (env *environment) record(format string, args ...any) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.trace = append(env.trace, fmt.Sprintf(format, args...))
}

// recorded returns a copy of the trace.
func (env *environment) recorded() []string {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.Clone(env.trace)
}

// setTrace replaces the trace.
func (env *environment) setTrace(trace []string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.trace = trace
}

// locked calls change with the lock held.
func (env *environment) locked(change func()) {
	env.mu.Lock()
	defer env.mu.Unlock()
	change()
}

// receiveCall records a call to any receiver and responds to it.
func (env *environment) receiveCall(call *standin.ReceivedCall) standin.Reply {
	name := "receiver"
	if call.Receiver == "other" {
		name = "other"
	}
	env.record("%s: POST %s %s %q%s", name, call.Path, call.ID, call.Body, call.Mark)
	env.mu.Lock()
	respond := env.respond
	env.mu.Unlock()
	return respond(call)
}

// respondWith sets how receivers respond from now on.
func (env *environment) respondWith(respond func(*standin.ReceivedCall) standin.Reply) {
	env.locked(func() { env.respond = respond })
}

// respondOK responds with status 200 to a call.
func respondOK(*standin.ReceivedCall) standin.Reply { return standin.Reply{Status: 200} }

// writeConfig writes the sender's configuration file, with the present address and receiver list of the platform.
func (env *environment) writeConfig() {
	env.config.Discovery, env.config.InitialList = env.platform.Address(0), env.platform.List()
	if env.knownList != nil {
		env.config.InitialList = *env.knownList
	}
	text, err := env.config.Platform()
	env.must(err)
	env.must(os.WriteFile(env.configPath, text, 0o600))
}

// startSender starts the sender process and waits until it is ready.
func (env *environment) startSender() {
	env.t.Helper()
	env.writeConfig()
	env.log = &syncBuffer{}
	env.sender = exec.Command(program)
	env.sender.Env = append(os.Environ(), "PROXY_CONFIG="+env.configPath, "PROXY_STATE="+env.stateDirectory,
		"GORACE=atexit_sleep_ms=100")
	env.sender.Stdout, env.sender.Stderr = env.log, env.log
	env.must(env.sender.Start())
	for range 500 {
		// The sender never waits for its log, so the line "ready" may appear after its first response.
		if response, err := http.Get("http://" + env.listen + "/up"); err == nil {
			response.Body.Close()
			if strings.Contains(env.log.String(), "msg=ready") {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	env.t.Fatalf("the sender was not ready within 500 attempts: %s", env.log)
}

// killSender kills the sender process, and fails the test if the race detector has reported a race in it.
func (env *environment) killSender() {
	env.sender.Process.Kill()
	env.sender.Wait()
	if strings.Contains(env.log.String(), "DATA RACE") {
		env.t.Errorf("data race in the sender:\n%s", env.log)
	}
}

// submit submits a notice and records the sender's answer to the client.
func (env *environment) submit(grade, id string, timeoutMS, destination int, headers ...string) {
	env.record("client: %s %s", id, env.sendRaw(submission(grade, id, timeoutMS, destination, "body", headers...)))
}

// submission returns the text of an HTTP request that submits a notice.
func submission(grade, id string, timeoutMS, destination int, body string, headers ...string) string {
	return fmt.Sprintf(
		"POST /%s HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nTenant: acme\r\n"+
			"Request-Timeout-Ms: %d\r\nX-Consignee: dest=%d\r\nContent-Length: %d\r\n%s\r\n%s",
		grade, id, grade, timeoutMS, destination, len(body), strings.Join(headers, ""), body)
}

// sendRaw sends bytes to the sender on a new connection and returns a summary of the first answer.
func (env *environment) sendRaw(request string) string {
	conn, err := net.Dial("tcp", env.listen)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	io.WriteString(conn, request)
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer"
	}
	summary := response.Status
	if response.Close {
		summary += ", closing"
	}
	if retryAfter := response.Header.Get("Retry-After"); retryAfter != "" {
		summary += ", retry after " + retryAfter
	}
	return summary
}

// awaitLines waits until at least a number of lines of the trace begin with a prefix.
func (env *environment) awaitLines(count int, prefix string) {
	env.t.Helper()
	seen := 0
	for range 600 {
		env.mu.Lock()
		seen = 0
		for _, line := range env.trace {
			if strings.HasPrefix(line, prefix) {
				seen++
			}
		}
		env.mu.Unlock()
		if seen >= count {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	response, err := http.Get("http://" + env.listen + "/counters")
	if err == nil {
		text, _ := io.ReadAll(response.Body)
		env.t.Logf("counters: %s", text)
	}
	env.t.Fatalf("%d of %d lines begin with %q in\n%s\n%s", seen, count, prefix,
		strings.Join(env.recorded(), "\n"), env.log)
}

// checkTrace compares the trace with the one expected. It sorts the lines by the text before the colon, as lines from
// different connections have no defined order.
func (env *environment) checkTrace(want string) {
	env.t.Helper()
	env.mu.Lock()
	defer env.mu.Unlock()
	source := func(line string) string { name, _, _ := strings.Cut(line, ":"); return name }
	slices.SortStableFunc(env.trace, func(a, b string) int { return strings.Compare(source(a), source(b)) })
	if diff := cmp.Diff(strings.TrimSpace(want), strings.Join(env.trace, "\n")); diff != "" {
		env.t.Errorf("-want +got:\n%s\n%s", diff, env.log)
	}
}

// shutDown ends the sender by SIGTERM and checks that it exits without an error within 3.5 s.
func (env *environment) shutDown() {
	env.t.Helper()
	started := time.Now()
	env.must(env.sender.Process.Signal(syscall.SIGTERM))
	if err := env.sender.Wait(); err != nil || time.Since(started) > 3500*time.Millisecond {
		env.t.Errorf("the sender exited %v after SIGTERM: %v\n%s", time.Since(started), err, env.log)
	}
}

// recordCounters appends the first ten counters, those of submitted notices and of calls, to the trace.
func (env *environment) recordCounters() {
	env.t.Helper()
	time.Sleep(50 * time.Millisecond)
	response, err := http.Get("http://" + env.listen + "/counters")
	env.must(err)
	text, _ := io.ReadAll(response.Body)
	env.record("%s", strings.ReplaceAll(strings.Join(strings.Fields(string(text))[:20], " "), "chuteweir_", ""))
}
