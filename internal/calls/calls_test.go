package calls

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"chuteweir.example/chuteweir/internal/buffers"
	"chuteweir.example/chuteweir/internal/limits"
	"chuteweir.example/chuteweir/internal/sockets"
	"chuteweir.example/chuteweir/rules"
	"github.com/google/go-cmp/cmp"
)

// harness runs a Pool against a receiver that answers each call with the next of the given responses. It records
// what the pool reports in a trace.
type harness struct {
	t            *testing.T
	pool         *Pool
	net          *sockets.Net
	address      string
	accepted     chan net.Conn
	responses    chan string
	lastNotice   rules.NoticeID
	trace        strings.Builder
	waitToSettle bool // calls wait for idle connections that have not settled yet
	confirmAfter time.Duration
}

// newHarness starts a receiver and a pool whose connections settle at once.
func newHarness(t *testing.T) *harness {
	receiver, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, address: receiver.Addr().String(), accepted: make(chan net.Conn, 99),
		responses: make(chan string, 1), confirmAfter: confirmTime}
	go func() {
		for {
			conn, err := receiver.Accept()
			if err != nil {
				return
			}
			h.accepted <- conn
			go func() {
				for reader := bufio.NewReader(conn); ; {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					io.Copy(io.Discard, request.Body)
					if _, err := io.WriteString(conn, <-h.responses); err != nil {
						return
					}
				}
			}()
		}
	}()
	resources := limits.For(limits.Machine{}, rules.Settings{IdleTimeout: 10_000}, 1000)
	resources.SettleTime = 0
	pool := buffers.NewPool(resources.Buffer)
	h.pool = New(resources, pool, []string{"x0", "x1"}, slog.New(slog.DiscardHandler), Hooks{
		Record:        func(*Call) error { return nil },
		ConfirmTime:   func(rules.ReceiverID) time.Duration { return h.confirmAfter },
		WaitsToSettle: func(rules.ReceiverID, time.Duration, time.Duration) bool { return h.waitToSettle }})
	if h.net, err = sockets.Start("127.0.0.1:0", resources, pool, h.pool); err != nil {
		t.Fatal(err)
	}
	h.pool.SetNet(h.net)
	t.Cleanup(func() { receiver.Close(); h.net.Stop() })
	return h
}

// confirmTime is how long outcomes on reused connections stay unconfirmed.
const confirmTime = 100 * time.Millisecond

// deliver makes a call, and adds its outcome and the state of its connection to the trace.
func (h *harness) deliver(response string) {
	h.lastNotice++
	h.responses <- response
	h.pool.SetTime(time.Now())
	h.pool.Send(&Call{Notice: h.lastNotice, Address: h.address, ID: fmt.Sprint(h.lastNotice),
		Timeout: 400 * time.Millisecond})
	for h.pool.Outstanding() > 0 {
		h.turn()
	}
	first, _, _ := strings.Cut(response, "\r\n")
	for _, ended := range h.pool.Ended() {
		fmt.Fprintf(
			&h.trace, "%d %.24q: result %d, wait %.0f, load report %v, notice ended %v, %d connections, %d idle\n",
			ended.Notice, first, ended.Result, ended.RequestedWait, ended.LimitReported, ended.NoticeEnded,
			len(h.accepted), len(h.pool.idle[0]))
	}
}

// turn runs one turn of the loop that owns a Pool.
func (h *harness) turn() {
	time.Sleep(time.Millisecond)
	h.pool.SetTime(time.Now())
	h.pool.Expire()
	h.net.Dispatch()
	for _, up := range h.pool.Established() {
		h.pool.Write(up.Notice)
	}
	h.pool.Sweep()
}

// checkTrace compares the trace with the expected one.
func (h *harness) checkTrace(want string) {
	h.t.Helper()
	if diff := cmp.Diff(strings.TrimSpace(want), strings.TrimSpace(h.trace.String())); diff != "" {
		h.t.Errorf("trace differs (-want +got):\n%s", diff)
	}
}

// shortBody is the end of a response, from its Content-Length header on.
const shortBody = "Content-Length: 2\r\n\r\nok"

// An idle connection that was closed since the last turn, or on which unsolicited bytes arrived, is not used: the
// call would fail without need, or be recorded with a response that is not its own.
func TestIdleConnectionThatClosedOrReceivedBytesIsNotUsed(t *testing.T) {
	h := newHarness(t)
	h.deliver("HTTP/1.1 200 OK\r\n" + shortBody)
	h.deliver("HTTP/1.1 200 OK\r\n" + shortBody)
	(<-h.accepted).Close()
	time.Sleep(100 * time.Millisecond) // closed, but the pool has not read that yet
	h.deliver("HTTP/1.1 200 OK\r\n" + shortBody)
	io.WriteString(<-h.accepted, "HTTP/1.1 200 Unasked\r\n"+shortBody)
	time.Sleep(100 * time.Millisecond) // received, but the pool has not read it yet
	h.deliver("HTTP/1.1 503 Full\r\n" + shortBody)
	h.checkTrace(`
1 "HTTP/1.1 200 OK": result 0, wait 0, load report false, notice ended true, 1 connections, 1 idle
2 "HTTP/1.1 200 OK": result 0, wait 0, load report false, notice ended true, 1 connections, 1 idle
3 "HTTP/1.1 200 OK": result 0, wait 0, load report false, notice ended true, 1 connections, 1 idle
4 "HTTP/1.1 503 Full": result 2, wait 0, load report false, notice ended false, 1 connections, 1 idle
`)
}

// Of a malformed response only a status of 200 counts. With any other status, even one that says that the call did
// not run, it may have run.
func TestMalformedResponses(t *testing.T) {
	h := newHarness(t)
	endless := strings.Repeat("A: b\r\n", 3000)
	for _, response := range []string{
		"200 OK\r\n" + shortBody,
		"200 OK\r\n" + shortBody + "HTTP/1.1 500 Again\r\n" + shortBody,
		"503 Full\r\nServer-Load: x0=nonsense\r\n" + shortBody + "noise",
		"100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n\r\nHTTP/1.1 429 Wait\r\nRetry-After: 0.5\r\nServer-Load: x0=0.5,x1=9\r\n" + shortBody,
		"200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<20),
		"200 OK\r\nContent-Length: -1\r\n\r\n",
		"200 OK\r\nContent-Length: 9\r\n\r\ncut",
		"200 OK\r\nno colon\r\n\r\n",
		"200 OK\r\n" + endless,
		"200 OK\r\nServer-Load:",
		"200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"OK 200\r\n" + shortBody,
		"2x0 OK\r\n" + shortBody,
		"200",
		"503 Full\r\nno colon\r\n\r\n",
		"503 Full\r\nContent-Length: 3000000000\r\n\r\nxx",
		"503 Full\r\nX-Line-Busy: 1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"504 Used up\r\n" + endless,
		"429 Wait\r\nRetry-After: 0.5\r\nContent-Length: 9\r\nContent-Length: 8\r\n\r\n",
		"410 Over\r\nContent-Length: 9\r\n\r\ncut",
		"101 Switching\r\n\r\n",
	} {
		h.deliver("HTTP/1.1 " + response)
		for i := 0; i < 300 && len(h.pool.connections) > len(h.pool.idle[0]); i++ {
			h.turn() // a body that does not arrive is waited for
		}
		h.pool.CloseIdle(0)
		if len(h.pool.connections) > 0 {
			fmt.Fprintf(&h.trace, "  %d connections left\n", len(h.pool.connections))
		}
	}
	h.checkTrace(`
1 "HTTP/1.1 200 OK": result 0, wait 0, load report false, notice ended true, 1 connections, 1 idle
2 "HTTP/1.1 200 OK": result 0, wait 0, load report false, notice ended true, 2 connections, 0 idle
3 "HTTP/1.1 503 Full": result 2, wait 0, load report false, notice ended false, 3 connections, 0 idle
4 "HTTP/1.1 100 Continue": result 2, wait 500, load report true, notice ended false, 4 connections, 1 idle
5 "HTTP/1.1 200 OK": result 0, wait 0, load report false, notice ended true, 5 connections, 0 idle
6 "HTTP/1.1 200 OK": result 0, wait 0, load report false, notice ended true, 6 connections, 0 idle
7 "HTTP/1.1 200 OK": result 0, wait 0, load report false, notice ended true, 7 connections, 0 idle
8 "HTTP/1.1 200 OK": result 0, wait 0, load report false, notice ended true, 8 connections, 0 idle
9 "HTTP/1.1 200 OK": result 0, wait 0, load report false, notice ended true, 9 connections, 0 idle
10 "HTTP/1.1 200 OK": result 0, wait 0, load report false, notice ended true, 10 connections, 0 idle
11 "HTTP/1.1 200 OK": result 0, wait 0, load report false, notice ended true, 11 connections, 0 idle
12 "HTTP/1.1 OK 200": result 5, wait 0, load report false, notice ended false, 12 connections, 0 idle
13 "HTTP/1.1 2x0 OK": result 5, wait 0, load report false, notice ended false, 13 connections, 0 idle
14 "HTTP/1.1 200": result 3, wait 0, load report false, notice ended false, 14 connections, 0 idle
15 "HTTP/1.1 503 Full": result 5, wait 0, load report false, notice ended false, 15 connections, 0 idle
16 "HTTP/1.1 503 Full": result 5, wait 0, load report false, notice ended false, 16 connections, 0 idle
17 "HTTP/1.1 503 Full": result 5, wait 0, load report false, notice ended false, 17 connections, 0 idle
18 "HTTP/1.1 504 Used up": result 5, wait 0, load report false, notice ended false, 18 connections, 0 idle
19 "HTTP/1.1 429 Wait": result 5, wait 500, load report false, notice ended false, 19 connections, 0 idle
20 "HTTP/1.1 410 Over": result 3, wait 0, load report false, notice ended false, 20 connections, 0 idle
21 "HTTP/1.1 101 Switching": result 5, wait 0, load report false, notice ended false, 21 connections, 0 idle
`)
}

// If the process was paused while a connection was being established, the call is not written any more: events that
// the rules have processed since the call was started may forbid it.
func TestConnectionEstablishedTooLate(t *testing.T) {
	h := newHarness(t)
	now := time.Now()
	h.pool.SetTime(now)
	h.pool.Send(&Call{Notice: 1, Address: h.address, ID: "1", Timeout: time.Minute})
	<-h.accepted
	time.Sleep(50 * time.Millisecond)
	h.pool.SetTime(now.Add(1100 * time.Millisecond))
	h.net.Dispatch()
	ended := h.pool.Ended()
	if len(ended) != 1 || ended[0].Result != rules.NotConnected || h.pool.Outstanding() > 0 {
		t.Errorf("outcomes %+v, want notice 1 not connected and no outstanding call", ended)
	}
}

// After a pause of the process, a call is recalled while a response of the same destination, which may request a
// wait, is unread.
func TestUnreadResponseHoldsBackCallsAfterProcessPause(t *testing.T) {
	h := newHarness(t)
	now := time.Now()
	h.pool.BeginTurn(now)
	h.pool.Send(&Call{Notice: 1, Address: h.address, ID: "1", Timeout: time.Minute})
	for !h.pool.outstanding[1].written {
		h.turn()
	}
	h.responses <- "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 2\r\n" + shortBody
	time.Sleep(50 * time.Millisecond) // the response has arrived, but the pool has not read it
	h.pool.BeginTurn(time.Now())
	h.pool.Send(&Call{Notice: 2, Address: h.address, ID: "2", Timeout: time.Minute})
	h.pool.Send(&Call{Notice: 3, Destination: 7, Address: h.address, ID: "3", Timeout: time.Minute})
	if ended := h.pool.Ended(); len(ended) != 1 || ended[0].Notice != 2 || ended[0].Result != rules.Recalled {
		t.Errorf("outcomes %+v, want only notice 2 recalled", ended)
	}
}

// A call that can't be sent because connections or space in the ledger have run out ends as a local shortage. An
// idle connection is closed first to make space.
func TestShortages(t *testing.T) {
	h := newHarness(t)
	h.pool.limits.MaxReceiverConnections = 1
	h.pool.SetTime(time.Now())
	h.pool.Send(&Call{Notice: 1, Receiver: 1, Address: h.address, ID: "1", Timeout: time.Minute})
	h.pool.Send(&Call{Notice: 2, Receiver: 2, Address: h.address, ID: "2", Timeout: time.Minute})
	if ended := h.pool.Ended(); len(ended) != 1 || ended[0].Notice != 2 || ended[0].Result != rules.LocalShortage {
		t.Errorf("outcomes %+v, want only notice 2 ended by a local shortage", ended)
	}
	h.responses <- "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for h.pool.Outstanding() > 0 {
		h.turn()
	}
	h.pool.Ended()
	h.pool.Send(&Call{Notice: 3, Receiver: 2, Address: h.address, ID: "3", Timeout: time.Minute})
	if ended := h.pool.Ended(); len(ended) != 0 || h.pool.Outstanding() != 1 {
		t.Errorf("outcomes %+v with an idle connection to close, want none and one outstanding call", ended)
	}
	h.pool.hooks.Record = func(*Call) error { return fmt.Errorf("the ledger is full") }
	for h.pool.Outstanding() > 0 {
		h.turn()
	}
	if ended := h.pool.Ended(); len(ended) != 1 || ended[0].Result != rules.LocalShortage {
		t.Errorf("outcomes %+v with a full ledger, want one local shortage", ended)
	}
	for _, err := range []error{syscall.EMFILE, syscall.EADDRNOTAVAIL} {
		if !localShortage(&net.OpError{Err: os.NewSyscallError("socket", err)}) {
			t.Errorf("%v is not reported as a local shortage", err)
		}
	}
	if localShortage(&net.OpError{Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}) {
		t.Error("a refused connection is reported as a local shortage")
	}
}
