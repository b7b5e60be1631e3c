package edge_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRequestIsNotSentAfterWaitForConnection guards against requests that reach an
// endpoint after their callers have left, because the callers left while the router
// waited for a connection to the endpoint or for processor time to write to it.
func TestRequestIsNotSentAfterWaitForConnection(t *testing.T) {
	c := qt.New(t)
	e := newEndpoint(c, ok("a"))
	s := newSite(c, e)
	s.beforeCall = func() { s.disconnected.Store(true) }
	request, err := http.NewRequest("POST", s.server.URL+"/stream/", strings.NewReader("x"))
	c.Assert(err, qt.IsNil)
	request.Host = "a.example"
	request.Header.Set("Oleanderramp-Key", "secret")
	request.Header.Set("Oleanderramp-Token-Count", "1000,50")
	_, err = http.DefaultTransport.RoundTrip(request)
	c.Check(err, qt.IsNotNil)
	c.Check(e.seen(), qt.HasLen, 0)
	loads, _, _ := s.admission.OwnState(time.Now())
	c.Check(loads, qt.HasLen, 0)
}
