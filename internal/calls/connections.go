package calls

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"chuteweir.example/chuteweir/internal/logs"
	"chuteweir.example/chuteweir/internal/sockets"
	"chuteweir.example/chuteweir/rules"
)

// This file opens and closes connections and handles their failures.

// closeOldest closes one connection to make space for another and reports whether it did. It prefers a connection
// that sends no more calls and awaits no late response, then an idle one, then one that still awaits a late
// response; closing that one may retract unconfirmed outcomes.
func (p *Pool) closeOldest() bool {
	expendable := func(conn *connection) bool { return conn.receiveOnly || conn.retired }
	oldest := p.oldest(func(conn *connection) bool { return expendable(conn) && !p.awaitsLateResponse(conn) })
	if oldest == nil {
		oldest = p.oldestIdle()
	}
	if oldest == nil {
		oldest = p.oldest(expendable)
	}
	if oldest != nil {
		p.drop(oldest, "closed to make space for another connection")
	}
	return oldest != nil
}

// oldest returns the matching connection that has been in its current state for the longest time, or nil.
func (p *Pool) oldest(match func(*connection) bool) *connection {
	var oldest *connection
	for _, conn := range p.connections {
		if match(conn) && (oldest == nil || conn.stateSince.Before(oldest.stateSince)) {
			oldest = conn
		}
	}
	return oldest
}

// oldestIdle returns the connection that has been idle for the longest time, or nil.
func (p *Pool) oldestIdle() *connection {
	var oldest *connection
	for _, idle := range p.idle {
		if len(idle) > 0 && (oldest == nil || idle[0].stateSince.Before(oldest.stateSince)) {
			oldest = idle[0]
		}
	}
	return oldest
}

// Opened marks a connection as established, and reports through Established that its call is ready to be written. The
// sockets package calls it.
func (p *Pool) Opened(socket *sockets.Conn) {
	conn := p.connections[socket]
	if conn == nil {
		return
	}
	// After a pause of the process, the connection may have been established long ago.
	if call := conn.call; call != nil && p.now.Sub(conn.stateSince) > p.limits.ConnectTime {
		p.drop(conn, "established too late")
		p.finishWithResult(call, rules.NotConnected)
		return
	}
	conn.established = true
	p.connectTimes[conn.receiver] = p.now.Sub(conn.stateSince)
	if p.tracing {
		p.log.Debug(logs.Connected, "connection", conn.number, "notice", conn.noticeID(), "receiver", conn.receiver,
			"local", socket.Local(), "took", p.now.Sub(conn.stateSince))
	}
	p.established = append(p.established, rules.ConnectionUp{Notice: conn.call.Notice})
}

// Closed handles a connection that the receiver closed, or that failed with err. The sockets package calls it.
func (p *Pool) Closed(socket *sockets.Conn, err error) {
	conn := p.connections[socket]
	if conn == nil {
		return
	}
	call := conn.call
	if (call != nil || conn.readingBody) && conn.parser.End() == nil {
		p.responseReceived(conn, conn.parser.Take(), nil, true)
		return
	}
	if call != nil && !call.written && conn.callsWritten > 0 {
		conn.call = nil
		p.drop(conn, "closed while a call waited for it to settle")
		p.connect(call)
		return
	}
	reason := "closed by the receiver"
	if err != nil {
		reason = err.Error()
	}
	if !conn.established && call != nil && localShortage(err) {
		p.drop(conn, reason)
		p.finishWithResult(call, rules.LocalShortage)
		return
	}
	p.connectionFailed(conn, reason)
}

// localShortage reports whether a connection could not be opened because this machine is short of file descriptors,
// ports, buffers or memory, as opposed to a failure of the receiver or of the network.
func localShortage(err error) bool {
	for _, shortage := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM,
	} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// connectionFailed closes a connection that ended or sent a malformed response, and ends its call, if any. Of an
// incomplete or malformed response only a status of 200 counts: with any other status the call may have run. A wait
// requested with status 429 or 503 is still reported.
func (p *Pool) connectionFailed(conn *connection, reason string) {
	call, status, begun := conn.call, conn.parser.Status(), conn.parser.Begun()
	outcome := rules.TripEnded{Result: rules.Reset}
	switch {
	case status == 200:
		outcome = truncatedSuccess(conn)
	case !begun && !(conn.established && call != nil && call.written && conn.socket.AllWritten()):
		outcome.Result = rules.NotConnected
	case isRefusal(status):
		outcome.RequestedWait = p.remainingWait(conn, conn.parser.Message())
	}
	p.retractTruncated(conn)
	p.drop(conn, reason)
	if call != nil {
		if begun {
			p.MalformedResponses++
		}
		p.finish(call, outcome)
	}
}

// stopSending closes the sending side of a connection whose call is abandoned, so that the receiver notices. A
// response that is already on its way is still read for limits.RemainderTime, as it may request a wait. The connection
// is closed at once if the request was not sent whole, or if the response has reported its wait or status 200
// already.
func (p *Pool) stopSending(conn *connection, reason string) {
	responseKnown := !conn.waitUntil.IsZero() || conn.parser.Status() == 200
	if conn.call.written && conn.socket.AllWritten() && !responseKnown {
		conn.call, conn.receiveOnly, conn.stateSince = nil, true, p.now
		conn.socket.CloseWrite()
		return
	}
	p.drop(conn, reason)
	conn.call = nil
}

// CloseIdle closes the idle connections to a receiver. Those that may still receive a late response are retired
// instead.
func (p *Pool) CloseIdle(receiver rules.ReceiverID) {
	for _, conn := range append([]*connection(nil), p.idle[receiver]...) {
		p.closeOrRetire(conn, "idle connections closed on request")
	}
}

// RemoveReceivers closes the connections to receivers that are no longer listed. Outstanding calls are finished first.
func (p *Pool) RemoveReceivers(receivers []rules.ReceiverID) {
	if len(receivers) == 0 {
		return
	}
	removed := make(map[rules.ReceiverID]bool, len(receivers))
	for _, receiver := range receivers {
		removed[receiver] = true
		p.CloseIdle(receiver)
		delete(p.connectTimes, receiver)
	}
	for _, conn := range p.connections {
		conn.delisted = conn.delisted || removed[conn.receiver]
	}
}

// reused reports whether the connection has carried more than one call, so that the response to the last one may
// belong to an earlier call.
func (conn *connection) reused() bool { return conn.callsWritten > 1 }

// timeSinceRead returns the time since the last bytes were received on a connection; 0 if none ever were.
func (conn *connection) timeSinceRead(now time.Time) time.Duration {
	if conn.lastRead.IsZero() {
		return 0
	}
	return now.Sub(conn.lastRead)
}

// noticeID returns the notice of the call that a connection carries, or 0.
func (conn *connection) noticeID() rules.NoticeID {
	if conn.call == nil {
		return 0
	}
	return conn.call.Notice
}

// drop closes a connection, removes it from the pool, and confirms or retracts its unconfirmed outcomes. It does
// not end its call.
func (p *Pool) drop(conn *connection, reason string) {
	if p.tracing {
		p.log.Debug(logs.Disconnected, "connection", conn.number, "notice", conn.noticeID(), "receiver", conn.receiver,
			"why", reason, "connected", conn.established)
	}
	conn.socket.Close()
	conn.parser.Free()
	delete(p.connections, conn.socket)
	p.retractOnClose(conn)
	p.removeIdle(conn)
}

// removeIdle removes a connection from the idle ones, if it is among them.
func (p *Pool) removeIdle(conn *connection) {
	idle := p.idle[conn.receiver]
	if i := slices.Index(idle, conn); i >= 0 {
		p.idle[conn.receiver] = slices.Delete(idle, i, i+1)
	}
	if len(p.idle[conn.receiver]) == 0 {
		delete(p.idle, conn.receiver)
	}
}

// Sweep confirms outcomes that are due. It closes connections that have been idle too long, before their receivers
// would close them, connections on which the rest of a response did not arrive within limits.RemainderTime, and retired
// connections on which no late response is expected.
func (p *Pool) Sweep() {
	for _, conn := range p.connections {
		p.confirmDue(conn)
		if (conn.readingBody || conn.receiveOnly) && p.now.Sub(conn.stateSince) > p.limits.RemainderTime &&
			!p.awaitsLateResponse(conn) {
			p.retractTruncated(conn)
			p.drop(conn, "response incomplete after the time allowed for its rest")
		} else if conn.retired && !p.awaitsLateResponse(conn) && p.now.Sub(conn.lastRead) > p.limits.RemainderTime {
			p.drop(conn, "retired")
		}
	}
	for receiver := range p.idle {
		for len(p.idle[receiver]) > 0 && p.now.Sub(p.idle[receiver][0].stateSince) > p.limits.ReceiverIdle {
			p.drop(p.idle[receiver][0], "idle")
		}
	}
}
