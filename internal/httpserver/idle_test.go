package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// testIdleTimeout is the idle timeout in tests of connections that exceed it.
const testIdleTimeout = 200 * time.Millisecond

// echo answers with the request's body, or breaks the connection off if the body
// can't be read, as the forwarder does.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body) // The client reports what is missing.
}

// post sends a request with a body and checks that the answer repeats it.
func post(c *qt.C, conn net.Conn, body string) {
	c.Helper()
	_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	c.Assert(err, qt.IsNil)
	readEcho(c, conn, body)
}

// readEcho reads an answer and checks that it is the body of the request.
func readEcho(c *qt.C, conn net.Conn, want string) {
	c.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	got, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(len(got), qt.Equals, len(want))
}

func dialServer(c *qt.C, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return conn
}

// sendAgain sends bytes on a connection that has answered one request and that
// the idle timeout can't have ended before they arrived.
func sendAgain(c *qt.C, address, again string) net.Conn {
	c.Helper()
	for {
		conn := dialServer(c, address)
		began := time.Now()
		post(c, conn, "first")
		_, err := io.WriteString(conn, again)
		if err == nil && time.Since(began) < testIdleTimeout {
			return conn
		}
		_ = conn.Close() // It was used too late.
	}
}

// TestIdleTimeoutDuringRequest guards against a request without an answer: a request ended without an
// answer because the idle timeout passed after its header was read and before the
// server reported the connection as active.
func TestIdleTimeoutDuringRequest(t *testing.T) {
	for name, size := range map[string]int{"small body": 300, "large body": 20_000} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			open := newConnections(100, 0, func() time.Duration { return testIdleTimeout }, func() bool { return false })
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			var reused sync.Map
			served := &http.Server{Handler: http.HandlerFunc(echo), ConnState: func(conn net.Conn, state http.ConnState) {
				if _, ok := reused.Load(conn); ok && state == http.StateActive {
					time.Sleep(2 * testIdleTimeout) // The header has been read.
				}
				if state == http.StateIdle {
					reused.Store(conn, true)
				}
				open.onStateChange(conn, state)
			}}
			c.Cleanup(func() { _ = served.Close() })
			go func() { _ = served.Serve(&boundedListener{Listener: listener, open: open, refuser: newRefuser(nil)}) }() // Returns when the server is closed.

			body := strings.Repeat("x", size)
			conn := sendAgain(c, listener.Addr().String(), fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, body))
			readEcho(c, conn, body)
		})
	}
}

// TestIdleTimeoutDuringHeader guards against a request without an answer: a request ended without an
// answer because the idle timeout passed while its header arrived.
func TestIdleTimeoutDuringHeader(t *testing.T) {
	for _, part := range []string{"P", "POST / HT", "POST / HTTP/1.1\r\nHost: h\r\n"} {
		t.Run(part, func(t *testing.T) {
			c := qt.New(t)
			address, _ := testServer(c, 0, testIdleTimeout, echo)
			const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nsecond"
			conn := sendAgain(c, address, part)
			time.Sleep(2 * testIdleTimeout)
			_, err := io.WriteString(conn, strings.TrimPrefix(request, part))
			c.Assert(err, qt.IsNil)
			readEcho(c, conn, "second")
		})
	}
}

// TestIdleTimeoutAfterByteReadAhead guards against a request without an answer: a request ended without
// an answer because its first byte arrived before the server had finished with the
// request before, and the rest after the idle timeout.
func TestIdleTimeoutAfterByteReadAhead(t *testing.T) {
	c := qt.New(t)
	address, _ := testServer(c, 0, testIdleTimeout, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body) // The client reports what is missing.
		w.Header().Set("Content-Length", "2")
		_, _ = io.WriteString(w, "ok")
		_ = http.NewResponseController(w).Flush()
		accepted := r.Context().Value(connKey{}).(*acceptedConn)
		for end := time.Now().Add(time.Minute); !accepted.hasReadLast() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	})
	conn := dialServer(c, address)
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
	c.Assert(err, qt.IsNil)
	readEcho(c, conn, "ok")
	_, err = io.WriteString(conn, "G")
	c.Assert(err, qt.IsNil)
	time.Sleep(2 * testIdleTimeout)
	_, err = io.WriteString(conn, "ET / HTTP/1.1\r\nHost: h\r\n\r\nG") // The last byte lets the second handler return.
	c.Assert(err, qt.IsNil)
	readEcho(c, conn, "ok")
}

func (c *acceptedConn) hasReadLast() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readLast
}

// acceptedPair returns both sides of a connection.
func acceptedPair(c *qt.C, limit idleLimit) (*acceptedConn, net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	client := dialServer(c, listener.Addr().String())
	conn, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	accepted := newAcceptedConn(time.Now(), conn, limit).(*acceptedConn)
	c.Cleanup(func() { _ = accepted.Close() })
	return accepted, client
}

// TestLateReaderReadsArrivedRequest guards against a request without an answer: a daemon that was late to
// read closed a connection as idle on which a request had arrived.
func TestLateReaderReadsArrivedRequest(t *testing.T) {
	c := qt.New(t)
	open := newConnections(100, 0, func() time.Duration { return testIdleTimeout }, func() bool { return false })
	accepted, client := acceptedPair(c, open)
	_, err := io.WriteString(client, "PO")
	c.Assert(err, qt.IsNil)
	for !hasUnread(accepted) {
		time.Sleep(time.Millisecond)
	}
	open.onStateChange(accepted, http.StateIdle)
	accepted.setIdle(time.Now().Add(-time.Hour))
	var b [1]byte
	for range 2 { // The second read is one of a request in progress.
		_, err = accepted.Read(b[:])
		c.Assert(err, qt.IsNil)
	}

	open.onStateChange(accepted, http.StateIdle)
	accepted.setIdle(time.Now().Add(-time.Hour))
	_, err = accepted.Read(b[:])
	c.Check(err, qt.ErrorIs, os.ErrDeadlineExceeded)
}

// TestActiveConnectionHasNoIdleTimeout checks that the idle timeout does not end
// a read of a request that the server has reported as active.
func TestActiveConnectionHasNoIdleTimeout(t *testing.T) {
	c := qt.New(t)
	open := newConnections(100, 0, func() time.Duration { return testIdleTimeout }, func() bool { return false })
	accepted, client := acceptedPair(c, open)
	open.onStateChange(accepted, http.StateIdle)
	open.onStateChange(accepted, http.StateActive)
	go func() {
		time.Sleep(2 * testIdleTimeout)
		_, _ = io.WriteString(client, "x") // The read below reports a failure.
	}()
	var b [1]byte
	_, err := accepted.Read(b[:])
	c.Check(err, qt.IsNil)
}

// TestIdleTimeoutDuringPipelinedHeader guards against a request without an answer: its
// header began in the same segment as the end of the request before it, so that the
// server had read that part when the idle time began, and the rest arrived after the idle
// timeout.
func TestIdleTimeoutDuringPipelinedHeader(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nsecond"
	c := qt.New(t)
	for _, part := range []string{"P", "POST / HT", "POST / HTTP/1.1\r\nHost: h\r\n"} {
		address, _ := testServer(c, 0, testIdleTimeout, echo)
		conn := dialServer(c, address)
		_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nfirst%s", part)
		c.Assert(err, qt.IsNil)
		readEcho(c, conn, "first")
		time.Sleep(2 * testIdleTimeout)
		_, err = io.WriteString(conn, strings.TrimPrefix(request, part))
		c.Assert(err, qt.IsNil)
		readEcho(c, conn, "second")
	}
}
