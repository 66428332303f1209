package standin

import (
	"net"
	"syscall"
)

// backlog changes how many connections the kernel brings up that nobody has accepted.
func backlog(l *net.TCPListener, n int) {
	if raw, err := l.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
	}
}
