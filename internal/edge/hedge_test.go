package edge_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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
