package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/directory"
)

// newVersionedSite returns a site whose endpoints have the software versions. The first
// one is preferred.
func newVersionedSite(c *qt.C, versions []string, endpoints ...*fakeEndpoint) *site {
	s := newSite(c, endpoints...)
	var entries []directory.Entry
	for i, e := range endpoints {
		entry := directory.Entry{
			ID: fmt.Sprint("e", i), Service: "s", Address: e.address(), Region: "r", Slots: 10, LastSeen: time.Now(), Software: versions[i],
		}
		if i > 0 {
			entry.Region = "other"
		}
		entries = append(entries, entry)
	}
	s.setEndpoints(entries)
	return s
}

// askStream begins a stream, or takes it up again after event last if resumes is set.
func (s *site) askStream(c *qt.C, id, resumes, last string) (int, string) {
	header := map[string]string{"Oleanderramp-Key": "secret", "Oleanderramp-Request-Id": id}
	if last != "" {
		header["Last-Event-Id"] = last
	}
	if resumes != "" {
		header["Resumes"] = resumes
	}
	response, body, _ := s.ask(c, "POST", "/resumable/", "x", header) // A stream that breaks off is part of the tests.
	return response.StatusCode, body
}

// TestRouterContinuesStreamAtItsSoftware guards against streams that hold events of two
// software versions because the router continues them at any other endpoint.
func TestRouterContinuesStreamAtItsSoftware(t *testing.T) {
	tests := []struct {
		name     string
		versions []string
		want     string
		seen     []int
	}{
		{"another endpoint has it", []string{"v1", "v2", "v1"}, completeStream(1, 6), []int{1, 0, 1}},
		{"no other endpoint has it", []string{"v1", "v2", "v3"}, completeStream(1, 3), []int{1, 0, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			endpoints := []*fakeEndpoint{newEndpoint(c, events(1, 3, false)), newEndpoint(c, events(4, 6, true)), newEndpoint(c, events(4, 6, true))}
			s := newVersionedSite(c, test.versions, endpoints...)
			_, body := s.askStream(c, "a", "", "")
			c.Check(body, qt.Equals, test.want)
			for i, e := range endpoints {
				c.Check(e.seen(), qt.HasLen, test.seen[i])
			}
		})
	}
}

// TestCallerTakesUpStreamAtItsSoftware guards against streams that hold events of two
// software versions because a caller who takes one up again is sent to any endpoint.
func TestCallerTakesUpStreamAtItsSoftware(t *testing.T) {
	tests := []struct {
		name string
		// versions are those of the endpoints when the caller takes up the stream,
		// which began at v1.
		versions []string
		resumes  string
		status   int
		seen     []int
	}{
		{"another endpoint has it", []string{"v2", "v1"}, "a", http.StatusOK, []int{0, 1}},
		{"the preferred endpoint has it", []string{"v1", "v2"}, "a", http.StatusOK, []int{1, 0}},
		{"no endpoint has it", []string{"v2", "v3"}, "a", http.StatusServiceUnavailable, []int{0, 0}},
		{"only other versions are left", []string{"v2", "v2"}, "a", http.StatusServiceUnavailable, []int{0, 0}},
		{"unknown stream of several versions", []string{"v2", "v1"}, "unknown", http.StatusServiceUnavailable, []int{0, 0}},
		{"unnamed stream of several versions", []string{"v2", "v1"}, "", http.StatusServiceUnavailable, []int{0, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			first := newEndpoint(c, events(1, 3, false))
			s := newVersionedSite(c, []string{"v1"}, first)
			_, body := s.askStream(c, "a", "", "")
			c.Assert(body, qt.Equals, completeStream(1, 3))

			endpoints := []*fakeEndpoint{newEndpoint(c, events(4, 6, true)), newEndpoint(c, events(4, 6, true))}
			var entries []directory.Entry
			for i, e := range endpoints {
				entries = append(entries, directory.Entry{
					ID: fmt.Sprint("n", i), Service: "s", Address: e.address(), Region: []string{"r", "other"}[i], Slots: 10, LastSeen: time.Now(), Software: test.versions[i],
				})
			}
			s.setEndpoints(entries)
			status, _ := s.askStream(c, "b", test.resumes, "3")
			c.Check(status, qt.Equals, test.status)
			for i, e := range endpoints {
				c.Check(e.seen(), qt.HasLen, test.seen[i])
			}
		})
	}
}

// TestUnknownStreamGoesOnWithOneSoftware guards against streams that are not taken up
// again although their service has had only one software version.
func TestUnknownStreamGoesOnWithOneSoftware(t *testing.T) {
	for _, resumes := range []string{"unknown", ""} {
		c := qt.New(t)
		e := newEndpoint(c, events(4, 6, true))
		s := newVersionedSite(c, []string{"v1"}, e)
		status, body := s.askStream(c, "b", resumes, "3")
		c.Check(status, qt.Equals, http.StatusOK)
		c.Check(body, qt.Equals, completeStream(4, 6))
	}
}

// TestUnknownStreamOutOfTouchIsRefused guards against a router that does not hear of
// endpoints with another software version and sends a stream that began there to its own:
// also if a control host has answered just before.
func TestUnknownStreamOutOfTouchIsRefused(t *testing.T) {
	tests := []struct {
		name     string
		unsynced time.Duration
		// isolate changes what the quorum tells the router.
		isolate func(s *site)
	}{
		{"the quorum does not answer", 3 * time.Second, func(s *site) { s.software.Store(nil) }},
		{"the quorum no longer answers", 0, func(s *site) { s.software.Store(nil) }},
		{"the quorum knows of a version that the router has not heard of", 0, func(s *site) { s.recordSoftware("v2") }},
	}
	for _, test := range tests {
		for _, resumes := range []string{"unknown", ""} {
			t.Run(fmt.Sprintf("%s, resumes %q", test.name, resumes), func(t *testing.T) {
				c := qt.New(t)
				e := newEndpoint(c, events(4, 6, true))
				s := newVersionedSite(c, []string{"v1"}, e)
				s.unsynced.Store(int64(test.unsynced))
				test.isolate(s)
				status, _ := s.askStream(c, "b", resumes, "3")
				c.Check(status, qt.Equals, http.StatusServiceUnavailable)
				c.Check(e.seen(), qt.HasLen, 0)
			})
		}
	}
}
