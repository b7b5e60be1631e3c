package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// writeThenRead sends a request with the body in full before it reads, and returns the
// answer and its body.
func (s *site) writeThenRead(c *qt.C, path, length, body string) (*http.Response, string) {
	c.Helper()
	conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\nOleanderramp-Request-Id: id-1\r\n%s\r\n\r\n%s", path, length, body)
	c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	text, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return response, string(text)
}

// TestRefusalOfLargeBodyArrives guards against requests that get neither an answer nor a
// refusal: a daemon that refused a request before its body was read closed the connection
// while the caller was still sending, which lost the refusal.
func TestRefusalOfLargeBodyArrives(t *testing.T) {
	const size = 8 << 20
	body := strings.Repeat("x", size)
	framings := map[string][2]string{
		"length": {fmt.Sprint("Content-Length: ", size), body},
		"chunks": {"Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body)},
	}
	tests := []struct {
		name, path string
		prepare    func(*qt.C, *site)
		want       int
	}{
		{"no route", "/removed/", func(*qt.C, *site) {}, http.StatusNotFound},
		{"unknown key", "/stream/", func(*qt.C, *site) {}, http.StatusUnauthorized},
		{"no routing table", "/unsafe/", func(_ *qt.C, s *site) { s.tables.table.Store(nil) }, http.StatusServiceUnavailable},
		{"shutting down", "/unsafe/", func(_ *qt.C, s *site) { s.forwarder.Refuse() }, http.StatusServiceUnavailable},
		{"over the limit", "/unsafe/", func(c *qt.C, s *site) { s.allowBody(c, size-1) }, http.StatusRequestEntityTooLarge},
		{"overloaded", "/unsafe/", func(_ *qt.C, s *site) { s.lag.Store(int64(time.Second)) }, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		for framing, parts := range framings {
			t.Run(test.name+" "+framing, func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				s := newSite(c, newEndpoint(c, ok("a")))
				s.allowBody(c, size)
				test.prepare(c, s)
				response, _ := s.writeThenRead(c, test.path, parts[0], parts[1])
				c.Check(response.StatusCode, qt.Equals, test.want)
			})
		}
	}
}
