package standin

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chuteweir.example/chuteweir/internal/audit"
	"chuteweir.example/chuteweir/internal/directory"
	"chuteweir.example/chuteweir/internal/scenario"
	"chuteweir.example/chuteweir/rules"
	"github.com/valyala/fasthttp"
)

func newReader(b []byte) io.Reader { return bytes.NewReader(b) }

func listenOn(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Clients hand in a world's notices at their times, whatever the senders answer.
type Clients struct {
	stage   *Stage
	names   []string // senders' addresses
	alive   []atomic.Int64
	leaving []atomic.Bool
	next    atomic.Int64
	numbers atomic.Int64
	pools   []*pool
	handing sync.WaitGroup

	mu      sync.Mutex
	draw    *rand.Rand
	pending map[string]*effect // by the id of its last hand-in, those that may come again

	// Answer is told how long each answer took from the intended time on, and its status; 0: none.
	Answer func(status int, took rules.Millis)
	// Offered and Late count the notices handed in for the first time, and those more than 10 ms after their time.
	Offered, Late atomic.Int64
	// Bad counts the bad clients' connections, and those of them that got neither an error nor a close in time.
	Bad, BadOpen atomic.Int64
}

// effect is what a client wants done, however often it hands it in.
type effect struct {
	scenario.Arrival
	name string
	mark string
	from rules.Millis // when it was handed in first
}

// pool is idle connections to one sender.
type pool struct {
	mu   sync.Mutex
	idle []*link
}

type link struct {
	net.Conn
	in   *bufio.Reader
	used time.Time
}

// NewClients makes clients of senders at addresses.
func NewClients(s *Stage, addresses []string) *Clients {
	c := &Clients{stage: s, names: addresses, alive: make([]atomic.Int64, len(addresses)),
		leaving: make([]atomic.Bool, len(addresses)), draw: scenario.Chance(s.World.Seed, 1<<40),
		pending: map[string]*effect{}}
	for range addresses {
		c.pools = append(c.pools, &pool{})
	}
	return c
}

// Run hands in all notices and returns when the last has its answer. What is dismissed later still comes again.
func (c *Clients) Run() {
	for i, f := range c.stage.World.Faults {
		if f.Kind == scenario.Hostile {
			c.handing.Add(1)
			go c.hostile(f, scenario.Chance(c.stage.World.Seed, 1<<41+uint64(i)))
		}
	}
	arrivals := c.stage.World.Arrivals()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for {
		a, ok := arrivals.Next()
		if !ok || !c.waitFor(a.At) {
			break
		}
		e := &effect{Arrival: a, name: fmt.Sprintf("e%d", c.numbers.Add(1)), from: a.At}
		if c.stage.World.Settings.Grades[a.Grade].Repeat == rules.Numbered {
			e.mark = "m" + e.name[1:]
		}
		c.Offered.Add(1)
		if c.stage.Clock.Now() > a.At+10 {
			c.Late.Add(1)
		}
		c.handing.Add(1)
		go c.hand(e, a.At, false, "")
	}
	c.handing.Wait()
}

// waitFor waits for an arrival's time. Go's timers are up to a millisecond late where a process is idle, which would be
// measured as the sender's: the last part is waited for in the kernel.
func (c *Clients) waitFor(at rules.Millis) bool {
	wait := c.stage.Clock.Until(at)
	if wait > 5*time.Millisecond && !c.stage.sleep(wait-3*time.Millisecond) {
		return false
	}
	if wait = c.stage.Clock.Until(at); wait > 20*time.Microsecond {
		exactly(wait)
	}
	return !c.stage.Ended()
}

// choose deals notices out over the senders, but for those known to be dead. One that leaves is used as long as a connection
// to it is open.
func (c *Clients) choose() int {
	n := len(c.names)
	first := int(c.next.Add(1))
	now := int64(c.stage.Clock.Now())
	for i := range n {
		s := (first + i) % n
		if now >= c.alive[s].Load() || c.leaving[s].Load() && c.pools[s].has() {
			return s
		}
	}
	return first % n
}

// Leaving says that a sender was told to leave: the front notices as it does a dead one, and connections that are open
// are used on.
func (c *Clients) Leaving(sender int) {
	c.leaving[sender].Store(true)
	c.Dead(sender)
}

// Dead says that a sender is dead from now on, which clients notice after a while; Back that it serves again.
func (c *Clients) Dead(sender int) {
	notice := c.stage.World.FrontNotice
	go func() {
		if c.stage.sleep(span(notice)) && c.alive[sender].Load() == -1 {
			c.alive[sender].Store(1 << 62)
		}
	}()
	c.alive[sender].Store(-1)
}

// Back says that a sender serves again.
func (c *Clients) Back(sender int) {
	c.leaving[sender].Store(false)
	c.alive[sender].Store(0)
}

// hand hands an effect in.
func (c *Clients) hand(e *effect, intended rules.Millis, again bool, retry string) {
	defer c.handing.Done()
	w, now := c.stage.World, c.stage.Clock.Now()
	left := e.from + w.Settings.Grades[e.Grade].ClientTimeout - now
	if left < 1 {
		return
	}
	sender := c.choose()
	id := fmt.Sprintf("n%d-%s", c.numbers.Add(1), e.name)
	// An id is noted before the sender can have it.
	c.stage.Record.Hand(audit.Hand{ID: id, Effect: e.name, Mark: e.mark, Grade: e.Grade, Portfolio: e.Portfolio, Key: e.Key,
		Dest: e.Destination, Sender: sender, At: now, Until: now + left, Intended: e.from, Again: again})
	c.mu.Lock()
	c.pending[id] = e
	c.mu.Unlock()
	status, after, sent := c.ask(sender, e, id, left, retry)
	at := c.stage.Clock.Now()
	if c.Answer != nil {
		c.Answer(status, at-intended)
	}
	if status > 0 {
		c.stage.Record.Answered(id, status, at)
	}
	switch {
	case status == 202 || status == 200:
		return
	case status == 429 || status == 503:
		c.again(id, e, max(after, 20), "1")
	case status == 0 && (!sent || w.Settings.Grades[e.Grade].Repeat != rules.AtMostOnce):
		// Nobody may have it: but what must not run twice comes again only if no sender can have read it.
		mark := "again"
		if !sent {
			mark = ""
		}
		c.again(id, e, 100, mark)
	}
	c.mu.Lock()
	delete(c.pending, id)
	c.mu.Unlock()
}

// again hands a dismissed effect in once more after a while, if its client wants it and there is time.
func (c *Clients) again(id string, e *effect, after rules.Millis, retry string) {
	w := c.stage.World
	c.mu.Lock()
	wants := c.draw.Float64() < w.Traffic.Again
	delete(c.pending, id)
	c.mu.Unlock()
	at := c.stage.Clock.Now() + after
	if !wants || at >= e.from+w.Settings.Grades[e.Grade].ClientTimeout {
		return
	}
	c.handing.Add(1)
	go func() {
		if !c.stage.sleep(span(after)) {
			c.handing.Done()
			return
		}
		c.hand(e, at, true, retry)
	}()
}

// Ended takes the platform's word that a notice has ended.
func (c *Clients) Ended(e directory.End) {
	c.mu.Lock()
	effect := c.pending[e.Message]
	delete(c.pending, e.Message)
	c.mu.Unlock()
	if effect != nil && e.Outcome == directory.HandedBack {
		c.again(e.Message, effect, max(rules.Millis(e.RetryInMS), 20), "1")
	}
}

func (p *pool) has() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}

func (p *pool) take() *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		l := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if time.Since(l.used) < 1500*time.Millisecond {
			return l
		}
		l.Close()
	}
	return nil
}

func (p *pool) put(l *link) {
	l.used = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, l)
	// Those at the front have stood idle for longest.
	for len(p.idle) > 0 && time.Since(p.idle[0].used) > 1500*time.Millisecond {
		p.idle[0].Close()
		p.idle = p.idle[1:]
	}
}

// ask hands in and hears the answer. sent is false if no byte can have reached the sender.
func (c *Clients) ask(sender int, e *effect, id string, left rules.Millis, retry string) (status int, after rules.Millis, sent bool) {
	w := c.stage.World
	deadline := time.Now().Add(span(w.Traffic.Patience))
	var b bytes.Buffer
	grade := w.Names.Grades[e.Grade]
	fmt.Fprintf(&b, "POST /%s HTTP/1.1\r\nHost: sender\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: %d\r\n"+
		"X-Consignee: dest=%d\r\nContent-Length: %d\r\n", grade, id, grade, int(left), e.Destination, e.Body)
	if e.Portfolio < len(w.Names.Portfolios) {
		fmt.Fprintf(&b, "Tenant: %s\r\n", w.Names.Portfolios[e.Portfolio])
	}
	if e.mark != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", e.mark)
	}
	if e.Key > 0 {
		fmt.Fprintf(&b, "Affinity-Key: k%d\r\n", e.Key)
	}
	if retry != "" {
		fmt.Fprintf(&b, "Client-Retry: %s\r\n", retry)
	}
	b.WriteString("\r\n")
	b.Write(bytes.Repeat([]byte{'b'}, e.Body))
	for fresh := false; ; fresh = true {
		l := c.pools[sender].take()
		if l == nil || fresh {
			if l != nil {
				l.Close()
			}
			conn, err := net.DialTimeout("tcp", c.names[sender], time.Until(deadline))
			if err != nil {
				return 0, 0, sent
			}
			l, fresh = &link{Conn: conn, in: bufio.NewReaderSize(conn, 512)}, true
		}
		l.SetDeadline(deadline)
		if _, err := l.Write(b.Bytes()); err != nil {
			l.Close()
			if !fresh {
				continue
			}
			return 0, 0, true
		}
		sent = true
		answer := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseResponse(answer)
		if err := answer.Read(l.in); err != nil {
			l.Close()
			// A kept connection that the sender closed before it read the request: once more on a new one.
			if !fresh && (errors.Is(err, io.EOF) || errors.As(err, &fasthttp.ErrNothingRead{})) && time.Now().Before(deadline) {
				continue
			}
			return 0, 0, true
		}
		if told := answer.Header.Peek("Retry-After"); len(told) > 0 {
			if s, err := strconv.ParseFloat(string(told), 64); err == nil {
				after = rules.Millis(s * 1000)
			}
		}
		if answer.ConnectionClose() {
			l.Close()
		} else {
			c.pools[sender].put(l)
		}
		return answer.StatusCode(), after, true
	}
}

// Quit ends the clients' idle connections.
func (c *Clients) Quit() {
	for _, p := range c.pools {
		p.mu.Lock()
		for _, l := range p.idle {
			l.Close()
		}
		p.idle = nil
		p.mu.Unlock()
	}
}

// hostile plays bad clients while a fault lasts.
func (c *Clients) hostile(f scenario.Fault, draw *rand.Rand) {
	defer c.handing.Done()
	if !c.stage.at(f.At) {
		return
	}
	var all sync.WaitGroup
	for range int(max(f.Size, 1)) {
		kind, seed := draw.IntN(len(bad)+1), draw.Uint64()
		all.Add(1)
		go func() {
			defer all.Done()
			own := rand.New(rand.NewPCG(seed, 1))
			for c.stage.Clock.Now() < f.Until() && c.stage.sleep(10*time.Millisecond) {
				to := c.names[own.IntN(len(c.names))]
				if kind == len(bad) {
					c.neverRead(to, f.Until())
				} else {
					c.offend(to, bad[kind](own))
				}
				kind = own.IntN(len(bad) + 1)
			}
		}()
	}
	all.Wait()
}

// bad makes what bad clients send; empty: they say nothing.
var bad = []func(draw *rand.Rand) string{
	func(*rand.Rand) string { return "" },
	func(*rand.Rand) string { return "\x16\x03\x01\x02\x00 hello\r\n\r\n" },
	func(*rand.Rand) string {
		return "POST /x HTTP/1.1\r\nHost: a\r\nRequest-Class: none\r\nContent-Length: 0\r\n\r\n"
	},
	func(*rand.Rand) string { return "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n" },
	func(*rand.Rand) string { return "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n" },
	func(*rand.Rand) string { return "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nhalf" },
	func(*rand.Rand) string { return "GET /up HTTP/1.1\r\nA: " + strings.Repeat("a", 20_000) + "\r\n\r\n" },
	func(*rand.Rand) string {
		return strings.Repeat("POST /x HTTP/1.1\r\nHost: a\r\nRequest-Class: none\r\nContent-Length: 0\r\n\r\n", 200)
	},
	func(*rand.Rand) string {
		return "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n"
	},
}

// neverRead asks on and on and reads no answer.
func (c *Clients) neverRead(address string, until rules.Millis) {
	conn, err := net.DialTimeout("tcp", address, 400*time.Millisecond)
	if err != nil {
		return
	}
	defer conn.Close()
	c.Bad.Add(1)
	text := []byte(strings.Repeat("GET /counters HTTP/1.1\r\nHost: a\r\n\r\n", 100))
	conn.SetWriteDeadline(time.Now().Add(min(max(c.stage.Clock.Until(until), 0), 2*time.Second)))
	for {
		if _, err := conn.Write(text); err != nil {
			return
		}
	}
}

// offend sends what is bad and notes whether it got an error or a close within 3 s.
func (c *Clients) offend(address, text string) {
	conn, err := net.DialTimeout("tcp", address, 400*time.Millisecond)
	if err != nil {
		return // a sender that is away
	}
	defer conn.Close()
	c.Bad.Add(1)
	conn.SetDeadline(time.Now().Add(3200 * time.Millisecond))
	io.WriteString(conn, text)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	var late net.Error
	isLate := false
	if err != nil {
		late, isLate = err.(net.Error)
		isLate = isLate && late.Timeout()
	}
	if isLate || err == nil && !slices.Contains([]int{400, 404, 405, 408, 413, 431, 501, 503, 505}, answer.StatusCode) {
		c.BadOpen.Add(1)
	}
}
