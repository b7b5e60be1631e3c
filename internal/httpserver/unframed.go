package httpserver

import (
	"errors"
	"net"
	"net/http"
)

// defaultLinger makes the system send what is unsent after a close, in the background.
const defaultLinger = -1

// resetUnfinished returns a handler whose unfinished answers are recognisable to callers
// that speak HTTP/1.0. The end of the connection is the end of their answers, so that one
// which breaks off looks complete unless the connection is reset. The system resets it
// also if this process is killed.
func resetUnfinished(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn := unframedConn(r); conn != nil {
			conn.resetOnClose(true)
			next.ServeHTTP(w, r)
			conn.resetOnClose(false)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// unframedConn returns the connection of a request whose answer may be delimited by the
// end of the connection, or nil.
func unframedConn(r *http.Request) *acceptedConn {
	if r.ProtoAtLeast(1, 1) {
		return nil
	}
	conn, ok := r.Context().Value(connKey{}).(net.Conn)
	if !ok {
		return nil
	}
	accepted, _ := tracked(conn)
	return accepted
}

// resetOnClose sets whether the connection is reset when it is closed, by this process or
// at the end of it.
func (c *acceptedConn) resetOnClose(reset bool) {
	c.resets.Store(reset)
	linger := defaultLinger
	if reset {
		linger = 0
	}
	_ = c.SetLinger(linger) // It fails on a closed connection only.
}

// SetLinger sets how long a close goes on to send what is unsent. The socket of a
// connection above TLS is itself an accepted connection.
func (c *acceptedConn) SetLinger(seconds int) error {
	if socket, ok := c.socket.(interface{ SetLinger(seconds int) error }); ok {
		return socket.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}
