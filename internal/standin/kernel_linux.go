package standin

import (
	"net"
	"syscall"
	"time"
)

// exactly sleeps in the kernel.
func sleepExactly(d time.Duration) {
	wait := syscall.NsecToTimespec(int64(d))
	syscall.Nanosleep(&wait, nil)
}

// backlog changes how many connections the kernel brings up that nobody has accepted.
func setBacklog(l *net.TCPListener, n int) {
	if raw, err := l.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
	}
}
