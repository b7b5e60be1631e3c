package httpserver

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// rejectedConn is a connection that is not handed to net/http. Its methods don't block.
type rejectedConn interface {
	// read returns EAGAIN if nothing has arrived, and 0 after the end.
	read(p []byte) (int, error)
	write(p []byte) error
	close()
}

// descriptorConn is a connection that only the kernel knows: to set one up as Accept
// does takes several times the system calls.
type descriptorConn int

func (c descriptorConn) read(p []byte) (int, error) {
	n, _, err := syscall.Recvfrom(int(c), p, syscall.MSG_DONTWAIT)
	return n, err
}

func (c descriptorConn) write(p []byte) error {
	return unix.Send(int(c), p, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
}

func (c descriptorConn) close() { _ = syscall.Close(int(c)) }

// acceptedSocket is a connection that Accept has returned.
type acceptedSocket struct {
	net.Conn
	raw syscall.RawConn
}

// newAcceptedSocket reports false for a connection without a socket.
func newAcceptedSocket(conn net.Conn) (acceptedSocket, bool) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return acceptedSocket{}, false
	}
	raw, err := socket.SyscallConn()
	return acceptedSocket{Conn: conn, raw: raw}, err == nil
}

func (c acceptedSocket) read(p []byte) (n int, err error) {
	if controlErr := c.raw.Control(func(fd uintptr) { n, err = descriptorConn(fd).read(p) }); controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

func (c acceptedSocket) write(p []byte) (err error) {
	if controlErr := c.raw.Control(func(fd uintptr) { err = descriptorConn(fd).write(p) }); controlErr != nil {
		return controlErr
	}
	return err
}

func (c acceptedSocket) close() { _ = c.Close() }

// rejectQueued takes the connections out of the listener's queue for as long as more
// returns true, which is asked once for each, passes them to reject, and returns their number.
func rejectQueued(listener net.Listener, more func() bool, reject func(rejectedConn)) int64 {
	conn, ok := listener.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0 // The listener is closed, which Accept reports.
	}
	rejected := int64(0)
	_ = raw.Control(func(fd uintptr) {
		for readable(fd) && more() {
			queued, _, err := syscall.Accept4(int(fd), syscall.SOCK_CLOEXEC)
			if err != nil {
				return // Accept reports the error.
			}
			reject(descriptorConn(queued))
			rejected++
		}
	})
	return rejected
}
