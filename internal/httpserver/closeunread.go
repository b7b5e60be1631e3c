package httpserver

import (
	"net"
	"syscall"
)

// closeQueued closes the connections in the listener's queue for as long as more
// returns true, and returns their number. It does so without setting them up as Accept
// does: that takes several times the system calls.
func closeQueued(listener net.Listener, more func() bool) int64 {
	conn, ok := listener.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0 // The listener is closed, which Accept reports.
	}
	closed := int64(0)
	_ = raw.Control(func(fd uintptr) {
		for more() {
			queued, _, err := syscall.Accept4(int(fd), syscall.SOCK_CLOEXEC)
			if err != nil {
				return // The queue is empty, or Accept reports the error.
			}
			_ = syscall.Close(queued)
			closed++
		}
	})
	return closed
}
