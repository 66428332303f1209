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
	deadline        time.Time // its time-out is over
	heapIndex      int       // among those out
	connection *connection
	written    bool // all of it was handed to the connection
}

// connection is one connection to a receiver.
type connection struct {
	socket       *sockets.Conn
	number     uint64 // of those that the pool made
	parser     *http1.Parser
	receiver   rules.ReceiverID
	established         bool
	callsWritten    int            // calls that were written
	lastNotice       rules.NoticeID // of the last of them
	call       *Call          // nil: idle, or reading what is left of an answer
	readingBody       bool           // the answer's head was enough, its body is still to come
	delisted       bool           // its receiver is listed no more
	receiveOnly    bool           // its call was given up: nothing more is sent, and only a wait is still heard
	lateBytes int            // of what came when it was not used any more
	unsolicited    bool           // the same, after something came that no call had asked for
	retired    bool           // it is not used again, and closed when it has settled
	statuses   []int          // of all answers that were heard since the call was written, where they may be other calls'
	stateSince      time.Time
	writtenAt      time.Time // when the last call was written
	lastRead      time.Time // when the last bytes were heard
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
	loadReportNames  []string
	hooks   Hooks
	log     *slog.Logger
	tracing bool // each connection's way is logged

	outstanding           map[rules.NoticeID]*Call
	byDestination map[rules.DestinationID][]*Call // those out, by destination
	deadlines     byDeadline                      // those out, the first to time out in front
	connections   map[*sockets.Conn]*connection
	opened          uint64                             // connections
	idle          map[rules.ReceiverID][]*connection // the one used last at the end
	settling       []*connection                      // those that settle, with calls that wait for that
	connectTimes       map[rules.ReceiverID]time.Duration // how long the last connection to a receiver took to come up
	ended         []rules.TripEnded
	established            []rules.ConnectionUp
	requestedWaits         []rules.WaitTold
	confirmed     []Confirmation
	retractions        []Doubt
	unsolicited       []rules.ReceiverID
	now           time.Time
	requestBuffer         []byte
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
func New(resources limits.Limits, pool *buffers.Pool, report []string, log *slog.Logger, hooks Hooks) *Pool {
	return &Pool{limits: resources, buffers: pool, loadReportNames: report, hooks: hooks, log: log,
		tracing: log.Enabled(context.Background(), slog.LevelDebug), outstanding: map[rules.NoticeID]*Call{},
		byDestination: map[rules.DestinationID][]*Call{}, connections: map[*sockets.Conn]*connection{}, idle: map[rules.ReceiverID][]*connection{},
		connectTimes: map[rules.ReceiverID]time.Duration{}}
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
func (p *Pool) Made() int { return int(p.opened) }

// Out is the number of calls without an outcome.
func (p *Pool) Out() int { return len(p.outstanding) }

// Ended hands over the outcomes since the last time.
func (p *Pool) Ended() []rules.TripEnded {
	ended := p.ended
	p.ended = nil
	return ended
}

// Send begins a call: on an idle connection that has settled, or one that will soon, or a new one.
func (p *Pool) Send(call *Call) {
	call.Begun, call.deadline = p.now, p.now.Add(call.TimeOut)
	p.outstanding[call.Notice] = call
	heap.Push(&p.deadlines, call)
	p.byDestination[call.Destination] = append(p.byDestination[call.Destination], call)
	if p.hasUnreadResponse(call) {
		p.finishWithResult(call, rules.Recalled)
		return
	}
	if conn := p.takeSettledIdle(call.Receiver); conn != nil {
		conn.call, call.connection = call, conn
		p.write(conn)
		return
	}
	if conn := p.nextToSettle(call.Receiver); conn != nil {
		p.waitToSettle(conn, call)
		return
	}
	p.connect(call)
}

// connect begins a new connection for a call.
func (p *Pool) connect(call *Call) {
	if len(p.connections) >= p.limits.Receivers && !p.closeOldest() {
		p.finishWithResult(call, rules.Short)
		return
	}
	p.opened++
	conn := &connection{number: p.opened, receiver: call.Receiver, call: call, stateSince: p.now,
		parser: http1.NewParser(p.buffers, true, p.limits.Head, p.limits.Fields, p.limits.Body)}
	call.connection = conn
	if p.tracing {
		p.log.Debug(logs.Connecting, "connection", conn.number, "notice", call.Notice, "receiver", call.Receiver, "address", call.Address)
	}
	conn.socket = p.net.Dial(call.Address, p.limits.ConnectTime, p.limits.Head+p.limits.Body, p)
	p.connections[conn.socket] = conn
}

// Up hands over the calls whose connections have come up since the last time: each waits for Write or Recall.
func (p *Pool) Up() []rules.ConnectionUp {
	established := p.established
	p.established = nil
	return established
}

// Waits hands over the waits that were told since the last time by answers whose end has not come.
func (p *Pool) Waits() []rules.WaitTold {
	waits := p.requestedWaits
	p.requestedWaits = nil
	return waits
}

// Write lets a call leave whose connection has come up.
func (p *Pool) Write(notice rules.NoticeID) {
	call := p.outstanding[notice]
	if call == nil || call.written || !call.connection.established {
		return
	}
	if p.hasUnreadResponse(call) {
		p.Recall(notice)
		return
	}
	conn := call.connection
	switch {
	case conn.socket.Quiet():
		p.write(conn)
	case conn.callsWritten > 0:
		conn.call = nil
		p.retire(conn)
		p.connect(call)
	default:
		p.drop(conn, "ended or said something before its first call")
		p.finishWithResult(call, rules.NotConnected)
	}
}

// unheard tells whether another call to the same destination has an answer that was not read yet, which may tell to wait.
// It looks only where the process may have stood still; else what came was heard at the beginning of the turn.
func (p *Pool) hasUnreadResponse(call *Call) bool {
	if !p.lagged && time.Since(p.now) <= p.limits.Lag {
		return false
	}
	return slices.ContainsFunc(p.byDestination[call.Destination], func(other *Call) bool {
		return other != call && other.written && !other.connection.socket.Quiet()
	})
}

// Recall takes a call back whose connection has come up, and keeps the connection.
func (p *Pool) Recall(notice rules.NoticeID) {
	call := p.outstanding[notice]
	if call == nil || call.written || !call.connection.established {
		return
	}
	p.unassign(call.connection)
	p.finishWithResult(call, rules.Recalled)
}

// write writes the call of a connection. What has come by then would be taken for its answer: the call is taken back then.
func (p *Pool) write(conn *connection) {
	call := conn.call
	if err := p.hooks.Record(call); err != nil {
		p.unassign(conn)
		p.finishWithResult(call, rules.Short)
		return
	}
	if conn.callsWritten > 0 && !conn.socket.Quiet() {
		conn.call = nil
		p.retire(conn)
		p.finishWithResult(call, rules.Recalled)
		return
	}
	if p.tracing {
		p.log.Debug(logs.Written, "connection", conn.number, "id", call.ID, "notice", call.Notice, "receiver", call.Receiver,
			"begun_ago", p.now.Sub(call.Begun), "fresh", conn.callsWritten == 0, "carried", conn.callsWritten, "rested", conn.timeSinceRead(time.Now()))
	}
	conn.callsWritten++
	conn.statuses = conn.statuses[:0]
	conn.lastNotice = call.Notice
	timeLeft := max(call.TimeOut-p.now.Sub(call.Begun), time.Millisecond)
	fields := []http1.Field{
		{Name: "Request-Id", Value: call.ID},
		{Name: "Request-Timeout-Ms", Value: strconv.FormatInt(int64(math.Ceil(timeLeft.Seconds()*1000)), 10)},
	}
	if call.Mark != "" {
		fields = append(fields, http1.Field{Name: "Idempotency-Key", Value: call.Mark})
	}
	p.requestBuffer = http1.AppendRequest(p.requestBuffer[:0], "POST", "/events", call.Address, fields, call.Body.Len())
	call.written, conn.waitUntil = true, time.Time{}
	// An error is told by Closed, which knows from what was written whether the call can have run.
	conn.socket.Write(call.Body.AppendTo(p.requestBuffer))
	conn.stateSince, conn.writtenAt = p.now, time.Now()
}

func (p *Pool) finishWithResult(call *Call, result rules.Result) { p.finish(call, rules.TripEnded{Result: result}) }

func (p *Pool) finish(call *Call, outcome rules.TripEnded) {
	if p.outstanding[call.Notice] != call {
		return
	}
	delete(p.outstanding, call.Notice)
	heap.Remove(&p.deadlines, call.heapIndex)
	remaining := slices.DeleteFunc(p.byDestination[call.Destination], func(other *Call) bool { return other == call })
	if p.byDestination[call.Destination] = remaining; len(remaining) == 0 {
		delete(p.byDestination, call.Destination)
	}
	outcome.Notice, outcome.Receiver = call.Notice, call.Receiver
	outcome.Spent = rules.Millis(float64(p.now.Sub(call.Begun)) / float64(time.Millisecond))
	outcome.Over = outcome.Over || outcome.Result == rules.Handled
	p.ended = append(p.ended, outcome)
}

// CallOff gives a call up. One that was not written yet cannot have run.
func (p *Pool) CallOff(notice rules.NoticeID) { p.abandon(p.outstanding[notice], rules.Cancelled) }

func (p *Pool) abandon(call *Call, result rules.Result) {
	if call == nil {
		return
	}
	if conn := call.connection; !call.written {
		result = rules.NotConnected
		if conn.callsWritten > 0 {
			p.unassign(conn)
			p.finishWithResult(call, result)
			return
		}
	} else if conn.parser.Status() == 200 {
		p.stopSending(conn, "call given up within a good answer")
		p.finish(call, truncatedSuccess(conn))
		return
	}
	p.stopSending(call.connection, "call "+result.String())
	p.finishWithResult(call, result)
}

// goodAnswerCut is the outcome of a call of which the answer said 200 and did not come whole: on a connection that has carried calls
// before that may be a part of another call's.
func truncatedSuccess(conn *connection) rules.TripEnded {
	if conn.reused() {
		return rules.TripEnded{Result: rules.Ambiguous, MayBeDelivered: true}
	}
	return rules.TripEnded{Result: rules.Handled}
}

// Expire gives up calls that are out too long, asks for those whose connections have settled, and returns when it is due again.
func (p *Pool) Expire() (next time.Time) {
	for len(p.deadlines) > 0 && !p.deadlines[0].deadline.After(p.now) {
		p.abandon(p.deadlines[0], rules.TimedOut)
	}
	if len(p.deadlines) > 0 {
		next = p.deadlines[0].deadline
	}
	if settlesAt := p.releaseSettled(); !settlesAt.IsZero() && (next.IsZero() || settlesAt.Before(next)) {
		next = settlesAt
	}
	return next
}

// Waiting tells whether there is something that was not handed over.
func (p *Pool) Waiting() bool {
	return len(p.ended)+len(p.established)+len(p.requestedWaits)+len(p.confirmed)+len(p.retractions)+len(p.unsolicited) > 0
}
