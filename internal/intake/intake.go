// Package intake serves the clients: it reads the notices that they hand in and writes the answers.
package intake

import (
	"errors"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"

	"chuteweir.example/chuteweir/internal/buffers"
	"chuteweir.example/chuteweir/internal/http1"
	"chuteweir.example/chuteweir/internal/limits"
	"chuteweir.example/chuteweir/internal/settings"
	"chuteweir.example/chuteweir/internal/sockets"
	"chuteweir.example/chuteweir/rules"
)

// Request is a notice handed in, waiting for Answer.
type Request struct {
	ID          string
	Mark        string // by which a receiver knows a repeat, or empty
	Grade       rules.GradeID
	Portfolio   rules.PortfolioID
	Key         rules.KeyID
	Destination rules.DestinationID
	Left        rules.Millis
	Inherited   bool // a sender that died, or did not answer, had it
	Body        *buffers.Chain
	// Since is the earliest time at which a request can have come that lay unread behind others of its client; zero: it lay behind none.
	Since  time.Time
	client *client
	answer *answer
}

// Refusals counts requests and connections turned away without the module's having seen them, by what was wrong.
type Refusals struct {
	Unreadable, Unknown, Malformed, Late, Leaving int // answered with an error
	Silent, Crowded, Flooding                     int // closed
}

// Intake is all clients.
type Intake struct {
	limits  limits.Limits
	pool    *buffers.Pool
	names   settings.Names
	known   func(rules.DestinationID) bool
	pages   func() string
	clients map[*sockets.Conn]*client
	begun   map[*client]bool // those with a request that is not whole
	taken   []*Request
	now     time.Time
	out     []byte
	// Leaving makes every answer the last on its connection, and every notice refused.
	Leaving bool
	Refused Refusals
}

// New makes an intake; known tells the destinations that exist, counters writes the page of counters.
func New(l limits.Limits, pool *buffers.Pool, names settings.Names, known func(rules.DestinationID) bool,
	counters func() string) *Intake {
	return &Intake{limits: l, pool: pool, names: names, known: known, pages: counters,
		clients: map[*sockets.Conn]*client{}, begun: map[*client]bool{}}
}

// Opened begins a client's connection.
func (in *Intake) Opened(conn *sockets.Conn) {
	in.clients[conn] = &client{conn: conn, born: in.now, since: in.now, window: in.limits.Window,
		parser: http1.NewParser(in.pool, false, in.limits.Head, in.limits.Fields, in.limits.Body)}
}

// Closed ends it from the client's side.
func (in *Intake) Closed(conn *sockets.Conn, _ error) {
	if c := in.clients[conn]; c != nil {
		in.forget(c)
	}
}

// Data takes bytes from a client.
func (in *Intake) Data(conn *sockets.Conn, b []byte) {
	c := in.clients[conn]
	if c == nil {
		return
	}
	if c.deaf {
		in.discard(c, len(b))
		return
	}
	in.read(c, b)
	if c.window -= len(b); c.window <= 0 && c.behind.IsZero() {
		c.behind = in.now
	}
	in.flush(c)
}

// read takes the requests that bytes hold, in their order.
func (in *Intake) read(c *client, b []byte) {
	for !c.deaf && len(b) > 0 {
		if !c.parser.Begun() {
			c.since = in.now
		}
		rest, done, err := c.parser.Feed(b)
		if err != nil {
			in.unreadable(c, err)
			break
		}
		b = rest
		if done {
			in.serve(c, c.parser.Take())
		} else if c.parser.Waits() {
			c.continues = true
		}
	}
	if c.parser.Begun() {
		in.begun[c] = true
	} else {
		delete(in.begun, c)
	}
}

// unreadable answers what can't be read.
func (in *Intake) unreadable(c *client, err error) {
	status := 400
	var fault *http1.Fault
	if errors.As(err, &fault) {
		status = fault.Status
	}
	in.Refused.Unreadable++
	in.giveUp(c, status)
}

// serve answers a request, or leaves it to be taken. A request that asks for it is the last on its connection.
func (in *Intake) serve(c *client, m *http1.Message) {
	a := in.expect(c)
	if m.Close {
		a.end, c.deaf = closesAtOnce, true
	}
	path, _, _ := strings.Cut(m.Path, "?")
	switch {
	case path == "/up" || path == "/counters":
		m.Body.Free()
		in.servePage(c, a, m.Method, path)
	case m.Method != "POST":
		m.Body.Free()
		in.Refused.Malformed++
		in.refuse(c, a, 405)
	case in.Leaving:
		m.Body.Free()
		in.Refused.Leaving++
		in.refuse(c, a, 503)
	default:
		r, status := in.request(m, path)
		if status != 0 {
			m.Body.Free()
			in.refuse(c, a, status)
			return
		}
		r.client, r.answer, r.Since = c, a, c.behind
		in.taken = append(in.taken, r)
	}
}

// servePage answers a request for a page. A client that asks for many at once, more than it can be reading, gets no more of
// them, and nothing more is read of it: each costs a sender more than the client.
func (in *Intake) servePage(c *client, a *answer, method, path string) {
	if c.pagesAt != in.now {
		c.pages, c.pagesAt = 0, in.now
	}
	if c.pages++; c.pages == in.limits.Pages {
		in.Refused.Flooding++
		c.full, c.floods = true, true
	}
	end := goesOn
	if in.Leaving || c.floods {
		end = closesWhenQuiet
	}
	switch {
	case method != "GET":
		a.settle(405, end)
	case c.pages > in.limits.Pages:
		a.settle(429, end)
	case path == "/counters":
		a.body = in.pages()
		a.settle(200, end)
	case in.Leaving:
		a.settle(503, end)
	default:
		a.settle(200, end)
	}
}

// request reads a notice, or says with which status it is malformed.
func (in *Intake) request(m *http1.Message, path string) (*Request, int) {
	grade := m.Get("request-class")
	if grade == "" {
		grade, _, _ = strings.Cut(strings.TrimPrefix(path, "/"), "/")
	}
	g := slices.Index(in.names.Grades, grade)
	if g < 0 {
		in.Refused.Unknown++
		return nil, 404
	}
	r := &Request{ID: m.Get("request-id"), Mark: m.Get("idempotency-key"), Grade: rules.GradeID(g),
		Inherited: m.Get("client-retry") == "again", Body: m.Body}
	left, err := strconv.ParseUint(m.Get("request-timeout-ms"), 10, 32)
	to, found := destination(m.Get("x-consignee"))
	if err != nil || !found || r.ID == "" || !plain(r.ID) || !plain(r.Mark) {
		in.Refused.Malformed++
		return nil, 400
	}
	if !in.known(to) {
		in.Refused.Unknown++
		return nil, 503 // it may be listed later: coming again is harmless
	}
	r.Left, r.Destination = rules.Millis(left), to
	r.Portfolio = rules.PortfolioID(settings.Index(in.names.Portfolios, m.Get("tenant")))
	if key := m.Get("affinity-key"); key != "" {
		h := fnv.New64a()
		h.Write([]byte(key))
		r.Key = rules.KeyID(max(h.Sum64(), 1))
	}
	return r, 0
}

// plain tells whether a notice's id or mark can be handed on everywhere as it is, in a header and in JSON.
func plain(s string) bool {
	return len(s) <= 256 && !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r > '~' })
}

// destination finds the number in "dest=7"; other parts may stand beside it.
func destination(value string) (rules.DestinationID, bool) {
	for part := range strings.FieldsFuncSeq(value, func(r rune) bool { return r == ',' || r == ';' || r == ' ' }) {
		if number, found := strings.CutPrefix(part, "dest="); found {
			n, err := strconv.ParseUint(number, 10, 31)
			return rules.DestinationID(n), err == nil
		}
	}
	return 0, false
}

// Take hands over the notices that have come.
func (in *Intake) Take() []*Request {
	taken := in.taken
	in.taken = nil
	return taken
}

// Answer writes the answer to a notice, behind those to what its client had sent before.
func (in *Intake) Answer(r *Request, status int, retryAfter rules.Millis) {
	c := r.client
	if in.clients[c.conn] != c {
		return // the client has gone
	}
	if retryAfter > 0 {
		r.answer.fields = append(r.answer.fields, http1.Field{Name: "Retry-After",
			Value: strconv.FormatFloat(float64(retryAfter)/1000, 'f', 3, 64)})
	}
	end := goesOn
	if in.Leaving {
		end = closesWhenQuiet
	}
	r.answer.settle(status, end)
	in.flush(c)
}

// At sets the time for what comes next.
func (in *Intake) At(now time.Time) { in.now = now }
