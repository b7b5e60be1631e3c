package httpserver

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRejectQueuedStopsInTime checks that queued connections are rejected while there is
// reason to, and that later ones stay for Accept.
func TestRejectQueuedStopsInTime(t *testing.T) {
	const queued, closed = 5, 3
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	closeConn := func(conn rejectedConn) { conn.close() }
	c.Check(rejectQueued(listener, func() bool { return true }, closeConn), qt.Equals, int64(0))
	for range queued {
		conn, err := net.Dial("tcp", listener.Addr().String())
		c.Assert(err, qt.IsNil)
		defer conn.Close()
	}
	left := closed
	got := rejectQueued(listener, func() bool { left--; return left >= 0 }, closeConn)
	c.Check(got, qt.Equals, int64(closed))
	for range queued - closed {
		conn, err := listener.Accept()
		c.Assert(err, qt.IsNil)
		defer conn.Close()
	}
}

// TestQueuedConnectionsAreClosedWhileOverloaded guards against callers that wait for a
// router that is too short of processor time to close their connections.
func TestQueuedConnectionsAreClosedWhileOverloaded(t *testing.T) {
	const callers = 20
	c := qt.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	open := newConnections(0, 0, func() time.Duration { return 0 }, func() bool { return true })
	listener := &boundedListener{Listener: inner, open: open, refuser: newRefuser(nil)}
	conns := make([]net.Conn, callers)
	for i := range conns {
		conns[i], err = net.Dial("tcp", inner.Addr().String())
		c.Assert(err, qt.IsNil)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, err := listener.Accept()
		c.Check(err, qt.ErrorIs, net.ErrClosed)
	}()
	for _, conn := range conns {
		_, err := conn.Read(make([]byte, 1))
		c.Check(err, qt.Equals, io.EOF)
		_ = conn.Close()
	}
	c.Assert(inner.Close(), qt.IsNil)
	<-done
	c.Check(open.rejected.Load(), qt.Equals, int64(callers))
}

// TestEachConnectionIsDecidedOnOnce guards against a listener that asks twice about a
// connection and so closes far more than the share that is to be closed.
func TestEachConnectionIsDecidedOnOnce(t *testing.T) {
	const callers, acceptedOf = 40, 4
	c := qt.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	for range callers {
		conn, err := net.Dial("tcp", inner.Addr().String())
		c.Assert(err, qt.IsNil)
		defer conn.Close()
	}
	asked := 0
	open := newConnections(0, 0, func() time.Duration { return 0 }, func() bool {
		asked++
		return asked%acceptedOf != 0
	})
	listener := &boundedListener{Listener: inner, open: open, refuser: newRefuser(nil)}
	for range callers / acceptedOf {
		conn, err := listener.Accept()
		c.Assert(err, qt.IsNil)
		defer conn.Close()
	}
	c.Check(open.rejected.Load(), qt.Equals, int64(callers-callers/acceptedOf))
	c.Check(asked, qt.Equals, callers)
	c.Assert(inner.Close(), qt.IsNil)
}

// TestNothingIsDecidedWithoutConnection guards against a listener that decides about a
// connection that is not there: it counts as rejected, and as asked for by an account.
func TestNothingIsDecidedWithoutConnection(t *testing.T) {
	const callers = 20
	c := qt.New(t)
	var asked atomic.Int64
	limits := testLimits(time.Hour)
	limits.Overloaded = func(time.Time, int) bool {
		asked.Add(1)
		return true
	}
	s := serveAny(c, nil, limits, func(http.ResponseWriter, *http.Request) {})
	for range callers {
		_, err := dialServer(c, s.Address()).Read(make([]byte, 1))
		c.Assert(err, qt.Equals, io.EOF)
	}
	c.Assert(s.Close(), qt.IsNil)
	c.Check(asked.Load(), qt.Equals, int64(callers))
}
