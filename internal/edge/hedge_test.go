package edge_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/directory"
	"oleanderramp/pkg/routing"
)

// flushed sends the header and the start of an answer, and closes the connection 50 ms
// later.
func flushed(contentType, start string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		w.Header().Set("Oleanderramp-Server-Stamp", "stamp")
		_, _ = io.WriteString(w, start)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(50 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}
}

// resuming streams the rest of five events after the pause.
func resuming(pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		last := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
		time.Sleep(pause)
		events(last+1, 5, true)(w, r)
	}
}

// TestSecondEndpointDoesNotEndAnswer guards against giving the first endpoint up for a
// second one that has sent a part of an answer, or another status, and then fails.
func TestSecondEndpointDoesNotEndAnswer(t *testing.T) {
	tests := []struct {
		name, route   string
		first, second http.HandlerFunc
		want          string
	}{
		{"header of a stream", "resumable", pausing(500 * time.Millisecond), flushed("text/event-stream", ""), completeStream(1, 3)},
		{"event cut short", "resumable", pausing(500 * time.Millisecond), flushed("text/event-stream", "id: 2\nda"), completeStream(1, 3)},
		{"status 429", "resumable", pausing(500 * time.Millisecond), status(http.StatusTooManyRequests), completeStream(1, 3)},
		{"the whole stream", "resumable", late(500*time.Millisecond, events(1, 3, true)), events(1, 3, true), completeStream(1, 3)},
		{"part of a body", "safe", late(500*time.Millisecond, ok("a")), flushed("text/plain", "part"), "a"},
		{"status 429, not a stream", "safe", late(500*time.Millisecond, ok("a")), status(http.StatusTooManyRequests), "a"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := newSite(c, newEndpoint(c, test.first), newEndpoint(c, test.second))
			s.setRoute(c, test.route, func(r *routing.Route) { r.MaxEventGap, r.Objective = 50*time.Millisecond, 50*time.Millisecond })
			response, body, err := s.ask(c, "POST", "/"+test.route+"/", "x", map[string]string{"Oleanderramp-Key": "secret"})
			c.Assert(err, qt.IsNil)
			c.Check(response.StatusCode, qt.Equals, http.StatusOK)
			c.Check(body, qt.Equals, test.want)
		})
	}
}

// TestEndOfPausedStreamIsTakenFromEither guards against a stream that is not ended
// because only its end is late, and the second endpoint has nothing left to send.
func TestEndOfPausedStreamIsTakenFromEither(t *testing.T) {
	c := qt.New(t)
	released := make(chan struct{})
	withoutEnd := func(w http.ResponseWriter, r *http.Request) {
		events(1, 3, true)(w, r)
		select {
		case <-released:
		case <-r.Context().Done():
		}
	}
	second := newEndpoint(c, events(4, 3, true))
	s := newSite(c, newEndpoint(c, withoutEnd), second)
	defer close(released)
	s.setRoute(c, "resumable", func(r *routing.Route) { r.MaxEventGap = 50 * time.Millisecond })
	_, body, err := s.ask(c, "POST", "/resumable/", "x", map[string]string{"Oleanderramp-Key": "secret"})
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, completeStream(1, 3))
	c.Check(second.seen(), qt.HasLen, 1)
}

// TestHedgeThatReachesNobodyCostsNoRetry guards against a retry budget that is spent on
// second endpoints that accept no connection, so that a request whose endpoint really
// fails gets none.
func TestHedgeThatReachesNobodyCostsNoRetry(t *testing.T) {
	c := qt.New(t)
	dead, live := newEndpoint(c, ok("dead")), newEndpoint(c, ok("live"))
	dead.server.Close()
	var calls atomic.Int64
	first := newEndpoint(c, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			abortConnection(w, r)
		}
		late(400*time.Millisecond, ok("a"))(w, r)
	})
	s := newSite(c, first, dead)
	s.setRoute(c, "safe", func(r *routing.Route) { r.Objective = 50 * time.Millisecond })
	s.forwarder.SetRetryBudget(0, 1)
	_, body, err := s.ask(c, "POST", "/safe/", "x", nil)
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, "a")

	s.setRoute(c, "safe", func(*routing.Route) {})
	s.setEndpoints([]directory.Entry{
		{ID: "e0", Service: "s", Address: first.address(), Region: "r", Slots: 10, LastSeen: time.Now()},
		{ID: "live", Service: "s", Address: live.address(), Region: "other", Slots: 10, LastSeen: time.Now()},
	})
	_, body, err = s.ask(c, "POST", "/safe/", "x", nil)
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, "live")
}

// TestStreamMovesAfterPauses guards against a stream that breaks with its endpoint
// because a former pause has used up its attempts, though its second endpoint, which was
// not needed then, would go on. Not more endpoints than the route allows get it.
func TestStreamMovesAfterPauses(t *testing.T) {
	const pause = 250 * time.Millisecond
	c := qt.New(t)
	breaking := func(w http.ResponseWriter, r *http.Request) {
		for id := 1; id <= 2; id++ {
			events(id, id, true)(w, r)
			time.Sleep(pause)
		}
		events(3, 3, false)(w, r)
	}
	endpoints := []*fakeEndpoint{newEndpoint(c, breaking), newEndpoint(c, resuming(150*time.Millisecond)), newEndpoint(c, resuming(150*time.Millisecond))}
	s := newSite(c, endpoints...)
	s.setRoute(c, "resumable", func(r *routing.Route) { r.MaxEventGap = pause / 5 })
	_, body, err := s.ask(c, "POST", "/resumable/", "x", map[string]string{"Oleanderramp-Key": "secret"})
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, completeStream(1, 5))
	reached := 0
	for _, e := range endpoints {
		reached += min(len(e.seen()), 1)
	}
	c.Check(reached, qt.Equals, 2)
}

// TestErrorOfFirstEndpointIsForwarded guards against a failure without the endpoint's own
// error response, because a second endpoint refused the request.
func TestErrorOfFirstEndpointIsForwarded(t *testing.T) {
	c := qt.New(t)
	s := newSite(c, newEndpoint(c, late(200*time.Millisecond, status(http.StatusInternalServerError))), newEndpoint(c, notRun))
	s.setRoute(c, "safe", func(r *routing.Route) { r.Objective = 50 * time.Millisecond })
	response, body, err := s.ask(c, "POST", "/safe/", "x", nil)
	c.Assert(err, qt.IsNil)
	c.Check(response.StatusCode, qt.Equals, http.StatusInternalServerError)
	c.Check(body, qt.Equals, "endpoint error")
}

// TestErrorOfSecondEndpointIsForwarded guards against a failure in place of an answer:
// the second endpoint had answered with an error of the client, which was thrown away
// because the first one might still answer, and the first one did not.
func TestErrorOfSecondEndpointIsForwarded(t *testing.T) {
	tests := []struct {
		name, route string
		first       http.HandlerFunc
		status      int
	}{
		{"first breaks", "safe", late(400*time.Millisecond, abortConnection), http.StatusNotFound},
		{"first refuses", "safe", late(400*time.Millisecond, notRun), http.StatusNotFound},
		{"first is silent until the deadline", "safe", late(1500*time.Millisecond, ok("a")), http.StatusNotFound},
		{"first is a stream that breaks", "resumable", late(400*time.Millisecond, abortConnection), http.StatusNotFound},
		{"first answers", "safe", late(400*time.Millisecond, ok("a")), http.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := newSite(c, newEndpoint(c, test.first), newEndpoint(c, status(http.StatusNotFound)))
			s.setRoute(c, test.route, func(r *routing.Route) { r.Objective = 50 * time.Millisecond })
			response, body, err := s.ask(c, "POST", "/"+test.route+"/", "x", map[string]string{"Oleanderramp-Key": "secret", "Oleanderramp-Deadline-Ms": "1000"})
			c.Assert(err, qt.IsNil)
			c.Check(response.StatusCode, qt.Equals, test.status)
			c.Check(body, qt.Equals, map[int]string{http.StatusOK: "a", http.StatusNotFound: "endpoint error"}[test.status])
		})
	}
}
