package intake

import (
	"slices"
	"time"

	"chuteweir.example/chuteweir/internal/http1"
	"chuteweir.example/chuteweir/internal/sockets"
)

// This file handles client connections from opening to close.

// clientConn is one connection from a client. A client may pipeline requests: they are served concurrently and
// answered in the order in which they were sent. No more input is read until every request already read has its
// response; until then further input stays in the kernel's receive buffer.
type clientConn struct {
	conn            *sockets.Conn
	parser          *http1.Parser
	responses       []*response // not written yet, in request order
	openedAt        time.Time
	lastActivity    time.Time // when a request last began or a response was last written
	unreadSince     time.Time // when the read window was used up: bytes may wait unread since then; zero: none wait
	readWindow      int       // bytes that may still be read before the next Resume
	served          bool      // at least one response was sent
	awaitsContinue  bool      // the client waits for "100 Continue" before it sends the request body
	ignoresInput    bool      // further input is not parsed as requests
	discardsInput   bool      // further input is still read, and discarded
	readStopped     bool      // no more input is read, because the client sent too many refused requests
	flooding        bool      // the client keeps requesting pages faster than it can be reading them
	refusedRequests int
	closing         bool // the last response is written
	discardedBytes  int
	pageRequests    int       // page requests in the current turn of the sender's loop
	pageTurn        time.Time // the turn that pageRequests counts
}

// closeMode says whether the connection closes after a response.
type closeMode uint8

const (
	keepOpen       closeMode = iota
	closeWhenQuiet           // close, unless further input has arrived: that is served on the open connection
	closeAtOnce              // close; input that follows the request is not parsed as requests
)

// response is the pending response to one request.
type response struct {
	complete  bool
	status    int
	fields    []http1.Field
	body      string
	closeMode closeMode
}

// finish sets the status, after which the response can be written. It never weakens a close mode that is already set.
func (r *response) finish(status int, mode closeMode) {
	r.complete, r.status, r.closeMode = true, status, max(r.closeMode, mode)
}

// enqueueResponse appends an incomplete response to those that the client waits for.
func (in *Intake) enqueueResponse(client *clientConn) *response {
	pending := &response{}
	client.responses = append(client.responses, pending)
	return pending
}

// flush writes the complete responses at the head of the queue. Once the queue is empty, reading from the client
// resumes.
func (in *Intake) flush(client *clientConn) {
	out := in.writeBuffer[:0]
	for len(client.responses) > 0 && client.responses[0].complete && !client.closing {
		next := client.responses[0]
		client.responses = slices.Delete(client.responses, 0, 1) // keeps the slice's capacity
		client.closing = next.closeMode == closeAtOnce ||
			(next.closeMode == closeWhenQuiet || client.readStopped) && in.allInputAnswered(client)
		out = http1.AppendResponse(out, next.status, next.fields, next.body, client.closing)
	}
	in.writeBuffer = out
	if len(out) > 0 {
		client.served, client.lastActivity = true, in.now
	}
	if client.awaitsContinue && len(client.responses) == 0 {
		client.awaitsContinue = false
		out = append(out, http1.Continue...)
	}
	if len(out) > 0 && client.conn.Write(out) != nil {
		in.closeClient(client)
		return
	}
	switch {
	case client.closing:
		in.closeWriteSide(client)
	case len(client.responses) == 0 && !client.conn.HasQueuedData():
		in.resumeReading(client)
	}
}

// resumeReading allows more input to be read from a client: the number of bytes known to be missing from its
// request, but at least one read window.
func (in *Intake) resumeReading(client *clientConn) {
	if !client.unreadSince.IsZero() && client.conn.NothingUnread() {
		client.unreadSince = time.Time{}
	}
	client.readWindow = max(in.limits.Window, client.parser.Missing())
	client.conn.Resume(client.readWindow)
}

// allInputAnswered reports whether everything that has arrived from a client and that is still to be answered has its
// response.
func (in *Intake) allInputAnswered(client *clientConn) bool {
	if len(client.responses) > 0 || client.conn.HasQueuedData() {
		return false
	}
	return client.readStopped || !client.parser.Begun() && client.conn.NothingUnread()
}

// refuse completes the response to a request that is not accepted. After too many of them, no more input is read from
// the client.
func (in *Intake) refuse(client *clientConn, pending *response, status int) {
	if client.refusedRequests++; client.refusedRequests >= in.limits.RefusedPerConnection {
		client.readStopped = true
	}
	pending.finish(status, closeWhenQuiet)
}

// closeWriteSide closes the sending side after the last response, so that the client can read that response. The
// connection itself closes when the client closes it, or in Sweep. Unless discardsInput is set, input that follows the
// answered requests stays in the kernel, so that closing the connection tells the client that it was not read. A
// flooding client with unread input is disconnected at once.
func (in *Intake) closeWriteSide(client *clientConn) {
	client.responses, client.ignoresInput = nil, true
	if client.flooding && !client.conn.NothingUnread() {
		in.closeClient(client)
		return
	}
	client.conn.CloseWrite()
	if client.discardsInput {
		client.conn.Resume(in.limits.Buffer)
	} else {
		client.conn.Resume(0)
	}
}

// abandonRequest answers a request that can't be read to its end. The start of the next request is then unknown, so
// all further input is discarded; it is still read, so that the client can finish writing and then read its
// response.
func (in *Intake) abandonRequest(client *clientConn, status int) {
	client.parser.Free()
	delete(in.partial, client)
	client.ignoresInput, client.discardsInput = true, true
	in.enqueueResponse(client).finish(status, closeAtOnce)
}

// discard counts discarded input, and closes the connection above the limit.
func (in *Intake) discard(client *clientConn, count int) {
	if client.discardedBytes += count; client.discardedBytes > in.limits.MaxDiscarded {
		in.Refused.Flooding++
		in.closeClient(client)
	} else if client.closing && client.discardsInput {
		client.conn.Resume(in.limits.Buffer)
	}
}

func (in *Intake) closeClient(client *clientConn) {
	in.remove(client)
	client.conn.Close()
}

// closeIfQuiet closes a connection unless unread input has arrived on it: that may be a request, which gets its
// response once it has been read. It reports whether it closed the connection.
func (in *Intake) closeIfQuiet(client *clientConn) bool {
	quiet := client.conn.CloseIfNothingUnread()
	if quiet {
		in.remove(client)
	}
	return quiet
}

// remove frees the state of a connection that is closed.
func (in *Intake) remove(client *clientConn) {
	client.parser.Free()
	delete(in.clients, client.conn)
	delete(in.partial, client)
}

// Sweep closes the connections that have exceeded a time limit. A request that was not received completely gets a 408
// response first.
func (in *Intake) Sweep(now time.Time) {
	for _, client := range in.clients {
		idle := now.Sub(client.lastActivity)
		switch {
		case len(client.responses) > 0: // its requests are being processed
		case !client.conn.AllWritten():
			if idle > in.limits.RequestTime { // the client does not read its responses
				in.Refused.Flooding++
				in.closeClient(client)
			}
		case client.closing:
			if idle > in.limits.Linger {
				in.closeClient(client)
			}
		case client.parser.Begun():
			if idle > in.limits.RequestTime || !client.served && now.Sub(client.openedAt) > in.limits.FirstRequestTime {
				in.Refused.Late++
				in.abandonRequest(client, 408)
				in.flush(client)
			}
		case idle > in.limits.ClientIdle || in.ShuttingDown && client.served:
			if in.closeIfQuiet(client) && !client.served {
				in.Refused.Silent++
			}
		}
	}
}

// CloseIdleClients protects against clients that hold connections or memory without sending complete requests. While
// the number of connections or the memory of partial requests is over its limit, it closes connections without a
// complete request, those idle for longest first. Well-behaved clients are rarely affected: their request follows
// directly after they connect.
func (in *Intake) CloseIdleClients() {
	excessClients, excessBytes := len(in.clients)-in.limits.CloseIdleAbove, -in.limits.PartialBytes
	if excessClients <= 0 &&
		len(in.partial) <= in.limits.PartialBytes/(in.limits.Head+in.limits.Body+2*in.limits.Buffer) {
		return // so few partial requests can't exceed the memory limit
	}
	for client := range in.partial {
		excessBytes += client.parser.Held()
	}
	if excessClients <= 0 && excessBytes <= 0 {
		return
	}
	var candidates []*clientConn
	for _, client := range in.clients {
		if len(client.responses) == 0 {
			candidates = append(candidates, client)
		}
	}
	slices.SortFunc(candidates, func(a, b *clientConn) int { return a.lastActivity.Compare(b.lastActivity) })
	for _, client := range candidates {
		if freed := client.parser.Held(); (excessClients > 0 || excessBytes > 0 && freed > 0) && in.closeIfQuiet(client) {
			excessClients--
			excessBytes -= freed
			in.Refused.Crowded++
		}
	}
}
