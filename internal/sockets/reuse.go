package sockets

import (
	"encoding/binary"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// reuseGuard keeps a new connection from being registered with nbio's poller while the poller may still hold events
// of an earlier connection with the same descriptor number. The poller takes many events from the kernel at a time
// and looks up each by number alone. If another goroutine closes a connection meanwhile, its event would be applied
// to the new connection that got the same number.
//
// A close on the poller's own goroutine needs no guard: the event being processed is that connection's only one.
// After any other close, a new connection with the number waits until the poller has completed a pass, that is, until
// the poller has processed a wake-up through an eventfd that was requested after the close. By then it has processed
// all events that it took from the kernel before. The kernel removes a closed descriptor from epoll before close
// returns, so no later event names it.
type reuseGuard struct {
	mu        sync.Mutex     // held during a close, so that a number is marked before the kernel can assign it again
	advanced  *sync.Cond     // passed has grown, or stopped is set
	waker     *nbio.Conn     // the eventfd
	needed    map[int]uint64 // by descriptor number: the value that passed must reach
	requested uint64         // passes requested so far; at most one more than passed
	passed    uint64         // passes completed so far
	stopped   bool           // await must not block any more
}

// newReuseGuard returns a guard that register has yet to connect to a poller.
func newReuseGuard() *reuseGuard {
	g := &reuseGuard{needed: map[int]uint64{}}
	g.advanced = sync.NewCond(&g.mu)
	return g
}

// register creates the guard's eventfd and adds it to the engine's poller.
func (g *reuseGuard) register(engine *nbio.Engine) error {
	fd, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return os.NewSyscallError("eventfd", err)
	}
	waker, err := nbio.NBConn(eventConn{os.NewFile(uintptr(fd), "eventfd")})
	if err != nil {
		return err
	}
	waker.SetSession(g)
	g.mu.Lock()
	g.waker = waker
	g.mu.Unlock()
	_, err = engine.AddConn(waker)
	return err
}

// guardClose calls closeDescriptor, which reports whether it closed the connection's descriptor. If so, it marks the
// number, so that await blocks the next connection that gets it.
func (g *reuseGuard) guardClose(fd int, closeDescriptor func() bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if closeDescriptor() {
		g.needed[fd] = g.requested + 1
	}
}

// await blocks until the poller holds no event of an earlier connection with the same descriptor number.
func (g *reuseGuard) await(fd int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	needed, marked := g.needed[fd]
	if !marked {
		return
	}
	for g.passed < needed && !g.stopped {
		if g.requested == g.passed {
			g.requested++
			g.wake()
		}
		g.advanced.Wait()
	}
	delete(g.needed, fd)
}

// wake makes the eventfd readable, which wakes the poller.
func (g *reuseGuard) wake() {
	one := binary.NativeEndian.AppendUint64(nil, 1)
	for {
		if _, err := unix.Write(g.waker.Hash(), one); !errors.Is(err, unix.EINTR) {
			return
		}
	}
}

// onWake records that the poller has completed a pass; it runs on the poller's goroutine.
func (g *reuseGuard) onWake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	var count [8]byte
	_, err := unix.Read(g.waker.Hash(), count[:])
	for errors.Is(err, unix.EINTR) {
		_, err = unix.Read(g.waker.Hash(), count[:])
	}
	if err == nil {
		g.passed = g.requested
		g.advanced.Broadcast()
	}
}

// close closes the eventfd, which nbio leaves open because it is no network connection. The poller must have stopped.
func (g *reuseGuard) close() { unix.Close(g.waker.Hash()) }

// stop releases all callers that block in await.
func (g *reuseGuard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	g.advanced.Broadcast()
}

// eventConn wraps an eventfd as a net.Conn, the only type that nbio can poll.
type eventConn struct{ *os.File }

var (
	_ net.Conn     = eventConn{}
	_ syscall.Conn = eventConn{}
)

// LocalAddr returns nil: an eventfd has no address.
func (eventConn) LocalAddr() net.Addr { return nil }

// RemoteAddr returns nil: an eventfd has no address.
func (eventConn) RemoteAddr() net.Addr { return nil }
