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

// stage is a pool with a receiver of the test's own, which answers each call with the next text.
type harness struct {
	t        *testing.T
	pool     *Pool
	net      *sockets.Net
	address  string
	accepted chan net.Conn
	responses  chan string
	lastNotice    rules.NoticeID
	trace    strings.Builder
	waitToSettle    bool // calls wait for connections that settle
	confirmAfter  time.Duration
}

func newHarness(t *testing.T) *harness {
	receiver, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &harness{t: t, address: receiver.Addr().String(), accepted: make(chan net.Conn, 99), responses: make(chan string, 1),
		confirmAfter: confirmTime}
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

// confirmTime is how long outcomes are unconfirmed on used connections.
const confirmTime = 100 * time.Millisecond

// call makes a call and writes down what it came to, and what is left of its connection.
func (s *harness) deliver(response string) {
	s.lastNotice++
	s.responses <- response
	s.pool.At(time.Now())
	s.pool.Send(&Call{Notice: s.lastNotice, Address: s.address, ID: fmt.Sprint(s.lastNotice), TimeOut: 400 * time.Millisecond})
	for s.pool.Out() > 0 {
		s.turn()
	}
	first, _, _ := strings.Cut(response, "\r\n")
	for _, ended := range s.pool.Ended() {
		fmt.Fprintf(&s.trace, "%d %.24q: result %d, wait %.0f, told %v, over %v, %d connections, %d idle\n", ended.Notice, first, ended.Result,
			ended.Wait, ended.LimitTold, ended.Over, len(s.accepted), len(s.pool.idle[0]))
	}
}

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

func (s *harness) checkTrace(want string) {
	s.t.Helper()
	if diff := cmp.Diff(strings.TrimSpace(want), strings.TrimSpace(s.trace.String())); diff != "" {
		s.t.Errorf("-want +got:\n%s", diff)
	}
}

const shortBody = "Content-Length: 2\r\n\r\nok"

// A kept connection that has ended since the last turn, or that said something unasked, is not used: the call would
// fail for nothing, or be taken to have an answer that is not its own.
func TestNotQuietWhileIdle(t *testing.T) {
	s := newHarness(t)
	s.deliver("HTTP/1.1 200 OK\r\n" + shortBody)
	s.deliver("HTTP/1.1 200 OK\r\n" + shortBody)
	(<-s.accepted).Close()
	time.Sleep(100 * time.Millisecond) // ended, and not gathered yet
	s.deliver("HTTP/1.1 200 OK\r\n" + shortBody)
	io.WriteString(<-s.accepted, "HTTP/1.1 200 Unasked\r\n"+shortBody)
	time.Sleep(100 * time.Millisecond) // come, and not gathered yet
	s.deliver("HTTP/1.1 503 Full\r\n" + shortBody)
	s.checkTrace(`
1 "HTTP/1.1 200 OK": result 0, wait 0, told false, over true, 1 connections, 1 idle
2 "HTTP/1.1 200 OK": result 0, wait 0, told false, over true, 1 connections, 1 idle
3 "HTTP/1.1 200 OK": result 0, wait 0, told false, over true, 1 connections, 1 idle
4 "HTTP/1.1 503 Full": result 2, wait 0, told false, over false, 1 connections, 1 idle
`)
}

// Of an answer that can't be read only a first line of 200 holds; what it claims not to have run may have run.
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
			s.turn() // a body that does not come is waited for
		}
		s.pool.LetGo(0)
		if len(s.pool.connections) > 0 {
			fmt.Fprintf(&s.trace, "  %d connections left\n", len(s.pool.connections))
		}
	}
	s.checkTrace(`
1 "HTTP/1.1 200 OK": result 0, wait 0, told false, over true, 1 connections, 1 idle
2 "HTTP/1.1 200 OK": result 0, wait 0, told false, over true, 2 connections, 0 idle
3 "HTTP/1.1 503 Full": result 2, wait 0, told false, over false, 3 connections, 0 idle
4 "HTTP/1.1 100 Continue": result 2, wait 500, told true, over false, 4 connections, 1 idle
5 "HTTP/1.1 200 OK": result 0, wait 0, told false, over true, 5 connections, 0 idle
6 "HTTP/1.1 200 OK": result 0, wait 0, told false, over true, 6 connections, 0 idle
7 "HTTP/1.1 200 OK": result 0, wait 0, told false, over true, 7 connections, 0 idle
8 "HTTP/1.1 200 OK": result 0, wait 0, told false, over true, 8 connections, 0 idle
9 "HTTP/1.1 200 OK": result 0, wait 0, told false, over true, 9 connections, 0 idle
10 "HTTP/1.1 200 OK": result 0, wait 0, told false, over true, 10 connections, 0 idle
11 "HTTP/1.1 200 OK": result 0, wait 0, told false, over true, 11 connections, 0 idle
12 "HTTP/1.1 OK 200": result 5, wait 0, told false, over false, 12 connections, 0 idle
13 "HTTP/1.1 2x0 OK": result 5, wait 0, told false, over false, 13 connections, 0 idle
14 "HTTP/1.1 200": result 3, wait 0, told false, over false, 14 connections, 0 idle
15 "HTTP/1.1 503 Full": result 5, wait 0, told false, over false, 15 connections, 0 idle
16 "HTTP/1.1 503 Full": result 5, wait 0, told false, over false, 16 connections, 0 idle
17 "HTTP/1.1 503 Full": result 5, wait 0, told false, over false, 17 connections, 0 idle
18 "HTTP/1.1 504 Used up": result 5, wait 0, told false, over false, 18 connections, 0 idle
19 "HTTP/1.1 429 Wait": result 5, wait 500, told false, over false, 19 connections, 0 idle
20 "HTTP/1.1 410 Over": result 3, wait 0, told false, over false, 20 connections, 0 idle
21 "HTTP/1.1 101 Switching": result 5, wait 0, told false, over false, 21 connections, 0 idle
`)
}

// A process that stood still while a connection came up does not write the call any more: what the decisions were told
// since then may bar it.
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
		t.Errorf("ended: %+v", ended)
	}
}

// A process that stood still keeps a call back while an answer of the same destination, which may tell to wait, is unread.
func TestUnreadResponseHoldsBackCallsAfterProcessPause(t *testing.T) {
	s := newHarness(t)
	now := time.Now()
	s.pool.Begin(now)
	s.pool.Send(&Call{Notice: 1, Address: s.address, ID: "1", TimeOut: time.Minute})
	for !s.pool.outstanding[1].written {
		s.turn()
	}
	s.responses <- "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 2\r\n" + shortBody
	time.Sleep(50 * time.Millisecond) // the answer has come, and nobody has gathered it
	s.pool.Begin(time.Now())
	s.pool.Send(&Call{Notice: 2, Address: s.address, ID: "2", TimeOut: time.Minute})
	s.pool.Send(&Call{Notice: 3, Destination: 7, Address: s.address, ID: "3", TimeOut: time.Minute})
	if ended := s.pool.Ended(); len(ended) != 1 || ended[0].Notice != 2 || ended[0].Result != rules.Recalled {
		t.Errorf("ended: %+v", ended)
	}
}

// What can't be sent for want of a connection, or of room in the ledger, is told as a shortage of ours; an idle
// connection makes room first.
func TestShortages(t *testing.T) {
	s := newHarness(t)
	s.pool.limits.Receivers = 1
	s.pool.At(time.Now())
	s.pool.Send(&Call{Notice: 1, Receiver: 1, Address: s.address, ID: "1", TimeOut: time.Minute})
	s.pool.Send(&Call{Notice: 2, Receiver: 2, Address: s.address, ID: "2", TimeOut: time.Minute})
	if ended := s.pool.Ended(); len(ended) != 1 || ended[0].Notice != 2 || ended[0].Result != rules.Short {
		t.Errorf("ended: %+v", ended)
	}
	s.responses <- "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for s.pool.Out() > 0 {
		s.turn()
	}
	s.pool.Ended()
	s.pool.Send(&Call{Notice: 3, Receiver: 2, Address: s.address, ID: "3", TimeOut: time.Minute})
	if ended := s.pool.Ended(); len(ended) != 0 || s.pool.Out() != 1 {
		t.Errorf("with an idle connection: %+v", ended)
	}
	s.pool.hooks.Record = func(*Call) error { return fmt.Errorf("the ledger is full") }
	for s.pool.Out() > 0 {
		s.turn()
	}
	if ended := s.pool.Ended(); len(ended) != 1 || ended[0].Result != rules.Short {
		t.Errorf("ledger refuses: %+v", ended)
	}
	for _, err := range []error{syscall.EMFILE, syscall.EADDRNOTAVAIL} {
		if !localShortage(&net.OpError{Err: os.NewSyscallError("socket", err)}) {
			t.Errorf("%v is not told as ours", err)
		}
	}
	if localShortage(&net.OpError{Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}) {
		t.Error("a refused connection is told as ours")
	}
}
