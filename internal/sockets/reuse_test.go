package sockets

import (
	"net"
	"os"
	"testing"
	"time"

	"chuteweir.example/chuteweir/internal/buffers"
	"chuteweir.example/chuteweir/internal/limits"
	"chuteweir.example/chuteweir/rules"
)

// openCloseRecorder records which connections were opened, and which of them ended without being closed by their owner.
type openCloseRecorder struct {
	opened []*Conn
	closed map[*Conn]error
}

func (o *openCloseRecorder) Opened(c *Conn)            { o.opened = append(o.opened, c) }
func (o *openCloseRecorder) Data(*Conn, []byte)        {}
func (o *openCloseRecorder) Closed(c *Conn, err error) { o.closed[c] = err }

// reuseFixture has a Net whose poller can be blocked while it holds events: it blocks as soon as one buffer waits in
// the queue.
type reuseFixture struct {
	t     *testing.T
	net   *Net
	owner *openCloseRecorder
}

// newReuseFixture starts the Net, whose limit of queued bytes is 0.
func newReuseFixture(t *testing.T) *reuseFixture {
	lim := limits.For(limits.Machine{}, rules.Settings{IdleTimeout: 10_000}, 1000)
	lim.QueuedBytes = 0
	s := &reuseFixture{t: t, owner: &openCloseRecorder{closed: map[*Conn]error{}}}
	var err error
	if s.net, err = Start("127.0.0.1:0", lim, buffers.NewPool(lim.Buffer), s.owner); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.net.Stop)
	return s
}

// connect opens a client connection and returns both ends.
func (s *reuseFixture) connect() (*net.TCPConn, *Conn) {
	client, err := net.Dial("tcp", s.net.engine.Addrs[0])
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { client.Close() })
	return client.(*net.TCPConn), s.nextOpened()
}

// nextOpened calls Dispatch until one more connection has been opened, and returns it.
func (s *reuseFixture) nextOpened() *Conn {
	s.t.Helper()
	before := len(s.owner.opened)
	for range 1000 {
		if len(s.owner.opened) > before {
			return s.owner.opened[before]
		}
		time.Sleep(time.Millisecond)
		s.net.Dispatch()
	}
	s.t.Fatal("no connection opened")
	return nil
}

const settleTime = 50 * time.Millisecond // time for the kernel and the poller to process what was sent

// write sends one byte and waits until the kernel and the poller have processed it.
func write(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(settleTime)
}

// holdPollerBeforeReset makes the poller take the reset of a client's connection from the kernel and block before
// processing it.
func (s *reuseFixture) holdPollerBeforeReset(client *net.TCPConn, busy, other net.Conn) {
	write(s.t, busy)  // stays in the queue
	write(s.t, busy)  // the poller blocks here because the queue is full
	write(s.t, other) // the poller takes this next, together with the reset
	client.SetLinger(0)
	client.Close()
	time.Sleep(settleTime)
	s.net.Dispatch() // the poller continues until it has read the other connection's byte
	time.Sleep(settleTime)
}

// Guards against an event of a closed connection that closes a new connection with the same descriptor number.
func TestEventsOfAClosedConnectionDoNotEndTheNextOneWithItsNumber(t *testing.T) {
	closes := map[string]func(c *Conn, maxWriteBuffer int){
		"closed by its owner":   func(c *Conn, _ int) { c.Close() },
		"by a write that fails": func(c *Conn, _ int) { c.Write([]byte("answer")) },
		"by a write too large":  func(c *Conn, maxWriteBuffer int) { c.Write(make([]byte, maxWriteBuffer+1)) },
	}
	for cause, closeConn := range closes {
		for _, dialled := range []bool{false, true} {
			name := cause + ", next accepted"
			if dialled {
				name = cause + ", next dialled"
			}
			t.Run(name, func(t *testing.T) {
				receiver, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer receiver.Close()
				s := newReuseFixture(t)
				busy, _ := s.connect()
				other, _ := s.connect()
				client, old := s.connect()
				s.holdPollerBeforeReset(client, busy, other)
				closeConn(old, s.net.limits.ReceiverListBytes)
				// Two descriptor numbers below the old one are free, so the third new descriptor gets the old number:
				// a file, a dialled socket and its copy; or both ends of an accepted connection and the copy of the
				// accepted end.
				var next *Conn
				if dialled {
					devNull, err := os.Open(os.DevNull)
					if err != nil {
						t.Fatal(err)
					}
					defer devNull.Close()
					s.net.Dial(receiver.Addr().String(), time.Second, 1, s.owner)
					next = s.nextOpened()
				} else {
					_, next = s.connect()
				}
				if next.fd != old.fd {
					t.Fatalf("the next connection has descriptor %d, want the old one, %d: the test would be void",
						next.fd, old.fd)
				}
				for range 10 {
					time.Sleep(settleTime / 10)
					s.net.Dispatch()
				}
				if why, ended := s.owner.closed[next]; ended {
					t.Errorf("the next connection was closed by an event of the old one: %v", why)
				}
			})
		}
	}
}
