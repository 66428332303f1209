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

// This file reads responses: outcomes, requested waits and load reports.

// Data processes bytes received on a connection. The sockets package calls it.
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
			p.drop(conn, "received bytes before its first call")
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
		p.StaleConnections++
		if bytes.HasPrefix(data, []byte(idleTimeoutPrefix)) {
			p.drop(conn, "receiver sent status 408: connection idle for too long")
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
		p.connectionFailed(conn, "malformed response: "+err.Error())
	case done:
		p.responseReceived(conn, conn.parser.Take(), rest, false)
	case conn.call != nil && conn.parser.HeadRead() && conn.parser.Status() == 200:
		// The head of the response decides the outcome: the call must not wait for a body that may never end.
		conn.readingBody = true
		p.recordOutcome(conn, conn.parser.Message())
	default:
		p.readRequestedWait(conn)
	}
}

// idleTimeoutPrefix is the beginning of the response that some servers send, without a request, when a connection
// has been idle for longer than they allow.
const idleTimeoutPrefix = "HTTP/1.1 408"

// readRequestedWait reports a requested wait as soon as its header has been read: the response's end may come late
// or never.
func (p *Pool) readRequestedWait(conn *connection) {
	requested := retryAfter(conn.parser.Message(), p.now)
	if requested <= 0 || !conn.waitUntil.IsZero() || !isRefusal(conn.parser.Status()) {
		return
	}
	conn.waitUntil = p.now.Add(toDuration(requested))
	p.requestedWaits = append(p.requestedWaits, rules.WaitRequested{Receiver: conn.receiver, Wait: requested})
}

// readLate processes bytes on a connection that sends no more requests. The response to an abandoned call may have
// been on its way already, and may request a wait. Unsolicited bytes may be the correct response to a call that was
// recorded with the response to another one.
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
		case conn.reused() && len(conn.statuses) > 0:
			// The response may also belong to the abandoned call, so confirmed outcomes are not retracted.
			p.retractContradicted(conn, isUnconfirmed)
			p.confirm(conn, anyExchange)
		}
		switch {
		case err != nil && conn.unsolicited && conn.lateBytes <= p.limits.Body:
			conn.parser.Free() // unreadable bytes, which a response may still follow
			return
		case err != nil || done && !conn.unsolicited && !p.awaitsLateResponse(conn):
			p.drop(conn, "no further response expected")
			return
		}
		if done {
			conn.parser.Take().Body.Free()
			conn.waitUntil = time.Time{}
		}
		data = rest
	}
}

// collectStatuses collects the statuses of the status lines in bytes received for a call. Those after the head of the
// call's response belong to another response, and may contradict earlier outcomes.
func (p *Pool) collectStatuses(conn *connection, data []byte) {
	if conn.readingBody {
		conn.statuses = conn.statuses[:0]
	}
	if conn.statuses = appendStatuses(conn.statuses, data); conn.readingBody {
		p.retractContradicted(conn, anyExchange)
	}
}

// retractContradicted retracts the outcomes that are wrong if the responses received last belong to calls that were
// answered before. Only exchanges accepted by match are retracted.
func (p *Pool) retractContradicted(conn *connection, match func(exchange) bool) {
	for _, status := range conn.statuses {
		p.retractShifted(conn, status, match)
	}
}

// contradicted reports whether the response to the call of a connection may belong to another call: the connection
// is reused, and a response with another status has been received since the call was written.
func (conn *connection) contradicted(status int) bool {
	differs := func(collected int) bool { return collected != status }
	return conn.reused() && slices.ContainsFunc(conn.statuses, differs)
}

// mayBeDelivered reports whether status, or that of another response received since the call was written, is 200.
func (conn *connection) mayBeDelivered(status int) bool {
	return status == http.StatusOK || slices.Contains(conn.statuses, http.StatusOK)
}

// appendStatuses appends the status of each status line found in data, except for interim (1xx) responses. A status
// line that data contains only in part is not found.
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

// remainingWait returns what is left of the wait that a response requests, and clears the connection's waitUntil. A
// wait that was not reported before is read from the message.
func (p *Pool) remainingWait(conn *connection, message *http1.Message) rules.Millis {
	until := conn.waitUntil
	if conn.waitUntil = (time.Time{}); until.IsZero() {
		return retryAfter(message, p.now)
	}
	return max(rules.Millis(until.Sub(p.now).Seconds()*1000), 0)
}

// isRefusal reports whether a status rejects a call without running it and may request a wait.
func isRefusal(status int) bool { return status == 429 || status == 503 }

// toDuration converts milliseconds to a time.Duration.
func toDuration(m rules.Millis) time.Duration {
	return time.Duration(m * rules.Millis(time.Millisecond))
}

// responseReceived ends the call of a connection, if it has not ended yet, with a complete response. The connection
// becomes idle unless bytes follow the response (trailing), the response announces that the receiver closes the
// connection, the connection has ended, or the receiver is no longer listed.
func (p *Pool) responseReceived(conn *connection, message *http1.Message, trailing []byte, ended bool) {
	message.Body.Free()
	if p.tracing {
		p.log.Debug(logs.Answered, "connection", conn.number, "notice", conn.noticeID(), "receiver", conn.receiver,
			"status", message.Status, "after", time.Since(conn.writtenAt), "behind", len(trailing) > 0)
	}
	if len(trailing) > 0 && !message.Close {
		p.ResponsesWithTrailingBytes++
	}
	// An ambiguous call without a response of status 200 may be sent again, and must have ended at its receiver by
	// then. So its connection is closed, instead of being kept open for late responses.
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
		p.drop(conn, "unsolicited bytes after the response to a call that may be sent again")
	case len(trailing) > 0:
		p.handleUnsolicited(conn, trailing)
	case message.Close:
		p.confirm(conn, anyExchange) // no response follows the one that announces the close
		p.drop(conn, "closed as announced in the response")
	case ended:
		p.drop(conn, "closed by the receiver after the response")
	case conn.delisted:
		p.settle(conn)
		p.closeOrRetire(conn, "receiver no longer listed")
	default:
		p.settle(conn)
		p.idle[conn.receiver] = append(p.idle[conn.receiver], conn)
	}
}

// recordOutcome ends the call of a connection with the outcome that the head of its response implies. The outcome is
// ambiguous if the response may belong to another call.
func (p *Pool) recordOutcome(conn *connection, message *http1.Message) {
	outcome := rules.TripEnded{Result: rules.Errored}
	if conn.contradicted(message.Status) {
		outcome.Result, outcome.MayBeDelivered = rules.Ambiguous, conn.mayBeDelivered(message.Status)
		if isRefusal(message.Status) {
			outcome.RequestedWait = p.remainingWait(conn, message)
		}
		p.endCall(conn, outcome)
		return
	}
	switch message.Status {
	case 200:
		outcome.Result = rules.Handled
	case 429, 503:
		outcome.Result = rules.Refused
		if message.Get("x-line-busy") == "1" {
			outcome.Result = rules.NotSent
		} else {
			outcome.RequestedWait = p.remainingWait(conn, message)
		}
	case 504:
		outcome.Result = rules.NotSent
	case 410:
		outcome.Result, outcome.NoticeEnded = rules.NotSent, true
	}
	outcome.LimitReported, outcome.LimitRemaining, outcome.LimitRate = p.parseLoadReport(message.Get("server-load"))
	if conn.reused() {
		initialState := unconfirmed
		if outcome.Unconfirmed = outcome.Result != rules.Errored; !outcome.Unconfirmed {
			initialState = mayHaveRun
		}
		conn.recordExchange(conn.call, message.Status, p.hooks.ConfirmTime(conn.receiver), initialState)
	}
	p.endCall(conn, outcome)
}

// endCall ends the call of a connection with an outcome.
func (p *Pool) endCall(conn *connection, outcome rules.TripEnded) {
	call := conn.call
	conn.call, conn.stateSince = nil, p.now
	p.finish(call, outcome)
}

// parseLoadReport parses the value of a Server-Load header, for example "x0=0.4,x1=25". The rules use the first two
// names: the share of the receiver's limit that is left, and the rate of the limit in calls per second. If any value is
// not a finite number, nothing is reported.
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
