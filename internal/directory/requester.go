package directory

import (
	"time"

	"chuteweir.example/chuteweir/internal/http1"
	"chuteweir.example/chuteweir/internal/sockets"
)

// verdict says whether a response can be used.
type verdict uint8

const (
	usable    verdict = iota // the next request may follow without a backoff
	unusable                 // the next request follows after a backoff, on a new connection
	undecided                // conclude follows; no request is sent before that
)

// requester sends requests to the platform one after another, over a connection that it opens when needed.
type requester struct {
	directory  *Directory
	maxBody    int                          // bytes of a response body
	singleUse  bool                         // each request has its own connection, so that no response can belong to another request
	onResponse func(*http1.Message) verdict // handles a complete response
	onFailure  func()

	conn        *sockets.Conn
	parser      *http1.Parser
	connected   bool
	requests    int       // sent on this connection
	awaiting    bool      // a request is waiting for its response
	processing  bool      // onResponse has returned undecided
	requestedAt time.Time // when the last request was sent
	due         time.Time // when step sends the next request, or when the current request or connecting times out
	failures    int       // since the last usable response that was not provisional
	provisional bool      // a usable response does not end the backoff: the next request may fail again at once
	writeBuffer []byte
}

// step sends the next request once it is due, on a new connection if necessary. A request or a connection attempt
// that is still unfinished when it is due has timed out, and fails.
func (r *requester) step(timeout time.Duration, appendRequest func([]byte) []byte) {
	lim := r.directory.limits
	if r.processing || r.directory.now.Before(r.due) {
		return
	}
	if r.awaiting || r.conn != nil && !r.connected {
		r.fail()
		return
	}
	if r.conn == nil {
		r.parser = http1.NewParser(r.directory.pool, true, lim.Head, lim.Fields, r.maxBody)
		r.conn, r.connected, r.requests =
			r.directory.net.Dial(r.directory.address, lim.ConnectTime, lim.Head+r.maxBody, r), false, 0
		r.due = r.directory.now.Add(2 * lim.ConnectTime)
		return
	}
	r.requests++
	r.writeBuffer = appendRequest(r.writeBuffer[:0])
	r.awaiting, r.requestedAt, r.due = true, r.directory.now, r.directory.now.Add(timeout)
	r.conn.Write(r.writeBuffer)
}

// fail closes the connection and schedules the next attempt with exponential backoff.
func (r *requester) fail() {
	r.closeConn()
	backoff, maxBackoff := r.directory.limits.BackOff, r.directory.limits.MaxBackOff
	for i := 0; i < r.failures && backoff < maxBackoff; i++ {
		backoff *= 2
	}
	r.failures++
	r.processing = false
	r.due = r.directory.now.Add(min(backoff, maxBackoff))
	r.onFailure()
}

// closeConn closes the connection and abandons the request that waits on it.
func (r *requester) closeConn() {
	if r.conn != nil {
		r.conn.Close()
		r.parser.Free()
	}
	r.conn, r.awaiting, r.connected = nil, false, false
}

// restart abandons the present request. The next one is due at once, on a new connection.
func (r *requester) restart() {
	r.closeConn()
	r.processing, r.due = false, time.Time{}
}

// Opened implements sockets.Owner.
func (r *requester) Opened(conn *sockets.Conn) {
	if conn == r.conn {
		r.connected, r.due = true, time.Time{}
	}
}

// Data implements sockets.Owner. Bytes that arrive while no request waits for a response are a failure.
func (r *requester) Data(conn *sockets.Conn, data []byte) {
	if conn != r.conn {
		return
	}
	if !r.awaiting {
		r.fail()
		return
	}
	rest, done, err := r.parser.Feed(data)
	if err != nil {
		r.directory.countUnusable(err)
		r.fail()
	} else if done {
		r.handleResponse(r.parser.Take(), len(rest) > 0)
	}
}

// Closed implements sockets.Owner.
func (r *requester) Closed(conn *sockets.Conn, _ error) {
	switch {
	case conn != r.conn:
	case r.awaiting && r.parser.End() == nil:
		r.handleResponse(r.parser.Take(), true)
	case r.awaiting || !r.connected:
		r.fail()
	default: // the platform closed an idle connection
		r.parser.Free()
		r.conn = nil
	}
}

// handleResponse passes a complete response on, and closes the connection unless it can be used again.
func (r *requester) handleResponse(message *http1.Message, closes bool) {
	r.awaiting, r.due = false, time.Time{}
	result := r.onResponse(message)
	message.Body.Free()
	if result != unusable && (closes || message.Close || r.singleUse) {
		r.closeConn()
	}
	r.conclude(result)
}

// conclude acts on the verdict on a response.
func (r *requester) conclude(result verdict) {
	r.processing = result == undecided
	switch {
	case result == unusable:
		r.fail()
	case result == usable && !r.provisional:
		r.failures = 0
	}
}
