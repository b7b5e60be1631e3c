package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/pkg/routing"
)

// pausing streams the events with the IDs from 1 to 3, with a pause after the first.
// It continues from the event that the caller has.
func pausing(pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		first := 1
		if last := r.Header.Get("Last-Event-Id"); last != "" {
			_, _ = fmt.Sscan(last, &first)
			first++
		}
		events(first, first, true)(w, r)
		time.Sleep(pause)
		events(first+1, 3, true)(w, r)
	}
}

// late answers after the pause.
func late(pause time.Duration, answer http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(pause)
		answer(w, r)
	}
}

// unended streams the events with the IDs from 1 to last, and neither ends the stream nor
// goes on until it is released.
func unended(release <-chan struct{}, last int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		events(1, last, true)(w, r)
		select {
		case <-r.Context().Done():
		case <-release:
		}
	}
}

// headOnly closes its connection after the header of its answer.
func headOnly(w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).Flush()
	abortConnection(w, r)
}

// setRoute changes a route of the routing table.
func (s *site) setRoute(c *qt.C, name string, change func(*routing.Route)) {
	doc := document()
	for i := range doc.Routes {
		if doc.Routes[i].Name == name {
			change(&doc.Routes[i])
		}
	}
	table, err := routing.New(doc)
	c.Assert(err, qt.IsNil)
	s.tables.table.Store(table)
}

// TestPausedStreamsEndWhole guards against streams that are broken off because their
// endpoints paused, though the endpoints go on: not all of them may move to another
// one, as the retry budget covers one, or another one refuses.
func TestPausedStreamsEndWhole(t *testing.T) {
	const (
		streams = 6
		pause   = 600 * time.Millisecond
	)
	tests := []struct {
		name   string
		other  http.HandlerFunc
		budget float64
	}{
		{"budget of one retry", pausing(pause), 1},
		{"the other endpoint refuses", notRun, 100},
		{"the other endpoint fails", status(http.StatusInternalServerError), 100},
		{"the other endpoint closes its connections", abortConnection, 100},
		{"the other endpoint pauses too", pausing(pause), 100},
		{"the other endpoint fails later", late(pause, abortConnection), 100},
		{"the other endpoint begins anew", events(1, 3, true), 100},
		{"the other endpoint does not know the stream", status(http.StatusNotFound), 100},
		{"the other endpoint sends no stream", ok("{}"), 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := newSite(c, newEndpoint(c, pausing(pause)), newEndpoint(c, test.other))
			s.setRoute(c, "resumable", func(r *routing.Route) { r.MaxEventGap = pause / 8 })
			s.forwarder.SetRetryBudget(0, test.budget)
			var wg sync.WaitGroup
			whole := make([]bool, streams)
			for i := range streams {
				wg.Go(func() {
					header := map[string]string{"Oleanderramp-Key": "secret", "Oleanderramp-Request-Id": fmt.Sprint("id-", i)}
					_, body, err := s.ask(c, "POST", "/resumable/", "x", header)
					whole[i] = err == nil && body == completeStream(1, 3)
				})
			}
			wg.Wait()
			for i := range streams {
				c.Check(whole[i], qt.IsTrue, qt.Commentf("stream %d", i))
			}
		})
	}
}

// TestStreamWithoutRestEnds guards against a stream that is requested again and again,
// as its endpoint pauses before the end and another one has no event left.
func TestStreamWithoutRestEnds(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	first, other := newEndpoint(c, unended(release, 3)), newEndpoint(c, events(4, 3, true))
	defer close(release)
	s := newSite(c, first, other)
	s.setRoute(c, "resumable", func(r *routing.Route) { r.MaxEventGap = 30 * time.Millisecond })
	_, body, err := s.ask(c, "POST", "/resumable/", "x", map[string]string{"Oleanderramp-Key": "secret", "Oleanderramp-Deadline-Ms": "2000"})
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, completeStream(1, 3))
	c.Check(other.seen(), qt.HasLen, 1)
}

// TestLateAnswerIsDelivered guards against an answer that is refused or given up because
// its header is late, though no other endpoint can replace it.
func TestLateAnswerIsDelivered(t *testing.T) {
	const objective = 50 * time.Millisecond
	tests := []struct {
		name, route string
		answer      http.HandlerFunc
		other       http.HandlerFunc
		budget      float64
		want        string
	}{
		{"budget used up", "safe", ok("a"), ok("b"), 0, "a"},
		{"the other endpoint refuses", "safe", ok("a"), notRun, 100, "a"},
		{"the other endpoint fails", "safe", ok("a"), status(http.StatusInternalServerError), 100, "a"},
		{"the other endpoint fails after its header", "safe", ok("a"), headOnly, 100, "a"},
		{"the other endpoint is faster", "safe", ok("a"), ok("b"), 100, "b"},
		{"stream, budget used up", "resumable", events(1, 2, true), events(1, 2, true), 0, completeStream(1, 2)},
		{"stream, the other endpoint refuses", "resumable", events(1, 2, true), notRun, 100, completeStream(1, 2)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := newSite(c, newEndpoint(c, late(800*time.Millisecond, test.answer)), newEndpoint(c, test.other))
			s.setRoute(c, test.route, func(r *routing.Route) { r.Objective = objective })
			s.forwarder.SetRetryBudget(0, test.budget)
			response, body, err := s.ask(c, "POST", "/"+test.route+"/", "x", map[string]string{"Oleanderramp-Key": "secret"})
			c.Assert(err, qt.IsNil)
			c.Check(response.StatusCode, qt.Equals, http.StatusOK)
			c.Check(body, qt.Equals, test.want)
		})
	}
}

// TestStreamMovesPastUnreachableEndpoint guards against a retry budget that is spent on
// an endpoint that can't be reached, so that none is left for one that can.
func TestStreamMovesPastUnreachableEndpoint(t *testing.T) {
	for unreachable := 1; unreachable <= 2; unreachable++ {
		t.Run(fmt.Sprint("unreachable ", unreachable), func(t *testing.T) {
			c := qt.New(t)
			release := make(chan struct{})
			endpoints := []*fakeEndpoint{newEndpoint(c, unended(release, 1)), newEndpoint(c, events(2, 3, true)), newEndpoint(c, events(2, 3, true))}
			defer close(release)
			endpoints[unreachable].server.Close()
			s := newSite(c, endpoints...)
			s.setRoute(c, "resumable", func(r *routing.Route) { r.MaxEventGap = 30 * time.Millisecond })
			s.forwarder.SetRetryBudget(0, 1)
			_, body, err := s.ask(c, "POST", "/resumable/", "x", map[string]string{"Oleanderramp-Key": "secret", "Oleanderramp-Deadline-Ms": "3000"})
			c.Assert(err, qt.IsNil)
			c.Check(body, qt.Equals, completeStream(1, 3))
		})
	}
}

// TestStreamOfDeadEndpointMoves guards against waiting for an endpoint that stays silent
// while another one can continue its stream.
func TestStreamOfDeadEndpointMoves(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	dead := newEndpoint(c, unended(release, 1))
	defer close(release)
	s := newSite(c, dead, newEndpoint(c, events(2, 3, true)))
	s.setRoute(c, "resumable", func(r *routing.Route) { r.MaxEventGap = 30 * time.Millisecond })
	_, body, err := s.ask(c, "POST", "/resumable/", "x", map[string]string{"Oleanderramp-Key": "secret"})
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, completeStream(1, 3))
	c.Check(strings.Count(body, "id:"), qt.Equals, 3)
}
