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
	s := &harness{t: t, address: receiver.Addr().String(), accepted: make(chan net.Conn, 99),
		responses: make(chan string, 1), confirmAfter: confirmTime}
	go func() {
		for {
			conn, err := receiver.Accept()
			if err != nil {
				return
			}
			s.accepted <- conn
			go func() {
				for reader := bufio.NewReader(conn); ; {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					io.Copy(io.Discard, request.Body)
					if _, err := io.WriteString(conn, <-s.responses); err != nil {
						return
					}
				}
			}()
		}
	}()
	resources := limits.For(limits.Machine{}, rules.Settings{IdleKept: 10_000}, 1000)
	resources.SettleTime = 0
	pool := buffers.NewPool(resources.Buffer)
	s.pool = New(resources, pool, []string{"x0", "x1"}, slog.New(slog.DiscardHandler), Hooks{
		Record:        func(*Call) error { return nil },
		ConfirmTime:   func(rules.ReceiverID) time.Duration { return s.confirmAfter },
		WaitsToSettle: func(rules.ReceiverID, time.Duration, time.Duration) bool { return s.waitToSettle }})
	if s.net, err = sockets.Start("127.0.0.1:0", resources, pool, s.pool); err != nil {
		t.Fatal(err)
	}
	s.pool.Use(s.net)
	t.Cleanup(func() { receiver.Close(); s.net.Stop() })
	return s
}

// confirmTime is how long outcomes on reused connections stay unconfirmed.
const confirmTime = 100 * time.Millisecond

// deliver makes a call, and adds its outcome and the state of its connection to the trace.
func (s *harness) deliver(response string) {
	s.lastNotice++
	s.responses <- response
	s.pool.At(time.Now())
	s.pool.Send(&Call{Notice: s.lastNotice, Address: s.address, ID: fmt.Sprint(s.lastNotice),
		TimeOut: 400 * time.Millisecond})
	for s.pool.Out() > 0 {
		s.turn()
	}
	first, _, _ := strings.Cut(response, "\r\n")
	for _, ended := range s.pool.Ended() {
		fmt.Fprintf(&s.trace, "%d %.24q: result %d, wait %.0f, load report %v, over %v, %d connections, %d idle\n",
			ended.Notice, first, ended.Result, ended.Wait, ended.LimitTold, ended.Over, len(s.accepted), len(s.pool.idle[0]))
	}
}

// turn runs one turn of the loop that owns a Pool.
func (s *harness) turn() {
	time.Sleep(time.Millisecond)
	s.pool.At(time.Now())
	s.pool.Expire()
	s.net.Gather()
	for _, up := range s.pool.Up() {
		s.pool.Write(up.Notice)
	}
	s.pool.Sweep()
}

// checkTrace compares the trace with the expected one.
func (s *harness) checkTrace(want string) {
	s.t.Helper()
	if diff := cmp.Diff(strings.TrimSpace(want), strings.TrimSpace(s.trace.String())); diff != "" {
		s.t.Errorf("-want +got:\n%s", diff)
	}
}

// shortBody is the end of a response, from its Content-Length header on.
const shortBody = "Content-Length: 2\r\n\r\nok"

// An idle connection that was closed since the last turn, or on which unsolicited bytes arrived, is not used: the
// call would fail without need, or be recorded with a response that is not its own.
func TestNotQuietWhileIdle(t *testing.T) {
	s := newHarness(t)
	s.deliver("HTTP/1.1 200 OK\r\n" + shortBody)
	s.deliver("HTTP/1.1 200 OK\r\n" + shortBody)
	(<-s.accepted).Close()
	time.Sleep(100 * time.Millisecond) // closed, but the pool has not read that yet
	s.deliver("HTTP/1.1 200 OK\r\n" + shortBody)
	io.WriteString(<-s.accepted, "HTTP/1.1 200 Unasked\r\n"+shortBody)
	time.Sleep(100 * time.Millisecond) // received, but the pool has not read it yet
	s.deliver("HTTP/1.1 503 Full\r\n" + shortBody)
	s.checkTrace(`
1 "HTTP/1.1 200 OK": result 0, wait 0, load report false, over true, 1 connections, 1 idle
2 "HTTP/1.1 200 OK": result 0, wait 0, load report false, over true, 1 connections, 1 idle
3 "HTTP/1.1 200 OK": result 0, wait 0, load report false, over true, 1 connections, 1 idle
4 "HTTP/1.1 503 Full": result 2, wait 0, load report false, over false, 1 connections, 1 idle
`)
}

// Of a malformed response only a status of 200 counts. With any other status, even one that says that the call did
// not run, it may have run.
func TestMalformedResponses(t *testing.T) {
	s := newHarness(t)
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
		s.deliver("HTTP/1.1 " + response)
		for i := 0; i < 300 && len(s.pool.connections) > len(s.pool.idle[0]); i++ {
			s.turn() // a body that does not arrive is waited for
		}
		s.pool.LetGo(0)
		if len(s.pool.connections) > 0 {
			fmt.Fprintf(&s.trace, "  %d connections left\n", len(s.pool.connections))
		}
	}
	s.checkTrace(`
1 "HTTP/1.1 200 OK": result 0, wait 0, load report false, over true, 1 connections, 1 idle
2 "HTTP/1.1 200 OK": result 0, wait 0, load report false, over true, 2 connections, 0 idle
3 "HTTP/1.1 503 Full": result 2, wait 0, load report false, over false, 3 connections, 0 idle
4 "HTTP/1.1 100 Continue": result 2, wait 500, load report true, over false, 4 connections, 1 idle
5 "HTTP/1.1 200 OK": result 0, wait 0, load report false, over true, 5 connections, 0 idle
6 "HTTP/1.1 200 OK": result 0, wait 0, load report false, over true, 6 connections, 0 idle
7 "HTTP/1.1 200 OK": result 0, wait 0, load report false, over true, 7 connections, 0 idle
8 "HTTP/1.1 200 OK": result 0, wait 0, load report false, over true, 8 connections, 0 idle
9 "HTTP/1.1 200 OK": result 0, wait 0, load report false, over true, 9 connections, 0 idle
10 "HTTP/1.1 200 OK": result 0, wait 0, load report false, over true, 10 connections, 0 idle
11 "HTTP/1.1 200 OK": result 0, wait 0, load report false, over true, 11 connections, 0 idle
12 "HTTP/1.1 OK 200": result 5, wait 0, load report false, over false, 12 connections, 0 idle
13 "HTTP/1.1 2x0 OK": result 5, wait 0, load report false, over false, 13 connections, 0 idle
14 "HTTP/1.1 200": result 3, wait 0, load report false, over false, 14 connections, 0 idle
15 "HTTP/1.1 503 Full": result 5, wait 0, load report false, over false, 15 connections, 0 idle
16 "HTTP/1.1 503 Full": result 5, wait 0, load report false, over false, 16 connections, 0 idle
17 "HTTP/1.1 503 Full": result 5, wait 0, load report false, over false, 17 connections, 0 idle
18 "HTTP/1.1 504 Used up": result 5, wait 0, load report false, over false, 18 connections, 0 idle
19 "HTTP/1.1 429 Wait": result 5, wait 500, load report false, over false, 19 connections, 0 idle
20 "HTTP/1.1 410 Over": result 3, wait 0, load report false, over false, 20 connections, 0 idle
21 "HTTP/1.1 101 Switching": result 5, wait 0, load report false, over false, 21 connections, 0 idle
`)
}

// If the process was paused while a connection was being established, the call is not written any more: what the
// rules have been told since it was started may forbid it.
func TestConnectionEstablishedTooLate(t *testing.T) {
	s := newHarness(t)
	now := time.Now()
	s.pool.At(now)
	s.pool.Send(&Call{Notice: 1, Address: s.address, ID: "1", TimeOut: time.Minute})
	<-s.accepted
	time.Sleep(50 * time.Millisecond)
	s.pool.At(now.Add(1100 * time.Millisecond))
	s.net.Gather()
	ended := s.pool.Ended()
	if len(ended) != 1 || ended[0].Result != rules.NotConnected || s.pool.Out() > 0 {
		t.Errorf("unexpected outcomes or calls still outstanding: ended %+v", ended)
	}
}

// After a pause of the process, a call is recalled while a response of the same destination, which may request a
// wait, is unread.
func TestUnreadResponseHoldsBackCallsAfterProcessPause(t *testing.T) {
	s := newHarness(t)
	now := time.Now()
	s.pool.Begin(now)
	s.pool.Send(&Call{Notice: 1, Address: s.address, ID: "1", TimeOut: time.Minute})
	for !s.pool.outstanding[1].written {
		s.turn()
	}
	s.responses <- "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 2\r\n" + shortBody
	time.Sleep(50 * time.Millisecond) // the response has arrived, but the pool has not read it
	s.pool.Begin(time.Now())
	s.pool.Send(&Call{Notice: 2, Address: s.address, ID: "2", TimeOut: time.Minute})
	s.pool.Send(&Call{Notice: 3, Destination: 7, Address: s.address, ID: "3", TimeOut: time.Minute})
	if ended := s.pool.Ended(); len(ended) != 1 || ended[0].Notice != 2 || ended[0].Result != rules.Recalled {
		t.Errorf("unexpected outcomes or calls still outstanding: ended %+v", ended)
	}
}

// A call that can't be sent because connections or space in the ledger have run out ends as a local shortage. An
// idle connection is closed first to make space.
func TestShortages(t *testing.T) {
	s := newHarness(t)
	s.pool.limits.Receivers = 1
	s.pool.At(time.Now())
	s.pool.Send(&Call{Notice: 1, Receiver: 1, Address: s.address, ID: "1", TimeOut: time.Minute})
	s.pool.Send(&Call{Notice: 2, Receiver: 2, Address: s.address, ID: "2", TimeOut: time.Minute})
	if ended := s.pool.Ended(); len(ended) != 1 || ended[0].Notice != 2 || ended[0].Result != rules.Short {
		t.Errorf("unexpected outcomes or calls still outstanding: ended %+v", ended)
	}
	s.responses <- "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for s.pool.Out() > 0 {
		s.turn()
	}
	s.pool.Ended()
	s.pool.Send(&Call{Notice: 3, Receiver: 2, Address: s.address, ID: "3", TimeOut: time.Minute})
	if ended := s.pool.Ended(); len(ended) != 0 || s.pool.Out() != 1 {
		t.Errorf("with an idle connection to close: ended %+v", ended)
	}
	s.pool.hooks.Record = func(*Call) error { return fmt.Errorf("the ledger is full") }
	for s.pool.Out() > 0 {
		s.turn()
	}
	if ended := s.pool.Ended(); len(ended) != 1 || ended[0].Result != rules.Short {
		t.Errorf("ledger full: ended %+v", ended)
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
