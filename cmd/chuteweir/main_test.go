package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"chuteweir.example/chuteweir/internal/standin"
)

// These tests build the program, start it and communicate with it over sockets, with a simulated platform and
// simulated receivers around it.

// program is the path of the program under test, which TestMain builds.
var program string

// TestMain builds the program once for all tests.
func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "chuteweir")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(directory, "chuteweir")
	build := append([]string{"build", "-o", program}, buildFlags...)
	if os.Getenv("GOCOVERDIR") != "" {
		build = append(build, "-cover", "-coverpkg=./../...")
	}
	if out, err := exec.Command("go", append(build, ".")...).CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(directory)
	os.Exit(code)
}

// Checks that notices are delivered, also after trips that fail by an error status or a connection reset, and that
// responses without a length and in chunks count as deliveries.
func TestServes(t *testing.T) {
	env := startEnvironment(t)
	env.submit("note", "n-1", 12000, 1)
	env.awaitLines(1, "receiver")
	calls := 0
	env.respondWith(func(*standin.ReceivedCall) standin.Reply {
		calls++
		switch calls {
		case 1:
			return standin.Reply{Status: 500}
		case 2: // the connection is reset after the call, which may have taken effect
			return standin.Reply{Reset: true}
		case 3: // a response that extends to the close of the connection, with a load report
			return standin.Reply{Raw: "HTTP/1.1 200 OK\r\nServer-Load: x0=0.5,x1=25\r\n\r\nfine", Close: true}
		}
		return standin.Reply{Raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n"}
	})
	env.submit("note", "n-2", 12000, 1)
	env.awaitLines(4, "receiver")
	env.submit("order", "o-1", 12000, 1)
	env.awaitLines(5, "receiver")
	env.recordCounters()
	env.checkTrace(`
client: n-1 202 Accepted
client: n-2 202 Accepted
client: o-1 202 Accepted
receiver: POST /events n-1 "body"
receiver: POST /events n-2 "body"
receiver: POST /events n-2 "body"
receiver: POST /events n-2 "body"
receiver: POST /events o-1 "body"
taken 3 refused 0 dismissed 0 trips 5 handled 3 full 0 errored 1 lost 1 unmet 0 unsent 0
`)
	env.shutDown()
}

// Checks how each kind of response is counted. The receiver gives them one after the other to the trips of one
// notice.
func TestOutcomes(t *testing.T) {
	env := startEnvironment(t, `trips = 4`, `trips = 12`)
	responses := []string{
		"HTTP/1.1 503 Busy\r\nX-Line-Busy: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 504 Used up\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Full\r\nServer-Load: x0=nonsense\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 429 Wait\r\nRetry-After: 0.05\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"no HTTP at all\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut",
	}
	env.respondWith(func(*standin.ReceivedCall) standin.Reply {
		raw := responses[0]
		responses = responses[1:]
		return standin.Reply{Raw: raw, Close: true}
	})
	env.submit("note", "n-1", 12000, 1)
	env.awaitLines(6, "receiver")
	env.recordCounters()
	env.setTrace(env.recorded()[len(env.recorded())-1:])
	env.checkTrace("taken 1 refused 0 dismissed 0 trips 6 handled 1 full 2 errored 0 lost 1 unmet 0 unsent 2")
	env.shutDown()
}

// Guards against accepting malformed requests, and against clients that get neither an error nor a close within 3 s.
func TestRejectsMalformedRequests(t *testing.T) {
	env := startEnvironment(t)
	valid := func(headers string) string { return submission("note", "a", 12000, 1, "", headers) }
	for name, request := range map[string]string{
		"1 unknown grade":   submission("x", "a", 12000, 1, ""),
		"2 no destination":  strings.Replace(valid(""), "dest=1", "dest=", 1),
		"2 unknown":         submission("note", "a", 12000, 70000, ""),
		"3 no id":           submission("note", "", 12000, 1, ""),
		"3 odd id":          submission("note", "\xe9\xff", 12000, 1, ""),
		"4 no time":         strings.Replace(valid(""), "12000", "soon", 1),
		"4 negative time":   submission("note", "a", -1, 1, ""),
		"5 huge body":       valid("Content-Length: 99999999\r\n"),
		"5 huge length":     strings.Replace(valid(""), "Length: 0", "Length: 99999999", 1),
		"5 negative length": strings.Replace(valid(""), "Length: 0", "Length: -1", 1),
		"5 two lengths":     valid("Content-Length: 4\r\n"),
		"5 hidden request":  valid("Transfer-Encoding: chunked\r\n") + "0\r\n\r\n" + valid(""),
		"5 odd encoding":    strings.Replace(valid(""), "Content-Length: 0", "Transfer-Encoding: xchunked", 1),
		"6 huge head":       "GET /up HTTP/1.1\r\nA: " + strings.Repeat("a", 20_000) + "\r\n\r\n",
		"7 nonsense":        "\x16\x03\x01 hello\r\n\r\n",
		"7 many at once":    strings.Repeat(submission("x", "a", 12000, 1, ""), 300),
		"8 never complete":  "POST /note HTTP/1.1\r\nContent-Length: 9\r\n\r\nab",
		"8 half a line":     "POST /no",
		"8 silent":          "",
		"9 other method":    "PUT /note HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
		"a up":              "GET /up HTTP/1.1\r\n\r\n",
		"b two pipelined":   "GET /up HTTP/1.1\r\n\r\nGET /up HTTP/1.1\r\n\r\n",
		"c expects 100":     "POST /note HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n",
	} {
		started := time.Now()
		env.record("%s: %s", name, env.sendRaw(request))
		if time.Since(started) > 3*time.Second {
			t.Errorf("%s: answered or closed only after %v, want at most 3 s", name, time.Since(started))
		}
	}
	env.respondWith(func(*standin.ReceivedCall) standin.Reply {
		return standin.Reply{Status: 200, Delay: 300 * time.Millisecond}
	})
	env.record("d first: %s", env.sendRaw(submission("note", "same", 12000, 1, "")))
	env.record("d same id again: %s", env.sendRaw(submission("note", "same", 12000, 1, "")))
	time.Sleep(500 * time.Millisecond)
	env.record("d same id later: %s", env.sendRaw(submission("note", "same", 12000, 1, "")))
	env.locked(func() { slices.Sort(env.trace) })
	env.checkTrace(`
1 unknown grade: 404 Not Found, closing
2 no destination: 400 Bad Request, closing
2 unknown: 503 Service Unavailable, closing
3 no id: 400 Bad Request, closing
3 odd id: 400 Bad Request, closing
4 negative time: 400 Bad Request, closing
4 no time: 400 Bad Request, closing
5 hidden request: 400 Bad Request, closing
5 huge body: 400 Bad Request, closing
5 huge length: 413 Content Too Large, closing
5 negative length: 400 Bad Request, closing
5 odd encoding: 501 Not Implemented, closing
5 two lengths: 400 Bad Request, closing
6 huge head: 431 Request Header Fields Too Large, closing
7 many at once: 404 Not Found
7 nonsense: 400 Bad Request, closing
8 half a line: 408 Request Timeout, closing
8 never complete: 408 Request Timeout, closing
8 silent: no answer
9 other method: 405 Method Not Allowed, closing
a up: 200 OK
b two pipelined: 200 OK
c expects 100: 100 Continue
d first: 202 Accepted
d same id again: 409 Conflict
d same id later: 409 Conflict
receiver: POST /events same ""
`)
	env.shutDown()
}

// Guards against a killed sender that loses accepted notices, or that after its restart repeats an at-most-once
// notice whose call may have taken effect.
func TestRestoresNoticesAfterKill(t *testing.T) {
	env := startEnvironment(t)
	env.respondWith(func(call *standin.ReceivedCall) standin.Reply {
		if call.ID == "o-1" { // rejected, so it has had no effect
			return standin.Reply{Status: 429, HeaderLines: []string{"Retry-After: 7.5"}}
		}
		return standin.Reply{NoResponse: true}
	})
	env.submit("note", "n-1", 12000, 1, "Idempotency-Key: key\r\n")
	env.awaitLines(1, "receiver")
	env.submit("order", "o-2", 12000, 1)
	env.awaitLines(2, "receiver")
	env.submit("order", "o-1", 12000, 1)
	env.awaitLines(3, "receiver")
	time.Sleep(100 * time.Millisecond)
	env.killSender()
	env.checkTrace(`
client: n-1 202 Accepted
client: o-2 202 Accepted
client: o-1 202 Accepted
receiver: POST /events n-1 "body"key
receiver: POST /events o-2 "body"
receiver: POST /events o-1 "body"
`)
	env.setTrace(nil)
	env.respondWith(respondOK)
	env.startSender()
	env.awaitLines(2, "receiver")
	env.awaitLines(1, "platform")
	env.shutDown()
	env.locked(func() { slices.Sort(env.trace) })
	env.checkTrace(`
platform: {"message":"o-2","outcome":"given_up"}
receiver: POST /events n-1 "body"key
receiver: POST /events o-1 "body"
`)
	env.startSender()
	if !strings.Contains(env.log.String(), "restored=0") {
		t.Errorf("want no notices restored after all were finished: %s", env.log)
	}
	env.shutDown()
}

// Guards against a shutdown that cuts off a call in flight, and against a sender that accepts notices during it.
func TestFinishesCallsBeforeShutdown(t *testing.T) {
	env := startEnvironment(t)
	env.respondWith(func(*standin.ReceivedCall) standin.Reply {
		return standin.Reply{Status: 200, Delay: 700 * time.Millisecond}
	})
	env.submit("order", "o-1", 12000, 1)
	env.awaitLines(1, "receiver")
	env.must(env.sender.Process.Signal(syscall.SIGTERM))
	time.Sleep(100 * time.Millisecond)
	env.submit("note", "n-1", 12000, 1)
	env.record("up: %s", env.sendRaw("GET /up HTTP/1.1\r\n\r\n"))
	env.shutDown()
	env.checkTrace(`
client: o-1 202 Accepted
client: n-1 503 Service Unavailable, closing
receiver: POST /events o-1 "body"
up: 503 Service Unavailable, closing
`)
	env.startSender()
	if !strings.Contains(env.log.String(), "restored=0") {
		t.Errorf("want no notices restored, as the call in flight had time to finish: %s", env.log)
	}
}

// Guards against losing a final outcome that the platform has not accepted: it is reported until it is accepted,
// also by the next process.
func TestOutcomeReportsAreKept(t *testing.T) {
	env := startEnvironment(t)
	env.locked(func() { env.acceptsReports = false })
	env.submit("note", "n-1", 200, 2)
	env.awaitLines(2, "platform")
	env.killSender()
	env.locked(func() { env.acceptsReports, env.trace = true, nil })
	env.startSender()
	env.awaitLines(1, "platform")
	time.Sleep(300 * time.Millisecond)
	env.checkTrace(`platform: {"message":"n-1","outcome":"handed_back"}`)
	env.shutDown()
}

// Guards against one outcome report that the platform responds to with 400 blocking the others.
func TestRejectedOutcomeReportDoesNotBlockOthers(t *testing.T) {
	env := startEnvironment(t)
	env.locked(func() { env.acceptsReports = false })
	for i := range 5 {
		env.submit("note", fmt.Sprint("n-", i), 200, 2)
	}
	env.awaitLines(2, "platform")
	env.locked(func() { env.acceptsReports, env.unreadableReport, env.trace = true, "n-2", nil })
	time.Sleep(1500 * time.Millisecond)
	var reports []string
	for _, line := range env.recorded() {
		reports = append(reports, strings.Split(strings.ReplaceAll(line, "platform: ", ""), "\n")...)
	}
	slices.Sort(reports)
	env.setTrace(reports)
	env.checkTrace(`
{"message":"n-0","outcome":"handed_back"}
{"message":"n-1","outcome":"handed_back"}
{"message":"n-3","outcome":"handed_back"}
{"message":"n-4","outcome":"handed_back"}
`)
	if !strings.Contains(env.log.String(), `the outcome report of notice \"n-2\": dropped`) {
		t.Errorf("the log does not name the outcome report that was dropped: %s", env.log)
	}
	env.shutDown()
}

// Guards against losing the known receivers when a malformed receiver list arrives, and checks that a later valid
// list is followed.
func TestFollowsTheReceiverList(t *testing.T) {
	env := startEnvironment(t)
	env.locked(func() { env.listReplacement = `{"revision":2,"members":[{"id":"s-1-1","phase":` })
	env.platform.Change()
	time.Sleep(100 * time.Millisecond)
	env.submit("note", "n-1", 12000, 1)
	env.awaitLines(1, "receiver")
	env.locked(func() {
		env.listReplacement = `{"revision":2,"complete":true,"members":[{"id":"s-1-1","phase":"asleep"}]}`
	})
	time.Sleep(100 * time.Millisecond)
	env.submit("note", "n-2", 12000, 1)
	env.awaitLines(2, "receiver")
	env.locked(func() { env.listReplacement = "" })
	env.replaceReceiver(env.platform)
	time.Sleep(1200 * time.Millisecond)
	env.submit("note", "n-3", 12000, 1)
	env.awaitLines(1, "other")
	env.checkTrace(`
client: n-1 202 Accepted
client: n-2 202 Accepted
client: n-3 202 Accepted
other: POST /events n-3 "body"
receiver: POST /events n-1 "body"
receiver: POST /events n-2 "body"
`)
	env.shutDown()
}

// Checks that a notice that can't be delivered in time is refused with a Retry-After header, and that a notice whose
// receiver responds with 410 is not tried again.
func TestRefusesWhatCannotBeDeliveredInTime(t *testing.T) {
	env := startEnvironment(t)
	env.respondWith(func(call *standin.ReceivedCall) standin.Reply {
		if call.ID == "o-1" {
			return standin.Reply{Status: 410}
		}
		// The connection ends within the body: the call may have taken effect, and the wait requested in the head
		// applies.
		return standin.Reply{Raw: "HTTP/1.1 429 Wait\r\nRetry-After: 7.5\r\nContent-Length: 100\r\n\r\ncut",
			Close: true}
	})
	env.submit("order", "o-1", 12000, 1)
	env.awaitLines(1, "receiver")
	env.submit("note", "n-1", 12000, 1)
	env.awaitLines(2, "receiver")
	time.Sleep(100 * time.Millisecond)
	env.submit("note", "n-2", 3000, 1)
	env.checkTrace(`
client: o-1 202 Accepted
client: n-1 202 Accepted
client: n-2 429 Too Many Requests, retry after 3.000
receiver: POST /events o-1 "body"
receiver: POST /events n-1 "body"
`)
	env.killSender()
	env.startSender()
	if !strings.Contains(env.log.String(), "restored=1") {
		t.Errorf("want only n-1 restored: %s", env.log)
	}
}

// Checks that a sender whose ledger is nearly full of waiting notices hands back those with the least expected
// credit and refuses new ones that don't fit, and that each accepted notice is either reported to the platform or
// still pending.
func TestFullLedger(t *testing.T) {
	env := startEnvironment(t)
	body := strings.Repeat("b", 64<<10)
	accepted := 0
	for i := range 9 { // held, because the only receiver of destination 2 is draining
		id := fmt.Sprint("n-", i)
		switch answer := env.sendRaw(submission("note", id, 12000, 2, body)); answer {
		case "202 Accepted":
			accepted++
		case "503 Service Unavailable":
		default:
			t.Errorf("%s was answered by %q; want 202 Accepted or 503 Service Unavailable", id, answer)
		}
	}
	time.Sleep(300 * time.Millisecond)
	handedBack := map[string]bool{}
	collectReports := func() { // from the reports that the platform has accepted, each of which may hold several
		for _, recorded := range env.recorded() {
			if reports, ok := strings.CutPrefix(recorded, "platform: "); ok {
				for line := range strings.Lines(reports) {
					if !strings.Contains(line, `"outcome":"handed_back"`) {
						t.Errorf("want the outcome handed_back, got %s", line)
					}
					handedBack[strings.TrimSpace(line)] = true
				}
			}
		}
	}
	collectReports()
	if accepted < 5 || len(handedBack) == 0 || accepted-len(handedBack) < 2 {
		t.Errorf("%d accepted, %d handed back; want at least 5 accepted, 1 handed back and 2 pending",
			accepted, len(handedBack))
	}
	env.killSender()
	env.startSender()
	var restored int
	_, rest, _ := strings.Cut(env.log.String(), "restored=")
	fmt.Sscan(rest, &restored)
	time.Sleep(200 * time.Millisecond)
	before := len(handedBack)
	collectReports() // those reported by the second process are added
	if restored < accepted-len(handedBack) || restored > accepted-before {
		t.Errorf("%d accepted, %d and then %d handed back, %d restored; want all restored that were not handed back: %s",
			accepted, before, len(handedBack), restored, env.log)
	}
}

// Checks that an idle connection is reused only for as long as the receiver is certain to keep it open.
func TestIdleConnections(t *testing.T) {
	env := startEnvironment(t, `idle_kept = "10s"`, `idle_kept = "400ms"`)
	var remotes []string
	env.respondWith(func(call *standin.ReceivedCall) standin.Reply {
		env.locked(func() { remotes = append(remotes, call.RemoteAddress) })
		return standin.Reply{Status: 200}
	})
	for i, pause := range []time.Duration{50, 600, 0} {
		env.submit("note", fmt.Sprint("n-", i), 12000, 1)
		env.awaitLines(i+1, "receiver")
		time.Sleep(pause * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	env.mu.Lock()
	defer env.mu.Unlock()
	if remotes[0] != remotes[1] || remotes[1] == remotes[2] {
		t.Errorf("calls came from %v; want the first two on one connection and the third on another", remotes)
	}
}

// Checks that a sender with an unusable configuration exits with an error of one line.
func TestRefusesToStart(t *testing.T) {
	for _, text := range []string{``, `{`, `{"listen":"127.0.0.1:1"}`,
		`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","settings":[]}`,
		`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"x","settings":{}}`,
		`{"listen":"nowhere","discovery":"127.0.0.1:2","seed":"1","settings":{}}`,
		`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","settings":{},"known":{"members":[{"cell":-1}]}}`,
	} {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		command := exec.Command(program)
		command.Env = append(os.Environ(), "PROXY_CONFIG="+path, "PROXY_STATE="+t.TempDir())
		out, err := command.CombinedOutput()
		if err == nil || !strings.HasPrefix(string(out), "chuteweir: ") || strings.Count(string(out), "\n") != 1 {
			t.Errorf("configuration %s: want an exit with an error of one line, got %v: %s", text, err, out)
		}
	}
}

// Checks that after a reload the receiver list and the pending outcome reports go by the new discovery address, and
// that a configuration that can't be read changes nothing.
func TestReloads(t *testing.T) {
	env := startEnvironment(t)
	env.locked(func() { env.acceptsReports = false })
	env.respondWith(func(call *standin.ReceivedCall) standin.Reply {
		if call.ID == "n-0" {
			time.Sleep(700 * time.Millisecond)
			env.record("receiver: n-0 is answered")
		}
		return standin.Reply{Status: 200}
	})
	env.submit("note", "n-0", 12000, 1) // its call stays in flight during both reloads
	env.awaitLines(1, "receiver")
	env.submit("note", "n-1", 200, 2)
	env.awaitLines(1, "platform")
	env.must(os.WriteFile(env.configPath, []byte(`{"listen": "`), 0o600))
	env.must(env.sender.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	env.platform = env.newPlatform("moved") // the revisions of its list start again at 1
	env.replaceReceiver(env.platform)
	env.writeConfig()
	env.must(env.sender.Process.Signal(syscall.SIGHUP))
	env.awaitLines(1, "moved")
	env.submit("note", "n-2", 12000, 1)
	env.awaitLines(1, "other")
	env.awaitLines(2, "receiver")
	env.locked(func() {
		env.trace = slices.DeleteFunc(env.trace, func(line string) bool { return strings.HasPrefix(line, "platform") })
	})
	env.checkTrace(`
client: n-0 202 Accepted
client: n-1 202 Accepted
client: n-2 202 Accepted
moved: {"message":"n-1","outcome":"handed_back"}
other: POST /events n-2 "body"
receiver: POST /events n-0 "body"
receiver: n-0 is answered
`)
	env.shutDown()
}

// Guards against clients that open hundreds of connections and send nothing or half a request, and so block other
// clients.
func TestSilentClients(t *testing.T) {
	env := startEnvironment(t, `sockets = 1024`, `sockets = 100`)
	for i := range 300 {
		conn, err := net.Dial("tcp", env.listen)
		env.must(err)
		defer conn.Close()
		if i%2 == 0 {
			io.WriteString(conn, "POST /note HTTP/1.1\r\nRequest-Id:")
		}
		if i%100 == 99 {
			started := time.Now()
			env.submit("note", fmt.Sprint("n-", i), 12000, 1)
			if time.Since(started) > 400*time.Millisecond {
				t.Errorf("answered only after %v, want at most 400 ms", time.Since(started))
			}
		}
	}
	env.awaitLines(3, "receiver")
	env.checkTrace(`
client: n-99 202 Accepted
client: n-199 202 Accepted
client: n-299 202 Accepted
receiver: POST /events n-99 "body"
receiver: POST /events n-199 "body"
receiver: POST /events n-299 "body"
`)
	env.shutDown()
}

// Guards against running out of memory by clients that each stop within a large request: the oldest connections are
// closed.
func TestUnfinishedRequests(t *testing.T) {
	env := startEnvironment(t, `memory = "192MiB"`, `memory = "16MiB"`)
	incomplete := strings.TrimSuffix(submission("note", "half", 12000, 1, strings.Repeat("b", 60<<10)), "b")
	for range 60 {
		conn, err := net.Dial("tcp", env.listen)
		env.must(err)
		defer conn.Close()
		io.WriteString(conn, incomplete)
	}
	time.Sleep(500 * time.Millisecond)
	env.submit("note", "n-1", 12000, 1)
	env.awaitLines(1, "receiver")
	env.checkTrace(`
client: n-1 202 Accepted
receiver: POST /events n-1 "body"
`)
	response, err := http.Get("http://" + env.listen + "/counters")
	env.must(err)
	text, _ := io.ReadAll(response.Body)
	if !strings.Contains(string(text), "closed_crowded 44") {
		t.Errorf("want 44 of 60 connections with 64 KiB each closed to stay below 1 MiB:\n%s", text)
	}
}

// Checks that the notices of one key are called one at a time, in the order in which they were accepted.
func TestKeepsOrder(t *testing.T) {
	env := startEnvironment(t, `repeat = "reissuable"`, "repeat = \"reissuable\"\nin_order = true")
	env.respondWith(func(call *standin.ReceivedCall) standin.Reply {
		time.Sleep(100 * time.Millisecond)
		env.record("receiver: %s is done", call.ID)
		return standin.Reply{Status: 200}
	})
	for _, id := range []string{"n-1", "n-2"} {
		env.submit("note", id, 12000, 1, "Affinity-Key: k\r\n")
		env.awaitLines(1, "receiver")
	}
	env.awaitLines(4, "receiver")
	env.checkTrace(`
client: n-1 202 Accepted
client: n-2 202 Accepted
receiver: POST /events n-1 "body"
receiver: n-1 is done
receiver: POST /events n-2 "body"
receiver: n-2 is done
`)
}

// Checks that over repeated kills and shutdowns at any point of the work each accepted notice is delivered or its
// final outcome reported, and that no at-most-once notice takes effect twice.
func TestManyRestarts(t *testing.T) {
	env := startEnvironment(t, `slots = 8`, `slots = 20`)
	random := rand.New(rand.NewPCG(7, 7))
	accepted, executions, delivered := map[string]bool{}, map[string]int{}, map[string]bool{}
	env.respondWith(func(call *standin.ReceivedCall) standin.Reply {
		env.mu.Lock()
		behavior := random.IntN(20)
		if behavior != 0 {
			executions[call.ID]++
		}
		env.mu.Unlock()
		switch behavior {
		case 0:
			return standin.Reply{Status: 503}
		case 1:
			return standin.Reply{Status: 500}
		case 2:
			time.Sleep(400 * time.Millisecond)
		case 3:
			return standin.Reply{Reset: true}
		default:
			time.Sleep(100 * time.Millisecond)
		}
		env.locked(func() { delivered[call.ID] = true })
		return standin.Reply{Status: 200}
	})
	for round := range 6 {
		for i := range 40 {
			grade := []string{"note", "order"}[i%2]
			id := fmt.Sprintf("%s-%d-%d", grade, round, i)
			if strings.HasPrefix(env.sendRaw(submission(grade, id, 5000, 1, "body")), "202") {
				accepted[id] = true
			}
			time.Sleep(2 * time.Millisecond)
		}
		if round%2 == 0 {
			env.killSender()
		} else {
			env.shutDown()
		}
		env.startSender()
	}
	for range 80 {
		time.Sleep(100 * time.Millisecond)
		env.mu.Lock()
		pending := len(accepted)
		trace := strings.Join(env.trace, "\n")
		for id := range accepted {
			if delivered[id] || strings.Contains(trace, `"`+id+`"`) {
				pending--
			}
		}
		env.mu.Unlock()
		if pending == 0 {
			break
		}
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	trace := strings.Join(env.trace, "\n")
	for id := range accepted {
		if !delivered[id] && !strings.Contains(trace, `"`+id+`"`) {
			t.Errorf("%s was accepted, but neither delivered nor reported", id)
		}
	}
	for id, times := range executions {
		if strings.HasPrefix(id, "order") && times > 1 {
			t.Errorf("%s is at-most-once and took effect %d times", id, times)
		}
	}
	if len(accepted) < 100 || len(delivered) < 50 {
		t.Errorf("%d accepted, %d delivered; want at least 100 and 50 for a meaningful test", len(accepted),
			len(delivered))
	}
}
