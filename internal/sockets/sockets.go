// Package sockets joins nbio's event loop to the sender's own: whatever happens on a connection waits in one
// queue until the sender's goroutine gathers it, and is then told to the connection's owner there.
package sockets

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"chuteweir.example/chuteweir/internal/buffers"
	"chuteweir.example/chuteweir/internal/limits"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
)

// Owner is told what happens on its connections, on the gathering goroutine only.
type Owner interface {
	Opened(c *Conn)
	Data(c *Conn, b []byte)
	// Closed tells the end of a connection that the owner did not close itself, or that never came up.
	Closed(c *Conn, err error)
}

type event struct {
	conn   *Conn
	opened bool
	wrote  bool    // bytes that waited have left
	data   *[]byte // nil: opened, wrote or closed
	last   bool    // the poller reads no more of this connection for now
	err    error
}

// Net is all connections of the process.
type Net struct {
	engine  *nbio.Engine
	reuse   *reuseGuard
	limits  limits.Limits
	pool    *buffers.Pool
	clients int // under mu

	mu     sync.Mutex
	room   *sync.Cond
	queue  []event
	queued int
	spare  []event
	ready  chan struct{}
	ended  bool

	sealed  atomic.Bool  // nothing more is read on any connection
	reading atomic.Int32 // connections that the poller may be reading

	unheard int            // these are the gathering goroutine's: see Unheard
	spilled map[*Conn]bool // connections with bytes that wait to be written
}

// Start listens on an address; clients' connections belong to accepted.
func Start(address string, l limits.Limits, pool *buffers.Pool, accepted Owner) (*Net, error) {
	n := &Net{limits: l, pool: pool, ready: make(chan struct{}, 1), reuse: newReuseGuard(),
		spilled: map[*Conn]bool{}}
	n.room = sync.NewCond(&n.mu)
	logging.SetLevel(logging.LevelNone)
	nbio.MaxOpenFiles = l.Clients + l.Receivers + 1024
	n.engine = nbio.NewEngine(nbio.Config{
		Network: nbio.NETWORK_TCP, Addrs: []string{address}, NPoller: 1,
		ReadBufferSize: l.Buffer, MaxWriteBufferSize: l.List,
		// An event is told once and then not again until it is asked for: what is not read yet waits in the kernel.
		EpollMod: nbio.EPOLLET, EPOLLONESHOT: nbio.EPOLLONESHOT,
		Listen: func(network, addr string) (net.Listener, error) {
			config := net.ListenConfig{KeepAlive: -1}
			listener, err := config.Listen(context.Background(), network, addr)
			return &capped{listener, n}, err
		},
	})
	n.engine.OnOpen(func(nb *nbio.Conn) { n.open(nb, accepted) })
	n.engine.OnRead(func(nb *nbio.Conn) {
		switch session := n.session(nb).(type) {
		case *reuseGuard:
			session.woken()
			nb.ResetPollerEvent()
		case *Conn:
			n.read(session)
		}
	})
	n.engine.OnClose(func(nb *nbio.Conn, err error) {
		if c, is := n.session(nb).(*Conn); is {
			n.closed(c, c.owner == accepted, err)
		}
	})
	n.engine.OnWrittenSize(func(nb *nbio.Conn, _ []byte, size int) {
		c := nb.Session().(*Conn)
		c.left.Add(int64(size))
		if c.spilling.Load() {
			n.put(event{conn: c, wrote: true})
		}
	})
	n.engine.OnAcceptError(func(error) { time.Sleep(10 * time.Millisecond) })
	if err := n.engine.Start(); err != nil {
		return nil, err
	}
	if err := n.reuse.watch(n.engine); err != nil {
		n.engine.Stop()
		return nil, err
	}
	return n, nil
}

// open prepares a connection before the poller knows it: one without a session was accepted and belongs to accepted.
func (n *Net) open(nb *nbio.Conn, accepted Owner) {
	if nb.Session() == any(n.reuse) {
		return
	}
	fd := nb.Hash()
	n.reuse.await(fd)
	if c, dialled := nb.Session().(*Conn); dialled {
		c.fd = fd
		return // told by Dial, once the poller knows it
	}
	n.mu.Lock()
	n.clients++
	n.mu.Unlock()
	c := &Conn{net: n, owner: accepted, nb: nb, fd: fd, client: true}
	c.window.Store(int64(n.limits.Window))
	nb.SetSession(c)
	n.put(event{conn: c, opened: true})
}

// closed tells that the poller knows a connection no more.
func (n *Net) closed(c *Conn, client bool, err error) {
	if client {
		n.mu.Lock()
		n.clients--
		n.room.Broadcast()
		n.mu.Unlock()
	}
	n.put(event{conn: c, err: err})
}

// session is what a connection of nbio's stands for. Its goroutines learn of a dialled one through the kernel, which orders
// nothing in memory: the lock does, against the goroutine that dialled it.
func (n *Net) session(nb *nbio.Conn) any {
	n.mu.Lock()
	defer n.mu.Unlock()
	return nb.Session()
}

// capped lets connections wait in the kernel while there are too many: their owner makes room.
type capped struct {
	net.Listener
	net *Net
}

func (l *capped) Accept() (net.Conn, error) {
	n := l.net
	n.mu.Lock()
	for n.clients >= n.limits.Clients && !n.ended {
		n.room.Wait()
	}
	n.mu.Unlock()
	return l.Listener.Accept() // counted by OnOpen, on this goroutine
}

func (n *Net) put(e event) {
	n.mu.Lock()
	for e.data != nil && n.queued > n.limits.Queued && !n.ended {
		n.room.Wait() // only the poller comes here, never the gathering goroutine
	}
	if e.data != nil {
		n.queued += cap(*e.data)
		e.conn.untold.Add(1)
		if e.last {
			n.endRead(e.conn)
		}
	}
	n.queue = append(n.queue, e)
	n.mu.Unlock()
	select {
	case n.ready <- struct{}{}:
	default:
	}
}

// Ready says that there is something to gather.
func (n *Net) Ready() <-chan struct{} { return n.ready }

// Gather tells the owners what has happened since the last time.
func (n *Net) Gather() {
	n.mu.Lock()
	events := n.queue
	n.queue, n.queued, n.spare = n.spare[:0], 0, nil
	n.room.Broadcast()
	n.mu.Unlock()
	for _, e := range events {
		c := e.conn
		if e.data != nil {
			c.untold.Add(-1)
		}
		switch {
		case e.opened && c.closed:
			c.shut() // its owner gave up while it came up
		case c.closed:
			if e.data != nil {
				n.unheard++
			}
		case e.opened:
			c.opened = true
			c.owner.Opened(c)
		case e.data != nil:
			c.owner.Data(c, *e.data)
		case e.wrote: // told below
		default:
			c.closed = true
			c.owner.Closed(c, e.err)
		}
		if e.data != nil {
			n.pool.Put(e.data)
		}
	}
	clear(events)
	n.spare = events
	for c := range n.spilled {
		n.writeOn(c)
	}
}

// writeOn goes on with a connection whose bytes waited to be written. nbio asks for no further event where it could write only
// a part.
func (n *Net) writeOn(c *Conn) {
	if !c.closed && !c.Written() {
		c.arm()
		return
	}
	delete(n.spilled, c)
	c.spilling.Store(false)
	if c.closed {
		return
	}
	if c.finishes {
		c.CloseWrite()
	}
	if c.resumes > 0 {
		c.Resume(c.resumes)
	}
}

// Stop ends everything.
func (n *Net) Stop() {
	n.mu.Lock()
	n.ended = true
	n.room.Broadcast()
	n.mu.Unlock()
	n.reuse.stop()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if n.engine.Shutdown(ctx) == nil {
		n.reuse.close()
	}
}
