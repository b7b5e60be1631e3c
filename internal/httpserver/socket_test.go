package httpserver

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCallerDisconnected checks a connection before and after its caller closes
// it.
func TestCallerDisconnected(t *testing.T) {
	c := qt.New(t)
	before, closed, after := make(chan bool, 1), make(chan struct{}), make(chan struct{})
	address, _ := testServer(c, 0, time.Hour, func(_ http.ResponseWriter, r *http.Request) {
		before <- CallerDisconnected(r.Context())
		<-closed
		for !CallerDisconnected(r.Context()) {
			time.Sleep(time.Millisecond)
		}
		close(after)
	})
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
	c.Assert(err, qt.IsNil)
	c.Check(<-before, qt.IsFalse)
	c.Assert(conn.Close(), qt.IsNil)
	close(closed)
	<-after
}
