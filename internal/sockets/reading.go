package sockets

import (
	"cmp"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// What the poller's goroutine reads, and how reading is ended.

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
