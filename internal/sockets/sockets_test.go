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

// closer ends each connection at about the time at which its client sends on it.
type closer struct {
	end    func(*Conn)
	opened []*Conn
}

func (o *closer) Opened(c *Conn)      { o.opened = append(o.opened, c) }
func (o *closer) Data(*Conn, []byte)  {}
func (o *closer) Closed(*Conn, error) {}
func (o *closer) endAll()             { opened := o.opened; o.opened = nil; o.each(opened) }
func (o *closer) each(opened []*Conn) {
	for _, c := range opened {
		o.end(c)
	}
}

// crossings plays clients that send at the moment in which their connections end, and returns how many were read unheard.
func crossings(t *testing.T, count int, end func(*Conn)) int {
	l := limits.For(limits.Machine{}, rules.Settings{IdleKept: 10_000}, 1000)
	owner := &closer{end: end}
	n, err := Start("127.0.0.1:0", l, buffers.NewPool(l.Buffer), owner)
	if err != nil {
		t.Fatal(err)
	}
	defer n.Stop()
	address := n.engine.Addrs[0]
	const together = 8
	for range count / together {
		var clients sync.WaitGroup
		for range together {
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
			n.Gather()
			owner.endAll()
		}
		clients.Wait()
	}
	n.Seal()
	return n.Unheard()
}

func TestConnectionIsNotClosedOverARequestThatWasRead(t *testing.T) {
	ready := func(c *Conn) { // at the moment in which the client sends
		for until := time.Now().Add(150 * time.Microsecond); time.Now().Before(until); {
		}
	}
	if unheard := crossings(t, 4000, func(c *Conn) { ready(c); c.CloseQuiet() }); unheard > 0 {
		t.Errorf("%d requests were read, and their connections closed", unheard)
	}
}

// collector takes what is told, and lets a client's connection be read on as it is told to.
type collector struct {
	conn  *Conn
	told  int
	ended bool
	reads func(c *Conn)
}

func (o *collector) Opened(c *Conn)          { o.conn = c }
func (o *collector) Data(c *Conn, b []byte)  { o.told += len(b); o.reads(c) }
func (o *collector) Closed(c *Conn, _ error) { o.ended = true }

func startCollecting(t *testing.T, o *collector) *Net {
	l := limits.For(limits.Machine{}, rules.Settings{IdleKept: 10_000}, 1000)
	n, err := Start("127.0.0.1:0", l, buffers.NewPool(l.Buffer), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Stop)
	return n
}

// gatherUntil gathers until something holds, for two seconds at most.
func gatherUntil(n *Net, holds func() bool) bool {
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if n.Gather(); holds() {
			return true
		}
	}
	return false
}

// sendMuch plays a client that sends 1 MiB at once.
func sendMuch(t *testing.T, n *Net) net.Conn {
	client, err := net.Dial("tcp", n.engine.Addrs[0])
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	go client.Write(make([]byte, 1<<20))
	return client
}

// Guards against memory that grows with what clients send at once.
func TestClientIsReadOnlyAsFarAsItsOwnerAsks(t *testing.T) {
	o := &collector{reads: func(*Conn) {}}
	n := startCollecting(t, o)
	sendMuch(t, n)
	never := func() bool { return false }
	if gatherUntil(n, never); o.told != n.limits.Window {
		t.Fatalf("%d bytes were read of a client of which %d may be", o.told, n.limits.Window)
	}
	o.reads = func(c *Conn) { c.Resume(20_000) }
	if o.conn.Resume(20_000); !gatherUntil(n, func() bool { return o.told == 1<<20 }) {
		t.Errorf("%d of %d bytes were read on", o.told, 1<<20)
	}
}

// Guards against answers that pile up for a client that sends on and takes none.
func TestClientThatTakesNoAnswersIsNotReadOn(t *testing.T) {
	const answer, request = 64 << 10, 1000
	o := &collector{}
	o.reads = func(c *Conn) { c.Write(make([]byte, answer)); c.Resume(request) }
	n := startCollecting(t, o)
	client := sendMuch(t, n)
	gatherUntil(n, func() bool { return false })
	if held := o.conn.wanted - o.conn.left.Load(); held > answer || o.ended {
		t.Fatalf("%d bytes wait to be written, ended: %v", held, o.ended)
	}
	go func() {
		for buffer := make([]byte, 1<<20); ; {
			if _, err := client.Read(buffer); err != nil {
				return
			}
		}
	}()
	if !gatherUntil(n, func() bool { return o.told == 1<<20 && o.conn.Written() }) {
		t.Errorf("%d of %d bytes were read once the client took its answers", o.told, 1<<20)
	}
}

// Guards against the loss of what a peer sent before it closed (a long list of receivers with Connection: close).
func TestAllThatAPeerSentBeforeItClosedIsTold(t *testing.T) {
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
	o := &collector{reads: func(*Conn) {}}
	n := startCollecting(t, o)
	n.Dial(listener.Addr().String(), time.Second, size, o)
	time.Sleep(100 * time.Millisecond) // all has come before it is gathered
	if gatherUntil(n, func() bool { return o.ended }); o.told != size {
		t.Errorf("%d of %d bytes were told before the end", o.told, size)
	}
}
