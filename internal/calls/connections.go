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

// The connections to receivers, from their coming up to their end.

// closeOldest makes room for a connection: one that is of no more use, else an idle one, else one whose last outcomes are not confirmed.
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
		p.drop(oldest, "room for another connection")
	}
	return oldest != nil
}

// oldest is that of some connections which has been as it is for the longest, or nil.
func (p *Pool) oldest(match func(*connection) bool) *connection {
	var oldest *connection
	for _, conn := range p.connections {
		if match(conn) && (oldest == nil || conn.stateSince.Before(oldest.stateSince)) {
			oldest = conn
		}
	}
	return oldest
}

// oldestIdle is the connection that has been idle for the longest, or nil.
func (p *Pool) oldestIdle() *connection {
	var oldest *connection
	for _, idle := range p.idle {
		if len(idle) > 0 && (oldest == nil || idle[0].stateSince.Before(oldest.stateSince)) {
			oldest = idle[0]
		}
	}
	return oldest
}

// Opened asks whether the call that waited for its connection may still leave.
func (p *Pool) Opened(socket *sockets.Conn) {
	conn := p.connections[socket]
	if conn == nil {
		return
	}
	// A process that stood still finds connections that came up long ago.
	if call := conn.call; call != nil && p.now.Sub(conn.stateSince) > p.limits.ConnectTime {
		p.drop(conn, "came up too late")
		p.finishWithResult(call, rules.NotConnected)
		return
	}
	conn.established = true
	p.connectTimes[conn.receiver] = p.now.Sub(conn.stateSince)
	if p.tracing {
		p.log.Debug(logs.Connected, "connection", conn.number, "notice", conn.noticeID(), "receiver", conn.receiver, "local", socket.Local(),
			"took", p.now.Sub(conn.stateSince))
	}
	p.established = append(p.established, rules.ConnectionUp{Notice: conn.call.Notice})
}

// Closed ends a connection from outside.
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
		p.drop(conn, "ended while it settled")
		p.connect(call)
		return
	}
	reason := "closed by the receiver"
	if err != nil {
		reason = err.Error()
	}
	if !conn.established && call != nil && localShortage(err) {
		p.drop(conn, reason)
		p.finishWithResult(call, rules.Short)
		return
	}
	p.connectionFailed(conn, reason)
}

// localShortage tells a connection that did not come up for want of something of this machine's from one that the receiver, or
// the way there, did not let up.
func localShortage(err error) bool {
	for _, shortage := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// connectionFailed ends a call whose connection ended or went wrong. Of an answer that can't be read to its end only a first
// line of 200 holds: whatever else it claims, the call may have run. A wait that it tells is kept all the same.
func (p *Pool) connectionFailed(conn *connection, reason string) {
	call, status, begun := conn.call, conn.parser.Status(), conn.parser.Begun()
	outcome := rules.TripEnded{Result: rules.Reset}
	switch {
	case status == 200:
		outcome = truncatedSuccess(conn)
	case !begun && !(conn.established && call != nil && call.written && conn.socket.Written()):
		outcome.Result = rules.NotConnected
	case isRefusal(status):
		outcome.Wait = p.remainingWait(conn, conn.parser.Message())
	}
	p.retractTruncated(conn)
	p.drop(conn, reason)
	if call != nil {
		if begun {
			p.Spoilt++
		}
		p.finish(call, outcome)
	}
}

// stopSending ends the sending side of a connection whose call is given up, which tells the receiver. What the receiver
// has answered by then is heard for a short while, for the sake of a wait.
func (p *Pool) stopSending(conn *connection, reason string) {
	responseKnown := !conn.waitUntil.IsZero() || conn.parser.Status() == 200
	if conn.call.written && conn.socket.Written() && !responseKnown {
		conn.call, conn.receiveOnly, conn.stateSince = nil, true, p.now
		conn.socket.CloseWrite()
		return
	}
	p.drop(conn, reason)
	conn.call = nil
}

// LetGo closes the idle connections to a receiver.
func (p *Pool) LetGo(receiver rules.ReceiverID) {
	for _, conn := range append([]*connection(nil), p.idle[receiver]...) {
		p.closeOrRetire(conn, "let go")
	}
}

// Forget ends the connections to a receiver that is listed no more; a call that is out comes to its end first.
func (p *Pool) Forget(receiver rules.ReceiverID) {
	p.LetGo(receiver)
	delete(p.connectTimes, receiver)
	for _, conn := range p.connections {
		if conn.receiver == receiver {
			conn.delisted = true
		}
	}
}

// unsure tells whether the answer to the call of a connection may be another's: it has carried calls before.
func (conn *connection) reused() bool { return conn.callsWritten > 1 }

// quiet is how long nothing has been heard on a connection; 0 if nothing ever was.
func (conn *connection) timeSinceRead(now time.Time) time.Duration {
	if conn.lastRead.IsZero() {
		return 0
	}
	return now.Sub(conn.lastRead)
}

// notice is the notice of the call that a connection carries, or 0.
func (conn *connection) noticeID() rules.NoticeID {
	if conn.call == nil {
		return 0
	}
	return conn.call.Notice
}

func (p *Pool) drop(conn *connection, reason string) {
	if p.tracing {
		p.log.Debug(logs.Disconnected, "connection", conn.number, "notice", conn.noticeID(), "receiver", conn.receiver, "why", reason, "connected", conn.established)
	}
	conn.socket.Close()
	conn.parser.Free()
	delete(p.connections, conn.socket)
	p.retractOnClose(conn)
	p.removeIdle(conn)
}

func (p *Pool) removeIdle(conn *connection) {
	idle := p.idle[conn.receiver]
	if i := slices.Index(idle, conn); i >= 0 {
		p.idle[conn.receiver] = slices.Delete(idle, i, i+1)
	}
	if len(p.idle[conn.receiver]) == 0 {
		delete(p.idle, conn.receiver)
	}
}

// Sweep closes connections that have stood idle too long, before their receivers would, and those on which an
// answer's body does not end.
func (p *Pool) Sweep() {
	for _, conn := range p.connections {
		p.confirmDue(conn)
		if (conn.readingBody || conn.receiveOnly) && p.now.Sub(conn.stateSince) > p.limits.RestTime && !p.awaitsLateResponse(conn) {
			p.retractTruncated(conn)
			p.drop(conn, "answer does not end")
		} else if conn.retired && !p.awaitsLateResponse(conn) && p.now.Sub(conn.lastRead) > p.limits.RestTime {
			p.drop(conn, "retired")
		}
	}
	for receiver := range p.idle {
		for len(p.idle[receiver]) > 0 && p.now.Sub(p.idle[receiver][0].stateSince) > p.limits.ReceiverIdle {
			p.drop(p.idle[receiver][0], "idle")
		}
	}
}
