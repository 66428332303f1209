// Package sockets connects nbio's event loop to the sender's own. nbio's goroutines (the poller, the listener and the
// dialling goroutines) put everything that happens on a connection into one queue. The owner goroutine, which is the
// one that runs the sender's loop, empties the queue by calling Dispatch, which calls the connections' owners.
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

// Owner handles the events of its connections. Its methods are called by Dispatch, on the owner goroutine only.
type Owner interface {
	// Opened reports that the connection is established.
	Opened(c *Conn)
	// Data passes on bytes that were read. They are valid only during the call.
	Data(c *Conn, b []byte)
	// Closed reports the end of a connection that the owner did not close itself, or that could not be established.
	Closed(c *Conn, err error)
}

// event is something that happened on a connection and that Dispatch has yet to handle.
type event struct {
	conn     *Conn
	opened   bool
	written  bool    // bytes that waited to be written have been passed to the kernel
	data     *[]byte // bytes that were read; nil for all other kinds of event
	readEnds bool    // the poller reads no more from this connection for now
	err      error
	run      func() // to be called; the event belongs to no connection then
}

// Net holds all connections of the process and the queue of their events.
type Net struct {
	engine  *nbio.Engine
	reuse   *reuseGuard
	limits  limits.Limits
	pool    *buffers.Pool
	clients int // open client connections; guarded by mu

	mu          sync.Mutex
	spaceFreed  *sync.Cond    // a client connection was closed, the queue was emptied, or the Net stops
	queue       []event       // events for the next Dispatch
	queuedBytes int           // capacity of the buffers in queue
	spare       []event       // empty slice that replaces queue in Dispatch, so that two arrays are reused
	ready       chan struct{} // see Ready
	stopped     bool

	readingStopped atomic.Bool  // nothing more may be read on any connection
	activeReads    atomic.Int32 // connections that the poller may be reading

	discarded     int            // see DiscardedBuffers; used on the owner goroutine only
	pendingWrites map[*Conn]bool // connections with bytes that wait to be written; used on the owner goroutine only
}

// Start listens on an address. Accepted connections, which are the clients', belong to acceptOwner.
func Start(address string, lim limits.Limits, pool *buffers.Pool, acceptOwner Owner) (*Net, error) {
	n := &Net{limits: lim, pool: pool, ready: make(chan struct{}, 1), reuse: newReuseGuard(),
		pendingWrites: map[*Conn]bool{}}
	n.spaceFreed = sync.NewCond(&n.mu)
	logging.SetLevel(logging.LevelNone)
	// nbio's table of connections has this size. Its index is the descriptor number, and other files are open, too.
	nbio.MaxOpenFiles = lim.MaxClients + lim.MaxReceiverConnections + 1024
	n.engine = nbio.NewEngine(nbio.Config{
		Network: nbio.NETWORK_TCP, Addrs: []string{address}, NPoller: 1,
		ReadBufferSize: lim.Buffer, MaxWriteBufferSize: lim.ReceiverListBytes,
		// An event is reported once and not again until rearm asks for it: unread bytes wait in the kernel.
		EpollMod: nbio.EPOLLET, EPOLLONESHOT: nbio.EPOLLONESHOT,
		Listen: func(network, addr string) (net.Listener, error) {
			config := net.ListenConfig{KeepAlive: -1}
			listener, err := config.Listen(context.Background(), network, addr)
			return &cappedListener{listener, n}, err
		},
	})
	n.engine.OnOpen(func(nb *nbio.Conn) { n.connOpened(nb, acceptOwner) })
	n.engine.OnRead(func(nb *nbio.Conn) {
		switch session := n.session(nb).(type) {
		case *reuseGuard:
			session.onWake()
			nb.ResetPollerEvent()
		case *Conn:
			n.read(session)
		}
	})
	n.engine.OnClose(func(nb *nbio.Conn, err error) {
		if c, known := n.session(nb).(*Conn); known {
			n.connClosed(c, c.owner == acceptOwner, err)
		}
	})
	n.engine.OnWrittenSize(func(nb *nbio.Conn, _ []byte, size int) {
		c := nb.Session().(*Conn)
		c.sentTotal.Add(int64(size))
		if c.writePending.Load() {
			n.enqueue(event{conn: c, written: true})
		}
	})
	n.engine.OnAcceptError(func(error) { time.Sleep(10 * time.Millisecond) })
	if err := n.engine.Start(); err != nil {
		return nil, err
	}
	if err := n.reuse.register(n.engine); err != nil {
		n.engine.Stop()
		return nil, err
	}
	return n, nil
}

// connOpened prepares a connection before it is registered with the poller. One without a session was accepted from a
// client and belongs to acceptOwner.
func (n *Net) connOpened(nb *nbio.Conn, acceptOwner Owner) {
	if nb.Session() == any(n.reuse) {
		return
	}
	fd := nb.Hash()
	n.reuse.await(fd)
	if c, dialled := nb.Session().(*Conn); dialled {
		c.fd = fd
		return // Dial queues its event, once the poller has registered it
	}
	n.mu.Lock()
	n.clients++
	n.mu.Unlock()
	c := &Conn{net: n, owner: acceptOwner, nb: nb, fd: fd, client: true}
	c.window.Store(int64(n.limits.Window))
	nb.SetSession(c)
	n.enqueue(event{conn: c, opened: true})
}

// connClosed queues the end of a connection that the poller has removed.
func (n *Net) connClosed(c *Conn, client bool, err error) {
	if client {
		n.mu.Lock()
		n.clients--
		n.spaceFreed.Broadcast()
		n.mu.Unlock()
	}
	n.enqueue(event{conn: c, err: err})
}

// session returns what a connection of nbio's was registered for: a *Conn or the *reuseGuard. nbio's goroutines learn
// of a dialled connection through the kernel, which gives no memory ordering with the goroutine that dialled it: the
// lock does.
func (n *Net) session(nb *nbio.Conn) any {
	n.mu.Lock()
	defer n.mu.Unlock()
	return nb.Session()
}

// cappedListener leaves new connections in the kernel's queue while too many are open. Their owner has to close some.
type cappedListener struct {
	net.Listener
	net *Net
}

// Accept waits until fewer than the permitted number of client connections are open, then accepts the next one.
func (l *cappedListener) Accept() (net.Conn, error) {
	n := l.net
	n.mu.Lock()
	for n.clients >= n.limits.MaxClients && !n.stopped {
		n.spaceFreed.Wait()
	}
	n.mu.Unlock()
	return l.Listener.Accept() // connOpened counts it, on this same goroutine
}

// enqueue adds an event to the queue. With data it blocks while too many bytes wait in the queue.
func (n *Net) enqueue(e event) {
	n.mu.Lock()
	for e.data != nil && n.queuedBytes > n.limits.QueuedBytes && !n.stopped {
		n.spaceFreed.Wait() // only the poller can block here, never the owner goroutine
	}
	if e.data != nil {
		n.queuedBytes += cap(*e.data)
		e.conn.queuedBuffers.Add(1)
		if e.readEnds {
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

// Post makes the next Dispatch call a function. Any goroutine may call Post.
func (n *Net) Post(run func()) { n.enqueue(event{run: run}) }

// Ready returns a channel that receives a value when there are events for Dispatch.
func (n *Net) Ready() <-chan struct{} { return n.ready }

// Dispatch passes all queued events to the connections' owners, calls the functions that were posted, and continues writes
// that were incomplete.
func (n *Net) Dispatch() {
	n.mu.Lock()
	events := n.queue
	n.queue, n.queuedBytes, n.spare = n.spare[:0], 0, nil
	n.spaceFreed.Broadcast()
	n.mu.Unlock()
	for _, e := range events {
		if e.run != nil {
			e.run()
			continue
		}
		c := e.conn
		if e.data != nil {
			c.queuedBuffers.Add(-1)
		}
		switch {
		case e.opened && c.closed:
			c.closeDescriptor() // its owner closed it while it was being established
		case c.closed:
			if e.data != nil {
				n.discarded++
			}
		case e.opened:
			c.opened = true
			c.owner.Opened(c)
		case e.data != nil:
			c.owner.Data(c, *e.data)
		case e.written: // continueWriting handles it below
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
	for c := range n.pendingWrites {
		n.continueWriting(c)
	}
}

// continueWriting asks for the next event of a connection with bytes left to write, because nbio does not do so after
// a partial write. When no bytes are left, it performs the CloseWrite or Resume that waited for this.
func (n *Net) continueWriting(c *Conn) {
	if !c.closed && !c.AllWritten() {
		c.rearm()
		return
	}
	delete(n.pendingWrites, c)
	c.writePending.Store(false)
	if c.closed {
		return
	}
	if c.closeWritePending {
		c.CloseWrite()
	}
	if c.resumeBytes > 0 {
		c.Resume(c.resumeBytes)
	}
}

// Stop closes the listener and all connections, and stops nbio's goroutines.
func (n *Net) Stop() {
	n.mu.Lock()
	n.stopped = true
	n.spaceFreed.Broadcast()
	n.mu.Unlock()
	n.reuse.stop()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if n.engine.Shutdown(ctx) == nil {
		n.reuse.close()
	}
}
