package sockets

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// One connection, as its owner uses it on the gathering goroutine.

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

// Local is the connection's address at this end, once it has come up.
func (c *Conn) Local() string { return c.nb.LocalAddr().String() }

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
