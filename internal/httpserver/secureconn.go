package httpserver

import (
	"crypto/tls"
	"net"
	"syscall"
	"time"
)

// firstRequestGrace is how long a connection whose handshake has ended waits for its
// first request, even at a shutdown. Callers send it with or after the handshake's end.
const firstRequestGrace = 500 * time.Millisecond

// secureConn is an accepted connection above TLS, after its handshake.
type secureConn struct {
	*acceptedConn
	secure *tls.Conn
}

// newSecureConn returns the connection as its server uses it. below is the
// connection below TLS, of which the reader of secure is the only one.
func newSecureConn(now time.Time, secure *tls.Conn, below *recordConn, limit idleLimit) net.Conn {
	socket, ok := below.Conn.(syscall.Conn)
	if !ok {
		return secure
	}
	accepted := &acceptedConn{Conn: secure, socket: socket, partial: below.read.partial, limit: limit, idleSince: now, first: true, grace: firstRequestGrace}
	return &secureConn{acceptedConn: accepted, secure: secure}
}

// ConnectionState returns the state of TLS, for http.Request.
func (c *secureConn) ConnectionState() tls.ConnectionState { return c.secure.ConnectionState() }

// tracked returns the accepted connection that a server knows as conn.
func tracked(conn net.Conn) (*acceptedConn, bool) {
	switch conn := conn.(type) {
	case *acceptedConn:
		return conn, true
	case *secureConn:
		return conn.acceptedConn, true
	default:
		return nil, false
	}
}
