package edge_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"
)

// TestWaitsOfRequestAreLogged checks that the log tells when a request's body had been
// read and when the request was sent on: a router short of processor time may take
// seconds for either.
func TestWaitsOfRequestAreLogged(t *testing.T) {
	c := qt.New(t)
	lines := memory.New()
	s := newLoggedSite(c, &log.Logger{Handler: lines, Level: log.InfoLevel}, newEndpoint(c, ok("a")))
	response, _, _ := s.ask(c, "POST", "/safe/", "body", nil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	s.server.Close() // Waits for the request's last line.
	last := lines.Entries[len(lines.Entries)-1].Fields
	bodyRead, ok := last["body_read_ms"].(int64)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%v", last))
	sent, ok := last["sent_ms"].(int64)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%v", last))
	c.Check(bodyRead >= 0 && bodyRead <= sent && sent <= time.Minute.Milliseconds(), qt.IsTrue, qt.Commentf("%v", last))
}
