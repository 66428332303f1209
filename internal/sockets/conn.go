package sockets

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// Conn is one TCP connection. Its methods are called on the owner goroutine only (see the package comment).
type Conn struct {
	net        *Net
	owner      Owner
	nb         *nbio.Conn // set before Opened is called
	fd         int        // descriptor of nb, set together with it
	client     bool       // accepted from a client: at most window bytes are read until its owner calls Resume
	readBudget int64      // most bytes read at one event of a dialled connection
	cancel     context.CancelFunc

	// The owner goroutine's state.
	opened            bool
	closed            bool  // by its owner, by the peer or by an error
	closeWritePending bool  // CloseWrite was called while bytes waited to be written
	resumeBytes       int   // bytes that may be read once all is written
	writeTotal        int64 // bytes given to Write so far

	// State that is shared with nbio's goroutines.
	sentTotal      atomic.Int64 // bytes passed to the kernel so far
	writePending   atomic.Bool  // some written bytes have not been passed to the kernel yet
	queuedBuffers  atomic.Int32 // buffers that were read and not yet passed to the owner
	window         atomic.Int64 // bytes that the poller may read at a client connection's next event
	reading        atomic.Bool  // the poller may be reading bytes that are not queued yet
	readingStopped atomic.Bool  // the poller must not read any more
}

// Dial starts to connect to an address. At most maxRead bytes are read per event, which must be enough for the largest
// response. The owner's Opened or Closed is called when the attempt has ended, unless the owner closes the connection.
func (n *Net) Dial(address string, timeout time.Duration, maxRead int, owner Owner) *Conn {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	c := &Conn{net: n, owner: owner, cancel: cancel, readBudget: int64(maxRead)}
	go func() {
		defer cancel()
		dialer := net.Dialer{KeepAlive: -1}
		dialled, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			n.enqueue(event{conn: c, err: err})
			return
		}
		nb, err := nbio.NBConn(dialled)
		if err != nil {
			dialled.Close()
			n.enqueue(event{conn: c, err: err})
			return
		}
		n.mu.Lock()
		c.nb = nb
		nb.SetSession(c)
		n.mu.Unlock()
		// Opened is queued only after the poller has registered the connection, so its owner can't close it before
		// that.
		_, err = n.engine.AddConn(nb)
		n.enqueue(event{conn: c, opened: err == nil, err: err})
	}()
	return c
}

// Local returns the connection's local address. The connection must have been opened.
func (c *Conn) Local() string { return c.nb.LocalAddr().String() }

// Write sends bytes without blocking. An error closes the connection, which the owner's Closed reports, too.
func (c *Conn) Write(b []byte) error {
	c.writeTotal += int64(len(b))
	var err error
	c.net.reuse.guardClose(c.fd, func() bool {
		_, err = c.nb.Write(b) // closes the connection if it fails or too many bytes wait to be written
		return err != nil
	})
	if err == nil && !c.AllWritten() {
		c.writePending.Store(true)
		c.net.pendingWrites[c] = true
	}
	return err
}

// Resume allows the poller to read up to the given number of further bytes from a client's connection, as soon as all
// that was written on it has been passed to the kernel: nothing more is read from a client that does not read its
// responses. With 0, only the end of the connection is reported.
func (c *Conn) Resume(bytes int) {
	if c.closed {
		return
	}
	if c.resumeBytes = 0; !c.AllWritten() {
		c.resumeBytes = bytes
		return
	}
	c.window.Store(int64(bytes))
	c.rearm()
}

// rearm asks the poller for the connection's next event.
func (c *Conn) rearm() {
	c.nb.Lock()
	defer c.nb.Unlock()
	if isClosed, _ := c.nb.IsClosed(); !isClosed {
		c.nb.ResetPollerEvent()
	}
}

// HasQueuedData reports whether bytes that were read have not been passed to the owner yet.
func (c *Conn) HasQueuedData() bool { return c.queuedBuffers.Load() > 0 }

// allDelivered reports whether all bytes that were read have been passed to the owner.
func (c *Conn) allDelivered() bool { return !c.reading.Load() && !c.HasQueuedData() }

// AllWritten reports whether all bytes that were written have been passed to the kernel.
func (c *Conn) AllWritten() bool { return c.sentTotal.Load() >= c.writeTotal }

// NothingUnread reports whether nothing has arrived that the owner has not received yet: neither bytes nor the end of
// the connection.
func (c *Conn) NothingUnread() bool {
	if !c.allDelivered() {
		return false
	}
	noneUnread := false
	c.withDescriptor(func(fd int) { noneUnread = nothingUnread(fd) })
	return noneUnread
}

// nothingUnread reports whether the kernel holds neither unread bytes nor the end of the stream for a descriptor.
func nothingUnread(fd int) bool {
	for {
		_, _, err := syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR {
			return err == syscall.EAGAIN
		}
	}
}

// CloseIfNothingUnread closes the connection if nothing has arrived that its owner has not received yet, and reports
// whether the connection is closed. If it stays open, its owner receives what has arrived. Bytes that arrive after the
// close are never read.
func (c *Conn) CloseIfNothingUnread() bool {
	if c.closed {
		return true
	}
	noneUnread := false
	c.withDescriptor(func(fd int) {
		c.readingStopped.Store(true)
		noneUnread = c.allDelivered() && nothingUnread(fd)
		c.readingStopped.Store(noneUnread)
	})
	if noneUnread {
		c.Close()
	} else {
		c.rearm() // the poller may have skipped an event while reading was stopped
	}
	return noneUnread
}

// withDescriptor calls use with the connection's descriptor, unless it is closed, and keeps it from being closed
// meanwhile.
func (c *Conn) withDescriptor(use func(fd int)) {
	c.nb.Lock()
	defer c.nb.Unlock()
	if isClosed, _ := c.nb.IsClosed(); isClosed {
		return
	}
	if raw, err := c.nb.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { use(int(fd)) })
	}
}

// Close closes the connection; its owner is not called for it any more.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	if c.cancel != nil {
		c.cancel()
	}
	if c.opened { // otherwise Dispatch closes it when it receives the opened event
		c.closeDescriptor()
	}
}

// closeDescriptor closes the descriptor. New connections can't use its number while the poller may still hold its
// events.
func (c *Conn) closeDescriptor() {
	c.net.reuse.guardClose(c.fd, func() bool {
		c.nb.Close()
		return true
	})
}

// CloseWrite shuts down the sending side once all written bytes have been passed to the kernel, so that the peer can
// read them.
func (c *Conn) CloseWrite() {
	if c.closeWritePending = !c.AllWritten(); c.closeWritePending {
		return
	}
	c.withDescriptor(func(fd int) { syscall.Shutdown(fd, syscall.SHUT_WR) })
}
