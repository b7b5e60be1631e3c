package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// slowListener accepts late.
type slowListener struct{ *net.TCPListener }

func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	time.Sleep(acceptQueuedTimeout / 20)
	return conn, err
}

// TestDrainServesQueuedConnections guards against requests without an answer whose
// connections were still in the listener's queue when a shutdown closed it.
func TestDrainServesQueuedConnections(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	open := newConnections(100, 0, func() time.Duration { return time.Hour }, func() bool { return false })
	s := New(&slowListener{listener.(*net.TCPListener)}, open, Config{Handler: http.HandlerFunc(echo)})
	defer func() { c.Check(s.Close(), qt.IsNil) }()
	conns := []net.Conn{dialServer(c, s.Address()), dialServer(c, s.Address()), dialServer(c, s.Address())}
	for _, conn := range conns {
		_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
		c.Assert(err, qt.IsNil)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	s.Drain(ctx)
	for _, conn := range conns {
		readEcho(c, conn, "body")
	}
}
