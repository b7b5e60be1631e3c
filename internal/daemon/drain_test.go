package daemon_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/daemon"
	"oleanderramp/internal/demo"
)

// TestDrainWaitsForBody guards against a request without an answer: at a shutdown, its
// connection was closed after a second while its body was on its way, although the
// shutdown had time left.
func TestDrainWaitsForBody(t *testing.T) {
	c := qt.New(t)
	s := newSettings(t)
	d, err := daemon.New(s, daemon.Options{Bootstrap: true, Log: discardLogger()})
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c.Assert(demo.InstallBundle(ctx, d.Quorum()), qt.IsNil)
	c.Assert(d.WaitReady(ctx), qt.IsNil)
	conn := dial(c, s.Listen.Callers)
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: ramp\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		demo.AccountKey, len(prompt), prompt[:1])
	c.Assert(err, qt.IsNil)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		time.Sleep(1500 * time.Millisecond)
		_, err := io.WriteString(conn, prompt[1:])
		c.Check(err, qt.IsNil)
	}()
	c.Check(d.Drain(ctx), qt.Equals, 0)
	c.Check(d.Close(), qt.IsNil)
	<-sent
	response, body := readResponse(c, conn)
	c.Check(response.StatusCode, qt.Equals, 503, qt.Commentf("%s", body))
	c.Check(response.Header.Get("Oleanderramp-Outcome"), qt.Equals, "not_run")
}
