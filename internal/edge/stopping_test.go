package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLateRequestIsNotSent guards against requests that were cut without an answer at the end
// of a planned stop: their body arrived only when the router already refused requests, and
// they were sent to an endpoint all the same.
func TestLateRequestIsNotSent(t *testing.T) {
	for _, path := range []string{"/unsafe/", "/safe/"} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			e := newEndpoint(c, ok("a"))
			s := newSite(c, e)
			conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\nOleanderramp-Request-Id: r\r\nContent-Length: 4\r\n\r\nbo", path)
			c.Assert(err, qt.IsNil)
			eventually(c, func() bool { return s.forwarder.Active() == 1 })
			s.forwarder.Drain()
			s.forwarder.Refuse()
			_, err = io.WriteString(conn, "dy")
			c.Assert(err, qt.IsNil)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			c.Check(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			c.Check(response.Close, qt.IsTrue)
			c.Check(e.seen(), qt.HasLen, 0)
		})
	}
}

// TestAbortedRequestGetsAnAnswer guards against requests whose connection is closed without an
// answer as the daemon stops while their endpoint is at work.
func TestAbortedRequestGetsAnAnswer(t *testing.T) {
	for _, path := range []string{"/unsafe/", "/safe/"} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			e := newEndpoint(c, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
			s := newSite(c, e)
			go func() {
				eventually(c, func() bool { return len(e.seen()) == 1 })
				s.forwarder.Refuse()
				s.forwarder.Abort()
			}()
			response, body, err := s.ask(c, "POST", path, "x", nil)
			c.Assert(err, qt.IsNil)
			c.Check(response.StatusCode, qt.Equals, http.StatusGatewayTimeout)
			c.Check(body, qt.Contains, `"outcome":"failed"`)
			c.Check(e.seen(), qt.HasLen, 1)
		})
	}
}

// eventually waits until the condition holds.
func eventually(c *qt.C, holds func() bool) {
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue)
	}
}
