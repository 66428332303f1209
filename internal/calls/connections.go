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
	useless := func(l *connection) bool { return l.givenUp || l.retired }
	oldest := p.oldest(func(l *connection) bool { return useless(l) && !p.awaited(l) })
	if oldest == nil {
		oldest = p.oldestIdle()
	}
	if oldest == nil {
		oldest = p.oldest(useless)
	}
	if oldest != nil {
		p.drop(oldest, "room for another connection")
	}
	return oldest != nil
}

// oldest is that of some connections which has been as it is for the longest, or nil.
func (p *Pool) oldest(which func(*connection) bool) *connection {
	var oldest *connection
	for _, l := range p.connections {
		if which(l) && (oldest == nil || l.since.Before(oldest.since)) {
			oldest = l
		}
	}
	return oldest
}

// oldestIdle is the connection that has been idle for the longest, or nil.
func (p *Pool) oldestIdle() *connection {
	var oldest *connection
	for _, idle := range p.idle {
		if len(idle) > 0 && (oldest == nil || idle[0].since.Before(oldest.since)) {
			oldest = idle[0]
		}
	}
	return oldest
}

// Opened asks whether the call that waited for its connection may still leave.
func (p *Pool) Opened(conn *sockets.Conn) {
	l := p.connections[conn]
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
	p.comesUp[l.receiver] = p.now.Sub(l.since)
	if p.tracing {
		p.log.Debug(logs.Connected, "connection", l.number, "notice", l.notice(), "receiver", l.receiver, "local", conn.Local(),
			"took", p.now.Sub(l.since))
	}
	p.up = append(p.up, rules.ConnectionUp{Notice: l.call.Notice})
}

// Closed ends a connection from outside.
func (p *Pool) Closed(conn *sockets.Conn, why error) {
	l := p.connections[conn]
	if l == nil {
		return
	}
	c := l.call
	if (c != nil || l.rest) && l.parser.End() == nil {
		p.answered(l, l.parser.Take(), nil, true)
		return
	}
	if c != nil && !c.written && l.carried > 0 {
		l.call = nil
		p.drop(l, "ended while it settled")
		p.connect(c)
		return
	}
	reason := "closed by the receiver"
	if why != nil {
		reason = why.Error()
	}
	if !l.up && c != nil && localShortage(why) {
		p.drop(l, reason)
		p.end(c, rules.Short)
		return
	}
	p.connectionFailed(l, reason)
}

// localShortage tells a connection that did not come up for want of something of this machine's from one that the receiver, or
// the way there, did not let up.
func localShortage(why error) bool {
	for _, short := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(why, short) {
			return true
		}
	}
	return false
}

// connectionFailed ends a call whose connection ended or went wrong. Of an answer that can't be read to its end only a first
// line of 200 holds: whatever else it claims, the call may have run. A wait that it tells is kept all the same.
func (p *Pool) connectionFailed(l *connection, why string) {
	c, status, begun := l.call, l.parser.Status(), l.parser.Begun()
	e := rules.TripEnded{Result: rules.Reset}
	switch {
	case status == 200:
		e = goodAnswerCut(l)
	case !begun && !(l.up && c != nil && c.written && l.conn.Written()):
		e.Result = rules.NotConnected
	case refusal(status):
		e.Wait = p.waitLeft(l, l.parser.Message())
	}
	p.doubtCut(l)
	p.drop(l, why)
	if c != nil {
		if begun {
			p.Spoilt++
		}
		p.finish(c, e)
	}
}

// stopSending ends the sending side of a connection whose call is given up, which tells the receiver. What the receiver
// has answered by then is heard for a short while, for the sake of a wait.
func (p *Pool) stopSending(l *connection, why string) {
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
	for _, l := range append([]*connection(nil), p.idle[receiver]...) {
		p.letGo(l, "let go")
	}
}

// Forget ends the connections to a receiver that is listed no more; a call that is out comes to its end first.
func (p *Pool) Forget(receiver rules.ReceiverID) {
	p.LetGo(receiver)
	delete(p.comesUp, receiver)
	for _, l := range p.connections {
		if l.receiver == receiver {
			l.gone = true
		}
	}
}

// unsure tells whether the answer to the call of a connection may be another's: it has carried calls before.
func (l *connection) unsure() bool { return l.carried > 1 }

// quiet is how long nothing has been heard on a connection; 0 if nothing ever was.
func (l *connection) quiet(now time.Time) time.Duration {
	if l.heard.IsZero() {
		return 0
	}
	return now.Sub(l.heard)
}

// notice is the notice of the call that a connection carries, or 0.
func (l *connection) notice() rules.NoticeID {
	if l.call == nil {
		return 0
	}
	return l.call.Notice
}

func (p *Pool) drop(l *connection, why string) {
	if p.tracing {
		p.log.Debug(logs.Disconnected, "connection", l.number, "notice", l.notice(), "receiver", l.receiver, "why", why, "connected", l.up)
	}
	l.conn.Close()
	l.parser.Free()
	delete(p.connections, l.conn)
	p.doubtEnded(l)
	p.removeIdle(l)
}

func (p *Pool) removeIdle(l *connection) {
	idle := p.idle[l.receiver]
	if i := slices.Index(idle, l); i >= 0 {
		p.idle[l.receiver] = slices.Delete(idle, i, i+1)
	}
	if len(p.idle[l.receiver]) == 0 {
		delete(p.idle, l.receiver)
	}
}

// Sweep closes connections that have stood idle too long, before their receivers would, and those on which an
// answer's body does not end.
func (p *Pool) Sweep() {
	for _, l := range p.connections {
		p.confirmOld(l)
		if (l.rest || l.givenUp) && p.now.Sub(l.since) > p.limits.RestTime && !p.awaited(l) {
			p.doubtCut(l)
			p.drop(l, "answer does not end")
		} else if l.retired && !p.awaited(l) && p.now.Sub(l.heard) > p.limits.RestTime {
			p.drop(l, "retired")
		}
	}
	for receiver := range p.idle {
		for len(p.idle[receiver]) > 0 && p.now.Sub(p.idle[receiver][0].since) > p.limits.ReceiverIdle {
			p.drop(p.idle[receiver][0], "idle")
		}
	}
}
