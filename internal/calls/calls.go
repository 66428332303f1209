// Package calls keeps the connections to receivers and brings each call to its outcome. It sends nothing of its
// own: what a call came to goes back to the decisions.
package calls

import (
	"container/heap"
	"context"
	"errors"
	"log/slog"
	"math"
	"slices"
	"strconv"
	"strings"
	"syscall"
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
	Receiver rules.ReceiverID
	// Destination is what the receiver belongs to: a wait that one of its calls is told binds all of them.
	Destination rules.DestinationID
	Address     string
	Zone        rules.ZoneID
	ID, Mark    string // of the notice, as its client gave them
	Body        *buffers.Chain
	TimeOut     time.Duration

	Begun   time.Time // set by Send
	due     time.Time // its time-out is over
	place   int       // among those out
	line    *line
	written bool // all of it was handed to the connection
}

// line is one connection to a receiver.
type line struct {
	conn     *sockets.Conn
	parser   *http1.Parser
	receiver rules.ReceiverID
	up       bool
	used     bool  // it has carried a call
	call     *Call // nil: idle, or reading what is left of an answer
	rest     bool  // the answer's head was enough, its body is still to come
	gone     bool  // its receiver is listed no more
	givenUp  bool  // its call was given up: nothing more is sent, and only a wait is still heard
	since    time.Time
	// waitUntil is the end of the wait that the answer being read has told; zero: none.
	waitUntil time.Time
}

// Pool is all connections to receivers.
type Pool struct {
	net     *sockets.Net
	limits  limits.Limits
	buffers *buffers.Pool
	report  []string
	before  func(*Call) error
	log     *slog.Logger
	tracing bool // each connection's way is logged

	out   map[rules.NoticeID]*Call
	near  map[rules.DestinationID][]*Call // those out, by destination
	late  byDue                           // those out, the first to time out in front
	lines map[*sockets.Conn]*line
	idle  map[rules.ReceiverID][]*line // the one used last at the end
	ended []rules.TripEnded
	up    []rules.ConnectionUp
	waits []rules.WaitTold
	now   time.Time
	bytes []byte
	// lagged says that the process may have stood still since connections were last heard: answers may wait unread.
	lagged bool

	Spoilt int // answers that could not be used
	Beyond int // good answers with more bytes behind them
	Stale  int // idle connections not used, as they had ended or said something unasked
}

// New makes a pool. report names the values of a load report in the decisions' order; before is asked just
// before a call is written, and its error keeps the call from leaving.
func New(l limits.Limits, pool *buffers.Pool, report []string, log *slog.Logger, before func(*Call) error) *Pool {
	return &Pool{limits: l, buffers: pool, report: report, before: before, log: log,
		tracing: log.Enabled(context.Background(), slog.LevelDebug), out: map[rules.NoticeID]*Call{},
		near: map[rules.DestinationID][]*Call{}, lines: map[*sockets.Conn]*line{}, idle: map[rules.ReceiverID][]*line{}}
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

// Out is the number of calls without an outcome.
func (p *Pool) Out() int { return len(p.out) }

// Ended hands over the outcomes since the last time.
func (p *Pool) Ended() []rules.TripEnded {
	ended := p.ended
	p.ended = nil
	return ended
}

// Send begins a call, on an idle connection if there is one.
func (p *Pool) Send(c *Call) {
	c.Begun, c.due = p.now, p.now.Add(c.TimeOut)
	p.out[c.Notice] = c
	heap.Push(&p.late, c)
	p.near[c.Destination] = append(p.near[c.Destination], c)
	if p.unheard(c) {
		p.end(c, rules.Recalled)
		return
	}
	for idle := p.idle[c.Receiver]; len(idle) > 0; idle = p.idle[c.Receiver] {
		l := idle[len(idle)-1]
		// What has come unasked would be taken for this call's answer.
		if !l.conn.Quiet() {
			p.Stale++
			p.drop(l, "not quiet before a call")
			continue
		}
		p.unidle(l)
		l.call, c.line = c, l
		p.write(l)
		return
	}
	if len(p.lines) >= p.limits.Receivers && !p.closeOldest() {
		p.end(c, rules.Short)
		return
	}
	l := &line{receiver: c.Receiver, call: c, since: p.now,
		parser: http1.NewParser(p.buffers, true, p.limits.Head, p.limits.Fields, p.limits.Body)}
	c.line = l
	if p.tracing {
		p.log.Debug(logs.Connecting, "notice", c.Notice, "receiver", c.Receiver, "address", c.Address)
	}
	l.conn = p.net.Dial(c.Address, p.limits.ConnectTime, p)
	p.lines[l.conn] = l
}

// closeOldest makes room for a connection.
func (p *Pool) closeOldest() bool {
	var oldest *line
	for _, l := range p.lines {
		if l.givenUp && (oldest == nil || l.since.Before(oldest.since)) {
			oldest = l
		}
	}
	if oldest != nil {
		p.drop(oldest, "room for another connection")
		return true
	}
	for _, idle := range p.idle {
		if len(idle) > 0 && (oldest == nil || idle[0].since.Before(oldest.since)) {
			oldest = idle[0]
		}
	}
	if oldest != nil {
		p.drop(oldest, "room for another connection")
	}
	return oldest != nil
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

// Opened asks whether the call that waited for its connection may still leave.
func (p *Pool) Opened(conn *sockets.Conn) {
	l := p.lines[conn]
	if l == nil {
		return
	}
	// A process that stood still finds connections that came up long ago.
	if c := l.call; c != nil && p.now.Sub(l.since) > p.limits.ConnectTime {
		p.drop(l, "came up too late")
		p.end(c, rules.NotConnected)
		return
	}
	l.up = true
	if p.tracing {
		p.log.Debug(logs.Connected, "notice", l.notice(), "receiver", l.receiver, "took", p.now.Sub(l.since))
	}
	p.up = append(p.up, rules.ConnectionUp{Notice: l.call.Notice})
}

// Write lets a call leave whose connection has come up.
func (p *Pool) Write(notice rules.NoticeID) {
	c := p.out[notice]
	if c == nil || c.written || !c.line.up {
		return
	}
	if p.unheard(c) {
		p.Recall(notice)
		return
	}
	if !c.line.conn.Quiet() {
		p.drop(c.line, "ended or said something before its first call")
		p.end(c, rules.NotConnected)
		return
	}
	p.write(c.line)
}

// unheard tells whether another call to the same destination has an answer that was not read yet, which may tell to wait.
// It looks only where the process may have stood still; else what came was heard at the beginning of the turn.
func (p *Pool) unheard(c *Call) bool {
	if !p.lagged && time.Since(p.now) <= p.limits.Lag {
		return false
	}
	return slices.ContainsFunc(p.near[c.Destination], func(other *Call) bool {
		return other != c && other.written && !other.line.conn.Quiet()
	})
}

// Recall takes a call back whose connection has come up, and keeps the connection.
func (p *Pool) Recall(notice rules.NoticeID) {
	c := p.out[notice]
	if c == nil || c.written || !c.line.up {
		return
	}
	l := c.line
	l.call, l.since = nil, p.now
	if l.gone {
		p.drop(l, "the receiver is gone")
	} else {
		p.idle[l.receiver] = append(p.idle[l.receiver], l)
	}
	p.end(c, rules.Recalled)
}

func (p *Pool) write(l *line) {
	c := l.call
	if err := p.before(c); err != nil {
		p.drop(l, "trip not recorded")
		p.end(c, rules.Short)
		return
	}
	if p.tracing {
		p.log.Debug(logs.Written, "id", c.ID, "notice", c.Notice, "receiver", c.Receiver, "begun_ago", p.now.Sub(c.Begun),
			"fresh", !l.used)
	}
	l.used = true
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
	l.since = p.now
}

// Data takes bytes of an answer.
func (p *Pool) Data(conn *sockets.Conn, b []byte) {
	l := p.lines[conn]
	if l == nil {
		return
	}
	if l.call != nil && !l.call.written {
		c := l.call
		p.drop(l, "said something before its first call")
		p.end(c, rules.NotConnected)
		return
	}
	if l.givenUp {
		p.hearLate(l, b)
		return
	}
	if l.call == nil && !l.rest {
		p.Stale++
		p.drop(l, "said something unasked")
		return
	}
	rest, done, err := l.parser.Feed(b)
	switch {
	case err != nil:
		p.broke(l, "answer spoilt: "+err.Error())
	case done:
		p.answered(l, l.parser.Take(), len(rest) > 0)
	case l.call != nil && l.parser.HeadRead() && l.parser.Status() == 200:
		// All that counts has come. A body that goes on and on must not hold the call up.
		l.rest = true
		p.outcome(l, l.parser.Message())
	default:
		p.hearWait(l)
	}
}

// hearWait tells a wait as soon as it has been read: the answer's end may come late or never.
func (p *Pool) hearWait(l *line) {
	told := retryAfter(l.parser.Message(), p.now)
	if told <= 0 || !l.waitUntil.IsZero() || !refusal(l.parser.Status()) {
		return
	}
	l.waitUntil = p.now.Add(span(told))
	p.waits = append(p.waits, rules.WaitTold{Receiver: l.receiver, Wait: told})
}

// hearLate hears the answer to a call that was given up: it may have crossed that, and tell a wait.
func (p *Pool) hearLate(l *line, b []byte) {
	_, done, err := l.parser.Feed(b)
	p.hearWait(l)
	if done || err != nil || !l.waitUntil.IsZero() {
		p.drop(l, "answer to a call given up")
	}
}

// waitLeft is what is left of the wait that an answer tells.
func (p *Pool) waitLeft(l *line, m *http1.Message) rules.Millis {
	until := l.waitUntil
	if l.waitUntil = (time.Time{}); until.IsZero() {
		return retryAfter(m, p.now)
	}
	return max(rules.Millis(until.Sub(p.now).Seconds()*1000), 0)
}

func refusal(status int) bool { return status == 429 || status == 503 }

func span(m rules.Millis) time.Duration { return time.Duration(m * rules.Millis(time.Millisecond)) }

// Closed ends a connection from outside.
func (p *Pool) Closed(conn *sockets.Conn, why error) {
	l := p.lines[conn]
	if l == nil {
		return
	}
	if l.call != nil && l.parser.End() == nil {
		p.answered(l, l.parser.Take(), true)
		return
	}
	reason := "closed by the receiver"
	if why != nil {
		reason = why.Error()
	}
	if c := l.call; !l.up && c != nil && ours(why) {
		p.drop(l, reason)
		p.end(c, rules.Short)
		return
	}
	p.broke(l, reason)
}

// ours tells a connection that did not come up for want of something of this machine's from one that the receiver, or
// the way there, did not let up.
func ours(why error) bool {
	for _, short := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(why, short) {
			return true
		}
	}
	return false
}

// broke ends a call whose connection ended or went wrong. Of an answer that can't be read to its end only a first
// line of 200 holds: whatever else it claims, the call may have run. A wait that it tells is kept all the same.
func (p *Pool) broke(l *line, why string) {
	c, status, begun := l.call, l.parser.Status(), l.parser.Begun()
	e := rules.TripEnded{Result: rules.Reset}
	switch {
	case status == 200:
		e.Result = rules.Handled
	case !begun && !(l.up && c != nil && c.written && l.conn.Written()):
		e.Result = rules.NotConnected
	case refusal(status):
		e.Wait = p.waitLeft(l, l.parser.Message())
	}
	p.drop(l, why)
	if c != nil {
		if begun {
			p.Spoilt++
		}
		p.tell(c, e)
	}
}

// answered ends a call with its answer, and keeps the connection if nothing speaks against it.
func (p *Pool) answered(l *line, m *http1.Message, more bool) {
	m.Body.Free()
	if more && !m.Close {
		p.Beyond++
	}
	if l.call != nil {
		p.outcome(l, m)
	}
	if l.rest, l.since = false, p.now; m.Close || more || l.gone {
		p.drop(l, "answer said so, had more behind it, or the receiver is gone")
	} else {
		p.idle[l.receiver] = append(p.idle[l.receiver], l)
	}
}

// outcome ends a call by the head of its answer.
func (p *Pool) outcome(l *line, m *http1.Message) {
	e := rules.TripEnded{Result: rules.Errored}
	switch m.Status {
	case 200:
		e.Result = rules.Handled
	case 429, 503:
		e.Result = rules.Full
		if m.Get("x-line-busy") == "1" {
			e.Result = rules.Moot
		} else {
			e.Wait = p.waitLeft(l, m)
		}
	case 504:
		e.Result = rules.Moot
	case 410:
		e.Result, e.Over = rules.Moot, true
	}
	e.LimitTold, e.LimitLeft, e.LimitRate = p.told(m.Get("server-load"))
	c := l.call
	l.call, l.since = nil, p.now
	p.tell(c, e)
}

// told reads a report, "x0=0.4,x1=25"; the decisions read its first two values.
func (p *Pool) told(text string) (told bool, left, rate float64) {
	if text == "" || len(p.report) < 2 {
		return false, 0, 0
	}
	values := map[string]float64{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			return false, 0, 0
		}
		values[name] = v
	}
	left, found := values[p.report[0]]
	rate, also := values[p.report[1]]
	return found && also, left, rate
}

func (p *Pool) end(c *Call, result rules.Result) { p.tell(c, rules.TripEnded{Result: result}) }

func (p *Pool) tell(c *Call, e rules.TripEnded) {
	if p.out[c.Notice] != c {
		return
	}
	delete(p.out, c.Notice)
	heap.Remove(&p.late, c.place)
	near := slices.DeleteFunc(p.near[c.Destination], func(other *Call) bool { return other == c })
	if p.near[c.Destination] = near; len(near) == 0 {
		delete(p.near, c.Destination)
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
	switch {
	case c.line.parser.Status() == 200:
		result = rules.Handled
	case !c.written:
		result = rules.NotConnected
	}
	p.stopSending(c.line, "call "+result.String())
	p.end(c, result)
}

// stopSending ends the sending side of a connection whose call is given up, which tells the receiver. What the receiver
// has answered by then is heard for a short while, for the sake of a wait.
func (p *Pool) stopSending(l *line, why string) {
	heard := !l.waitUntil.IsZero() || l.parser.Status() == 200
	if l.call.written && l.conn.Written() && !heard {
		l.call, l.givenUp, l.since = nil, true, p.now
		l.conn.CloseWrite()
		return
	}
	p.drop(l, why)
	l.call = nil
}

// LetGo closes the idle connections to a receiver.
func (p *Pool) LetGo(receiver rules.ReceiverID) {
	for _, l := range append([]*line(nil), p.idle[receiver]...) {
		p.drop(l, "let go")
	}
}

// Forget ends the connections to a receiver that is listed no more; a call that is out comes to its end first.
func (p *Pool) Forget(receiver rules.ReceiverID) {
	p.LetGo(receiver)
	for _, l := range p.lines {
		if l.receiver == receiver {
			l.gone = true
		}
	}
}

// notice is the notice of the call that a connection carries, or 0.
func (l *line) notice() rules.NoticeID {
	if l.call == nil {
		return 0
	}
	return l.call.Notice
}

func (p *Pool) drop(l *line, why string) {
	if p.tracing {
		p.log.Debug(logs.Disconnected, "notice", l.notice(), "receiver", l.receiver, "why", why, "connected", l.up)
	}
	l.conn.Close()
	l.parser.Free()
	delete(p.lines, l.conn)
	p.unidle(l)
}

func (p *Pool) unidle(l *line) {
	idle := p.idle[l.receiver]
	if i := slices.Index(idle, l); i >= 0 {
		p.idle[l.receiver] = slices.Delete(idle, i, i+1)
	}
	if len(p.idle[l.receiver]) == 0 {
		delete(p.idle, l.receiver)
	}
}

// Expire gives up calls that are out too long and returns when the next one will be.
func (p *Pool) Expire() (next time.Time) {
	for len(p.late) > 0 && !p.late[0].due.After(p.now) {
		p.giveUp(p.late[0], rules.TimedOut)
	}
	if len(p.late) > 0 {
		next = p.late[0].due
	}
	return next
}

// byDue is a heap of calls by the end of their time-outs.
type byDue []*Call

func (h byDue) Len() int { return len(h) }
func (h byDue) Less(i, j int) bool {
	return h[i].due.Before(h[j].due) || h[i].due.Equal(h[j].due) && h[i].Notice < h[j].Notice
}
func (h byDue) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].place, h[j].place = i, j }
func (h *byDue) Push(x any)   { c := x.(*Call); c.place = len(*h); *h = append(*h, c) }
func (h *byDue) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return c
}

// Sweep closes connections that have stood idle too long, before their receivers would, and those on which an
// answer's body does not end.
func (p *Pool) Sweep() {
	for _, l := range p.lines {
		if (l.rest || l.givenUp) && p.now.Sub(l.since) > p.limits.RestTime {
			p.drop(l, "answer does not end")
		}
	}
	for receiver := range p.idle {
		for len(p.idle[receiver]) > 0 && p.now.Sub(p.idle[receiver][0].since) > p.limits.ReceiverIdle {
			p.drop(p.idle[receiver][0], "idle")
		}
	}
}

// Waiting tells whether there are outcomes that were not handed over.
func (p *Pool) Waiting() bool { return len(p.ended)+len(p.up)+len(p.waits) > 0 }
