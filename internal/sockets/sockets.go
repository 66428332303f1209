// Package sockets joins nbio's event loop to the sender's own: whatever happens on a connection waits in one
// queue until the sender's goroutine gathers it, and is then told to the connection's owner there.
package sockets

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
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

// Conn is one connection.
type Conn struct {
	net    *Net
	owner  Owner
	nb     *nbio.Conn // set before Opened is told
	fd     int        // of nb, set with it
	client bool       // accepted, and so read only as far as its owner asks
	most   int64      // bytes read at an event, of a dialled connection
	cancel context.CancelFunc

	opened   bool // these are the gathering goroutine's
	closed   bool // by its owner or from outside
	finishes bool // its sending side ends once all is written
	resumes  int  // bytes to be read once all is written
	wanted   int64

	left     atomic.Int64 // bytes that reached the kernel
	spilling atomic.Bool  // bytes wait to be written
	untold   atomic.Int32 // buffers that wait to be gathered
	window   atomic.Int64 // bytes that the poller may read at the next event of a client's connection
	reading  atomic.Bool  // the poller may be between reading bytes and queueing them
	sealed   atomic.Bool  // the poller reads nothing more
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

// read takes what has come on a connection, on the poller's goroutine. Of a client's connection it takes no more than the
// owner has asked for, and the owner asks again. Of others it takes as much as an answer can hold: their other side may have
// closed them behind it, which nbio acts on at once.
func (n *Net) read(c *Conn) {
	if !n.beginRead(c) {
		n.endRead(c)
		return
	}
	budget := c.most
	if c.client {
		budget = c.window.Swap(0)
	}
	told := false
	for budget > 0 {
		buffer := n.pool.Get()
		size := min(cap(*buffer), int(budget))
		count, err := readInto(c.nb, (*buffer)[:size])
		if count <= 0 {
			n.pool.Put(buffer)
			n.endRead(c)
			if !errors.Is(err, syscall.EAGAIN) {
				c.nb.CloseWithError(cmp.Or(err, io.EOF))
				return
			}
			if !told || !c.client {
				c.window.Store(budget)
				c.arm()
			}
			return
		}
		*buffer = (*buffer)[:count]
		budget -= int64(count)
		last := count < size || budget == 0
		n.put(event{conn: c, data: buffer, last: last})
		if told = true; last {
			break
		}
	}
	if !told {
		n.endRead(c)
	}
	if !c.client {
		c.arm()
	}
}

// readInto reads without waiting. No bytes and no error are the stream's end.
func readInto(nb *nbio.Conn, b []byte) (int, error) {
	for {
		count, err := nb.Read(b)
		if !errors.Is(err, syscall.EINTR) {
			return count, err
		}
	}
}

// beginRead tells whether the poller may read a connection. Whoever seals one sets sealed before looking at reading, and the
// poller sets reading before looking at sealed: at least one of them sees the other.
func (n *Net) beginRead(c *Conn) bool {
	n.reading.Add(1)
	c.reading.Store(true)
	return !c.sealed.Load() && !n.sealed.Load()
}

func (n *Net) endRead(c *Conn) {
	c.reading.Store(false)
	n.reading.Add(-1)
}

// Seal ends all reading, once what was read is told to the owners. What comes from then on stays in the kernel, which
// resets the connections at their end, so that the other side knows that it was not read.
func (n *Net) Seal() {
	n.sealed.Store(true)
	for {
		reading := n.reading.Load() > 0
		n.Gather()
		if !reading {
			return
		}
		time.Sleep(sealStep)
	}
}

// sealStep is how long Seal waits for the poller before it looks again.
const sealStep = 100 * time.Microsecond

// Unheard is the number of buffers that were read and never told, since their owner had closed the connection.
func (n *Net) Unheard() int { return n.unheard }

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

// Dial begins a connection on which answers hold at most so many bytes; its owner hears Opened or Closed.
func (n *Net) Dial(address string, timeout time.Duration, most int, owner Owner) *Conn {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	c := &Conn{net: n, owner: owner, cancel: cancel, most: int64(most)}
	go func() {
		defer cancel()
		dialer := net.Dialer{KeepAlive: -1}
		plain, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			n.put(event{conn: c, err: err})
			return
		}
		nb, err := nbio.NBConn(plain)
		if err != nil {
			plain.Close()
			n.put(event{conn: c, err: err})
			return
		}
		n.mu.Lock()
		c.nb = nb
		nb.SetSession(c)
		n.mu.Unlock()
		// The opening is told once the poller knows the connection: no close by its owner can come before.
		_, err = n.engine.AddConn(nb)
		n.put(event{conn: c, opened: err == nil, err: err})
	}()
	return c
}

// Write sends bytes without waiting. An error is told by Closed, too.
func (c *Conn) Write(b []byte) error {
	c.wanted += int64(len(b))
	var err error
	c.net.reuse.closing(c.fd, func() bool {
		_, err = c.nb.Write(b) // which closes the connection when it fails or too much waits to be written
		return err != nil
	})
	if err == nil && !c.Written() {
		c.spilling.Store(true)
		c.net.spilled[c] = true
	}
	return err
}

// Resume lets the poller read up to so many bytes more of a client's connection, once all that was written on it has left: a
// client that does not take its answers is not read on. With 0 only the connection's end is heard.
func (c *Conn) Resume(bytes int) {
	if c.closed {
		return
	}
	if c.resumes = 0; !c.Written() {
		c.resumes = bytes
		return
	}
	c.window.Store(int64(bytes))
	c.arm()
}

// arm asks for the connection's next event.
func (c *Conn) arm() {
	c.nb.Lock()
	defer c.nb.Unlock()
	if gone, _ := c.nb.IsClosed(); !gone {
		c.nb.ResetPollerEvent()
	}
}

// Queued reports whether bytes that were read wait to be told to the owner.
func (c *Conn) Queued() bool { return c.untold.Load() > 0 }

// told reports whether the owner was told all that was read.
func (c *Conn) told() bool { return !c.reading.Load() && !c.Queued() }

// Written tells whether all bytes have left for the kernel.
func (c *Conn) Written() bool { return c.left.Load() >= c.wanted }

// Quiet tells whether nothing has come on a connection that its owner was not told yet: neither bytes nor an end.
func (c *Conn) Quiet() bool {
	if !c.told() {
		return false
	}
	quiet := false
	c.descriptor(func(fd int) { quiet = nothingUnread(fd) })
	return quiet
}

func nothingUnread(fd int) bool {
	for {
		_, _, err := syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR {
			return err == syscall.EAGAIN
		}
	}
}

// CloseQuiet ends a connection unless bytes have been read from it, or lie in the kernel, that its owner was not told:
// then it stays open, and its owner hears of them. Bytes that come later are never read.
func (c *Conn) CloseQuiet() bool {
	if c.closed {
		return true
	}
	quiet := false
	c.descriptor(func(fd int) {
		c.sealed.Store(true)
		quiet = c.told() && nothingUnread(fd)
		c.sealed.Store(quiet)
	})
	if quiet {
		c.Close()
	} else {
		c.arm() // the poller may have passed over an event meanwhile
	}
	return quiet
}

// descriptor hands out the connection's descriptor while it is sure to be its own.
func (c *Conn) descriptor(use func(fd int)) {
	c.nb.Lock()
	defer c.nb.Unlock()
	if gone, _ := c.nb.IsClosed(); gone {
		return
	}
	if raw, err := c.nb.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { use(int(fd)) })
	}
}

// Close ends a connection; its owner hears no more of it.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	if c.cancel != nil {
		c.cancel()
	}
	if c.opened { // else it is closed when its opening is gathered
		c.shut()
	}
}

// shut closes the descriptor, whose number is then kept from new connections for as long as the poller may hold its events.
func (c *Conn) shut() {
	c.net.reuse.closing(c.fd, func() bool {
		c.nb.Close()
		return true
	})
}

// CloseWrite ends the sending side once all that was written has left, so that the peer can read it.
func (c *Conn) CloseWrite() {
	if c.finishes = !c.Written(); c.finishes {
		return
	}
	c.descriptor(func(fd int) { syscall.Shutdown(fd, syscall.SHUT_WR) })
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
