package httpserver

import (
	"net"
	"time"
)

// boundedListener closes new connections on arrival while the hard limit is
// reached, or while there is no processor time to read further requests. Nothing has
// been read from them, so their callers can safely try another daemon, and closing them
// costs far less than reading requests in order to refuse them.
type boundedListener struct {
	net.Listener
	open *Connections
}

// Accept returns the next connection that is not closed on arrival.
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
			return newAcceptedConn(time.Now(), conn, l.open), nil
		}
		l.open.rejected.Add(1)
		_ = conn.Close() // The caller may have disconnected.
		l.open.rejected.Add(closeQueued(l.Listener, rejectNext))
	}
}

// rejects reports whether new connections are closed.
func (l *boundedListener) rejects() bool { return l.open.full() || l.open.limits.Overloaded() }
