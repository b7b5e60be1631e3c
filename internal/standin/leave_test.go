package standin_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/standin"
)

// TestLeaveWaitsForHeader guards against a request without an answer: an endpoint that
// leaves closes a connection on which a request has begun to arrive.
func TestLeaveWaitsForHeader(t *testing.T) {
	c := qt.New(t)
	e, err := standin.NewEngine(standin.EngineConfig{Config: standin.Config{
		Listen: "127.0.0.1:0", Endpoint: "engine-1", Service: "assistant", Region: "r", Zone: "z", Slots: 1,
		LeaveDelay: 50 * time.Millisecond, AnnounceTo: []string{"http://127.0.0.1:1"}, Log: &log.Logger{Handler: discard.Default},
	}})
	c.Assert(err, qt.IsNil)
	defer e.Close()
	conn, err := net.Dial("tcp", e.Addr())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /health HTTP/1.1\r\nHo")
	c.Assert(err, qt.IsNil)
	go func() {
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(conn, "st: h\r\n\r\n") // The answer shows whether it arrived.
	}()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c.Check(e.Leave(ctx), qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	c.Check(response.StatusCode, qt.Equals, http.StatusOK)
	c.Check(response.Body.Close(), qt.IsNil)
}
