// Package calls keeps the HTTP connections to receivers, sends calls on them and determines the outcome of each call.
// It does not decide which calls are made: the owner of the Pool starts every call, and collects the outcomes,
// requested waits and other reports.
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

// Call is one HTTP request to a receiver, which carries one trip of a notice.
type Call struct {
	Notice   rules.NoticeID
	Trip     int // number of this trip of the notice; a Confirmation repeats it
	Receiver rules.ReceiverID
	// Destination owns the receiver. A wait requested in a response to one call applies to the whole destination.
	Destination rules.DestinationID
	Address     string
	Zone        rules.ZoneID
	ID, Mark    string // request id and idempotency key of the notice, as its client gave them
	Body        *buffers.Chain
	Timeout     time.Duration

	StartedAt  time.Time // set by Send
	deadline   time.Time // StartedAt + Timeout
	heapIndex  int       // in Pool.deadlines
	connection *connection
	written    bool // the whole request was passed to the connection's Write
}

// connection is one connection to a receiver.
type connection struct {
	socket       *sockets.Conn
	number       uint64 // counts the connections that the pool opened, from 1
	parser       *http1.Parser
	receiver     rules.ReceiverID
	established  bool
	callsWritten int            // calls written on this connection so far
	lastNotice   rules.NoticeID // notice of the last call written
	call         *Call          // nil: idle, or reading the rest of a response
	readingBody  bool           // the head of the response decided the outcome; its body is still being read
	delisted     bool           // its receiver is no longer on the receiver list
	receiveOnly  bool           // no more requests are sent; only late responses and their waits are read
	lateBytes    int            // bytes received since the connection became receiveOnly
	unsolicited  bool           // receiveOnly because bytes arrived that no call had asked for
	retired      bool           // not used again, and closed once no late response can come any more
	// statuses holds the statuses of the responses received since the last call was written. It is kept only on reused
	// connections, where a response may belong to an earlier call. While readingBody or receiveOnly is set, it holds
	// only those in the bytes received last.
	statuses   []int
	stateSince time.Time // when the connection was dialled, or last became busy, idle or receiveOnly
	writtenAt  time.Time // when the last call was written
	lastRead   time.Time // when the last bytes were received
	// settledAt is when the connection may carry another call: limits.SettleTime after its last response. Late or
	// duplicate responses usually arrive in that time.
	settledAt time.Time
	exchanges []exchange // answered calls whose responses may belong to other calls
	// waitUntil is the end of the wait that the response being read has requested; zero: none.
	waitUntil time.Time
}

// Pool holds all connections to receivers and all calls that have no outcome yet.
type Pool struct {
	net             *sockets.Net
	limits          limits.Limits
	buffers         *buffers.Pool
	loadReportNames []string // names of the values in a load report, in the order in which the rules use them
	hooks           Hooks
	log             *slog.Logger
	tracing         bool // log the steps of each connection at debug level

	outstanding   map[rules.NoticeID]*Call           // calls without an outcome
	byDestination map[rules.DestinationID][]*Call    // the same calls by destination
	deadlines     byDeadline                         // the same calls, the next to time out first
	connections   map[*sockets.Conn]*connection      // all open connections
	opened        uint64                             // connections opened so far
	idle          map[rules.ReceiverID][]*connection // the most recently used last
	settling      []*connection                      // connections with a call that waits until they have settled
	connectTimes  map[rules.ReceiverID]time.Duration // how long the last connection to a receiver took to connect

	// Reports that the owner has not collected yet.
	ended          []rules.TripEnded
	established    []rules.ConnectionUp
	requestedWaits []rules.WaitRequested
	confirmed      []Confirmation
	retractions    []Retraction
	unsolicited    []rules.ReceiverID

	now           time.Time // as set by BeginTurn and SetTime
	requestBuffer []byte    // reused for the head of each request
	// lagged reports that the process may have been paused since connections were last read, so that responses may be
	// unread.
	lagged bool

	MalformedResponses         int // responses that were malformed or truncated before their call had an outcome
	ResponsesWithTrailingBytes int // complete responses that did not announce a close, followed by more bytes
	StaleConnections           int // idle connections that received bytes, or were found closed when a call needed one
	UnsolicitedReads           int // times that unsolicited bytes arrived, including bytes that follow a response
}

// Hooks are the functions of the owner that a Pool calls.
type Hooks struct {
	// Record is called just before a call is written. If it returns an error, the call is not sent.
	Record func(*Call) error
	// ConfirmTime returns how long after a response of a receiver its outcome counts as confirmed: if the response
	// belonged to another call, the correct one would have arrived by then.
	ConfirmTime func(receiver rules.ReceiverID) time.Duration
	// WaitsToSettle reports whether a call waits for an idle connection that will have settled in settlesIn, instead
	// of opening a new one. The last new connection to the receiver took connectTime to connect.
	WaitsToSettle func(receiver rules.ReceiverID, settlesIn, connectTime time.Duration) bool
}

// New returns a Pool without connections. loadReportNames names the values of a load report in the order in which the
// rules use them. SetNet must be called before the first Send.
func New(resources limits.Limits, pool *buffers.Pool, loadReportNames []string, log *slog.Logger, hooks Hooks) *Pool {
	return &Pool{limits: resources, buffers: pool, loadReportNames: loadReportNames, hooks: hooks, log: log,
		tracing: log.Enabled(context.Background(), slog.LevelDebug), outstanding: map[rules.NoticeID]*Call{},
		byDestination: map[rules.DestinationID][]*Call{}, connections: map[*sockets.Conn]*connection{},
		idle: map[rules.ReceiverID][]*connection{}, connectTimes: map[rules.ReceiverID]time.Duration{}}
}

// SetNet sets the network through which connections are opened.
func (p *Pool) SetNet(net *sockets.Net) { p.net = net }

// BeginTurn starts a turn of the owner's loop at now, and records whether the time that was set last is longer ago than
// limits.MaxTurnLag, so that the process may have been paused.
func (p *Pool) BeginTurn(now time.Time) {
	p.lagged = now.Sub(p.now) > p.limits.MaxTurnLag
	p.now = now
}

// SetTime sets the current time for the following operations of the turn.
func (p *Pool) SetTime(now time.Time) { p.now = now }

// ConnectionsOpened returns the number of connections opened so far, whether or not they were established.
func (p *Pool) ConnectionsOpened() int { return int(p.opened) }

// Outstanding returns the number of calls without an outcome.
func (p *Pool) Outstanding() int { return len(p.outstanding) }

// Ended returns the outcomes since it was last called.
func (p *Pool) Ended() []rules.TripEnded {
	ended := p.ended
	p.ended = nil
	return ended
}

// Send starts a call on an idle connection that has settled, else on one that settles soon, else on a new connection.
// After a pause of the process, it recalls the call if a response of the same destination is unread.
func (p *Pool) Send(call *Call) {
	call.StartedAt, call.deadline = p.now, p.now.Add(call.Timeout)
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

// connect opens a new connection for a call.
func (p *Pool) connect(call *Call) {
	if len(p.connections) >= p.limits.MaxReceiverConnections && !p.closeOldest() {
		p.finishWithResult(call, rules.LocalShortage)
		return
	}
	p.opened++
	conn := &connection{number: p.opened, receiver: call.Receiver, call: call, stateSince: p.now,
		parser: http1.NewParser(p.buffers, true, p.limits.Head, p.limits.Fields, p.limits.Body)}
	call.connection = conn
	if p.tracing {
		p.log.Debug(logs.Connecting, "connection", conn.number, "notice", call.Notice, "receiver", call.Receiver,
			"address", call.Address)
	}
	conn.socket = p.net.Dial(call.Address, p.limits.ConnectTime, p.limits.Head+p.limits.Body, p)
	p.connections[conn.socket] = conn
}

// Established returns the calls whose connections have become ready since it was last called. Each waits for Write or
// Recall.
func (p *Pool) Established() []rules.ConnectionUp {
	established := p.established
	p.established = nil
	return established
}

// RequestedWaits returns the waits requested since it was last called by responses that are not complete yet, or that
// came too late for their calls.
func (p *Pool) RequestedWaits() []rules.WaitRequested {
	waits := p.requestedWaits
	p.requestedWaits = nil
	return waits
}

// Write sends a call whose connection is ready. If the connection has closed or received bytes meanwhile, a reused
// one is replaced by a new connection; on a new one the call ends as not connected.
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
	case conn.socket.NothingUnread():
		p.write(conn)
	case conn.callsWritten > 0:
		conn.call = nil
		p.retire(conn)
		p.connect(call)
	default:
		p.drop(conn, "closed or received bytes before its first call")
		p.finishWithResult(call, rules.NotConnected)
	}
}

// hasUnreadResponse reports whether another call to the same destination has an unread response, which may request
// a wait. It looks only if the process may have been paused: otherwise everything received was read at the
// beginning of the turn.
func (p *Pool) hasUnreadResponse(call *Call) bool {
	if !p.lagged && time.Since(p.now) <= p.limits.MaxTurnLag {
		return false
	}
	return slices.ContainsFunc(p.byDestination[call.Destination], func(other *Call) bool {
		return other != call && other.written && !other.connection.socket.NothingUnread()
	})
}

// Recall withdraws a call that has not been written although its connection is ready, and keeps the connection.
func (p *Pool) Recall(notice rules.NoticeID) {
	call := p.outstanding[notice]
	if call == nil || call.written || !call.connection.established {
		return
	}
	p.unassign(call.connection)
	p.finishWithResult(call, rules.Recalled)
}

// write records and writes the call of a connection. If it can't be recorded, it ends as a local shortage. Bytes that
// have arrived on a reused connection by then would be taken for the call's response, so the call is recalled instead.
func (p *Pool) write(conn *connection) {
	call := conn.call
	if err := p.hooks.Record(call); err != nil {
		p.unassign(conn)
		p.finishWithResult(call, rules.LocalShortage)
		return
	}
	if conn.callsWritten > 0 && !conn.socket.NothingUnread() {
		conn.call = nil
		p.retire(conn)
		p.finishWithResult(call, rules.Recalled)
		return
	}
	if p.tracing {
		p.log.Debug(logs.Written, "connection", conn.number, "id", call.ID, "notice", call.Notice,
			"receiver", call.Receiver, "begun_ago", p.now.Sub(call.StartedAt), "fresh", conn.callsWritten == 0,
			"carried", conn.callsWritten, "rested", conn.timeSinceRead(time.Now()))
	}
	conn.callsWritten++
	conn.statuses = conn.statuses[:0]
	conn.lastNotice = call.Notice
	timeLeft := max(call.Timeout-p.now.Sub(call.StartedAt), time.Millisecond)
	fields := []http1.Field{
		{Name: "Request-Id", Value: call.ID},
		{Name: "Request-Timeout-Ms", Value: strconv.FormatInt(int64(math.Ceil(timeLeft.Seconds()*1000)), 10)},
	}
	if call.Mark != "" {
		fields = append(fields, http1.Field{Name: "Idempotency-Key", Value: call.Mark})
	}
	p.requestBuffer = http1.AppendRequest(p.requestBuffer[:0], "POST", "/events", call.Address, fields, call.Body.Len())
	call.written, conn.waitUntil = true, time.Time{}
	// Errors are reported through Closed, which sees from the bytes written whether the call can have run.
	conn.socket.Write(call.Body.AppendTo(p.requestBuffer))
	conn.stateSince, conn.writtenAt = p.now, time.Now()
}

// finishWithResult ends a call with an outcome that consists of a result only.
func (p *Pool) finishWithResult(call *Call, result rules.Result) {
	p.finish(call, rules.TripEnded{Result: result})
}

// finish ends a call: it is no longer outstanding, and Ended returns its outcome. A call that has ended already is
// ignored.
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
	outcome.Duration = rules.Millis(float64(p.now.Sub(call.StartedAt)) / float64(time.Millisecond))
	outcome.NoticeEnded = outcome.NoticeEnded || outcome.Result == rules.Handled
	p.ended = append(p.ended, outcome)
}

// Cancel cancels a call. A call that was not written yet cannot have run, and ends as not connected.
func (p *Pool) Cancel(notice rules.NoticeID) { p.abandon(p.outstanding[notice], rules.Cancelled) }

// abandon ends a call before its response is complete. result is its outcome unless the call was not written, or its
// response has begun with status 200.
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
		p.stopSending(conn, "call abandoned within a response of status 200")
		p.finish(call, truncatedSuccess(conn))
		return
	}
	p.stopSending(call.connection, "call "+result.String())
	p.finishWithResult(call, result)
}

// truncatedSuccess returns the outcome of a call whose response has status 200 but is incomplete. On a reused
// connection the received part may belong to the response to another call.
func truncatedSuccess(conn *connection) rules.TripEnded {
	if conn.reused() {
		return rules.TripEnded{Result: rules.Ambiguous, MayBeDelivered: true}
	}
	return rules.TripEnded{Result: rules.Handled}
}

// Expire abandons calls that have timed out, reports the calls whose connections have settled, and returns the time
// at which it must be called again; zero: no call is outstanding that needs it.
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

// HasReports reports whether there is an outcome or another report that the owner has not collected yet.
func (p *Pool) HasReports() bool {
	return len(p.ended)+len(p.established)+len(p.requestedWaits)+
		len(p.confirmed)+len(p.retractions)+len(p.unsolicited) > 0
}
