package httpserver

import (
	"io"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestIdleTimeoutThatGrows guards against a request without an answer: a routing table raised the idle
// timeout while a connection was idle, and a request that its caller sent within
// the new one found the connection closed.
func TestIdleTimeoutThatGrows(t *testing.T) {
	c := qt.New(t)
	var timeout atomic.Int64
	open := newConnections(100, 0, func() time.Duration { return time.Duration(timeout.Load()) }, func() bool { return false })
	address := serveConnections(c, open, echo)
	for {
		timeout.Store(int64(testIdleTimeout))
		conn := dialServer(c, address)
		began := time.Now()
		post(c, conn, "first")
		timeout.Store(int64(time.Hour))
		if time.Since(began) >= testIdleTimeout {
			continue // The old timeout may have ended the connection.
		}
		time.Sleep(2 * testIdleTimeout)
		post(c, conn, "second")
		return
	}
}

// TestIdleTimeoutThatShrinks checks that a connection that is idle while the
// timeout shrinks is closed at the latest by the timeout before, and that a
// request on it is answered until then.
func TestIdleTimeoutThatShrinks(t *testing.T) {
	c := qt.New(t)
	var timeout atomic.Int64
	open := newConnections(100, 0, func() time.Duration { return time.Duration(timeout.Load()) }, func() bool { return false })
	address := serveConnections(c, open, echo)
	timeout.Store(int64(time.Hour))
	conn := dialServer(c, address)
	post(c, conn, "first")
	for open.Busy() > 0 {
		time.Sleep(time.Millisecond) // The server sets the connection idle after the answer.
	}
	timeout.Store(int64(testIdleTimeout))
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nsecond")
	c.Assert(err, qt.IsNil)
	readEcho(c, conn, "second")
	_, err = conn.Read(make([]byte, 1))
	c.Check(err, qt.Equals, io.EOF)
}
