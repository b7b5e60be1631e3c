package soak

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/platform/outside"
)

// TestPausedEndpointGoesOn checks that an endpoint that pauses within an answer sends
// nothing meanwhile, and then the rest.
func TestPausedEndpointGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := &Endpoint{}
		reader, writer := io.Pipe()
		got := make(chan []byte)
		go func() {
			data, _ := io.ReadAll(reader) // The writer never fails.
			got <- data
		}()
		go func() {
			e.answerStream(pipeWriter{writer}, httptest.NewRequest(http.MethodPost, "/", nil), outside.Call{Stream: "r"}, "v1", false)
			_ = writer.Close() // It never fails.
		}()
		start := time.Now()
		time.Sleep(firstEventDelay + eventInterval/2)
		e.answers.shut()
		time.Sleep(time.Minute)
		e.answers.open()
		c.Check(string(<-got), qt.Equals, string(expectedAnswer(&sentRequest{stream: "r", kind: requestKinds[0]}, "v1")))
		c.Check(time.Since(start) >= time.Minute, qt.IsTrue)
	})
}

// pipeWriter is a response writer that writes the body to a pipe.
type pipeWriter struct{ *io.PipeWriter }

func (pipeWriter) Header() http.Header { return http.Header{} }

func (pipeWriter) WriteHeader(int) {}

func TestGateEndsWithItsContext(t *testing.T) {
	c := qt.New(t)
	var g gate
	c.Check(g.pass(t.Context()), qt.IsTrue)
	g.shut()
	g.shut()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	c.Check(g.pass(ctx), qt.IsFalse)
	g.open()
	g.open()
	c.Check(g.pass(t.Context()), qt.IsTrue)
}
