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

// newReader returns a reader of bytes.
func newReader(b []byte) io.Reader { return bytes.NewReader(b) }

// listenOn listens for TCP connections on an address.
func listenOn(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Clients submits the notices of a scenario instance at their times, independently of how fast the senders respond.
type Clients struct {
	env        *Environment
	addresses  []string       // senders' addresses
	usableFrom []atomic.Int64 // by sender: 0 if it is up, -1 once it is down, 1<<62 once that is detected
	leaving    []atomic.Bool  // by sender: it was told to shut down
	next       atomic.Int64   // sender to choose next, modulo their number
	lastNumber atomic.Int64   // last number used in a name or an ID
	pools      []*pool
	inFlight   sync.WaitGroup // submissions and hostile clients that are running

	mu      sync.Mutex
	random  *rand.Rand
	pending map[string]*effect // by the ID of the last submission: effects that may be submitted again

	// OnResponse, if set, is called after each submission with the status of the response, 0 if there was none, and the
	// time since the intended submission.
	OnResponse func(status int, took rules.Millis)
	// FirstSubmissions counts the effects submitted, and LateSubmissions those of them that were first submitted more
	// than 10 ms after their intended time.
	FirstSubmissions, LateSubmissions atomic.Int64
	// HostileConnections counts the connections of hostile clients, and HostileUnanswered those that got neither an
	// error response nor a close in time.
	HostileConnections, HostileUnanswered atomic.Int64
}

// effect is a piece of work that a client wants done once, however often it submits it.
type effect struct {
	scenario.Arrival
	name    string
	mark    string       // idempotency key; empty: none
	firstAt rules.Millis // intended time of the first submission
}

// pool holds the idle connections to one sender.
type pool struct {
	mu   sync.Mutex
	idle []*clientConn
}

// clientConn is a client's connection to a sender.
type clientConn struct {
	net.Conn
	reader   *bufio.Reader
	lastUsed time.Time
}

// NewClients returns clients that submit to the senders at some addresses.
func NewClients(env *Environment, addresses []string) *Clients {
	c := &Clients{env: env, addresses: addresses, usableFrom: make([]atomic.Int64, len(addresses)),
		leaving: make([]atomic.Bool, len(addresses)), random: scenario.NewRand(env.Instance.Seed, 1<<40),
		pending: map[string]*effect{}}
	for range addresses {
		c.pools = append(c.pools, &pool{})
	}
	return c
}

// Run submits all notices and returns when the last one has its response. Notices that a sender dismisses later are
// still submitted again.
func (c *Clients) Run() {
	for i, fault := range c.env.Instance.Faults {
		if fault.Kind == scenario.Hostile {
			c.inFlight.Add(1)
			go c.runHostileClients(fault, scenario.NewRand(c.env.Instance.Seed, 1<<41+uint64(i)))
		}
	}
	arrivals := c.env.Instance.Arrivals()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for {
		arrival, ok := arrivals.Next()
		if !ok || !c.waitForArrival(arrival.At) {
			break
		}
		submitted := &effect{Arrival: arrival, name: fmt.Sprintf("e%d", c.lastNumber.Add(1)), firstAt: arrival.At}
		if c.env.Instance.Settings.Grades[arrival.Grade].Repeat == rules.Numbered {
			submitted.mark = "m" + submitted.name[1:]
		}
		c.FirstSubmissions.Add(1)
		if c.env.Clock.Now() > arrival.At+10 {
			c.LateSubmissions.Add(1)
		}
		c.inFlight.Add(1)
		go c.submit(submitted, arrival.At, false, "")
	}
	c.inFlight.Wait()
}

// waitForArrival waits for the time of an arrival and reports whether the run goes on. Go's timers are up to a
// millisecond late in an idle process, and the measurements would count that as latency of the sender, so the last
// part of the wait is a sleep in the kernel.
func (c *Clients) waitForArrival(at rules.Millis) bool {
	wait := c.env.Clock.Until(at)
	if wait > 5*time.Millisecond && !c.env.sleep(wait-3*time.Millisecond) {
		return false
	}
	if wait = c.env.Clock.Until(at); wait > 20*time.Microsecond {
		sleepExactly(wait)
	}
	return !c.env.Ended()
}

// chooseSender picks senders in turn, except those known to be down. A sender that is leaving is used as long as there
// is an idle connection to it.
func (c *Clients) chooseSender() int {
	senderCount := len(c.addresses)
	first := int(c.next.Add(1))
	now := int64(c.env.Clock.Now())
	for i := range senderCount {
		sender := (first + i) % senderCount
		if now >= c.usableFrom[sender].Load() || c.leaving[sender].Load() && c.pools[sender].hasIdle() {
			return sender
		}
	}
	return first % senderCount
}

// MarkLeaving marks a sender that was told to shut down. As with MarkDown, the load balancer stops choosing it once it
// detects that, but open connections to it stay in use.
func (c *Clients) MarkLeaving(sender int) {
	c.leaving[sender].Store(true)
	c.MarkDown(sender)
}

// MarkDown marks a sender as down from now on. Clients stop choosing it only after the time in which a load balancer
// would detect that, unless MarkUp is called before.
func (c *Clients) MarkDown(sender int) {
	detectionTime := c.env.Instance.FailureDetectionDelay
	go func() {
		if c.env.sleep(toDuration(detectionTime)) && c.usableFrom[sender].Load() == -1 {
			c.usableFrom[sender].Store(1 << 62)
		}
	}()
	c.usableFrom[sender].Store(-1)
}

// MarkUp marks a sender as serving again.
func (c *Clients) MarkUp(sender int) {
	c.leaving[sender].Store(false)
	c.usableFrom[sender].Store(0)
}

// submit submits an effect to a sender, and arranges a further submission if the response allows one. intended is the
// time at which this submission should be made, and retry the value of the Client-Retry header, empty for none.
func (c *Clients) submit(toSubmit *effect, intended rules.Millis, resubmitted bool, retry string) {
	defer c.inFlight.Done()
	instance, now := c.env.Instance, c.env.Clock.Now()
	remaining := toSubmit.firstAt + instance.Settings.Grades[toSubmit.Grade].ClientTimeout - now
	if remaining < 1 {
		return
	}
	sender := c.chooseSender()
	id := fmt.Sprintf("n%d-%s", c.lastNumber.Add(1), toSubmit.name)
	// The submission is recorded before the sender can receive its ID.
	c.env.Record.Submitted(audit.Submission{ID: id, Effect: toSubmit.name, Mark: toSubmit.mark, Grade: toSubmit.Grade,
		Portfolio: toSubmit.Portfolio, Key: toSubmit.Key, Dest: toSubmit.Destination, Sender: sender, At: now,
		Until: now + remaining, Intended: toSubmit.firstAt, Resubmitted: resubmitted})
	c.mu.Lock()
	c.pending[id] = toSubmit
	c.mu.Unlock()
	status, retryAfter, sent := c.exchange(sender, toSubmit, id, remaining, retry)
	at := c.env.Clock.Now()
	if c.OnResponse != nil {
		c.OnResponse(status, at-intended)
	}
	if status > 0 {
		c.env.Record.Answered(id, status, at)
	}
	switch {
	case status == 202 || status == 200:
		return
	case status == 429 || status == 503:
		c.resubmit(id, toSubmit, max(retryAfter, 20), "1")
	case status == 0 && (!sent || instance.Settings.Grades[toSubmit.Grade].Repeat != rules.AtMostOnce):
		// The sender may not have received it. An at-most-once effect is submitted again only if no sender can have
		// read it.
		clientRetry := "again"
		if !sent {
			clientRetry = ""
		}
		c.resubmit(id, toSubmit, 100, clientRetry)
	}
	c.mu.Lock()
	delete(c.pending, id)
	c.mu.Unlock()
}

// resubmit submits an effect once more after a delay, if its client chooses to and the client timeout allows it.
func (c *Clients) resubmit(id string, toSubmit *effect, after rules.Millis, retry string) {
	instance := c.env.Instance
	c.mu.Lock()
	retries := c.random.Float64() < instance.Traffic.ResubmitShare
	delete(c.pending, id)
	c.mu.Unlock()
	at := c.env.Clock.Now() + after
	if !retries || at >= toSubmit.firstAt+instance.Settings.Grades[toSubmit.Grade].ClientTimeout {
		return
	}
	c.inFlight.Add(1)
	go func() {
		if !c.env.sleep(toDuration(after)) {
			c.inFlight.Done()
			return
		}
		c.submit(toSubmit, at, true, retry)
	}()
}

// HandleOutcome handles a final outcome that the platform received. A dismissed notice may be submitted again.
func (c *Clients) HandleOutcome(outcome directory.FinalOutcome) {
	c.mu.Lock()
	submitted := c.pending[outcome.Message]
	delete(c.pending, outcome.Message)
	c.mu.Unlock()
	if submitted != nil && outcome.Outcome == directory.HandedBack {
		c.resubmit(outcome.Message, submitted, max(rules.Millis(outcome.RetryInMS), 20), "1")
	}
}

// hasIdle reports whether there is an idle connection.
func (p *pool) hasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}

// take removes the most recently used connection and returns it. If that one has been idle for 1.5 s, it closes all of
// them and returns nil.
func (p *pool) take() *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		conn := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if time.Since(conn.lastUsed) < 1500*time.Millisecond {
			return conn
		}
		conn.Close()
	}
	return nil
}

// put adds a connection that has become idle, and closes those that have been idle for longer than 1.5 s.
func (p *pool) put(conn *clientConn) {
	conn.lastUsed = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, conn)
	// The connections at the front have been idle for the longest time.
	for len(p.idle) > 0 && time.Since(p.idle[0].lastUsed) > 1500*time.Millisecond {
		p.idle[0].Close()
		p.idle = p.idle[1:]
	}
}

// exchange sends one submission and returns the status of the response, 0 if there was none, and its Retry-After wait.
// sent is false if no byte can have reached the sender.
func (c *Clients) exchange(sender int, toSubmit *effect, id string, remaining rules.Millis, retry string) (status int,
	retryAfter rules.Millis, sent bool) {
	instance := c.env.Instance
	deadline := time.Now().Add(toDuration(instance.Traffic.AnswerTimeout))
	var request bytes.Buffer
	grade := instance.Names.Grades[toSubmit.Grade]
	fmt.Fprintf(&request, "POST /%s HTTP/1.1\r\nHost: sender\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n"+
		"Request-Timeout-Ms: %d\r\nX-Consignee: dest=%d\r\nContent-Length: %d\r\n", grade, id, grade, int(remaining),
		toSubmit.Destination, toSubmit.Body)
	if toSubmit.Portfolio < len(instance.Names.Portfolios) {
		fmt.Fprintf(&request, "Tenant: %s\r\n", instance.Names.Portfolios[toSubmit.Portfolio])
	}
	if toSubmit.mark != "" {
		fmt.Fprintf(&request, "Idempotency-Key: %s\r\n", toSubmit.mark)
	}
	if toSubmit.Key > 0 {
		fmt.Fprintf(&request, "Affinity-Key: k%d\r\n", toSubmit.Key)
	}
	if retry != "" {
		fmt.Fprintf(&request, "Client-Retry: %s\r\n", retry)
	}
	request.WriteString("\r\n")
	request.Write(bytes.Repeat([]byte{'b'}, toSubmit.Body))
	for newConnection := false; ; newConnection = true {
		current := c.pools[sender].take()
		if current == nil || newConnection {
			if current != nil {
				current.Close()
			}
			conn, err := net.DialTimeout("tcp", c.addresses[sender], time.Until(deadline))
			if err != nil {
				return 0, 0, sent
			}
			current, newConnection = &clientConn{Conn: conn, reader: bufio.NewReaderSize(conn, 512)}, true
		}
		current.SetDeadline(deadline)
		if _, err := current.Write(request.Bytes()); err != nil {
			current.Close()
			if !newConnection {
				continue
			}
			return 0, 0, true
		}
		sent = true
		response := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseResponse(response)
		if err := response.Read(current.reader); err != nil {
			current.Close()
			// The sender closed a kept connection before it read the request: retry once on a new connection.
			if !newConnection && (errors.Is(err, io.EOF) || errors.As(err, &fasthttp.ErrNothingRead{})) &&
				time.Now().Before(deadline) {
				continue
			}
			return 0, 0, true
		}
		if header := response.Header.Peek("Retry-After"); len(header) > 0 {
			if s, err := strconv.ParseFloat(string(header), 64); err == nil {
				retryAfter = rules.Millis(s * 1000)
			}
		}
		if response.ConnectionClose() {
			current.Close()
		} else {
			c.pools[sender].put(current)
		}
		return response.StatusCode(), retryAfter, true
	}
}

// CloseIdle closes the clients' idle connections.
func (c *Clients) CloseIdle() {
	for _, p := range c.pools {
		p.mu.Lock()
		for _, conn := range p.idle {
			conn.Close()
		}
		p.idle = nil
		p.mu.Unlock()
	}
}

// runHostileClients runs clients that send invalid requests or read no responses, for as long as a fault lasts.
func (c *Clients) runHostileClients(fault scenario.Fault, random *rand.Rand) {
	defer c.inFlight.Done()
	if !c.env.waitUntil(fault.At) {
		return
	}
	var clients sync.WaitGroup
	for range int(max(fault.Size, 1)) {
		kind, seed := random.IntN(len(hostileRequests)+1), random.Uint64()
		clients.Add(1)
		go func() {
			defer clients.Done()
			clientRandom := rand.New(rand.NewPCG(seed, 1))
			for c.env.Clock.Now() < fault.Until() && c.env.sleep(10*time.Millisecond) {
				address := c.addresses[clientRandom.IntN(len(c.addresses))]
				if kind == len(hostileRequests) {
					c.sendWithoutReading(address, fault.Until())
				} else {
					c.sendInvalid(address, hostileRequests[kind](clientRandom))
				}
				kind = clientRandom.IntN(len(hostileRequests) + 1)
			}
		}()
	}
	clients.Wait()
}

// hostileRequests generate what hostile clients send. An empty request stands for a client that connects and sends
// nothing.
var hostileRequests = []func(random *rand.Rand) string{
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

// sendWithoutReading sends requests until a time, for at most 2 s, and reads no response.
func (c *Clients) sendWithoutReading(address string, until rules.Millis) {
	conn, err := net.DialTimeout("tcp", address, 400*time.Millisecond)
	if err != nil {
		return
	}
	defer conn.Close()
	c.HostileConnections.Add(1)
	requests := []byte(strings.Repeat("GET /counters HTTP/1.1\r\nHost: a\r\n\r\n", 100))
	conn.SetWriteDeadline(time.Now().Add(min(max(c.env.Clock.Until(until), 0), 2*time.Second)))
	for {
		if _, err := conn.Write(requests); err != nil {
			return
		}
	}
}

// sendInvalid sends an invalid request and counts whether it got an error response or a close within 3 s and a margin
// of 200 ms.
func (c *Clients) sendInvalid(address, request string) {
	conn, err := net.DialTimeout("tcp", address, 400*time.Millisecond)
	if err != nil {
		return // the sender is down
	}
	defer conn.Close()
	c.HostileConnections.Add(1)
	conn.SetDeadline(time.Now().Add(3200 * time.Millisecond))
	io.WriteString(conn, request)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	var netErr net.Error
	timedOut := false
	if err != nil {
		netErr, timedOut = err.(net.Error)
		timedOut = timedOut && netErr.Timeout()
	}
	if timedOut ||
		err == nil && !slices.Contains([]int{400, 404, 405, 408, 413, 431, 501, 503, 505}, response.StatusCode) {
		c.HostileUnanswered.Add(1)
	}
}
