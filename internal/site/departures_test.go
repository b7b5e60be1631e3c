package site_test

import (
	"net/http"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestDepartureIsAcknowledgedByTheQuorum guards against an endpoint that was told that it
// may leave by a control host that alone knew of it: that host stood still or lost its disk,
// and the endpoint got requests again.
func TestDepartureIsAcknowledgedByTheQuorum(t *testing.T) {
	departures := map[string]func(s *testSite, control int) int{
		"deregistration": func(s *testSite, control int) int {
			status, _ := call("POST", s.address(control, 1), "/Instances.Deregister/leaves", "", `{"born":1}`, nil)
			return status
		},
		"deregistration without a start": func(s *testSite, control int) int {
			status, _ := call("POST", s.address(control, 1), "/Instances.Deregister/leaves", "", "", nil)
			return status
		},
		"draining": func(s *testSite, control int) int {
			status, _ := call("POST", s.address(control, 1), "/Instances.Heartbeat/leaves", "",
				`{"service":"s","address":"127.0.0.1:9","zone":"z","version":"v1","slots":4,"state":"draining","sequence":2,"born":1}`, nil)
			return status
		},
	}
	for name, depart := range departures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := newTestSite(c, 3)
			s.replace(0, streamRoute)
			leaves := streamEndpoint(c, 1, 1, true)
			s.announceSoftware(0, "leaves", "v1", "ready", 1, leaves)
			s.eventually("the router uses the endpoint", func() bool {
				status, _ := s.stream(map[string]string{"Oleanderramp-Request-Id": "first"})
				return status == http.StatusOK
			})

			c.Assert(s.controls[1].daemon.Close(), qt.IsNil)
			c.Assert(s.controls[2].daemon.Close(), qt.IsNil)
			for range 2 {
				c.Check(depart(s, 0), qt.Equals, http.StatusServiceUnavailable)
			}
			s.run(s.controls[1])
			s.run(s.controls[2])
			s.eventually("the departure is acknowledged", func() bool { return depart(s, 0) == http.StatusOK })

			// Only the other hosts keep their disks, and what they have saved of it.
			for _, h := range append(s.controls, s.router) {
				c.Assert(h.daemon.Close(), qt.IsNil)
			}
			c.Assert(os.RemoveAll(s.controls[0].settings.DataFolder), qt.IsNil)
			for _, h := range s.controls {
				c.Assert(os.MkdirAll(h.settings.DataFolder, 0o700), qt.IsNil)
				h.settings.FirstStart = false
				s.run(h)
			}
			s.eventually("the quorum answers", func() bool {
				status, _ := s.read(1)
				return status == http.StatusOK
			})
			s.run(s.router)
			for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				status, _ := s.stream(map[string]string{"Oleanderramp-Request-Id": "second"})
				c.Check(status, qt.Not(qt.Equals), http.StatusOK)
			}
		})
	}
}
