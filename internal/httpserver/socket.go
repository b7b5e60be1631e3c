package httpserver

import (
	"context"
	"errors"
	"net"
	"syscall"

	"oleanderramp/internal/edge"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn returns the context for the requests of a connection.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	if accepted, ok := tracked(conn); ok {
		ctx = edge.WithConnection(ctx, accepted)
	}
	return context.WithValue(ctx, connKey{}, conn)
}

// CallerDisconnected reports whether the caller of a request has closed its
// connection. It checks the socket, as the server may not have noticed the
// close yet.
func CallerDisconnected(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	n, err := peek(conn)
	return err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed)
}

// sendBufferBytes is the size of a connection's send buffer. It bounds how many answers a
// client gets that sends requests ahead and reads none, and their memory in the kernel.
// For a round trip of 12 ms it allows 10 MB a second.
const sendBufferBytes = 128 << 10

// limitSendBuffer bounds the send buffer of a connection, which otherwise grows to some
// megabytes.
func limitSendBuffer(conn syscall.Conn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	// The kernel doubles the value, for its own bookkeeping. Without effect, the buffer
	// grows as usual.
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBufferBytes/2)
	})
}

// hasUnread reports whether bytes have arrived on the connection that were not
// read yet.
func hasUnread(conn syscall.Conn) bool {
	n, err := peek(conn)
	return err == nil && n > 0
}

// peek returns how much of one byte can be read from the connection's socket,
// without reading it: 0 after the other side has closed the connection. The
// error is EAGAIN if nothing has arrived, and net.ErrClosed if the connection is
// closed on this side.
func peek(conn syscall.Conn) (int, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, net.ErrClosed
	}
	var n int
	var recvErr error
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, recvErr = syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, net.ErrClosed
	}
	return n, recvErr
}
