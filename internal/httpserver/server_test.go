package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newConnections returns connections with the limits.
func newConnections(soft, hard int, idleTimeout func() time.Duration, overloaded func() bool) *Connections {
	return NewConnections(Limits{
		Soft: soft, Hard: hard, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: idleTimeout,
		Overloaded: func(time.Time, int) bool { return overloaded() },
	})
}

// newServer serves on the address.
func newServer(address string, handler http.Handler, open *Connections) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return New(listener, open, Config{Handler: handler}), nil
}

// testServer serves on a loopback address. It accepts up to hardLimit
// connections, or any number if hardLimit is 0, and closes those that were idle
// for idleTimeout.
func testServer(c *qt.C, hardLimit int, idleTimeout time.Duration, handler http.HandlerFunc) (string, *Connections) {
	open := newConnections(100, hardLimit, func() time.Duration { return idleTimeout }, func() bool { return false })
	return serveConnections(c, open, handler), open
}

// serveConnections serves on a loopback address with the limits of open.
func serveConnections(c *qt.C, open *Connections, handler http.HandlerFunc) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	c.Assert(listener.Close(), qt.IsNil)
	s, err := newServer(address, handler, open)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = s.Close() })
	return address
}

func TestIdleConnectionIsClosed(t *testing.T) {
	c := qt.New(t)
	address, open := testServer(c, 0, 20*time.Millisecond, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(60 * time.Millisecond) // Longer than the idle timeout, which does not apply during a request.
		_, _ = io.WriteString(w, "answer")
	})
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for range 2 {
		fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		response, err := http.ReadResponse(reader, nil)
		c.Assert(err, qt.IsNil)
		body, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		c.Check(string(body), qt.Equals, "answer")
	}
	_, err = reader.ReadByte()
	c.Check(err, qt.Equals, io.EOF)
	c.Check(open.OverSoftLimit(), qt.IsFalse)
}

// TestListenerConnectionLimit opens more connections than the limit allows. The
// excess connection is closed on arrival, and a new one is accepted after
// another has ended.
func TestListenerConnectionLimit(t *testing.T) {
	c := qt.New(t)
	address, open := testServer(c, 2, time.Hour, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	request := func(conn net.Conn) error {
		fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return err
		}
		return response.Body.Close()
	}
	var conns []net.Conn
	for range 2 {
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		c.Assert(request(conn), qt.IsNil)
		conns = append(conns, conn)
	}
	c.Check(open.NearlyFull(), qt.IsTrue)
	beyond, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer beyond.Close()
	c.Check(request(beyond), qt.IsNotNil)
	c.Check(open.rejected.Load(), qt.Equals, int64(1))
	c.Check(request(conns[0]), qt.IsNil)

	c.Assert(conns[0].Close(), qt.IsNil)
	for open.full() {
		time.Sleep(time.Millisecond)
	}
	again, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer again.Close()
	c.Check(request(again), qt.IsNil)
}

// TestOverloadedListenerReadsNothing guards against a router that spends all its
// processor time on reading requests only to refuse them, and serves none.
func TestOverloadedListenerReadsNothing(t *testing.T) {
	c := qt.New(t)
	var overloaded atomic.Bool
	requests := 0
	open := newConnections(100, 0, func() time.Duration { return time.Hour }, overloaded.Load)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	served := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests++ }), ConnState: open.onStateChange}
	c.Cleanup(func() { _ = served.Close() })
	go func() { _ = served.Serve(&boundedListener{Listener: listener, open: open, refuser: newRefuser(nil)}) }() // Returns when the server is closed.
	request := func() error {
		response, err := http.Get("http://" + listener.Addr().String())
		if err != nil {
			return err
		}
		http.DefaultClient.CloseIdleConnections()
		return response.Body.Close()
	}
	c.Assert(request(), qt.IsNil)
	overloaded.Store(true)
	c.Check(request(), qt.IsNotNil)
	c.Check(open.rejected.Load() >= 1, qt.IsTrue)
	overloaded.Store(false)
	c.Check(request(), qt.IsNil)
	c.Check(requests, qt.Equals, 2)
}
