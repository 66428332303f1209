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
func (p *Pool) Data(socket *sockets.Conn, data []byte) {
	conn := p.connections[socket]
	if conn == nil {
		return
	}
	now := time.Now()
	silence := conn.timeSinceRead(now)
	conn.lastRead = now
	if call := conn.call; call != nil && !call.written {
		conn.call = nil
		p.reportUnsolicited(conn, silence, data)
		if conn.callsWritten == 0 {
			p.drop(conn, "said something before its first call")
			p.finishWithResult(call, rules.NotConnected)
			return
		}
		p.handleUnsolicited(conn, data)
		p.connect(call)
		return
	}
	if conn.receiveOnly {
		p.readLate(conn, data)
		return
	}
	if conn.call == nil && !conn.readingBody {
		p.Stale++
		if bytes.HasPrefix(data, []byte(idleTimeoutPrefix)) {
			p.drop(conn, "idle for too long to its receiver")
			return
		}
		p.reportUnsolicited(conn, silence, data)
		p.handleUnsolicited(conn, data)
		return
	}
	if conn.reused() {
		p.collectStatuses(conn, data)
	}
	rest, done, err := conn.parser.Feed(data)
	switch {
	case err != nil:
		p.connectionFailed(conn, "answer spoilt: "+err.Error())
	case done:
		p.responseReceived(conn, conn.parser.Take(), rest, false)
	case conn.call != nil && conn.parser.HeadRead() && conn.parser.Status() == 200:
		// All that counts has come. A body that goes on and on must not hold the call up.
		conn.readingBody = true
		p.recordOutcome(conn, conn.parser.Message())
	default:
		p.readRequestedWait(conn)
	}
}

// idleTimedOut is how the answer begins that some servers send, unasked, on a connection that was idle for too long to them.
const idleTimeoutPrefix = "HTTP/1.1 408"

// hearWait tells a wait as soon as it has been read: the answer's end may come late or never.
func (p *Pool) readRequestedWait(conn *connection) {
	requested := retryAfter(conn.parser.Message(), p.now)
	if requested <= 0 || !conn.waitUntil.IsZero() || !isRefusal(conn.parser.Status()) {
		return
	}
	conn.waitUntil = p.now.Add(toDuration(requested))
	p.requestedWaits = append(p.requestedWaits, rules.WaitTold{Receiver: conn.receiver, Wait: requested})
}

// hearLate hears what comes on a connection that is not used any more: the answer to a call that was given up may have crossed that,
// and tell a wait, and what came unasked may be the true answer to a call whose booked one was another's.
func (p *Pool) readLate(conn *connection, data []byte) {
	conn.statuses = appendStatuses(conn.statuses[:0], data)
	conn.lateBytes += len(data)
	for len(data) > 0 {
		rest, done, err := conn.parser.Feed(data)
		p.readRequestedWait(conn)
		if status := conn.parser.Status(); status >= http.StatusOK {
			conn.statuses = append(conn.statuses, status)
		}
		switch {
		case conn.unsolicited:
			p.retractContradicted(conn, anyExchange)
		case conn.reused() && len(conn.statuses) > 0: // it may as well be the late answer to the call that was given up
			p.retractContradicted(conn, isUnconfirmed)
			p.confirm(conn, anyExchange)
		}
		switch {
		case err != nil && conn.unsolicited && conn.lateBytes <= p.limits.Body:
			conn.parser.Free() // noise, behind which an answer may come yet
			return
		case err != nil || done && !conn.unsolicited && !p.awaitsLateResponse(conn):
			p.drop(conn, "nothing more to be heard")
			return
		}
		if done {
			conn.parser.Take().Body.Free()
			conn.waitUntil = time.Time{}
		}
		data = rest
	}
}

// hearStatuses looks for status lines in what has come for a call. Behind the head of its answer they are another answer's.
func (p *Pool) collectStatuses(conn *connection, data []byte) {
	if conn.readingBody {
		conn.statuses = conn.statuses[:0]
	}
	if conn.statuses = appendStatuses(conn.statuses, data); conn.readingBody {
		p.retractContradicted(conn, anyExchange)
	}
}

// doubtOthers takes outcomes back that don't hold if the answers heard last belong to calls that were answered before.
func (p *Pool) retractContradicted(conn *connection, match func(exchange) bool) {
	for _, status := range conn.statuses {
		p.retractShifted(conn, status, match)
	}
}

// contradicted tells whether the answer to the call of a connection may be another call's: the connection has carried calls before, and
// what has come since holds an answer with another status.
func (conn *connection) contradicted(status int) bool {
	differs := func(collected int) bool { return collected != status }
	return conn.reused() && slices.ContainsFunc(conn.statuses, differs)
}

// mayBeDelivered tells whether one of the answers that were heard for a call said 200, or may yet.
func (conn *connection) mayBeDelivered(status int) bool {
	return status == http.StatusOK || slices.Contains(conn.statuses, http.StatusOK)
}

// appendStatuses appends the statuses of all status lines in b but those of interim answers.
func appendStatuses(statuses []int, data []byte) []int {
	const version, statusLine = "HTTP/1.", "HTTP/1.1 200"
	for {
		at := bytes.Index(data, []byte(version))
		if at < 0 || len(data)-at < len(statusLine) {
			return statuses
		}
		status, err := strconv.Atoi(string(data[at+len("HTTP/1.1 ") : at+len(statusLine)]))
		if err == nil && status >= http.StatusOK {
			statuses = append(statuses, status)
		}
		data = data[at+len(version):]
	}
}

// waitLeft is what is left of the wait that an answer tells.
func (p *Pool) remainingWait(conn *connection, message *http1.Message) rules.Millis {
	until := conn.waitUntil
	if conn.waitUntil = (time.Time{}); until.IsZero() {
		return retryAfter(message, p.now)
	}
	return max(rules.Millis(until.Sub(p.now).Seconds()*1000), 0)
}

func isRefusal(status int) bool { return status == 429 || status == 503 }

func toDuration(m rules.Millis) time.Duration { return time.Duration(m * rules.Millis(time.Millisecond)) }

// answered ends a call with its answer, and keeps the connection if nothing speaks against it: bytes behind the answer, or the
// connection's end.
func (p *Pool) responseReceived(conn *connection, message *http1.Message, trailing []byte, ended bool) {
	message.Body.Free()
	if p.tracing {
		p.log.Debug(logs.Answered, "connection", conn.number, "notice", conn.noticeID(), "receiver", conn.receiver, "status", message.Status,
			"after", time.Since(conn.writtenAt), "behind", len(trailing) > 0)
	}
	if len(trailing) > 0 && !message.Close {
		p.Beyond++
	}
	// A call must be over at its receiver before it is sent again.
	mayBeRetried := conn.call != nil && conn.contradicted(message.Status) && !conn.mayBeDelivered(message.Status)
	if conn.call != nil {
		p.recordOutcome(conn, message)
	}
	if len(trailing) > 0 {
		p.reportUnsolicited(conn, 0, trailing)
	}
	conn.readingBody, conn.stateSince = false, p.now
	switch {
	case len(trailing) > 0 && mayBeRetried:
		p.drop(conn, "its call may be sent again")
	case len(trailing) > 0:
		p.handleUnsolicited(conn, trailing)
	case message.Close:
		p.confirm(conn, anyExchange) // no answer comes behind the last one
		p.drop(conn, "answer said so")
	case ended:
		p.drop(conn, "ended with its answer")
	case conn.delisted:
		p.settle(conn)
		p.closeOrRetire(conn, "the receiver is gone")
	default:
		p.settle(conn)
		p.idle[conn.receiver] = append(p.idle[conn.receiver], conn)
	}
}

// outcome ends a call by the head of its answer, unless that may be another call's.
func (p *Pool) recordOutcome(conn *connection, message *http1.Message) {
	outcome := rules.TripEnded{Result: rules.Errored}
	if conn.contradicted(message.Status) {
		outcome.Result, outcome.MayBeDelivered = rules.Ambiguous, conn.mayBeDelivered(message.Status)
		if isRefusal(message.Status) {
			outcome.Wait = p.remainingWait(conn, message)
		}
		p.endCall(conn, outcome)
		return
	}
	switch message.Status {
	case 200:
		outcome.Result = rules.Handled
	case 429, 503:
		outcome.Result = rules.Full
		if message.Get("x-line-busy") == "1" {
			outcome.Result = rules.Moot
		} else {
			outcome.Wait = p.remainingWait(conn, message)
		}
	case 504:
		outcome.Result = rules.Moot
	case 410:
		outcome.Result, outcome.Over = rules.Moot, true
	}
	outcome.LimitTold, outcome.LimitLeft, outcome.LimitRate = p.parseLoadReport(message.Get("server-load"))
	if conn.reused() {
		initialState := unconfirmed
		if outcome.Unconfirmed = outcome.Result != rules.Errored; !outcome.Unconfirmed {
			initialState = mayHaveRun
		}
		conn.recordExchange(conn.call, message.Status, p.hooks.ConfirmTime(conn.receiver), initialState)
	}
	p.endCall(conn, outcome)
}

// endCall ends the call that a connection carries.
func (p *Pool) endCall(conn *connection, outcome rules.TripEnded) {
	call := conn.call
	conn.call, conn.stateSince = nil, p.now
	p.finish(call, outcome)
}

// loadReport reads a report, "x0=0.4,x1=25"; the decisions read its first two values.
func (p *Pool) parseLoadReport(text string) (reported bool, capacityLeft, rate float64) {
	if text == "" || len(p.loadReportNames) < 2 {
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
	capacityLeft, leftFound := values[p.loadReportNames[0]]
	rate, rateFound := values[p.loadReportNames[1]]
	return leftFound && rateFound, capacityLeft, rate
}
