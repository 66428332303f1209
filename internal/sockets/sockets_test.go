package sockets

import (
	"net"
	"sync"
	"testing"
	"time"

	"chuteweir.example/chuteweir/internal/buffers"
	"chuteweir.example/chuteweir/internal/limits"
	"chuteweir.example/chuteweir/rules"
)

// closingOwner closes each connection at about the time at which its client sends on it.
type closingOwner struct {
	closeConn func(*Conn)
	opened    []*Conn
}

func (o *closingOwner) Opened(c *Conn)      { o.opened = append(o.opened, c) }
func (o *closingOwner) Data(*Conn, []byte)  {}
func (o *closingOwner) Closed(*Conn, error) {}
func (o *closingOwner) closeOpened()        { opened := o.opened; o.opened = nil; o.closeEach(opened) }
func (o *closingOwner) closeEach(opened []*Conn) {
	for _, c := range opened {
		o.closeConn(c)
	}
}

// raceCloseWithSend runs clients that send at the moment at which their connections are closed, and returns the
// number of requests that were read and then discarded.
func raceCloseWithSend(t *testing.T, count int, closeConn func(*Conn)) int {
	lim := limits.For(limits.Machine{}, rules.Settings{IdleTimeout: 10_000}, 1000)
	owner := &closingOwner{closeConn: closeConn}
	n, err := Start("127.0.0.1:0", lim, buffers.NewPool(lim.Buffer), owner)
	if err != nil {
		t.Fatal(err)
	}
	defer n.Stop()
	address := n.engine.Addrs[0]
	const parallel = 8
	for range count / parallel {
		var clients sync.WaitGroup
		for range parallel {
			clients.Add(1)
			go func() {
				defer clients.Done()
				c, err := net.Dial("tcp", address)
				if err != nil {
					return
				}
				defer c.Close()
				time.Sleep(200 * time.Microsecond)
				c.Write([]byte("request"))
				c.SetReadDeadline(time.Now().Add(3 * time.Millisecond))
				c.Read(make([]byte, 1))
			}()
		}
		for until := time.Now().Add(2 * time.Millisecond); time.Now().Before(until); {
			n.Dispatch()
			owner.closeOpened()
		}
		clients.Wait()
	}
	n.StopReading()
	return n.DiscardedBuffers()
}

// Guards against a connection that is closed after a request was read from it and before its owner received the
// request.
func TestConnectionIsNotClosedOverARequestThatWasRead(t *testing.T) {
	awaitSend := func(c *Conn) { // busy-waits until about the moment at which the client sends
		for until := time.Now().Add(150 * time.Microsecond); time.Now().Before(until); {
		}
	}
	if discarded := raceCloseWithSend(t, 4000,
		func(c *Conn) { awaitSend(c); c.CloseIfNothingUnread() }); discarded > 0 {
		t.Errorf("%d requests were read and discarded because their connections were closed", discarded)
	}
}

// collector counts the bytes that it receives and calls onData after each buffer, which may resume reading.
type collector struct {
	conn     *Conn
	received int
	ended    bool
	onData   func(c *Conn)
}

func (o *collector) Opened(c *Conn)          { o.conn = c }
func (o *collector) Data(c *Conn, b []byte)  { o.received += len(b); o.onData(c) }
func (o *collector) Closed(c *Conn, _ error) { o.ended = true }

// startCollector starts a Net whose accepted connections belong to a collector.
func startCollector(t *testing.T, o *collector) *Net {
	lim := limits.For(limits.Machine{}, rules.Settings{IdleTimeout: 10_000}, 1000)
	n, err := Start("127.0.0.1:0", lim, buffers.NewPool(lim.Buffer), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Stop)
	return n
}

// dispatchUntil calls Dispatch until a condition holds, for two seconds at most, and reports whether it held.
func dispatchUntil(n *Net, condition func() bool) bool {
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if n.Dispatch(); condition() {
			return true
		}
	}
	return false
}

// sendMiB connects a client that sends 1 MiB at once.
func sendMiB(t *testing.T, n *Net) net.Conn {
	client, err := net.Dial("tcp", n.engine.Addrs[0])
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	go client.Write(make([]byte, 1<<20))
	return client
}

// Guards against memory use that grows with the amount that a client sends at once.
func TestClientIsReadOnlyAsFarAsItsOwnerAsks(t *testing.T) {
	o := &collector{onData: func(*Conn) {}}
	n := startCollector(t, o)
	sendMiB(t, n)
	never := func() bool { return false }
	if dispatchUntil(n, never); o.received != n.limits.Window {
		t.Fatalf("%d bytes were read from a client, want %d", o.received, n.limits.Window)
	}
	o.onData = func(c *Conn) { c.Resume(20_000) }
	if o.conn.Resume(20_000); !dispatchUntil(n, func() bool { return o.received == 1<<20 }) {
		t.Errorf("%d of %d bytes were read after Resume", o.received, 1<<20)
	}
}

// Guards against responses that accumulate for a client that keeps sending and reads none of them.
func TestClientThatTakesNoAnswersIsNotReadOn(t *testing.T) {
	const responseSize, requestSize = 64 << 10, 1000
	o := &collector{}
	o.onData = func(c *Conn) { c.Write(make([]byte, responseSize)); c.Resume(requestSize) }
	n := startCollector(t, o)
	client := sendMiB(t, n)
	dispatchUntil(n, func() bool { return false })
	if unsent := o.conn.writeTotal - o.conn.sentTotal.Load(); unsent > responseSize || o.ended {
		t.Fatalf("%d bytes wait to be written, want at most one response; connection closed: %v", unsent, o.ended)
	}
	go func() {
		for buffer := make([]byte, 1<<20); ; {
			if _, err := client.Read(buffer); err != nil {
				return
			}
		}
	}()
	if !dispatchUntil(n, func() bool { return o.received == 1<<20 && o.conn.AllWritten() }) {
		t.Errorf("%d of %d bytes were read after the client began to read its responses", o.received, 1<<20)
	}
}

// Guards against the loss of bytes that a peer sent before it closed the connection, such as a long receiver list
// that is sent with Connection: close.
func TestAllThatAPeerSentBeforeItClosedIsDelivered(t *testing.T) {
	const size = 1 << 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		if peer, err := listener.Accept(); err == nil {
			peer.Write(make([]byte, size))
			peer.Close()
		}
	}()
	o := &collector{onData: func(*Conn) {}}
	n := startCollector(t, o)
	n.Dial(listener.Addr().String(), time.Second, size, o)
	time.Sleep(100 * time.Millisecond) // all bytes and the close arrive before the first Dispatch
	if dispatchUntil(n, func() bool { return o.ended }); o.received != size {
		t.Errorf("%d of %d bytes were delivered before the connection ended", o.received, size)
	}
}
