package calls

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chuteweir.example/chuteweir/rules"
)

// settleTime is how long connections stay unused after a response.
const settleTime = 40 * time.Millisecond

// newScriptedHarness returns a harness whose receiver leaves the responses to the test: once it has read the headers
// of a call, it sends the call's connection to the channel.
func newScriptedHarness(t *testing.T) (*harness, chan net.Conn) {
	h := newHarness(t)
	h.pool.limits.SettleTime = settleTime
	receiver, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { receiver.Close() })
	h.address = receiver.Addr().String()
	callsRead := make(chan net.Conn, 9)
	go func() {
		for {
			conn, err := receiver.Accept()
			if err != nil {
				return
			}
			go func() {
				for reader := bufio.NewReader(conn); ; {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					callsRead <- conn
					io.Copy(io.Discard, request.Body)
				}
			}()
		}
	}()
	return h, callsRead
}

// send starts a call.
func (h *harness) send() rules.NoticeID {
	h.lastNotice++
	h.pool.SetTime(time.Now())
	h.pool.Send(&Call{Notice: h.lastNotice, Address: h.address, ID: fmt.Sprint(h.lastNotice), Timeout: time.Second})
	return h.lastNotice
}

// runFor runs turns for a duration.
func (h *harness) runFor(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		h.turn()
	}
}

// awaitCall runs turns until the receiver has read a call, and returns its connection.
func (h *harness) awaitCall(callsRead chan net.Conn) net.Conn {
	for {
		select {
		case conn := <-callsRead:
			return conn
		case <-time.After(time.Millisecond):
			h.turn()
		}
	}
}

// reusedConnection returns a connection that has carried a call and has settled, so that the next call reuses it.
func (h *harness) reusedConnection(callsRead chan net.Conn) net.Conn {
	h.send()
	conn := h.awaitCall(callsRead)
	respond(conn, 200, "")
	h.runFor(2 * settleTime)
	h.traceEvents("first")
	return conn
}

// respondOnReused makes a second call on a connection, and answers it.
func (h *harness) respondOnReused(callsRead chan net.Conn, status int) net.Conn {
	conn := h.reusedConnection(callsRead)
	h.send()
	h.awaitCall(callsRead)
	respond(conn, status, "")
	return conn
}

// respond writes a response without a body.
func respond(conn net.Conn, status int, headers string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), headers)
}

// traceEvents adds what the pool reports to the trace, under a label.
func (h *harness) traceEvents(label string) {
	fmt.Fprintf(&h.trace, "%s:", label)
	for _, ended := range h.pool.Ended() {
		fmt.Fprintf(&h.trace, " %d %v", ended.Notice, ended.Result)
		if ended.Unconfirmed {
			h.trace.WriteString(" unconfirmed")
		}
		if ended.MayBeDelivered {
			h.trace.WriteString(" may be delivered")
		}
		h.trace.WriteString(",")
	}
	for _, c := range h.pool.Confirmed() {
		fmt.Fprintf(&h.trace, " %d confirmed,", c.Notice)
	}
	for _, d := range h.pool.Retractions() {
		fmt.Fprintf(&h.trace, " %d retracted,", d.Notice)
	}
	for _, w := range h.pool.RequestedWaits() {
		fmt.Fprintf(&h.trace, " wait %.0f,", w.Wait)
	}
	fmt.Fprintf(&h.trace, " %d unsolicited\n", len(h.pool.UnsolicitedFrom()))
}

// The outcome of a call on a reused connection is confirmed when no other response arrives within the confirmation
// time.
func TestOutcomeOnReusedConnectionIsConfirmedWhenNothingFollows(t *testing.T) {
	h, callsRead := newScriptedHarness(t)
	h.respondOnReused(callsRead, 503)
	h.runFor(20 * time.Millisecond)
	h.traceEvents("answered")
	h.runFor(200 * time.Millisecond)
	h.traceEvents("settled")
	h.checkTrace(`
first: 1 handled, 0 unsolicited
answered: 2 full unconfirmed, 0 unsolicited
settled: 2 confirmed, 0 unsolicited
`)
}

// A late duplicate of an earlier response is taken for the response to the second call. Its outcome is retracted
// when the correct response, with another status, arrives.
func TestOutcomeTakenFromLateDuplicateIsRetracted(t *testing.T) {
	for _, c := range []struct{ duplicate, correct int }{{200, 503}, {503, 200}, {200, 500}} {
		h, callsRead := newScriptedHarness(t)
		conn := h.respondOnReused(callsRead, c.duplicate)
		h.runFor(20 * time.Millisecond)
		h.pool.Ended()
		respond(conn, c.correct, "Retry-After: 2\r\n")
		h.runFor(20 * time.Millisecond)
		h.traceEvents("then")
		wait := ""
		if isRefusal(c.correct) {
			wait = " wait 2000,"
		}
		h.checkTrace("first: 1 handled, 0 unsolicited\nthen: 2 retracted," + wait + " 1 unsolicited")
	}
}

// A duplicate response with the same status counts as unsolicited, but leaves the outcome correct.
func TestDuplicateWithSameStatusRetractsNothing(t *testing.T) {
	h, callsRead := newScriptedHarness(t)
	conn := h.respondOnReused(callsRead, 200)
	h.runFor(10 * time.Millisecond)
	respond(conn, 200, "")
	h.runFor(10 * time.Millisecond)
	h.traceEvents("twice")
	h.runFor(500 * time.Millisecond)
	h.traceEvents("settled")
	h.checkTrace(`
first: 1 handled, 0 unsolicited
twice: 2 handled unconfirmed, 1 unsolicited
settled: 2 confirmed, 0 unsolicited
`)
}

// When two responses with different statuses arrive together on a reused connection, either may belong to the call,
// so its outcome is ambiguous.
func TestDifferingResponsesReadTogetherAreAmbiguous(t *testing.T) {
	h, callsRead := newScriptedHarness(t)
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-LenHTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nServer: aHTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nHTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\nHTTP/1.1 429 Wait\r\nContent-Length: 0\r\n\r\n",
	} {
		conn := h.reusedConnection(callsRead)
		h.send()
		h.awaitCall(callsRead)
		io.WriteString(conn, text)
		h.runFor(400 * time.Millisecond)
		h.trace.Reset()
		h.pool.UnsolicitedFrom()
		h.pool.RequestedWaits()
		ended := h.pool.Ended()
		if len(ended) != 1 || ended[0].Result != rules.Ambiguous ||
			ended[0].MayBeDelivered != strings.Contains(text, " 200 ") {
			t.Errorf("%.60q: outcomes %+v, want one ambiguous", text, ended)
		}
	}
}

// A call assigned to an idle connection is written only when that has settled, and on a new connection if a
// duplicate response arrives meanwhile.
func TestCallWaitsUntilItsConnectionHasSettled(t *testing.T) {
	h, callsRead := newScriptedHarness(t)
	h.waitToSettle = true
	h.send()
	conn := h.awaitCall(callsRead)
	respond(conn, 200, "")
	for h.pool.Outstanding() > 0 {
		h.turn()
	}
	answered := time.Now()
	h.traceEvents("first")
	h.send()
	if again := h.awaitCall(callsRead); again != conn {
		t.Error("the second call was sent on another connection")
	}
	if waited := time.Since(answered); waited < settleTime-5*time.Millisecond {
		t.Errorf("call written %v after a response, before the connection had settled", waited)
	}
	respond(conn, 200, "")
	for h.pool.Outstanding() > 0 {
		h.turn()
	}
	h.traceEvents("second")
	h.send()
	respond(conn, 200, "") // a duplicate response, while the third call waits
	another := h.awaitCall(callsRead)
	if another == conn {
		t.Error("the call was written on a connection on which a duplicate response had arrived")
	}
	respond(another, 200, "")
	for h.pool.Outstanding() > 0 {
		h.turn()
	}
	h.traceEvents("third")
	h.checkTrace(`
first: 1 handled, 0 unsolicited
second: 2 handled unconfirmed, 0 unsolicited
third: 3 handled, 1 unsolicited
`)
}

// Where calls don't wait for connections to settle, a new connection is opened instead of using one that has not
// settled.
func TestConnectionThatHasNotSettledIsNotUsed(t *testing.T) {
	h, callsRead := newScriptedHarness(t)
	h.send()
	conn := h.awaitCall(callsRead)
	respond(conn, 200, "")
	for h.pool.Outstanding() > 0 {
		h.turn()
	}
	h.send()
	if h.awaitCall(callsRead) == conn {
		t.Error("the connection was used before it had settled")
	}
}

// Some servers send status 408 before they close an idle connection. That is not counted as unsolicited bytes.
func TestIdleTimeoutResponseIsNotUnsolicited(t *testing.T) {
	h, callsRead := newScriptedHarness(t)
	conn := h.reusedConnection(callsRead)
	respond(conn, 408, "")
	h.runFor(20 * time.Millisecond)
	h.traceEvents("408")
	h.checkTrace("first: 1 handled, 0 unsolicited\n408: 0 unsolicited")
}

// The connection is reset before a success on it is confirmed: the correct response may have been lost.
func TestSuccessIsRetractedWhenItsConnectionBreaks(t *testing.T) {
	h, callsRead := newScriptedHarness(t)
	conn := h.respondOnReused(callsRead, 200)
	h.runFor(20 * time.Millisecond)
	h.traceEvents("answered")
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
	h.runFor(20 * time.Millisecond)
	h.traceEvents("broken")
	h.checkTrace(`
first: 1 handled, 0 unsolicited
answered: 2 handled unconfirmed, 0 unsolicited
broken: 2 retracted, 0 unsolicited
`)
}

// A receiver may respond before it has read the whole body of a request. That response must not be taken for an
// unsolicited one.
func TestResponseDuringRequestWriteBelongsToThatCall(t *testing.T) {
	h, callsRead := newScriptedHarness(t)
	h.reusedConnection(callsRead)
	body := h.pool.buffers.NewChain()
	body.Add(make([]byte, 1<<20))
	for range 40 {
		h.lastNotice++
		go func() { respond(<-callsRead, 200, "") }()
		h.pool.SetTime(time.Now())
		h.pool.Send(&Call{Notice: h.lastNotice, Address: h.address, ID: "2", Timeout: time.Second, Body: body})
		h.runFor(settleTime + 10*time.Millisecond)
		for _, ended := range h.pool.Ended() {
			if ended.Result != rules.Handled {
				t.Errorf("outcome %+v, want handled", ended)
			}
		}
	}
}

// Every unconfirmed outcome is confirmed or retracted, even if more calls follow on a connection than maxExchanges.
func TestEveryOutcomeIsConfirmedOrRetracted(t *testing.T) {
	const count = 100
	h := newHarness(t)
	h.confirmAfter = time.Minute
	for range count {
		h.deliver("HTTP/1.1 200 OK\r\n" + shortBody)
	}
	h.pool.CloseIdle(0)
	h.pool.SetTime(time.Now().Add(2 * h.confirmAfter))
	h.pool.Sweep()
	if reported := len(h.pool.Confirmed()) + len(h.pool.Retractions()); reported != count-1 {
		t.Errorf("%d of %d unconfirmed outcomes were confirmed or retracted", reported, count-1)
	}
}

// The second call is recorded with a duplicate of the first response, and the third one times out. A late response
// after that may be the correct one to the second call: with another status it retracts the outcome, with the same
// status it confirms it.
func TestLateResponseToAbandonedCallMayBelongToPreviousCall(t *testing.T) {
	for status, outcomeBefore := range map[int]string{503: "2 retracted", 200: "2 confirmed"} {
		h, callsRead := newScriptedHarness(t)
		conn := h.respondOnReused(callsRead, 200) // a duplicate of the first response
		h.runFor(settleTime + 5*time.Millisecond)
		h.traceEvents("duplicate")
		h.lastNotice++
		h.pool.SetTime(time.Now())
		h.pool.Send(&Call{Notice: h.lastNotice, Address: h.address, ID: "3", Timeout: 10 * time.Millisecond})
		h.awaitCall(callsRead)
		h.runFor(15 * time.Millisecond)
		respond(conn, status, "")
		conn.Close()
		h.runFor(10 * time.Millisecond)
		h.traceEvents("late")
		h.checkTrace(
			"first: 1 handled, 0 unsolicited\nduplicate: 2 handled unconfirmed, 0 unsolicited\nlate: 3 timed out, " +
				outcomeBefore + ", 0 unsolicited")
	}
}

// An outcome that is unconfirmed when its connection ends is retracted, whichever side closes the connection.
func TestUnconfirmedOutcomeIsRetractedWhenItsConnectionEnds(t *testing.T) {
	endings := map[string]func(*harness, net.Conn){
		"reset": func(_ *harness, conn net.Conn) {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		},
		"closed later": func(h *harness, conn net.Conn) {
			h.runFor(300 * time.Millisecond)
			conn.Close()
		},
		"closed to make space": func(h *harness, _ net.Conn) { h.pool.closeOldest() },
	}
	for name, endConnection := range endings {
		for _, status := range []int{200, 503} {
			t.Run(fmt.Sprint(name, " ", status), func(t *testing.T) {
				h, callsRead := newScriptedHarness(t)
				h.confirmAfter = time.Second
				conn := h.respondOnReused(callsRead, status)
				h.runFor(20 * time.Millisecond)
				h.pool.Ended()
				endConnection(h, conn)
				h.runFor(20 * time.Millisecond)
				h.traceEvents("ended")
				h.checkTrace("first: 1 handled, 0 unsolicited\nended: 2 retracted, 0 unsolicited")
			})
		}
	}
}

// If responses were shifted by one call, the last of several calls with equal statuses has the wrong one; the
// others are correct either way.
func TestOfEqualOutcomesOnlyTheLastIsRetractedWhenTheConnectionEnds(t *testing.T) {
	h, callsRead := newScriptedHarness(t)
	h.confirmAfter = 10 * time.Second
	conn := h.reusedConnection(callsRead)
	for _, status := range []int{200, 200, 503, 503} {
		h.send()
		h.awaitCall(callsRead)
		respond(conn, status, "")
		h.runFor(settleTime + 20*time.Millisecond)
	}
	h.pool.Ended()
	conn.Close()
	h.runFor(20 * time.Millisecond)
	h.traceEvents("ended")
	h.checkTrace(
		"first: 1 handled, 0 unsolicited\nended: 2 confirmed, 4 confirmed, 5 retracted, 3 retracted, 0 unsolicited")
}
