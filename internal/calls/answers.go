package calls

import (
	"math"
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
	if l.call != nil && !l.call.written {
		p.unasked(l, quiet, b)
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
		p.unasked(l, quiet, b)
		p.drop(l, "said something unasked")
		return
	}
	rest, done, err := l.parser.Feed(b)
	switch {
	case err != nil:
		p.connectionFailed(l, "answer spoilt: "+err.Error())
	case done:
		if len(rest) > 0 {
			p.unasked(l, 0, rest)
		}
		p.answered(l, l.parser.Take(), len(rest) > 0)
	case l.call != nil && l.parser.HeadRead() && l.parser.Status() == 200:
		// All that counts has come. A body that goes on and on must not hold the call up.
		l.rest = true
		p.outcome(l, l.parser.Message())
	default:
		p.hearWait(l)
	}
}

// unaskedShown is how many bytes of what came unasked the log shows.
const unaskedShown = 16

// unasked notes that a connection said something that no call had asked for, after it was quiet for a while.
func (p *Pool) unasked(l *connection, quiet time.Duration, b []byte) {
	p.Unasked++
	p.log.Warn(logs.Unasked, "connection", l.number, "receiver", l.receiver, "last", l.last, "carried", l.carried, "quiet", quiet,
		"bytes", len(b), "begins", string(b[:min(len(b), unaskedShown)]))
}

// hearWait tells a wait as soon as it has been read: the answer's end may come late or never.
func (p *Pool) hearWait(l *connection) {
	told := retryAfter(l.parser.Message(), p.now)
	if told <= 0 || !l.waitUntil.IsZero() || !refusal(l.parser.Status()) {
		return
	}
	l.waitUntil = p.now.Add(span(told))
	p.waits = append(p.waits, rules.WaitTold{Receiver: l.receiver, Wait: told})
}

// hearLate hears the answer to a call that was given up: it may have crossed that, and tell a wait.
func (p *Pool) hearLate(l *connection, b []byte) {
	_, done, err := l.parser.Feed(b)
	p.hearWait(l)
	if done || err != nil || !l.waitUntil.IsZero() {
		p.drop(l, "answer to a call given up")
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

// answered ends a call with its answer, and keeps the connection if nothing speaks against it.
func (p *Pool) answered(l *connection, m *http1.Message, more bool) {
	m.Body.Free()
	if p.tracing {
		p.log.Debug(logs.Answered, "connection", l.number, "notice", l.notice(), "receiver", l.receiver, "status", m.Status,
			"after", time.Since(l.wrote), "behind", more)
	}
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
func (p *Pool) outcome(l *connection, m *http1.Message) {
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
	e.LimitTold, e.LimitLeft, e.LimitRate = p.loadReport(m.Get("server-load"))
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
