package edge_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderramp/pkg/routing"
)

// TestUnreachableEndpointsArePassedOver guards against a request that is given up after
// fewer unreachable endpoints than may be tried.
func TestUnreachableEndpointsArePassedOver(t *testing.T) {
	const endpoints = 5
	for reachable := range endpoints {
		t.Run(fmt.Sprint("reachable ", reachable), func(t *testing.T) {
			c := qt.New(t)
			var all []*fakeEndpoint
			for i := range endpoints {
				e := newEndpoint(c, ok("a"))
				if i != reachable {
					e.server.Close()
				}
				all = append(all, e)
			}
			response, body, err := newSite(c, all...).ask(c, "POST", "/unsafe/", "x", nil)
			c.Assert(err, qt.IsNil)
			c.Check(response.StatusCode, qt.Equals, http.StatusOK)
			c.Check(body, qt.Equals, "a")
		})
	}
}

// TestStreamIsResumedAfterWrongAnswer guards against a stream that ends although another
// endpoint can continue it, because the endpoint before did not.
func TestStreamIsResumedAfterWrongAnswer(t *testing.T) {
	tests := []struct {
		name  string
		wrong http.HandlerFunc
	}{
		{"it begins anew", events(1, 4, true)},
		{"it does not know the stream", status(http.StatusNotFound)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			answers := []http.HandlerFunc{events(1, 2, false), test.wrong, events(3, 4, true)}
			var attempts atomic.Int64
			next := func(w http.ResponseWriter, r *http.Request) { answers[attempts.Add(1)-1](w, r) }
			s := newSite(c, newEndpoint(c, next), newEndpoint(c, next), newEndpoint(c, next))
			s.setRoute(c, "resumable", func(r *routing.Route) { r.MaxAttempts = len(answers) })
			_, body, err := s.ask(c, "POST", "/resumable/", "x", map[string]string{"Oleanderramp-Key": "secret"})
			c.Assert(err, qt.IsNil)
			c.Check(body, qt.Equals, completeStream(1, 4))
		})
	}
}
