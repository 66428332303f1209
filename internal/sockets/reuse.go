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

// reuseGuard keeps a new connection from nbio's poller while that may still hold events of an earlier connection with the same
// descriptor number. The poller takes many events from the kernel at a time and looks each up by number alone, so an event of a
// connection that another goroutine has closed meanwhile would be applied to the one that got its number.
//
// A close on the poller's own goroutine needs no guard: there the event in hand is the connection's only one. After any other
// close, a connection with the number waits until the poller has passed: it has been woken through an eventfd since then, so
// all that it took from the kernel before has been dealt with. The kernel removes a closed descriptor from epoll before close
// returns, so nothing of it comes later.
type reuseGuard struct {
	mu      sync.Mutex // held during a close, so that a number is marked before it can be found free
	passing *sync.Cond
	waker   *nbio.Conn
	needed  map[int]uint64 // by descriptor number: how many passes there must have been
	begun   uint64         // passes asked for; at most one more than passed
	passed  uint64
	ended   bool
}

func newReuseGuard() *reuseGuard {
	g := &reuseGuard{needed: map[int]uint64{}}
	g.passing = sync.NewCond(&g.mu)
	return g
}

// watch lets the engine's poller watch the guard's eventfd.
func (g *reuseGuard) watch(engine *nbio.Engine) error {
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

// closing runs what closes a connection's descriptor or may close it; shut reports whether it did.
func (g *reuseGuard) closing(fd int, shut func() bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if shut() {
		g.needed[fd] = g.begun + 1
	}
}

// await waits until the poller holds no event of an earlier connection with a descriptor's number.
func (g *reuseGuard) await(fd int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	needed, marked := g.needed[fd]
	if !marked {
		return
	}
	for g.passed < needed && !g.ended {
		if g.begun == g.passed {
			g.begun++
			g.wake()
		}
		g.passing.Wait()
	}
	delete(g.needed, fd)
}

// wake makes the eventfd readable.
func (g *reuseGuard) wake() {
	one := binary.NativeEndian.AppendUint64(nil, 1)
	for {
		if _, err := unix.Write(g.waker.Hash(), one); !errors.Is(err, unix.EINTR) {
			return
		}
	}
}

// woken tells, on the poller's goroutine, that it has passed.
func (g *reuseGuard) woken() {
	g.mu.Lock()
	defer g.mu.Unlock()
	var count [8]byte
	_, err := unix.Read(g.waker.Hash(), count[:])
	for errors.Is(err, unix.EINTR) {
		_, err = unix.Read(g.waker.Hash(), count[:])
	}
	if err == nil {
		g.passed = g.begun
		g.passing.Broadcast()
	}
}

// close frees the eventfd, which nbio leaves open as it is no connection. The poller must have ended.
func (g *reuseGuard) close() { unix.Close(g.waker.Hash()) }

// stop lets all that wait go.
func (g *reuseGuard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	g.passing.Broadcast()
}

// eventConn is an eventfd in the form in which nbio takes what it is to watch.
type eventConn struct{ *os.File }

var (
	_ net.Conn     = eventConn{}
	_ syscall.Conn = eventConn{}
)

// LocalAddr is nothing: an eventfd has no address.
func (eventConn) LocalAddr() net.Addr { return nil }

// RemoteAddr is nothing: an eventfd has no address.
func (eventConn) RemoteAddr() net.Addr { return nil }
