package sockets

import (
	"cmp"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// read reads what has arrived on a connection; it runs on the poller's goroutine. From a client's connection it reads
// no more than the owner has allowed by Resume. From a dialled connection it reads up to the size of the largest
// response at once: the peer may have closed the connection after it, and nbio closes the connection as soon as it
// sees that.
func (n *Net) read(c *Conn) {
	if !n.beginRead(c) {
		n.endRead(c)
		return
	}
	budget := c.readBudget
	if c.client {
		budget = c.window.Swap(0)
	}
	enqueued := false
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
			// Once a client's bytes are queued, its owner decides by Resume how much is read next.
			if !enqueued || !c.client {
				c.window.Store(budget)
				c.rearm()
			}
			return
		}
		*buffer = (*buffer)[:count]
		budget -= int64(count)
		readEnds := count < size || budget == 0
		n.enqueue(event{conn: c, data: buffer, readEnds: readEnds})
		if enqueued = true; readEnds {
			break
		}
	}
	if !enqueued {
		n.endRead(c)
	}
	if !c.client {
		c.rearm()
	}
}

// readInto reads without blocking. It returns 0 and no error at the end of the stream.
func readInto(nb *nbio.Conn, b []byte) (int, error) {
	for {
		count, err := nb.Read(b)
		if !errors.Is(err, syscall.EINTR) {
			return count, err
		}
	}
}

// beginRead reports whether the poller may read a connection. The owner goroutine sets readingStopped before it
// checks reading, and the poller sets reading before it checks readingStopped: at least one of them sees the other's
// change.
func (n *Net) beginRead(c *Conn) bool {
	n.activeReads.Add(1)
	c.reading.Store(true)
	return !c.readingStopped.Load() && !n.readingStopped.Load()
}

// endRead marks the end of a read that beginRead started.
func (n *Net) endRead(c *Conn) {
	c.reading.Store(false)
	n.activeReads.Add(-1)
}

// StopReading stops all reading and passes everything read before to the owners. Bytes that arrive later stay in the
// kernel, which resets their connections when they are closed, so that the peers know that the bytes were not read.
func (n *Net) StopReading() {
	n.readingStopped.Store(true)
	for {
		reading := n.activeReads.Load() > 0
		n.Dispatch()
		if !reading {
			return
		}
		time.Sleep(stopPollInterval)
	}
}

// stopPollInterval is how long StopReading waits between checks whether the poller is still reading.
const stopPollInterval = 100 * time.Microsecond

// DiscardedBuffers returns the number of buffers that were read and then discarded because the owner had closed the
// connection.
func (n *Net) DiscardedBuffers() int { return n.discarded }
