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

// These tests build the program, start it and speak to it over sockets, with stand-ins for platform and receivers.

var program string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "chuteweir")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(folder, "chuteweir")
	build := append([]string{"build", "-o", program}, buildFlags...)
	if os.Getenv("GOCOVERDIR") != "" {
		build = append(build, "-cover", "-coverpkg=./../...")
	}
	if out, err := exec.Command("go", append(build, ".")...).CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

func TestServes(t *testing.T) {
	w := begin(t)
	w.hand("note", "n-1", 12000, 1)
	w.await(1, "receiver")
	tries := 0
	w.answers(func(*standin.Asked) standin.Reply {
		tries++
		switch tries {
		case 1:
			return standin.Reply{Status: 500}
		case 2: // the connection ends after the call: it may have run
			return standin.Reply{Reset: true}
		case 3: // an answer to the close, with a report
			return standin.Reply{Raw: "HTTP/1.1 200 OK\r\nServer-Load: x0=0.5,x1=25\r\n\r\nfine", Close: true}
		}
		return standin.Reply{Raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n"}
	})
	w.hand("note", "n-2", 12000, 1)
	w.await(4, "receiver")
	w.hand("order", "o-1", 12000, 1)
	w.await(5, "receiver")
	w.count()
	w.check(`
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
	w.leave()
}

// What a receiver may answer, one after the other to the same notice, and what each counts as.
func TestOutcomes(t *testing.T) {
	w := begin(t, `trips = 4`, `trips = 12`)
	answers := []string{
		"HTTP/1.1 503 Busy\r\nX-Line-Busy: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 504 Used up\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Full\r\nServer-Load: x0=nonsense\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 429 Wait\r\nRetry-After: 0.05\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"no HTTP at all\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut",
	}
	w.answers(func(*standin.Asked) standin.Reply {
		raw := answers[0]
		answers = answers[1:]
		return standin.Reply{Raw: raw, Close: true}
	})
	w.hand("note", "n-1", 12000, 1)
	w.await(6, "receiver")
	w.count()
	w.hear(w.heard()[len(w.heard())-1:])
	w.check("taken 1 refused 0 dismissed 0 trips 6 handled 1 full 2 errored 0 lost 1 unmet 0 unsent 2")
	w.leave()
}

// Whatever bad clients send, they get an error or a close in time, and nothing of theirs is taken on.
func TestTurnsAway(t *testing.T) {
	w := begin(t)
	good := func(more string) string { return post("note", "a", 12000, 1, "", more) }
	for what, text := range map[string]string{
		"1 unknown grade":   post("x", "a", 12000, 1, ""),
		"2 no destination":  strings.Replace(good(""), "dest=1", "dest=", 1),
		"2 unknown":         post("note", "a", 12000, 70000, ""),
		"3 no id":           post("note", "", 12000, 1, ""),
		"3 odd id":          post("note", "\xe9\xff", 12000, 1, ""),
		"4 no time":         strings.Replace(good(""), "12000", "soon", 1),
		"4 negative time":   post("note", "a", -1, 1, ""),
		"5 huge body":       good("Content-Length: 99999999\r\n"),
		"5 huge length":     strings.Replace(good(""), "Length: 0", "Length: 99999999", 1),
		"5 negative length": strings.Replace(good(""), "Length: 0", "Length: -1", 1),
		"5 two lengths":     good("Content-Length: 4\r\n"),
		"5 hidden request":  good("Transfer-Encoding: chunked\r\n") + "0\r\n\r\n" + good(""),
		"5 odd encoding":    strings.Replace(good(""), "Content-Length: 0", "Transfer-Encoding: xchunked", 1),
		"6 huge head":       "GET /up HTTP/1.1\r\nA: " + strings.Repeat("a", 20_000) + "\r\n\r\n",
		"7 nonsense":        "\x16\x03\x01 hello\r\n\r\n",
		"7 many at once":    strings.Repeat(post("x", "a", 12000, 1, ""), 300),
		"8 never complete":  "POST /note HTTP/1.1\r\nContent-Length: 9\r\n\r\nab",
		"8 half a line":     "POST /no",
		"8 silent":          "",
		"9 other method":    "PUT /note HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
		"a up":              "GET /up HTTP/1.1\r\n\r\n",
		"b two on end, one": "GET /up HTTP/1.1\r\n\r\nGET /up HTTP/1.1\r\n\r\n",
		"c waits to go on":  "POST /note HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n",
	} {
		began := time.Now()
		w.say("%s: %s", what, w.speakRaw(text))
		if time.Since(began) > 3*time.Second {
			t.Errorf("%s: after %v", what, time.Since(began))
		}
	}
	w.answers(func(*standin.Asked) standin.Reply { return standin.Reply{Status: 200, After: 300 * time.Millisecond} })
	w.say("d first: %s", w.speakRaw(post("note", "same", 12000, 1, "")))
	w.say("d its id again: %s", w.speakRaw(post("note", "same", 12000, 1, "")))
	time.Sleep(500 * time.Millisecond)
	w.say("d its id later: %s", w.speakRaw(post("note", "same", 12000, 1, "")))
	w.set(func() { slices.Sort(w.trace) })
	w.check(`
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
b two on end, one: 200 OK
c waits to go on: 100 Continue
d first: 202 Accepted
d its id again: 409 Conflict
d its id later: 409 Conflict
receiver: POST /events same ""
`)
	w.leave()
}

func TestOutlivesBeingKilled(t *testing.T) {
	w := begin(t)
	w.answers(func(a *standin.Asked) standin.Reply {
		if a.ID == "o-1" { // turned away: it has not run
			return standin.Reply{Status: 429, Fields: []string{"Retry-After: 7.5"}}
		}
		return standin.Reply{Never: true}
	})
	w.hand("note", "n-1", 12000, 1, "Idempotency-Key: mark\r\n")
	w.await(1, "receiver")
	w.hand("order", "o-2", 12000, 1)
	w.await(2, "receiver")
	w.hand("order", "o-1", 12000, 1)
	w.await(3, "receiver")
	time.Sleep(100 * time.Millisecond)
	w.kill()
	w.check(`
client: n-1 202 Accepted
client: o-2 202 Accepted
client: o-1 202 Accepted
receiver: POST /events n-1 "body"mark
receiver: POST /events o-2 "body"
receiver: POST /events o-1 "body"
`)
	w.hear(nil)
	w.answers(fine)
	w.start()
	w.await(2, "receiver")
	w.await(1, "platform")
	w.leave()
	w.set(func() { slices.Sort(w.trace) })
	w.check(`
platform: {"message":"o-2","outcome":"given_up"}
receiver: POST /events n-1 "body"mark
receiver: POST /events o-1 "body"
`)
	w.start()
	if !strings.Contains(w.log.String(), "restored=0") {
		t.Errorf("what was over came back: %s", w.log)
	}
	w.leave()
}

func TestLeaves(t *testing.T) {
	w := begin(t)
	w.answers(func(*standin.Asked) standin.Reply { return standin.Reply{Status: 200, After: 700 * time.Millisecond} })
	w.hand("order", "o-1", 12000, 1)
	w.await(1, "receiver")
	w.must(w.sender.Process.Signal(syscall.SIGTERM))
	time.Sleep(100 * time.Millisecond)
	w.hand("note", "n-1", 12000, 1)
	w.say("up: %s", w.speakRaw("GET /up HTTP/1.1\r\n\r\n"))
	w.leave()
	w.check(`
client: o-1 202 Accepted
client: n-1 503 Service Unavailable, closing
receiver: POST /events o-1 "body"
up: 503 Service Unavailable, closing
`)
	w.start()
	if !strings.Contains(w.log.String(), "restored=0") {
		t.Errorf("the call that was out did not finish: %s", w.log)
	}
}

// An end that the platform has not taken is handed in until it is, by the next process too.
func TestEndsAreKept(t *testing.T) {
	w := begin(t)
	w.set(func() { w.takes = false })
	w.hand("note", "n-1", 200, 2)
	w.await(2, "platform")
	w.kill()
	w.set(func() { w.takes, w.trace = true, nil })
	w.start()
	w.await(1, "platform")
	time.Sleep(300 * time.Millisecond)
	w.check(`platform: {"message":"n-1","outcome":"handed_back"}`)
	w.leave()
}

// One end that the platform can't read does not keep the others from it.
func TestEndsPassOneThatCannotBeRead(t *testing.T) {
	w := begin(t)
	w.set(func() { w.takes = false })
	for i := range 5 {
		w.hand("note", fmt.Sprint("n-", i), 200, 2)
	}
	w.await(2, "platform")
	w.set(func() { w.takes, w.rejects, w.trace = true, "n-2", nil })
	time.Sleep(1500 * time.Millisecond)
	var ends []string
	for _, line := range w.heard() {
		ends = append(ends, strings.Split(strings.ReplaceAll(line, "platform: ", ""), "\n")...)
	}
	slices.Sort(ends)
	w.hear(ends)
	w.check(`
{"message":"n-0","outcome":"handed_back"}
{"message":"n-1","outcome":"handed_back"}
{"message":"n-3","outcome":"handed_back"}
{"message":"n-4","outcome":"handed_back"}
`)
	if !strings.Contains(w.log.String(), `end of \"n-2\", which is given up`) {
		t.Errorf("not told: %s", w.log)
	}
	w.leave()
}

func TestFollowsTheList(t *testing.T) {
	w := begin(t)
	w.set(func() { w.garbage = `{"revision":2,"members":[{"id":"s-1-1","phase":` })
	w.platform.Change()
	time.Sleep(100 * time.Millisecond)
	w.hand("note", "n-1", 12000, 1)
	w.await(1, "receiver")
	w.set(func() { w.garbage = `{"revision":2,"complete":true,"members":[{"id":"s-1-1","phase":"asleep"}]}` })
	time.Sleep(100 * time.Millisecond)
	w.hand("note", "n-2", 12000, 1)
	w.await(2, "receiver")
	w.set(func() { w.garbage = "" })
	w.replace(w.platform)
	time.Sleep(1200 * time.Millisecond)
	w.hand("note", "n-3", 12000, 1)
	w.await(1, "other")
	w.check(`
client: n-1 202 Accepted
client: n-2 202 Accepted
client: n-3 202 Accepted
other: POST /events n-3 "body"
receiver: POST /events n-1 "body"
receiver: POST /events n-2 "body"
`)
	w.leave()
}

// What can't be served in time is refused with the time to come back; what the receiver says is over, is over.
func TestRefusesAndEnds(t *testing.T) {
	w := begin(t)
	w.answers(func(a *standin.Asked) standin.Reply {
		if a.ID == "o-1" {
			return standin.Reply{Status: 410}
		}
		// The connection breaks within the body: it may have run, and the wait that the head told still holds.
		return standin.Reply{Raw: "HTTP/1.1 429 Wait\r\nRetry-After: 7.5\r\nContent-Length: 100\r\n\r\ncut", Close: true}
	})
	w.hand("order", "o-1", 12000, 1)
	w.await(1, "receiver")
	w.hand("note", "n-1", 12000, 1)
	w.await(2, "receiver")
	time.Sleep(100 * time.Millisecond)
	w.hand("note", "n-2", 3000, 1)
	w.check(`
client: o-1 202 Accepted
client: n-1 202 Accepted
client: n-2 429 Too Many Requests, retry after 3.000
receiver: POST /events o-1 "body"
receiver: POST /events n-1 "body"
`)
	w.kill()
	w.start()
	if !strings.Contains(w.log.String(), "restored=1") {
		t.Errorf("not just n-1 came back: %s", w.log)
	}
}

// A ledger that is nearly full of what waits gives back what promises least; what does not fit is turned away; and all that
// was taken on is either told its end or still owed.
func TestFullLedger(t *testing.T) {
	w := begin(t)
	body := strings.Repeat("b", 64<<10)
	taken := 0
	for i := range 9 { // held, as the receiver of destination 2 drains
		id := fmt.Sprint("n-", i)
		switch answer := w.speakRaw(post("note", id, 12000, 2, body)); answer {
		case "202 Accepted":
			taken++
		case "503 Service Unavailable":
		default:
			t.Errorf("%s: %s", id, answer)
		}
	}
	time.Sleep(300 * time.Millisecond)
	back := map[string]bool{}
	told := func() { // ends that the platform has taken; one request may tell several
		for _, heard := range w.heard() {
			if ends, ok := strings.CutPrefix(heard, "platform: "); ok {
				for line := range strings.Lines(ends) {
					if !strings.Contains(line, `"outcome":"handed_back"`) {
						t.Errorf("%s", line)
					}
					back[strings.TrimSpace(line)] = true
				}
			}
		}
	}
	told()
	if taken < 5 || len(back) == 0 || taken-len(back) < 2 {
		t.Errorf("%d taken on, %d handed back", taken, len(back))
	}
	w.kill()
	w.start()
	var restored int
	_, rest, _ := strings.Cut(w.log.String(), "restored=")
	fmt.Sscan(rest, &restored)
	time.Sleep(200 * time.Millisecond)
	before := len(back)
	told() // also by the second process
	if restored < taken-len(back) || restored > taken-before {
		t.Errorf("%d taken on, %d and then %d handed back, %d restored: %s", taken, before, len(back), restored, w.log)
	}
}

// A connection is used again while the receiver is sure to keep it, and no longer.
func TestIdleConnections(t *testing.T) {
	w := begin(t, `idle_kept = "10s"`, `idle_kept = "400ms"`)
	var from []string
	w.answers(func(a *standin.Asked) standin.Reply {
		w.set(func() { from = append(from, a.Remote) })
		return standin.Reply{Status: 200}
	})
	for i, pause := range []time.Duration{50, 600, 0} {
		w.hand("note", fmt.Sprint("n-", i), 12000, 1)
		w.await(i+1, "receiver")
		time.Sleep(pause * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	if from[0] != from[1] || from[1] == from[2] {
		t.Errorf("calls came from %v", from)
	}
}

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
			t.Errorf("%s: %v: %s", text, err, out)
		}
	}
}

// A new configuration moves the watch and the ends that are owed to its discovery; one that can't be read does not.
func TestReloads(t *testing.T) {
	w := begin(t)
	w.set(func() { w.takes = false })
	w.answers(func(a *standin.Asked) standin.Reply {
		if a.ID == "n-0" {
			time.Sleep(700 * time.Millisecond)
			w.say("receiver: n-0 is answered")
		}
		return standin.Reply{Status: 200}
	})
	w.hand("note", "n-0", 12000, 1) // its call is out all the while
	w.await(1, "receiver")
	w.hand("note", "n-1", 200, 2)
	w.await(1, "platform")
	w.must(os.WriteFile(w.path, []byte(`{"listen": "`), 0o600))
	w.must(w.sender.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	w.platform = w.newPlatform("moved") // its list is counted anew
	w.replace(w.platform)
	w.configure()
	w.must(w.sender.Process.Signal(syscall.SIGHUP))
	w.await(1, "moved")
	w.hand("note", "n-2", 12000, 1)
	w.await(1, "other")
	w.await(2, "receiver")
	w.set(func() {
		w.trace = slices.DeleteFunc(w.trace, func(line string) bool { return strings.HasPrefix(line, "platform") })
	})
	w.check(`
client: n-0 202 Accepted
client: n-1 202 Accepted
client: n-2 202 Accepted
moved: {"message":"n-1","outcome":"handed_back"}
other: POST /events n-2 "body"
receiver: POST /events n-0 "body"
receiver: n-0 is answered
`)
	w.leave()
}

// Clients that open connections by the hundred and say nothing, or never come to an end, must not shut out others.
func TestSilentClients(t *testing.T) {
	w := begin(t, `sockets = 1024`, `sockets = 100`)
	for i := range 300 {
		c, err := net.Dial("tcp", w.listen)
		w.must(err)
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "POST /note HTTP/1.1\r\nRequest-Id:")
		}
		if i%100 == 99 {
			began := time.Now()
			w.hand("note", fmt.Sprint("n-", i), 12000, 1)
			if time.Since(began) > 400*time.Millisecond {
				t.Errorf("answered after %v", time.Since(began))
			}
		}
	}
	w.await(3, "receiver")
	w.check(`
client: n-99 202 Accepted
client: n-199 202 Accepted
client: n-299 202 Accepted
receiver: POST /events n-99 "body"
receiver: POST /events n-199 "body"
receiver: POST /events n-299 "body"
`)
	w.leave()
}

// Clients that each leave off within a large request must not use up the memory: the oldest are closed.
func TestUnfinishedRequests(t *testing.T) {
	w := begin(t, `memory = "192MiB"`, `memory = "16MiB"`)
	half := strings.TrimSuffix(post("note", "half", 12000, 1, strings.Repeat("b", 60<<10)), "b")
	for range 60 {
		c, err := net.Dial("tcp", w.listen)
		w.must(err)
		defer c.Close()
		io.WriteString(c, half)
	}
	time.Sleep(500 * time.Millisecond)
	w.hand("note", "n-1", 12000, 1)
	w.await(1, "receiver")
	w.check(`
client: n-1 202 Accepted
receiver: POST /events n-1 "body"
`)
	page, err := http.Get("http://" + w.listen + "/counters")
	w.must(err)
	text, _ := io.ReadAll(page.Body)
	if !strings.Contains(string(text), "closed_crowded 44") {
		t.Errorf("not 44 of 60 with 64 KiB each closed to stay under 1 MiB:\n%s", text)
	}
}

// Notices of one key go one at a time, in the order in which they came.
func TestKeepsOrder(t *testing.T) {
	w := begin(t, `repeat = "reissuable"`, "repeat = \"reissuable\"\nin_order = true")
	w.answers(func(a *standin.Asked) standin.Reply {
		time.Sleep(100 * time.Millisecond)
		w.say("receiver: %s is through", a.ID)
		return standin.Reply{Status: 200}
	})
	for _, id := range []string{"n-1", "n-2"} {
		w.hand("note", id, 12000, 1, "Affinity-Key: k\r\n")
		w.await(1, "receiver")
	}
	w.await(4, "receiver")
	w.check(`
client: n-1 202 Accepted
client: n-2 202 Accepted
receiver: POST /events n-1 "body"
receiver: n-1 is through
receiver: POST /events n-2 "body"
receiver: n-2 is through
`)
}

// Whatever a sender had on its hands when it was killed or told to leave, each notice taken on is delivered or
// ends, and what must not run twice does not.
func TestManyRestarts(t *testing.T) {
	w := begin(t, `slots = 8`, `slots = 20`)
	draw := rand.New(rand.NewPCG(7, 7))
	taken, ran, delivered := map[string]bool{}, map[string]int{}, map[string]bool{}
	w.answers(func(a *standin.Asked) standin.Reply {
		w.mu.Lock()
		kind := draw.IntN(20)
		if kind != 0 {
			ran[a.ID]++
		}
		w.mu.Unlock()
		switch kind {
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
		w.set(func() { delivered[a.ID] = true })
		return standin.Reply{Status: 200}
	})
	for round := range 6 {
		for i := range 40 {
			grade := []string{"note", "order"}[i%2]
			id := fmt.Sprintf("%s-%d-%d", grade, round, i)
			if strings.HasPrefix(w.speakRaw(post(grade, id, 5000, 1, "body")), "202") {
				taken[id] = true
			}
			time.Sleep(2 * time.Millisecond)
		}
		if round%2 == 0 {
			w.kill()
		} else {
			w.leave()
		}
		w.start()
	}
	for range 80 {
		time.Sleep(100 * time.Millisecond)
		w.mu.Lock()
		open := len(taken)
		all := strings.Join(w.trace, "\n")
		for id := range taken {
			if delivered[id] || strings.Contains(all, `"`+id+`"`) {
				open--
			}
		}
		w.mu.Unlock()
		if open == 0 {
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	all := strings.Join(w.trace, "\n")
	for id := range taken {
		if !delivered[id] && !strings.Contains(all, `"`+id+`"`) {
			t.Errorf("%s has no end", id)
		}
	}
	for id, times := range ran {
		if strings.HasPrefix(id, "order") && times > 1 {
			t.Errorf("%s ran %d times", id, times)
		}
	}
	if len(taken) < 100 || len(delivered) < 50 {
		t.Errorf("%d taken, %d delivered, too few to tell", len(taken), len(delivered))
	}
}
