// Package intake serves the clients: it reads the notices that they hand in and writes the answers.
package intake

import (
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
	client      *client
}

// client is one connection.
type client struct {
	conn    *sockets.Conn
	parser  *http1.Parser
	born    time.Time
	since   time.Time // of the last change
	served  bool      // it has had an answer
	busy    bool      // a request waits for its answer
	closing bool      // the last answer is written
	waiting []byte    // bytes behind the request that waits
	passed  int       // bytes passed over since the last answer
	pages   int       // asked for in this turn
	pagesAt time.Time
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
	in.clients[conn] = &client{conn: conn, born: in.now, since: in.now,
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
	switch {
	case c == nil:
	case c.closing:
		// It is read on, so that it reads its answer, but not without end.
		if c.passed += len(b); c.passed > in.limits.Discard {
			in.Refused.Flooding++
			in.drop(c)
		}
	case c.busy:
		// Clients send one request at a time; one that sends on and on before its answer is cut off.
		if c.waiting = append(c.waiting, b...); len(c.waiting) > in.limits.Head+in.limits.Body {
			in.Refused.Flooding++
			in.drop(c)
		}
	default:
		in.read(c, b)
	}
}

func (in *Intake) read(c *client, b []byte) {
	for !c.busy && !c.closing && len(b) > 0 {
		if !c.parser.Begun() {
			c.since = in.now
		}
		rest, done, err := c.parser.Feed(b)
		if err != nil {
			status := 400
			if fault, ok := err.(*http1.Fault); ok {
				status = fault.Status
			}
			in.Refused.Unreadable++
			c.parser.Free() // what follows is passed over
			delete(in.begun, c)
			in.write(c, status, nil, "", true)
			return
		}
		b = rest
		if done {
			in.serve(c, c.parser.Take())
		} else if c.parser.Waits() {
			c.conn.Write([]byte(http1.Continue))
		}
	}
	if c.busy && len(b) > 0 {
		c.waiting = append(c.waiting, b...)
	}
	if in.clients[c.conn] == c && c.parser.Begun() {
		in.begun[c] = true
	} else {
		delete(in.begun, c)
	}
}

// serve answers a request, or leaves it to be taken.
func (in *Intake) serve(c *client, m *http1.Message) {
	c.closing = m.Close
	path, _, _ := strings.Cut(m.Path, "?")
	switch {
	case path == "/up" || path == "/counters":
		status, body := 200, ""
		if path == "/counters" {
			body = in.pages()
		} else if in.Leaving {
			status = 503
		}
		if m.Method != "GET" {
			status, body = 405, ""
		}
		m.Body.Free()
		in.write(c, status, nil, body, in.Leaving || in.floods(c))
	case m.Method != "POST":
		m.Body.Free()
		in.Refused.Malformed++
		in.write(c, 405, nil, "", true)
	case in.Leaving:
		m.Body.Free()
		in.Refused.Leaving++
		in.write(c, 503, nil, "", true)
	default:
		r, status := in.request(m, path)
		if status != 0 {
			// What follows on the connection is not trusted either.
			m.Body.Free()
			in.write(c, status, nil, "", true)
			return
		}
		r.client, c.busy = c, true
		in.taken = append(in.taken, r)
	}
}

// floods tells whether a client asks for pages on and on, more than it can be reading: each costs a sender more than
// the client, which may never read any.
func (in *Intake) floods(c *client) bool {
	if c.pagesAt != in.now {
		c.pages, c.pagesAt = 0, in.now
	}
	if c.pages++; c.pages == in.limits.Pages {
		in.Refused.Flooding++
	}
	return c.pages >= in.limits.Pages
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

// Answer writes the answer to a notice; what the client had sent on meanwhile is read then.
func (in *Intake) Answer(r *Request, status int, retryAfter rules.Millis) {
	c := r.client
	if in.clients[c.conn] != c {
		return // the client has gone
	}
	var fields []http1.Field
	if retryAfter > 0 {
		fields = append(fields, http1.Field{Name: "Retry-After",
			Value: strconv.FormatFloat(float64(retryAfter)/1000, 'f', 3, 64)})
	}
	c.busy = false
	in.write(c, status, fields, "", in.Leaving)
	if rest := c.waiting; len(rest) > 0 && in.clients[c.conn] == c {
		c.waiting = nil
		in.read(c, rest)
	}
}

func (in *Intake) write(c *client, status int, fields []http1.Field, body string, closes bool) {
	c.closing = c.closing || closes
	c.served, c.since = true, in.now
	in.out = http1.AppendAnswer(in.out[:0], status, fields, body, c.closing)
	if c.conn.Write(in.out) != nil {
		in.drop(c)
	} else if c.closing {
		c.conn.CloseWrite() // so that the answer is read; the rest follows when the client closes, or is swept
	}
}

func (in *Intake) drop(c *client) {
	in.forget(c)
	c.conn.Close()
}

// dropQuiet ends a connection unless something has come on it that was not read yet: that may be a request, which is owed
// its answer once it has been read.
func (in *Intake) dropQuiet(c *client) bool {
	quiet := c.conn.CloseQuiet()
	if quiet {
		in.forget(c)
	}
	return quiet
}

func (in *Intake) forget(c *client) {
	c.parser.Free()
	delete(in.clients, c.conn)
	delete(in.begun, c)
}

// Sweep ends what has taken too long. A request that was never complete gets an answer first.
func (in *Intake) Sweep(now time.Time) {
	for _, c := range in.clients {
		idle := now.Sub(c.since)
		switch {
		case c.busy:
		case c.closing:
			if idle > in.limits.Linger {
				in.drop(c)
			}
		case c.parser.Begun():
			if idle > in.limits.RequestTime || !c.served && now.Sub(c.born) > in.limits.FirstTime {
				in.Refused.Late++
				in.write(c, 408, nil, "", true)
			}
		case idle > in.limits.ClientIdle || in.Leaving && c.served:
			if in.dropQuiet(c) && !c.served {
				in.Refused.Silent++
			}
		}
	}
}

// MakeRoom guards against clients that hold connections or memory for nothing: while there is too much of either, those
// without a whole request that have been quiet for longest go. A usual client's request comes right behind its
// connection.
func (in *Intake) MakeRoom() {
	over, held := len(in.clients)-in.limits.Crowd, -in.limits.Partial
	if over <= 0 && len(in.begun) <= in.limits.Partial/(in.limits.Head+in.limits.Body+2*in.limits.Buffer) {
		return // so few can't hold too much
	}
	for c := range in.begun {
		held += c.parser.Held()
	}
	if over <= 0 && held <= 0 {
		return
	}
	var quiet []*client
	for _, c := range in.clients {
		if !c.busy {
			quiet = append(quiet, c)
		}
	}
	slices.SortFunc(quiet, func(a, b *client) int { return a.since.Compare(b.since) })
	for _, c := range quiet {
		if mine := c.parser.Held(); (over > 0 || held > 0 && mine > 0) && in.dropQuiet(c) {
			over--
			held -= mine
			in.Refused.Crowded++
		}
	}
}

// At sets the time for what comes next.
func (in *Intake) At(now time.Time) { in.now = now }
