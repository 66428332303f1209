package standin

import (
	"net"
	"syscall"
	"time"
)

// sleepExactly sleeps in the kernel, which is more exact than a Go timer.
func sleepExactly(d time.Duration) {
	wait := syscall.NsecToTimespec(int64(d))
	syscall.Nanosleep(&wait, nil)
}

// setBacklog sets how many established connections the kernel queues until they are accepted.
func setBacklog(l *net.TCPListener, n int) {
	if raw, err := l.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
	}
}
