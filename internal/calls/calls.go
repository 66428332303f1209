// Package calls keeps the connections to receivers and brings each call to its outcome. It sends nothing of its
// own: what a call came to goes back to the decisions.
package calls

import (
	"container/heap"
	"context"
	"log/slog"
	"math"
	"slices"
	"strconv"
	"time"

	"chuteweir.example/chuteweir/internal/buffers"
	"chuteweir.example/chuteweir/internal/http1"
	"chuteweir.example/chuteweir/internal/limits"
	"chuteweir.example/chuteweir/internal/logs"
	"chuteweir.example/chuteweir/internal/sockets"
	"chuteweir.example/chuteweir/rules"
)

// Call is one trip of a notice.
type Call struct {
	Notice   rules.NoticeID
	Trip     int // of the notice, by which a confirmation names it
	Receiver rules.ReceiverID
	// Destination is what the receiver belongs to: a wait that one of its calls is told binds all of them.
	Destination rules.DestinationID
	Address     string
	Zone        rules.ZoneID
	ID, Mark    string // of the notice, as its client gave them
	Body        *buffers.Chain
	TimeOut     time.Duration

	Begun      time.Time // set by Send
	due        time.Time // its time-out is over
	place      int       // among those out
	connection *connection
	written    bool // all of it was handed to the connection
}

// connection is one connection to a receiver.
type connection struct {
	conn       *sockets.Conn
	number     uint64 // of those that the pool made
	parser     *http1.Parser
	receiver   rules.ReceiverID
	up         bool
	carried    int            // calls that were written
	last       rules.NoticeID // of the last of them
	call       *Call          // nil: idle, or reading what is left of an answer
	rest       bool           // the answer's head was enough, its body is still to come
	gone       bool           // its receiver is listed no more
	givenUp    bool           // its call was given up: nothing more is sent, and only a wait is still heard
	heardBytes int            // of what came when it was not used any more
	surplus    bool           // the same, after something came that no call had asked for
	retired    bool           // it is not used again, and closed when it has settled
	statuses   []int          // of all answers that were heard since the call was written, where they may be other calls'
	since      time.Time
	wrote      time.Time // when the last call was written
	heard      time.Time // when the last bytes were heard
	// settledAt is when it may carry a further call: it must have been quiet for a while since its last answer.
	settledAt time.Time
	exchanges []exchange // answered on it, of which the answers may have been other calls'
	// waitUntil is the end of the wait that the answer being read has told; zero: none.
	waitUntil time.Time
}

// Pool is all connections to receivers.
type Pool struct {
	net     *sockets.Net
	limits  limits.Limits
	buffers *buffers.Pool
	report  []string
	hooks   Hooks
	log     *slog.Logger
	tracing bool // each connection's way is logged

	out           map[rules.NoticeID]*Call
	byDestination map[rules.DestinationID][]*Call // those out, by destination
	deadlines     byDeadline                      // those out, the first to time out in front
	connections   map[*sockets.Conn]*connection
	made          uint64                             // connections
	idle          map[rules.ReceiverID][]*connection // the one used last at the end
	waiting       []*connection                      // those that settle, with calls that wait for that
	comesUp       map[rules.ReceiverID]time.Duration // how long the last connection to a receiver took to come up
	ended         []rules.TripEnded
	up            []rules.ConnectionUp
	waits         []rules.WaitTold
	confirmed     []Confirmation
	doubts        []Doubt
	surplus       []rules.ReceiverID
	now           time.Time
	bytes         []byte
	// lagged says that the process may have stood still since connections were last heard: answers may wait unread.
	lagged bool

	Spoilt  int // answers that could not be used
	Beyond  int // good answers with more bytes behind them
	Stale   int // idle connections not used, as they had ended or said something unasked
	Unasked int // connections that said something unasked, or more than an answer
}

// Hooks is what a pool asks for.
type Hooks struct {
	// Record is asked just before a call is written; its error keeps the call from leaving.
	Record func(*Call) error
	// ConfirmTime is how long behind an answer of a receiver the true one would have come, if that was another call's.
	ConfirmTime func(receiver rules.ReceiverID) time.Duration
	// WaitsToSettle tells whether a call waits for a connection that has settled when left is over, rather than for a new one, of
	// which the last took comesUp to come up.
	WaitsToSettle func(receiver rules.ReceiverID, left, comesUp time.Duration) bool
}

// New makes a pool. report names the values of a load report in the decisions' order.
func New(l limits.Limits, pool *buffers.Pool, report []string, log *slog.Logger, hooks Hooks) *Pool {
	return &Pool{limits: l, buffers: pool, report: report, hooks: hooks, log: log,
		tracing: log.Enabled(context.Background(), slog.LevelDebug), out: map[rules.NoticeID]*Call{},
		byDestination: map[rules.DestinationID][]*Call{}, connections: map[*sockets.Conn]*connection{}, idle: map[rules.ReceiverID][]*connection{},
		comesUp: map[rules.ReceiverID]time.Duration{}}
}

// Use says on which sockets calls go.
func (p *Pool) Use(net *sockets.Net) { p.net = net }

// Begin sets the time at which a turn begins.
func (p *Pool) Begin(now time.Time) {
	p.lagged = now.Sub(p.now) > p.limits.Lag
	p.now = now
}

// At sets the time for what comes next.
func (p *Pool) At(now time.Time) { p.now = now }

// Made is the number of connections that were begun.
func (p *Pool) Made() int { return int(p.made) }

// Out is the number of calls without an outcome.
func (p *Pool) Out() int { return len(p.out) }

// Ended hands over the outcomes since the last time.
func (p *Pool) Ended() []rules.TripEnded {
	ended := p.ended
	p.ended = nil
	return ended
}

// Send begins a call: on an idle connection that has settled, or one that will soon, or a new one.
func (p *Pool) Send(c *Call) {
	c.Begun, c.due = p.now, p.now.Add(c.TimeOut)
	p.out[c.Notice] = c
	heap.Push(&p.deadlines, c)
	p.byDestination[c.Destination] = append(p.byDestination[c.Destination], c)
	if p.unheard(c) {
		p.end(c, rules.Recalled)
		return
	}
	if l := p.usable(c.Receiver); l != nil {
		l.call, c.connection = c, l
		p.write(l)
		return
	}
	if l := p.nextSettled(c.Receiver); l != nil {
		p.waitToSettle(l, c)
		return
	}
	p.connect(c)
}

// connect begins a new connection for a call.
func (p *Pool) connect(c *Call) {
	if len(p.connections) >= p.limits.Receivers && !p.closeOldest() {
		p.end(c, rules.Short)
		return
	}
	p.made++
	l := &connection{number: p.made, receiver: c.Receiver, call: c, since: p.now,
		parser: http1.NewParser(p.buffers, true, p.limits.Head, p.limits.Fields, p.limits.Body)}
	c.connection = l
	if p.tracing {
		p.log.Debug(logs.Connecting, "connection", l.number, "notice", c.Notice, "receiver", c.Receiver, "address", c.Address)
	}
	l.conn = p.net.Dial(c.Address, p.limits.ConnectTime, p.limits.Head+p.limits.Body, p)
	p.connections[l.conn] = l
}

// Up hands over the calls whose connections have come up since the last time: each waits for Write or Recall.
func (p *Pool) Up() []rules.ConnectionUp {
	up := p.up
	p.up = nil
	return up
}

// Waits hands over the waits that were told since the last time by answers whose end has not come.
func (p *Pool) Waits() []rules.WaitTold {
	waits := p.waits
	p.waits = nil
	return waits
}

// Write lets a call leave whose connection has come up.
func (p *Pool) Write(notice rules.NoticeID) {
	c := p.out[notice]
	if c == nil || c.written || !c.connection.up {
		return
	}
	if p.unheard(c) {
		p.Recall(notice)
		return
	}
	l := c.connection
	switch {
	case l.conn.Quiet():
		p.write(l)
	case l.carried > 0:
		l.call = nil
		p.retire(l)
		p.connect(c)
	default:
		p.drop(l, "ended or said something before its first call")
		p.end(c, rules.NotConnected)
	}
}

// unheard tells whether another call to the same destination has an answer that was not read yet, which may tell to wait.
// It looks only where the process may have stood still; else what came was heard at the beginning of the turn.
func (p *Pool) unheard(c *Call) bool {
	if !p.lagged && time.Since(p.now) <= p.limits.Lag {
		return false
	}
	return slices.ContainsFunc(p.byDestination[c.Destination], func(other *Call) bool {
		return other != c && other.written && !other.connection.conn.Quiet()
	})
}

// Recall takes a call back whose connection has come up, and keeps the connection.
func (p *Pool) Recall(notice rules.NoticeID) {
	c := p.out[notice]
	if c == nil || c.written || !c.connection.up {
		return
	}
	p.unassign(c.connection)
	p.end(c, rules.Recalled)
}

// write writes the call of a connection. What has come by then would be taken for its answer: the call is taken back then.
func (p *Pool) write(l *connection) {
	c := l.call
	if err := p.hooks.Record(c); err != nil {
		p.unassign(l)
		p.end(c, rules.Short)
		return
	}
	if l.carried > 0 && !l.conn.Quiet() {
		l.call = nil
		p.retire(l)
		p.end(c, rules.Recalled)
		return
	}
	if p.tracing {
		p.log.Debug(logs.Written, "connection", l.number, "id", c.ID, "notice", c.Notice, "receiver", c.Receiver,
			"begun_ago", p.now.Sub(c.Begun), "fresh", l.carried == 0, "carried", l.carried, "rested", l.quiet(time.Now()))
	}
	l.carried++
	l.statuses = l.statuses[:0]
	l.last = c.Notice
	wait := max(c.TimeOut-p.now.Sub(c.Begun), time.Millisecond)
	fields := []http1.Field{
		{Name: "Request-Id", Value: c.ID},
		{Name: "Request-Timeout-Ms", Value: strconv.FormatInt(int64(math.Ceil(wait.Seconds()*1000)), 10)},
	}
	if c.Mark != "" {
		fields = append(fields, http1.Field{Name: "Idempotency-Key", Value: c.Mark})
	}
	p.bytes = http1.AppendRequest(p.bytes[:0], "POST", "/events", c.Address, fields, c.Body.Len())
	c.written, l.waitUntil = true, time.Time{}
	// An error is told by Closed, which knows from what was written whether the call can have run.
	l.conn.Write(c.Body.AppendTo(p.bytes))
	l.since, l.wrote = p.now, time.Now()
}

func (p *Pool) end(c *Call, result rules.Result) { p.finish(c, rules.TripEnded{Result: result}) }

func (p *Pool) finish(c *Call, e rules.TripEnded) {
	if p.out[c.Notice] != c {
		return
	}
	delete(p.out, c.Notice)
	heap.Remove(&p.deadlines, c.place)
	near := slices.DeleteFunc(p.byDestination[c.Destination], func(other *Call) bool { return other == c })
	if p.byDestination[c.Destination] = near; len(near) == 0 {
		delete(p.byDestination, c.Destination)
	}
	e.Notice, e.Receiver = c.Notice, c.Receiver
	e.Spent = rules.Millis(float64(p.now.Sub(c.Begun)) / float64(time.Millisecond))
	e.Over = e.Over || e.Result == rules.Handled
	p.ended = append(p.ended, e)
}

// CallOff gives a call up. One that was not written yet cannot have run.
func (p *Pool) CallOff(notice rules.NoticeID) { p.giveUp(p.out[notice], rules.Cancelled) }

func (p *Pool) giveUp(c *Call, result rules.Result) {
	if c == nil {
		return
	}
	if l := c.connection; !c.written {
		result = rules.NotConnected
		if l.carried > 0 {
			p.unassign(l)
			p.end(c, result)
			return
		}
	} else if l.parser.Status() == 200 {
		p.stopSending(l, "call given up within a good answer")
		p.finish(c, goodAnswerCut(l))
		return
	}
	p.stopSending(c.connection, "call "+result.String())
	p.end(c, result)
}

// goodAnswerCut is the outcome of a call of which the answer said 200 and did not come whole: on a connection that has carried calls
// before that may be a part of another call's.
func goodAnswerCut(l *connection) rules.TripEnded {
	if l.unsure() {
		return rules.TripEnded{Result: rules.Ambiguous, MayBeDelivered: true}
	}
	return rules.TripEnded{Result: rules.Handled}
}

// Expire gives up calls that are out too long, asks for those whose connections have settled, and returns when it is due again.
func (p *Pool) Expire() (next time.Time) {
	for len(p.deadlines) > 0 && !p.deadlines[0].due.After(p.now) {
		p.giveUp(p.deadlines[0], rules.TimedOut)
	}
	if len(p.deadlines) > 0 {
		next = p.deadlines[0].due
	}
	if settles := p.stepWaiting(); !settles.IsZero() && (next.IsZero() || settles.Before(next)) {
		next = settles
	}
	return next
}

// Waiting tells whether there is something that was not handed over.
func (p *Pool) Waiting() bool {
	return len(p.ended)+len(p.up)+len(p.waits)+len(p.confirmed)+len(p.doubts)+len(p.surplus) > 0
}
