package calls

import (
	"bytes"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"chuteweir.example/chuteweir/internal/http1"
	"chuteweir.example/chuteweir/internal/logs"
	"chuteweir.example/chuteweir/internal/sockets"
	"chuteweir.example/chuteweir/rules"
)

// What answers tell: outcomes, waits and load reports.

// Data takes bytes of an answer.
func (p *Pool) Data(conn *sockets.Conn, b []byte) {
	l := p.connections[conn]
	if l == nil {
		return
	}
	now := time.Now()
	quiet := l.quiet(now)
	l.heard = now
	if c := l.call; c != nil && !c.written {
		l.call = nil
		p.surplusCame(l, quiet, b)
		if l.carried == 0 {
			p.drop(l, "said something before its first call")
			p.end(c, rules.NotConnected)
			return
		}
		p.hearSurplus(l, b)
		p.connect(c)
		return
	}
	if l.givenUp {
		p.hearLate(l, b)
		return
	}
	if l.call == nil && !l.rest {
		p.Stale++
		if bytes.HasPrefix(b, []byte(idleTimedOut)) {
			p.drop(l, "idle for too long to its receiver")
			return
		}
		p.surplusCame(l, quiet, b)
		p.hearSurplus(l, b)
		return
	}
	if l.unsure() {
		p.hearStatuses(l, b)
	}
	rest, done, err := l.parser.Feed(b)
	switch {
	case err != nil:
		p.connectionFailed(l, "answer spoilt: "+err.Error())
	case done:
		p.answered(l, l.parser.Take(), rest, false)
	case l.call != nil && l.parser.HeadRead() && l.parser.Status() == 200:
		// All that counts has come. A body that goes on and on must not hold the call up.
		l.rest = true
		p.outcome(l, l.parser.Message())
	default:
		p.hearWait(l)
	}
}

// idleTimedOut is how the answer begins that some servers send, unasked, on a connection that was idle for too long to them.
const idleTimedOut = "HTTP/1.1 408"

// hearWait tells a wait as soon as it has been read: the answer's end may come late or never.
func (p *Pool) hearWait(l *connection) {
	told := retryAfter(l.parser.Message(), p.now)
	if told <= 0 || !l.waitUntil.IsZero() || !refusal(l.parser.Status()) {
		return
	}
	l.waitUntil = p.now.Add(span(told))
	p.waits = append(p.waits, rules.WaitTold{Receiver: l.receiver, Wait: told})
}

// hearLate hears what comes on a connection that is not used any more: the answer to a call that was given up may have crossed that,
// and tell a wait, and what came unasked may be the true answer to a call whose booked one was another's.
func (p *Pool) hearLate(l *connection, b []byte) {
	l.statuses = appendStatuses(l.statuses[:0], b)
	l.heardBytes += len(b)
	for len(b) > 0 {
		rest, done, err := l.parser.Feed(b)
		p.hearWait(l)
		if status := l.parser.Status(); status >= http.StatusOK {
			l.statuses = append(l.statuses, status)
		}
		switch {
		case l.surplus:
			p.doubtOthers(l, anyExchange)
		case l.unsure() && len(l.statuses) > 0: // it may as well be the late answer to the call that was given up
			p.doubtOthers(l, isUnconfirmed)
			p.confirm(l, anyExchange)
		}
		switch {
		case err != nil && l.surplus && l.heardBytes <= p.limits.Body:
			l.parser.Free() // noise, behind which an answer may come yet
			return
		case err != nil || done && !l.surplus && !p.awaited(l):
			p.drop(l, "nothing more to be heard")
			return
		}
		if done {
			l.parser.Take().Body.Free()
			l.waitUntil = time.Time{}
		}
		b = rest
	}
}

// hearStatuses looks for status lines in what has come for a call. Behind the head of its answer they are another answer's.
func (p *Pool) hearStatuses(l *connection, b []byte) {
	if l.rest {
		l.statuses = l.statuses[:0]
	}
	if l.statuses = appendStatuses(l.statuses, b); l.rest {
		p.doubtOthers(l, anyExchange)
	}
}

// doubtOthers takes outcomes back that don't hold if the answers heard last belong to calls that were answered before.
func (p *Pool) doubtOthers(l *connection, which func(exchange) bool) {
	for _, status := range l.statuses {
		p.doubt(l, status, which)
	}
}

// contradicted tells whether the answer to the call of a connection may be another call's: the connection has carried calls before, and
// what has come since holds an answer with another status.
func (l *connection) contradicted(status int) bool {
	other := func(heard int) bool { return heard != status }
	return l.unsure() && slices.ContainsFunc(l.statuses, other)
}

// mayBeDelivered tells whether one of the answers that were heard for a call said 200, or may yet.
func (l *connection) mayBeDelivered(status int) bool {
	return status == http.StatusOK || slices.Contains(l.statuses, http.StatusOK)
}

// appendStatuses appends the statuses of all status lines in b but those of interim answers.
func appendStatuses(statuses []int, b []byte) []int {
	const version, line = "HTTP/1.", "HTTP/1.1 200"
	for {
		at := bytes.Index(b, []byte(version))
		if at < 0 || len(b)-at < len(line) {
			return statuses
		}
		status, err := strconv.Atoi(string(b[at+len("HTTP/1.1 ") : at+len(line)]))
		if err == nil && status >= http.StatusOK {
			statuses = append(statuses, status)
		}
		b = b[at+len(version):]
	}
}

// waitLeft is what is left of the wait that an answer tells.
func (p *Pool) waitLeft(l *connection, m *http1.Message) rules.Millis {
	until := l.waitUntil
	if l.waitUntil = (time.Time{}); until.IsZero() {
		return retryAfter(m, p.now)
	}
	return max(rules.Millis(until.Sub(p.now).Seconds()*1000), 0)
}

func refusal(status int) bool { return status == 429 || status == 503 }

func span(m rules.Millis) time.Duration { return time.Duration(m * rules.Millis(time.Millisecond)) }

// answered ends a call with its answer, and keeps the connection if nothing speaks against it: bytes behind the answer, or the
// connection's end.
func (p *Pool) answered(l *connection, m *http1.Message, behind []byte, ended bool) {
	m.Body.Free()
	if p.tracing {
		p.log.Debug(logs.Answered, "connection", l.number, "notice", l.notice(), "receiver", l.receiver, "status", m.Status,
			"after", time.Since(l.wrote), "behind", len(behind) > 0)
	}
	if len(behind) > 0 && !m.Close {
		p.Beyond++
	}
	// A call must be over at its receiver before it is sent again.
	sentAgain := l.call != nil && l.contradicted(m.Status) && !l.mayBeDelivered(m.Status)
	if l.call != nil {
		p.outcome(l, m)
	}
	if len(behind) > 0 {
		p.surplusCame(l, 0, behind)
	}
	l.rest, l.since = false, p.now
	switch {
	case len(behind) > 0 && sentAgain:
		p.drop(l, "its call may be sent again")
	case len(behind) > 0:
		p.hearSurplus(l, behind)
	case m.Close:
		p.confirm(l, anyExchange) // no answer comes behind the last one
		p.drop(l, "answer said so")
	case ended:
		p.drop(l, "ended with its answer")
	case l.gone:
		p.settle(l)
		p.letGo(l, "the receiver is gone")
	default:
		p.settle(l)
		p.idle[l.receiver] = append(p.idle[l.receiver], l)
	}
}

// outcome ends a call by the head of its answer, unless that may be another call's.
func (p *Pool) outcome(l *connection, m *http1.Message) {
	e := rules.TripEnded{Result: rules.Errored}
	if l.contradicted(m.Status) {
		e.Result, e.MayBeDelivered = rules.Ambiguous, l.mayBeDelivered(m.Status)
		if refusal(m.Status) {
			e.Wait = p.waitLeft(l, m)
		}
		p.endCall(l, e)
		return
	}
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
	e.LimitTold, e.LimitLeft, e.LimitRate = p.loadReport(m.Get("server-load"))
	if l.unsure() {
		state := unconfirmed
		if e.Unconfirmed = e.Result != rules.Errored; !e.Unconfirmed {
			state = mayHaveRun
		}
		l.remember(l.call, m.Status, p.hooks.ConfirmTime(l.receiver), state)
	}
	p.endCall(l, e)
}

// endCall ends the call that a connection carries.
func (p *Pool) endCall(l *connection, e rules.TripEnded) {
	c := l.call
	l.call, l.since = nil, p.now
	p.finish(c, e)
}

// loadReport reads a report, "x0=0.4,x1=25"; the decisions read its first two values.
func (p *Pool) loadReport(text string) (told bool, left, rate float64) {
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
