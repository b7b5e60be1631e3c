package daemon_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/demo"
	"oleanderramp/internal/settings"
)

// testTimeout limits the wait for events without a deadline of their own.
const testTimeout = 20 * time.Second

// dial connects to the address and sets testTimeout as the deadline.
func dial(c *qt.C, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	c.Assert(conn.SetDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	return conn
}

// readResponse reads one HTTP response from the connection.
func readResponse(c *qt.C, conn net.Conn) (*http.Response, string) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return response, string(body)
}

func TestConnectionLimit(t *testing.T) {
	c := qt.New(t)
	s := newSettings(t)
	s.Limits.MaxConnections = 2
	startDaemon(t, s)
	conns := []net.Conn{dial(c, s.Listen.Callers), dial(c, s.Listen.Callers)}
	for _, conn := range conns {
		_, err := io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: ramp\r\n\r\n")
		c.Assert(err, qt.IsNil)
		response, _ := readResponse(c, conn)
		c.Check(response.StatusCode, qt.Equals, 200)
	}
	tooMany := dial(c, s.Listen.Callers)
	response, body := readResponse(c, tooMany)
	var refusal struct {
		Error struct{ Code, Outcome string }
	}
	c.Assert(json.Unmarshal([]byte(body), &refusal), qt.IsNil)
	c.Check(refusal.Error.Code, qt.Equals, "too_many_connections")
	c.Check(refusal.Error.Outcome, qt.Equals, "not_run")
	c.Check(response.StatusCode, qt.Equals, 503)
	c.Check(response.Header.Get("Oleanderramp-Outcome"), qt.Equals, "not_run")
	c.Check(response.Header.Get("Retry-After"), qt.Equals, "1")
	// The limit applies to each listener separately, and a closed connection no
	// longer counts.
	_, err := http.Get("http://" + s.Listen.Operators + "/healthz")
	c.Check(err, qt.IsNil)
	c.Assert(conns[0].Close(), qt.IsNil)
	eventually(c, func() bool {
		response, err := http.Get("http://" + s.Listen.Callers + "/healthz")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == 200
	})
}

// eventually waits until the condition holds.
func eventually(c *qt.C, holds func() bool) {
	for deadline := time.Now().Add(testTimeout); !holds(); time.Sleep(10 * time.Millisecond) {
		c.Assert(time.Now().Before(deadline), qt.IsTrue)
	}
}

func TestHeaderLimits(t *testing.T) {
	c := qt.New(t)
	s := newSettings(t)
	s.Limits.MaxHeaderBytes, s.Limits.ReadHeaderTimeoutMS = 4096, 200
	startDaemon(t, s)
	tests := []struct {
		name, head string
		status     int
	}{
		{"too large", "GET /healthz HTTP/1.1\r\nHost: ramp\r\nX-Large: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", 431},
		{"no HTTP", "hello\r\n\r\n", 400},
		{"two lengths", "POST /v1/completions HTTP/1.1\r\nHost: ramp\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx", 400},
		{"chunked and another", "POST /v1/completions HTTP/1.1\r\nHost: ramp\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501},
		{"unfinished", "GET /healthz HTTP/1.1\r\nHost: ramp\r\n", 0},
	}
	for _, test := range tests {
		c.Run(test.name, func(c *qt.C) {
			conn := dial(c, s.Listen.Callers)
			_, err := io.WriteString(conn, test.head)
			c.Assert(err, qt.IsNil)
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			if test.status == 0 {
				c.Check(err, qt.Equals, io.ErrUnexpectedEOF)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Check(response.StatusCode, qt.Equals, test.status)
			c.Check(response.Close, qt.IsTrue)
		})
	}
}

// TestBodyReadTimeout checks that each listener limits the time for reading a
// request's body.
func TestBodyReadTimeout(t *testing.T) {
	c := qt.New(t)
	s := newSettings(t)
	s.Limits.ReadHeaderTimeoutMS, s.Limits.ReadBodyTimeoutMS = 200, 200
	startDaemon(t, s)
	paths := map[string]string{
		s.Listen.Callers: "/healthz", s.Listen.Endpoints: "/v1/announcements", s.Listen.Operators: "/v1/bundles",
	}
	for address, path := range paths {
		conn := dial(c, address)
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: ramp\r\nAuthorization: Bearer %s\r\nContent-Length: 10\r\n\r\n{", path, demo.OperatorKey)
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, conn)
		c.Check(err, qt.IsNil, qt.Commentf("%s %s", address, path))
	}
}

// endlessEngine sends an endless stream to requests for a stream, and a complete
// answer to all others.
type endlessEngine struct {
	ended, cancelled chan struct{}
}

func (e *endlessEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Oleanderramp-Request", r.Header.Get("Oleanderramp-Request"))
	body, _ := io.ReadAll(r.Body)
	switch {
	case strings.HasSuffix(r.URL.Path, "/cancel"):
		close(e.cancelled)
	case !strings.Contains(string(body), `"stream":true`):
		_, _ = io.WriteString(w, `{"choices":[{}]}`)
	default:
		defer close(e.ended)
		w.Header().Set("Content-Type", "text/event-stream")
		event := "data: " + strings.Repeat("x", 4096) + "\n\n"
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, event)
		}
	}
}

// announce announces an endpoint at the address to the daemon at the URL.
func announce(c *qt.C, client *http.Client, url, address string) {
	document := fmt.Sprintf(`{"endpoint":"engine-1","incarnation":1,"service":"assistant","region":%q,"zone":%q,"address":%q,`+
		`"slots":1,"models":["standin"],"lease_ms":60000}`, demo.Region, demo.Zone, address)
	response, err := client.Post(url+"/v1/announcements", "application/json", strings.NewReader(document))
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	c.Assert(response.StatusCode, qt.Equals, http.StatusNoContent)
}

// TestStalledReaderReleasesSlot guards against a caller that stops reading its
// stream and keeps the slot: the stream occupies the only slot, and after the
// write stall timeout another request must get it.
func TestStalledReaderReleasesSlot(t *testing.T) {
	c := qt.New(t)
	s := newSettings(t)
	s.Limits.WriteStallTimeoutMS = 300
	startDaemon(t, s)
	engine := &endlessEngine{ended: make(chan struct{}), cancelled: make(chan struct{})}
	server := httptest.NewServer(engine)
	defer server.Close()
	announce(c, http.DefaultClient, "http://"+s.Listen.Endpoints, server.Listener.Addr().String())
	conn := dial(c, s.Listen.Callers)
	body := `{"model":"standin","stream":true,"prompt":"When does hall 4 open?"}`
	_, err := fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: ramp\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		demo.AccountKey, len(body), body)
	c.Assert(err, qt.IsNil)
	first := make([]byte, len("HTTP/1.1 200"))
	_, err = io.ReadFull(conn, first)
	c.Assert(err, qt.IsNil)
	c.Check(string(first), qt.Equals, "HTTP/1.1 200")

	c.Check(sendChat("http://"+s.Listen.Callers), qt.IsNil)
	for _, happened := range []chan struct{}{engine.ended, engine.cancelled} {
		select {
		case <-happened:
		case <-time.After(testTimeout):
			c.Fatal("the call was not ended or cancelled at the endpoint")
		}
	}
	// The router counts the end of the call after the engine has seen it.
	counted := time.Now().Add(testTimeout)
	for !strings.Contains(metrics(c, s), `code="caller_gone"`) && time.Now().Before(counted) {
		time.Sleep(10 * time.Millisecond)
	}
	c.Check(metrics(c, s), qt.Contains, `code="caller_gone"`)
	rest, _ := io.ReadAll(conn) // An aborted connection may end with a reset.
	c.Check(strings.HasSuffix(string(rest), "\r\n0\r\n\r\n"), qt.IsFalse)
}

// metrics returns the daemon's metrics.
func metrics(c *qt.C, s *settings.Settings) string {
	response, err := http.Get("http://" + s.Listen.Operators + "/metrics")
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return string(text)
}
