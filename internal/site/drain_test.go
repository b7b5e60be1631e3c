package site

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/settings"
	"oleanderramp/internal/telemetry"
)

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

// routerAdapter is the part of an Adapter that a router needs to start.
type routerAdapter struct{ Adapter }

func (routerAdapter) Headers() endpoint.Headers { return endpoint.Headers{} }

func (routerAdapter) Readiness(telemetry.Readiness) http.Handler { return http.NotFoundHandler() }

// drainingRouter returns a router that serves callers with the handler, and its
// address.
func drainingRouter(c *qt.C, handler http.HandlerFunc) (*Daemon, string) {
	s := &settings.Site{Host: "h", Region: "r", Zone: "z", Address: "127.0.0.1", PeerPorts: []int{1}, Roles: []settings.Role{settings.RoleRouter}}
	s.Defaults()
	d, err := New(s, routerAdapter{}, &log.Logger{Handler: discard.New(), Level: log.FatalLevel})
	c.Assert(err, qt.IsNil)
	d.callers, err = d.serve("callers", "127.0.0.1:0", handler, d.router.conns)
	c.Assert(err, qt.IsNil)
	return d, d.callers.Address()
}

// shutDown drains and closes the daemon, and checks that nothing was aborted.
func shutDown(c *qt.C, d *Daemon) {
	c.Check(d.Drain(context.Background()), qt.Equals, 0)
	c.Check(d.Close(), qt.IsNil)
}

// TestDrainWaitsForAnswer guards against a request without an answer: at a shutdown, an answer was cut
// that was forwarded but not yet written to the caller's connection.
func TestDrainWaitsForAnswer(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	begun := make(chan struct{})
	d, address := drainingRouter(c, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "answer") // The server writes it when the handler returns.
		close(begun)
		// The forwarder counts no active request meanwhile.
		time.Sleep(deregistrationDelay + 10*drainPollPeriod)
	})
	conn := dialServer(c, address)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
	<-begun
	shutDown(c, d)
	readEcho(c, conn, "answer")
}

// TestDrainWaitsForRequest guards against a request without an answer: at a shutdown, a connection was
// closed on which a request had begun to arrive.
func TestDrainWaitsForRequest(t *testing.T) {
	for name, reuse := range map[string]bool{"new connection": false, "kept connection": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			d, address := drainingRouter(c, echo)
			conn, idle := dialServer(c, address), dialServer(c, address)
			post(c, idle, "first")
			if reuse {
				post(c, conn, "first")
			}
			_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nCont")
			c.Assert(err, qt.IsNil)
			answered := make(chan struct{})
			go func() {
				defer close(answered)
				time.Sleep(deregistrationDelay + 10*drainPollPeriod)
				_, err := io.WriteString(conn, "ent-Length: 4\r\n\r\nbody")
				c.Check(err, qt.IsNil)
			}()
			shutDown(c, d)
			<-answered
			readEcho(c, conn, "body")
			_, err = idle.Read(make([]byte, 1))
			c.Check(err, qt.Equals, io.EOF)
		})
	}
}

// TestCloseWaitsForCalls guards against calls of endpoints and operators that got
// no answer as a control host stopped, though they were already carried out.
func TestCloseWaitsForCalls(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	begun := make(chan struct{})
	d, address := drainingRouter(c, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "answer") // The server writes it when the handler returns.
		close(begun)
		time.Sleep(drainPollPeriod)
	})
	conn := dialServer(c, address)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
	<-begun
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c.Check(d.closeServers(ctx), qt.DeepEquals, []error{nil})
	readEcho(c, conn, "answer")
	c.Check(d.Close(), qt.IsNil)
}

// TestDrainEndsWithContext checks that a caller that never completes its request
// does not hold up a shutdown that is to end, and counts as aborted.
func TestDrainEndsWithContext(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d, address := drainingRouter(c, echo)
	conn := dialServer(c, address)
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nCont")
	c.Assert(err, qt.IsNil)
	for d.router.conns.Busy() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Check(d.Drain(ctx), qt.Equals, 1)
	c.Check(d.Close(), qt.IsNil)
	_, err = conn.Read(make([]byte, 1))
	c.Check(err, qt.IsNotNil)
}
