package httpserver

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// acceptQueuedTimeout bounds how long a drain waits until the connections in the
	// listener's queue are accepted.
	acceptQueuedTimeout = 100 * time.Millisecond
	// acceptQueuedPoll is the interval between two looks into the queue.
	acceptQueuedPoll = time.Millisecond
)

// awaitQueued waits until no connection is in the listener's queue. The kernel resets
// those that are in it when the listener is closed, although they may hold a request.
func awaitQueued(ctx context.Context, listener net.Listener) {
	ctx, cancel := context.WithTimeout(ctx, acceptQueuedTimeout)
	defer cancel()
	for hasQueued(listener) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(acceptQueuedPoll):
		}
	}
}

// hasQueued reports whether a connection is in the listener's queue.
func hasQueued(listener net.Listener) bool {
	conn, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false // The listener is closed.
	}
	ready := false
	err = raw.Control(func(fd uintptr) { ready = readable(fd) })
	return err == nil && ready
}

// readable reports whether a connection can be accepted from a listener's socket.
func readable(fd uintptr) bool {
	ready, _ := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) // On an error nothing is ready.
	return ready > 0
}
