package httpserver

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// beginning and ending are the two parts of a request whose answer is "body".
const (
	beginning = "POST / HTTP/1.1\r\nHost: h\r\nCont"
	ending    = "ent-Length: 4\r\n\r\nbody"
)

// beforeRest is how long after the beginning of a drain the rest of a request is sent.
const beforeRest = 100 * time.Millisecond

// testTLS returns the configuration of a server with TLS.
func testTLS() *tls.Config {
	server := httptest.NewTLSServer(http.NotFoundHandler())
	defer server.Close()
	return &tls.Config{Certificates: server.TLS.Certificates, MinVersion: tls.VersionTLS12}
}

// serveAny serves on a loopback address, with TLS if cfg isn't nil.
func serveAny(c *qt.C, cfg *tls.Config, limits Limits, handler http.HandlerFunc) *Server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := New(listener, NewConnections(limits), Config{Handler: handler, TLS: cfg})
	c.Cleanup(func() { _ = s.Close() })
	return s
}

// testLimits returns limits with the idle timeout.
func testLimits(idleTimeout time.Duration) Limits {
	return Limits{
		Soft: 100, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: func() time.Duration { return idleTimeout },
		Overloaded: func(time.Time, int) bool { return false },
	}
}

// halvingConn sends only the first half of what is written until it is released.
type halvingConn struct {
	net.Conn
	// begun is closed once the first half was written; nil while all is written.
	begun, released chan struct{}
}

func (h *halvingConn) Write(p []byte) (int, error) {
	if h.begun == nil {
		return h.Conn.Write(p)
	}
	half := len(p) / 2
	if n, err := h.Conn.Write(p[:half]); err != nil {
		return n, err
	}
	close(h.begun)
	h.begun = nil
	<-h.released
	n, err := h.Conn.Write(p[half:])
	return half + n, err
}

// halve makes the next Write send only half.
func (h *halvingConn) halve() { h.begun, h.released = make(chan struct{}), make(chan struct{}) }

// dialTLS connects with TLS. The handshake is to come.
func dialTLS(c *qt.C, s *Server, protocols ...string) (*tls.Conn, *halvingConn) {
	below := &halvingConn{Conn: dialServer(c, s.Address())}
	return tls.Client(below, &tls.Config{InsecureSkipVerify: true, NextProtos: protocols}), below
}

// drainWhile drains the server, during which it sends the rest of a request, and
// checks that the drain ended by itself.
func drainWhile(c *qt.C, s *Server, sendRest func()) {
	c.Helper()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		time.Sleep(beforeRest)
		sendRest()
	}()
	drainToEnd(c, s)
	<-sent
}

// drainToEnd drains the server and checks that the drain ended by itself.
func drainToEnd(c *qt.C, s *Server) {
	c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	s.Drain(ctx)
	c.Check(ctx.Err(), qt.IsNil)
}

func write(c *qt.C, conn net.Conn, text string) {
	c.Helper()
	_, err := io.WriteString(conn, text)
	c.Check(err, qt.IsNil)
}

// TestDrainWaitsForRequestParts guards against a request without an answer: at a
// shutdown, a connection was closed on which a request had begun to arrive.
func TestDrainWaitsForRequestParts(t *testing.T) {
	for _, secure := range []bool{false, true} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("TLS %v, kept %v", secure, kept), func(t *testing.T) {
				c := qt.New(t)
				var cfg *tls.Config
				if secure {
					cfg = testTLS()
				}
				s := serveAny(c, cfg, testLimits(time.Hour), echo)
				conn := dialServer(c, s.Address())
				if secure {
					conn, _ = dialTLS(c, s)
				}
				if kept {
					post(c, conn, "first")
				}
				write(c, conn, beginning)
				drainWhile(c, s, func() { write(c, conn, ending) })
				readEcho(c, conn, "body")
			})
		}
	}
}

// TestDrainWaitsForRecord guards against a request without an answer: a part of its
// TLS record, or of the handshake before it, had arrived at a shutdown.
func TestDrainWaitsForRecord(t *testing.T) {
	tests := []struct {
		name string
		// before is what the caller does before the write that comes in halves.
		before func(c *qt.C, conn *tls.Conn)
	}{
		{"handshake", func(*qt.C, *tls.Conn) {}},
		{"first record", func(c *qt.C, conn *tls.Conn) { c.Assert(conn.Handshake(), qt.IsNil) }},
		{"record of a kept connection", func(c *qt.C, conn *tls.Conn) { post(c, conn, "first") }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := serveAny(c, testTLS(), testLimits(time.Hour), echo)
			conn, below := dialTLS(c, s)
			test.before(c, conn)
			below.halve()
			begun := below.begun
			written := make(chan struct{})
			go func() {
				defer close(written)
				write(c, conn, beginning+ending)
			}()
			<-begun
			drainWhile(c, s, func() { close(below.released) })
			<-written
			readEcho(c, conn, "body")
		})
	}
}

// TestIdleTimeoutDuringRecord guards against a request without an answer: the idle
// timeout passed while a TLS record of it arrived.
func TestIdleTimeoutDuringRecord(t *testing.T) {
	c := qt.New(t)
	s := serveAny(c, testTLS(), testLimits(testIdleTimeout), echo)
	for {
		conn, below := dialTLS(c, s)
		began := time.Now()
		post(c, conn, "first")
		below.halve()
		begun := below.begun
		written := make(chan struct{})
		go func() {
			defer close(written)
			write(c, conn, beginning+ending)
		}()
		<-begun
		inTime := time.Since(began) < testIdleTimeout
		time.Sleep(2 * testIdleTimeout)
		close(below.released)
		<-written
		if inTime {
			readEcho(c, conn, "body")
			return
		}
	}
}

// TestUnfinishedRecordTimesOut guards against connections that a caller keeps open
// for ever with a part of a TLS record.
func TestUnfinishedRecordTimesOut(t *testing.T) {
	c := qt.New(t)
	limits := testLimits(testIdleTimeout)
	limits.ReadHeaderTimeout = testIdleTimeout
	s := serveAny(c, testTLS(), limits, echo)
	conn, below := dialTLS(c, s)
	post(c, conn, "first")
	_, err := below.Conn.Write([]byte{23, 3, 3, 1, 0, 0}) // The server closes the connection only later.
	c.Assert(err, qt.IsNil)
	_, err = conn.Read(make([]byte, 1))
	c.Check(err, qt.Equals, io.EOF)
}

// TestDrainClosesIdle checks that a drain does not wait for connections without a
// request, of which a caller may keep any number.
func TestDrainClosesIdle(t *testing.T) {
	c := qt.New(t)
	limits := testLimits(time.Hour)
	limits.ReadHeaderTimeout = time.Hour
	plain, secure := serveAny(c, nil, limits, echo), serveAny(c, testTLS(), limits, echo)
	kept := dialServer(c, plain.Address())
	post(c, kept, "first")
	keptSecure, _ := dialTLS(c, secure)
	post(c, keptSecure, "first")
	fresh, _ := dialTLS(c, secure)
	c.Assert(fresh.Handshake(), qt.IsNil)
	for _, conn := range []net.Conn{kept, dialServer(c, plain.Address()), keptSecure, fresh, dialServer(c, secure.Address())} {
		defer func() {
			_, err := conn.Read(make([]byte, 1))
			c.Check(err, qt.Equals, io.EOF)
		}()
	}
	drainToEnd(c, plain)
	drainToEnd(c, secure)
}
