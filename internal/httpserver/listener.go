package httpserver

import (
	"net"
	"time"
)

// boundedListener rejects new connections while the hard limit is reached, or while there
// is no processor time to serve further requests. Their requests are refused in a way that
// costs far less than to have net/http read them.
type boundedListener struct {
	net.Listener
	open    *Connections
	refuser *refuser
	// secure is set if TLS is spoken on the connections.
	secure bool
}

// Accept returns the next connection that is not rejected.
func (l *boundedListener) Accept() (net.Conn, error) {
	// accept is set once the next connection is to be accepted. Each is decided on once.
	accept := false
	rejectNext := func() bool {
		accept = !l.rejects()
		return !accept
	}
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if accept || !l.rejects() {
			return l.open.newConn(time.Now(), conn, l.secure), nil
		}
		l.open.rejected.Add(1)
		l.reject(conn)
		l.open.rejected.Add(rejectQueued(l.Listener, rejectNext, func(queued rejectedConn) { l.refuser.refuse(time.Now(), queued) }))
	}
}

func (l *boundedListener) reject(conn net.Conn) {
	socket, ok := newAcceptedSocket(conn)
	if !ok {
		_ = conn.Close() // The caller may have disconnected.
		return
	}
	l.refuser.refuse(time.Now(), socket)
}

// rejects reports whether the next connection is rejected.
func (l *boundedListener) rejects() bool {
	now := time.Now()
	return l.open.full() && !l.open.makeRoom() || l.open.limits.Overloaded(now, l.open.fresh.len(now))
}
