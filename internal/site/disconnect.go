package site

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn returns the context of a connection's requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// callerDisconnected tells whether the caller of a request has closed its connection,
// even if the server had no time yet to notice.
func callerDisconnected(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true // It is closed at this end.
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET)
	})
	return left || err != nil
}
