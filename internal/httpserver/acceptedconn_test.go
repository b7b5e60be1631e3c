package httpserver

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/edge"
)

// TestConnectionEnd checks that a connection tells a caller that left, a close by
// the daemon and a deadline of the daemon apart. All three looked the same in the
// logs.
func TestConnectionEnd(t *testing.T) {
	tests := []struct {
		name string
		end  func(client net.Conn, accepted *acceptedConn) error
		want edge.ConnectionEnd
	}{
		{"open", func(net.Conn, *acceptedConn) error { return nil }, edge.ConnectionOpen},
		{"closed by the caller", func(client net.Conn, _ *acceptedConn) error { return client.Close() }, edge.ConnectionClosedByCaller},
		{"reset by the caller", func(client net.Conn, _ *acceptedConn) error {
			_ = client.(*net.TCPConn).SetLinger(0) // If it fails, the connection is closed without a reset.
			return client.Close()
		}, edge.ConnectionClosedByCaller},
		{"closed by the server", func(_ net.Conn, accepted *acceptedConn) error { return accepted.Close() }, edge.ConnectionClosedByServer},
		{"timed out", func(_ net.Conn, accepted *acceptedConn) error { return accepted.SetReadDeadline(time.Unix(1, 0)) }, edge.ConnectionTimedOut},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			conns, ended := make(chan *acceptedConn, 1), make(chan edge.ConnectionEnd, 1)
			address, _ := testServer(c, 0, time.Hour, func(_ http.ResponseWriter, r *http.Request) {
				accepted := r.Context().Value(connKey{}).(*acceptedConn)
				_, err := io.ReadAll(r.Body) // The server notices the end of the connection only after that.
				c.Check(err, qt.IsNil)
				conns <- accepted
				if test.want != edge.ConnectionOpen {
					<-r.Context().Done()
				}
				ended <- accepted.End()
			})
			client, err := net.Dial("tcp", address)
			c.Assert(err, qt.IsNil)
			defer client.Close()
			_, err = io.WriteString(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
			c.Assert(err, qt.IsNil)
			c.Assert(test.end(client, <-conns), qt.IsNil)
			c.Check(<-ended, qt.Equals, test.want)
		})
	}
}

// TestBrokenBodyEnd checks that a request body that broke off is told from a body
// that the daemon's own deadline cut.
func TestBrokenBodyEnd(t *testing.T) {
	tests := []struct {
		name string
		cut  func(client net.Conn, accepted *acceptedConn) error
		want edge.ConnectionEnd
	}{
		{"by the caller", func(client net.Conn, _ *acceptedConn) error { return client.Close() }, edge.ConnectionClosedByCaller},
		{"by the daemon", func(_ net.Conn, accepted *acceptedConn) error { return accepted.SetReadDeadline(time.Unix(1, 0)) }, edge.ConnectionTimedOut},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			conns, ended := make(chan *acceptedConn, 1), make(chan edge.ConnectionEnd, 1)
			address, _ := testServer(c, 0, time.Hour, func(_ http.ResponseWriter, r *http.Request) {
				accepted := r.Context().Value(connKey{}).(*acceptedConn)
				conns <- accepted
				_, err := io.ReadAll(r.Body)
				c.Check(err, qt.IsNotNil)
				ended <- accepted.End()
			})
			client, err := net.Dial("tcp", address)
			c.Assert(err, qt.IsNil)
			defer client.Close()
			fmt.Fprint(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\npart")
			c.Assert(test.cut(client, <-conns), qt.IsNil)
			c.Check(<-ended, qt.Equals, test.want)
		})
	}
}
