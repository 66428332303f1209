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

// The stand-ins around a sender under test, and what is seen of it.

const madeUp = `
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
[[gateway]] # destination 2, whose only receiver drains
name = "t"
`

// page is text that several goroutines may write.
type page struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (p *page) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.Write(b)
}

func (p *page) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.String()
}

// world is stand-ins, and what is seen of the sender under test.
type world struct {
	t        *testing.T
	stage    *standin.Stage
	gateways *standin.Gateways
	platform *standin.Platform

	mu      sync.Mutex
	trace   []string
	takes   bool   // whether the platform takes notices of ends
	rejects string // what it can't read among them
	garbage string // what it tells in place of the list
	answer  func(*standin.Asked) standin.Reply

	listen, state, path string
	config              config.Config
	sender              *exec.Cmd
	log                 *page
}

// begin starts a sender with the made-up settings and limits, some words of them replaced.
func begin(t *testing.T, replaced ...string) *world {
	s, faults := scenario.Read("made up", []byte(strings.NewReplacer(replaced...).Replace(madeUp)))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	w := &world{t: t, takes: true, state: t.TempDir(), path: filepath.Join(t.TempDir(), "config.json"),
		stage:  standin.NewStage(scenario.Lay(s)),
		answer: func(*standin.Asked) standin.Reply { return standin.Reply{Status: 200} }}
	t.Cleanup(w.stage.Close)
	var err error
	w.gateways, err = standin.NewGateways(w.stage)
	w.must(err)
	w.gateways.Script = w.receive
	w.platform = w.newPlatform("platform")
	w.listen = w.stage.Free()
	w.config = config.Config{Name: "n0", Listen: w.listen, Seed: 0x8c1f30d27a5be964, Machine: s.Machine, Settings: s.Settings, Names: s.Names}
	t.Cleanup(w.kill)
	w.start()
	return w
}

func (w *world) must(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

// newPlatform opens a platform that is heard under a name.
func (w *world) newPlatform(name string) *standin.Platform {
	p, err := standin.NewPlatform(w.stage, w.gateways, 1)
	w.must(err)
	p.Answer = func(_ int, out http.ResponseWriter, r *http.Request, body []byte) bool {
		w.mu.Lock()
		takes, rejects, garbage := w.takes || name != "platform", w.rejects, w.garbage
		w.mu.Unlock()
		switch {
		case r.Method == "GET" && garbage != "":
			time.Sleep(20 * time.Millisecond)
			io.WriteString(out, garbage)
			return true
		case r.Method == "GET":
			return false
		case rejects != "" && strings.Contains(string(body), rejects):
			out.WriteHeader(400)
			return true
		}
		w.say("%s: %s", name, strings.TrimSpace(string(body)))
		if !takes {
			out.WriteHeader(500)
		}
		return !takes
	}
	p.Change(w.member("t-2-1", 2, "draining"))
	return p
}

func (w *world) member(id string, destination int, phase string) directory.Member {
	return directory.Member{ID: id, HostPort: w.gateways.Address(id), Locality: "here", Flavor: "shop", Cell: int64(destination),
		Phase: phase, Size: 20}
}

// replace lists another receiver of destination 1 in the first one's place.
func (w *world) replace(p *standin.Platform) {
	w.must(w.gateways.Open("other", 1))
	p.Change(w.member("s-1-1", 1, "gone"), w.member("other", 1, "ready"))
}

func (w *world) say(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}

// heard is the trace so far.
func (w *world) heard() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.trace)
}

// hear puts another trace in its place.
func (w *world) hear(trace []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.trace = trace
}

func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// receive is the receivers.
func (w *world) receive(a *standin.Asked) standin.Reply {
	name := "receiver"
	if a.Receiver == "other" {
		name = "other"
	}
	w.say("%s: POST %s %s %q%s", name, a.Path, a.ID, a.Body, a.Mark)
	w.mu.Lock()
	answer := w.answer
	w.mu.Unlock()
	return answer(a)
}

// answers says how receivers answer from now on.
func (w *world) answers(f func(*standin.Asked) standin.Reply) { w.set(func() { w.answer = f }) }

// fine is what receivers answer when all is well.
func fine(*standin.Asked) standin.Reply { return standin.Reply{Status: 200} }

// configure writes the sender's configuration.
func (w *world) configure() {
	w.config.Discovery, w.config.Known = w.platform.Address(0), w.platform.List()
	text, err := w.config.Platform()
	w.must(err)
	w.must(os.WriteFile(w.path, text, 0o600))
}

func (w *world) start() {
	w.t.Helper()
	w.configure()
	w.log = &page{}
	w.sender = exec.Command(program)
	w.sender.Env = append(os.Environ(), "PROXY_CONFIG="+w.path, "PROXY_STATE="+w.state, "GORACE=atexit_sleep_ms=100")
	w.sender.Stdout, w.sender.Stderr = w.log, w.log
	w.must(w.sender.Start())
	for range 500 {
		// Its line may be written after its first answer: the log is never waited for.
		if out, err := http.Get("http://" + w.listen + "/up"); err == nil {
			out.Body.Close()
			if strings.Contains(w.log.String(), "msg=ready") {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.t.Fatalf("the sender did not come up: %s", w.log)
}

func (w *world) kill() {
	w.sender.Process.Kill()
	w.sender.Wait()
	if strings.Contains(w.log.String(), "DATA RACE") {
		w.t.Errorf("a race in the sender:\n%s", w.log)
	}
}

// hand hands a notice in and writes down what the client hears.
func (w *world) hand(grade, id string, left, to int, more ...string) {
	w.say("client: %s %s", id, w.speakRaw(post(grade, id, left, to, "body", more...)))
}

func post(grade, id string, left, to int, body string, more ...string) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nTenant: acme\r\n"+
		"Request-Timeout-Ms: %d\r\nX-Consignee: dest=%d\r\nContent-Length: %d\r\n%s\r\n%s",
		grade, id, grade, left, to, len(body), strings.Join(more, ""), body)
}

// speakRaw sends bytes on a connection of its own and returns the answer in short.
func (w *world) speakRaw(text string) string {
	c, err := net.Dial("tcp", w.listen)
	if err != nil {
		return "no connection"
	}
	defer c.Close()
	io.WriteString(c, text)
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer"
	}
	short := answer.Status
	if answer.Close {
		short += ", closing"
	}
	if after := answer.Header.Get("Retry-After"); after != "" {
		short += ", retry after " + after
	}
	return short
}

// await waits until so many lines of the trace begin with a text.
func (w *world) await(count int, with string) {
	w.t.Helper()
	seen := 0
	for range 600 {
		w.mu.Lock()
		seen = 0
		for _, line := range w.trace {
			if strings.HasPrefix(line, with) {
				seen++
			}
		}
		w.mu.Unlock()
		if seen >= count {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	page, err := http.Get("http://" + w.listen + "/counters")
	if err == nil {
		text, _ := io.ReadAll(page.Body)
		w.t.Logf("counters: %s", text)
	}
	w.t.Fatalf("%d of %d lines with %q in\n%s\n%s", seen, count, with, strings.Join(w.heard(), "\n"), w.log)
}

// check compares the trace, sorted by who speaks: what is said on different connections has no order.
func (w *world) check(want string) {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	who := func(line string) string { name, _, _ := strings.Cut(line, ":"); return name }
	slices.SortStableFunc(w.trace, func(a, b string) int { return strings.Compare(who(a), who(b)) })
	if diff := cmp.Diff(strings.TrimSpace(want), strings.Join(w.trace, "\n")); diff != "" {
		w.t.Errorf("-want +got:\n%s\n%s", diff, w.log)
	}
}

// leave ends the sender by SIGTERM and checks how it goes.
func (w *world) leave() {
	w.t.Helper()
	began := time.Now()
	w.must(w.sender.Process.Signal(syscall.SIGTERM))
	if err := w.sender.Wait(); err != nil || time.Since(began) > 3500*time.Millisecond {
		w.t.Errorf("left after %v: %v\n%s", time.Since(began), err, w.log)
	}
}

// count writes down the counters of notices handed in and of calls.
func (w *world) count() {
	w.t.Helper()
	time.Sleep(50 * time.Millisecond)
	page, err := http.Get("http://" + w.listen + "/counters")
	w.must(err)
	text, _ := io.ReadAll(page.Body)
	w.say("%s", strings.ReplaceAll(strings.Join(strings.Fields(string(text))[:20], " "), "chuteweir_", ""))
}
