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
