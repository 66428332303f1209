package intake

import (
	"slices"
	"time"

	"chuteweir.example/chuteweir/internal/http1"
	"chuteweir.example/chuteweir/internal/sockets"
)

// The connections of clients, from their opening to their end.

// client is one connection. A client may send requests before it has the answers to earlier ones: they are served together, and
// answered in their order. No more is read before all that was read has its answer; it waits in the kernel.
type client struct {
	conn      *sockets.Conn
	parser    *http1.Parser
	answers   []*answer // owed, in the order of their requests
	born      time.Time
	since     time.Time // of the last change
	behind    time.Time // from when on bytes may lie unread in the kernel; zero: none do
	window    int       // bytes that were asked for and have not come
	served    bool      // it has had an answer
	continues bool      // it waits to be told to send its request's body
	deaf      bool      // nothing more that comes is taken as a request
	discards  bool      // what comes is read all the same, and passed over
	full      bool      // nothing more is read: it has asked too much that is refused
	floods    bool      // it asks for pages on and on
	refused   int       // requests
	closing   bool      // the last answer is written
	passed    int       // bytes passed over
	pages     int       // asked for in this turn
	pagesAt   time.Time
}

// ending is whether a connection ends with an answer.
type ending uint8

const (
	goesOn          ending = iota
	closesWhenQuiet        // it ends, unless more was sent: that is answered first, but without end only what was read
	closesAtOnce           // it ends, and what was sent behind is not taken as requests
)

// answer is what one request is owed.
type answer struct {
	settled bool
	status  int
	fields  []http1.Field
	body    string
	end     ending
}

func (a *answer) settle(status int, end ending) {
	a.settled, a.status, a.end = true, status, max(a.end, end)
}

// expect adds an answer to those that a client is owed.
func (in *Intake) expect(c *client) *answer {
	a := &answer{}
	c.answers = append(c.answers, a)
	return a
}

// flush writes the answers whose turn it is. Once none is owed, the client's connection is read on.
func (in *Intake) flush(c *client) {
	out := in.out[:0]
	for len(c.answers) > 0 && c.answers[0].settled && !c.closing {
		a := c.answers[0]
		c.answers = slices.Delete(c.answers, 0, 1) // which keeps its room
		c.closing = a.end == closesAtOnce || (a.end == closesWhenQuiet || c.full) && in.nothingBehind(c)
		out = http1.AppendAnswer(out, a.status, a.fields, a.body, c.closing)
	}
	in.out = out
	if len(out) > 0 {
		c.served, c.since = true, in.now
	}
	if c.continues && len(c.answers) == 0 {
		c.continues = false
		out = append(out, http1.Continue...)
	}
	if len(out) > 0 && c.conn.Write(out) != nil {
		in.drop(c)
		return
	}
	switch {
	case c.closing:
		in.finish(c)
	case len(c.answers) == 0 && !c.conn.Queued():
		in.readOn(c)
	}
}

// readOn lets more be read of a client: what is known to be missing of its request, but at least a buffer.
func (in *Intake) readOn(c *client) {
	if !c.behind.IsZero() && c.conn.Quiet() {
		c.behind = time.Time{}
	}
	c.window = max(in.limits.Window, c.parser.Missing())
	c.conn.Resume(c.window)
}

// nothingBehind tells whether nothing that is still to be answered has come of a client behind the answers that were settled.
func (in *Intake) nothingBehind(c *client) bool {
	if len(c.answers) > 0 || c.conn.Queued() {
		return false
	}
	return c.full || !c.parser.Begun() && c.conn.Quiet()
}

// refuse answers a request that is not taken.
func (in *Intake) refuse(c *client, a *answer, status int) {
	if c.refused++; c.refused >= in.limits.Refused {
		c.full = true
	}
	a.settle(status, closesWhenQuiet)
}

// finish ends the sending side behind the last answer, so that it is read; the rest follows when the client closes, or is swept.
// What comes behind requests that were all answered stays in the kernel, so that the client knows that it was not read.
func (in *Intake) finish(c *client) {
	c.answers, c.deaf = nil, true
	if c.floods && !c.conn.Quiet() {
		in.drop(c)
		return
	}
	c.conn.CloseWrite()
	if c.discards {
		c.conn.Resume(in.limits.Buffer)
	} else {
		c.conn.Resume(0)
	}
}

// giveUp answers a request that can't be read to its end. Where the next one begins is not known: what comes from now on is
// passed over, so that the client can write all and then reads its answer.
func (in *Intake) giveUp(c *client, status int) {
	c.parser.Free()
	delete(in.begun, c)
	c.deaf, c.discards = true, true
	in.expect(c).settle(status, closesAtOnce)
}

// discard passes over bytes, but not without end.
func (in *Intake) discard(c *client, count int) {
	if c.passed += count; c.passed > in.limits.Discard {
		in.Refused.Flooding++
		in.drop(c)
	} else if c.closing && c.discards {
		c.conn.Resume(in.limits.Buffer)
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
		case len(c.answers) > 0:
		case !c.conn.Written():
			if idle > in.limits.RequestTime { // it does not take its answers
				in.Refused.Flooding++
				in.drop(c)
			}
		case c.closing:
			if idle > in.limits.Linger {
				in.drop(c)
			}
		case c.parser.Begun():
			if idle > in.limits.RequestTime || !c.served && now.Sub(c.born) > in.limits.FirstTime {
				in.Refused.Late++
				in.giveUp(c, 408)
				in.flush(c)
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
		if len(c.answers) == 0 {
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
