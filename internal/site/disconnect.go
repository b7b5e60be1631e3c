package site

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn returns the context for the requests of a connection.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// callerDisconnected reports whether the caller of a request has closed its
// connection. It checks the socket, as the server may not have noticed the
// close yet.
func callerDisconnected(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true // The connection is closed locally.
	}
	disconnected := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		disconnected = err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET)
	})
	return disconnected || err != nil
}
