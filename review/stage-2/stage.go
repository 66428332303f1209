// Command review-2 runs one case of the second review: it starts the sender with the command of the deploy file, plays
// the platform, the receivers and the clients on loopback addresses, and checks one rule. It uses the standard library
// only.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// stage holds what one case needs: its record, the sender's files and the processes that it started.
type stage struct {
	root, dir string // of the repository; temporary
	trouble   bool
	started   time.Time

	mu      sync.Mutex
	record  *os.File
	senders []*exec.Cmd
}

// newStage opens the record in the folder of a case.
func newStage(root, caseDir string) (*stage, error) {
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &stage{root: root, dir: dir, record: record, started: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}, nil
}

// note writes a line with the time since the start in milliseconds to the record.
func (s *stage) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := float64(time.Since(s.started).Microseconds()) / 1000
	fmt.Fprintf(s.record, "%9.1f  %s\n", at, fmt.Sprintf(format, args...))
}

// end kills every sender that is left and removes the temporary folder.
func (s *stage) end() {
	for _, cmd := range s.senders {
		cmd.Process.Signal(syscall.SIGCONT)
		cmd.Process.Kill()
	}
	time.Sleep(50 * time.Millisecond)
	s.record.Close()
	os.RemoveAll(s.dir)
}

// freeAddress returns a loopback address whose port was free a moment ago.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// sender is one sender of the deployment, which can be started more than once.
type sender struct {
	stage                *stage
	name, listen         string
	configPath, stateDir string
	cmd                  *exec.Cmd
	exited               chan struct{}
	onStart              func(pid int) // if set, runs beside each process of the sender
	config               map[string]any
	run                  string
}

// newSender prepares the files of a sender.
func (s *stage) newSender(name string, discovery string, limits, settings map[string]any, known list) (*sender, error) {
	deploy, err := os.ReadFile(filepath.Join(s.root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(deploy)
	if match == nil {
		return nil, fmt.Errorf("the deploy file has no run")
	}
	n := &sender{stage: s, name: name, listen: freeAddress(), run: string(match[1]),
		configPath: filepath.Join(s.dir, name+".json"), stateDir: filepath.Join(s.dir, name+".state")}
	if err := os.Mkdir(n.stateDir, 0o700); err != nil {
		return nil, err
	}
	n.config = map[string]any{"name": name, "listen": n.listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": limits, "known": known, "settings": settings}
	return n, n.writeConfig()
}

// writeConfig replaces the configuration file.
func (n *sender) writeConfig() error {
	text, err := json.MarshalIndent(n.config, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.configPath+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(n.configPath+".new", n.configPath)
}

// start starts the sender with the command of the deploy file and waits until /up answers 200.
func (n *sender) start() error {
	n.cmd = exec.Command("/bin/sh", "-c", n.run)
	n.cmd.Dir = n.stage.root
	n.cmd.Env = append(os.Environ(), "PROXY_NAME="+n.name, "PROXY_LISTEN="+n.listen,
		"PROXY_DISCOVERY="+n.config["discovery"].(string), "PROXY_STATE="+n.stateDir, "PROXY_CONFIG="+n.configPath)
	log, err := os.OpenFile(filepath.Join(n.stage.dir, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.stage.note("sender %s: start", n.name)
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.stage.senders = append(n.stage.senders, n.cmd)
	n.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		cmd.Wait()
		n.stage.note("sender %s: ended, %s", n.name, cmd.ProcessState)
		close(exited)
	}(n.cmd, n.exited)
	if n.onStart != nil {
		go n.onStart(n.cmd.Process.Pid)
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until) && n.running(); time.Sleep(5 * time.Millisecond) {
		response, err := client.Get("http://" + n.listen + "/up")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == 200 {
			n.stage.note("sender %s: ready", n.name)
			return nil
		}
	}
	return fmt.Errorf("sender %s was not ready within 10 s", n.name)
}

// signal sends a signal to the sender's process.
func (n *sender) signal(sig syscall.Signal) {
	n.stage.note("sender %s: %s", n.name, sig)
	n.cmd.Process.Signal(sig)
}

// running reports whether the sender's process has not ended.
func (n *sender) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// log returns what the sender wrote to its standard output and error.
func (n *sender) log() string {
	text, _ := os.ReadFile(filepath.Join(n.stage.dir, n.name+".log"))
	return string(text)
}

// member is an entry of the receivers list.
type member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`
}

// list is the receivers list in discovery's form.
type list struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// final is a notice of a message's end.
type final struct {
	at      time.Time
	Message string `json:"message"`
	Outcome string `json:"outcome"`
}

// platform plays discovery's agent on the sender's machine.
type platform struct {
	stage   *stage
	address string

	mu       sync.Mutex
	revision int
	members  map[string]member
	changed  map[string]int
	wake     chan struct{}
	finals   map[string][]final
}

// newPlatform opens a platform with a list.
func (s *stage) newPlatform(members ...member) (*platform, error) {
	p := &platform{stage: s, revision: 41, members: map[string]member{}, changed: map[string]int{},
		wake: make(chan struct{}), finals: map[string][]final{}}
	for _, m := range members {
		p.members[m.ID], p.changed[m.ID] = m, p.revision
	}
	address, err := p.listen()
	p.address = address
	return p, err
}

// listen opens a further address of the platform.
func (p *platform) listen() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go (&http.Server{Handler: p}).Serve(l)
	return l.Addr().String(), nil
}

// full returns the whole list.
func (p *platform) full() list {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.since(0)
}

// since returns the changes after a revision, or the whole list for 0.
func (p *platform) since(revision int) list {
	l := list{Revision: p.revision, Complete: revision == 0, Members: []member{}}
	for id, m := range p.members {
		if p.changed[id] > revision && (revision > 0 || m.Phase != "gone") {
			l.Members = append(l.Members, m)
		}
	}
	return l
}

// change changes entries of the list and answers the open watches.
func (p *platform) change(members ...member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	for _, m := range members {
		p.members[m.ID], p.changed[m.ID] = m, p.revision
		p.stage.note("list %d: %s at %s, cell %d, %s", p.revision, m.ID, m.HostPort, m.Cell, m.Phase)
	}
	close(p.wake)
	p.wake = make(chan struct{})
}

// ServeHTTP serves discovery and the notices.
func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v2/finals" && r.Method == "POST":
		lines := bufio.NewScanner(r.Body)
		lines.Buffer(nil, 1<<20)
		p.mu.Lock()
		for lines.Scan() {
			f := final{at: time.Now()}
			if json.Unmarshal(lines.Bytes(), &f) == nil {
				p.finals[f.Message] = append(p.finals[f.Message], f)
				p.stage.note("final %s %s", f.Message, f.Outcome)
			}
		}
		p.mu.Unlock()
		w.WriteHeader(204)
	case r.URL.Path == "/discovery/hosts":
		from, _ := strconv.Atoi(r.URL.Query().Get("from"))
		hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
		deadline := time.After(time.Duration(min(hold, 60000)) * time.Millisecond)
		p.mu.Lock()
		for from > 0 && p.revision <= from {
			wake := p.wake
			p.mu.Unlock()
			select {
			case <-wake:
				p.mu.Lock()
				continue
			case <-deadline:
			case <-r.Context().Done():
				return
			}
			p.mu.Lock()
			break
		}
		answer := p.since(from)
		p.mu.Unlock()
		p.stage.note("discovery answers from=%d with list %d, %d entries", from, answer.Revision, len(answer.Members))
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(answer)
	default:
		w.WriteHeader(404)
	}
}

// final returns the first notice of a message's end.
func (p *platform) final(id string) (final, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if fs := p.finals[id]; len(fs) > 0 {
		return fs[0], true
	}
	return final{}, false
}

// call is a call that a receiver got.
type call struct {
	receiver     string
	cell         int
	id           string
	at, answered time.Time // answered: when its 200 was written, or zero
}

// receivers keeps what all receivers got.
type receivers struct {
	stage *stage
	mu    sync.Mutex
	calls []*call
}

// receiver is one receiver: it works on some calls at once, each for the same time, and then answers 200.
type receiver struct {
	all     *receivers
	id      string
	cell    int
	address string
	takes   time.Duration
	slots   chan struct{}
	server  *http.Server
}

// open starts a receiver on an address, or on a free port if address is empty.
func (rs *receivers) open(id string, cell int, address string, atOnce int, takes time.Duration) (*receiver, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &receiver{all: rs, id: id, cell: cell, address: l.Addr().String(), takes: takes,
		slots: make(chan struct{}, atOnce)}
	r.server = &http.Server{Handler: r}
	go r.server.Serve(l)
	rs.stage.note("receiver %s: open at %s, cell %d", id, r.address, cell)
	return r, nil
}

// close ends the receiver's process: its connections break and its port is free.
func (r *receiver) close() {
	r.all.stage.note("receiver %s: gone from %s", r.id, r.address)
	r.server.Close()
}

// member returns the receiver's entry of the list.
func (r *receiver) member(phase string) member {
	return member{ID: r.id, HostPort: r.address, Locality: "a", Flavor: "resorts", Cell: r.cell, Phase: phase, Size: 1}
}

// ServeHTTP runs one call.
func (r *receiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	io.Copy(io.Discard, request.Body)
	c := &call{receiver: r.id, cell: r.cell, id: request.Header.Get("Request-Id"), at: time.Now()}
	r.all.mu.Lock()
	r.all.calls = append(r.all.calls, c)
	r.all.mu.Unlock()
	r.all.stage.note("receiver %s (cell %d): call %s", r.id, r.cell, c.id)
	r.slots <- struct{}{}
	time.Sleep(r.takes)
	<-r.slots
	if request.Context().Err() != nil {
		return
	}
	r.all.mu.Lock()
	c.answered = time.Now()
	r.all.mu.Unlock()
	r.all.stage.note("receiver %s (cell %d): 200 to %s", r.id, r.cell, c.id)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(200)
}

// of returns the calls with a message.
func (rs *receivers) of(id string) []call {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var calls []call
	for _, c := range rs.calls {
		if c.id == id {
			calls = append(calls, *c)
		}
	}
	return calls
}

// message is a message that a client hands in.
type message struct {
	id, class string
	dest      int
	timeout   time.Duration
	sent      time.Time
	status    int // of the sender's answer; 0: none within 400 ms
	answered  time.Time
}

// head returns the request of a message without its body.
func (m *message) head(length int) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nTenant: acme\r\n"+
		"Request-Timeout-Ms: %d\r\nX-Consignee: dest=%d\r\nContent-Length: %d\r\n\r\n",
		m.class, m.id, m.class, m.timeout.Milliseconds(), m.dest, length)
}

// handIn hands a message in on a new connection and waits 400 ms for the answer.
func (s *stage) handIn(n *sender, m *message) {
	conn, err := net.DialTimeout("tcp", n.listen, 400*time.Millisecond)
	if err != nil {
		s.note("client: %s: %v", m.id, err)
		return
	}
	defer conn.Close()
	body := strings.Repeat("x", 200)
	fmt.Fprintf(conn, "%s%s", m.head(len(body)), body)
	m.sent = time.Now()
	s.note("client: hands in %s for dest %d, %s, %d ms", m.id, m.dest, m.class, m.timeout.Milliseconds())
	conn.SetReadDeadline(m.sent.Add(400 * time.Millisecond))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		s.note("client: no answer to %s: %v", m.id, err)
		return
	}
	m.status, m.answered = response.StatusCode, time.Now()
	s.note("client: %d to %s after %.1f ms", m.status, m.id, float64(m.answered.Sub(m.sent).Microseconds())/1000)
}

// taken reports whether the client heard that its message was taken on.
func (m *message) taken() bool { return m.status == 200 || m.status == 202 }

// settings returns the settings of a small deployment with the classes given.
func settings(classes ...map[string]any) map[string]any {
	return map[string]any{
		"classes": classes, "clients": map[string]any{"marks_retry": true}, "discovery": "automatic", "family": "deliver",
		"charges": map[string]any{"handshake": 0.02, "waste": 0.03},
		"family_info": map[string]any{"fee_by_zone": []float64{0}, "loses_worth": "even", "per_call": []int{1},
			"report_x0": "share of the allowance that is left", "report_x1": "calls a second that the limit allows",
			"separate_routes": []bool{false}, "slots": 11, "turned_away_price": 0.0},
		"goal":       map[string]any{"whole": 0.4, "worst_class": 0.35, "worst_window": 0.25},
		"group_size": 2, "kinds": []string{"resorts"}, "layer": 0, "layers": []string{"user-sites"},
		"limits": map[string]any{"cancel": true, "conn_idle": 15000000, "connect_timeout": 1000000,
			"cpu_us_per_request": 0.0, "cpu_us_per_s": 500000, "max_retry_after": 2000000, "multiplex": 1, "open_cap": 241,
			"parallel_tries": false, "peers": false, "probes": false, "retry_after": false, "send_cap": 6},
		"me": 0,
		"obligations": map[string]any{"answer_slack": 20000, "cold_from": 0.21, "drain_grace": 500000, "fall": 1500000,
			"must_ask_in": 10000000, "tip_multiple": 2.0, "warm_within": 14000000},
		"over_share_worth": 0.2,
		"realms":           []map[string]any{{"name": "acme", "portion": 1.0, "quota_per_s": 40.0}},
		"reporting":        map[string]any{"fields": []string{"x0", "x1"}, "how": "piggyback"},
		"tick":             5000, "weight_source": "silent", "worth_by": "request", "zone": 0, "zones": []string{"a"},
	}
}

// class returns one class of the settings; times are in milliseconds.
func class(name, repeat string, aim, deadline, ttl int) map[string]any {
	return map[string]any{"aim": aim * 1000, "deadline": deadline * 1000, "key_scope": "all", "key_ttl": ttl * 1000,
		"late_worth": 0.3, "name": name, "repeat": repeat, "stream": false, "worth": 2.0}
}

func main() {
	cases := map[string]func(*stage) (int, error){"6": wrongDestination, "7": reloadStalls, "8": overMemory, "9": waitsToBeAccepted}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE ROOT CASE-FOLDER")
		os.Exit(couldNot)
	}
	s, err := newStage(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	guard := time.AfterFunc(115*time.Second, func() {
		fmt.Println("could not run: 115 s are over")
		s.end()
		os.Exit(couldNot)
	})
	code, err := cases[os.Args[1]](s)
	guard.Stop()
	if err != nil {
		code = couldNot
		s.note("could not run: %v", err)
		fmt.Println("could not run:", err)
	}
	verdict := []string{"the rule held", "THE RULE WAS BROKEN", "the case could not run"}[code]
	s.note("%s", verdict)
	fmt.Println(verdict)
	s.end()
	os.Exit(code)
}
