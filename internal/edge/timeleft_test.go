package edge_test

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestWaitForConnectionIsDeductedFromTimeLeft guards against endpoints that work on
// requests whose callers have left, because they were told the time that was left
// before the router waited for a connection.
func TestWaitForConnectionIsDeductedFromTimeLeft(t *testing.T) {
	const (
		callerTimeout = 20 * time.Second
		wait          = 300 * time.Millisecond
	)
	c := qt.New(t)
	e := newEndpoint(c, ok("a"))
	s := newSite(c, e)
	s.beforeCall = func() { time.Sleep(wait) }
	_, _, err := s.ask(c, "POST", "/safe/", "body", map[string]string{
		"Oleanderramp-Deadline-Ms": strconv.FormatInt(callerTimeout.Milliseconds(), 10),
	})
	c.Assert(err, qt.IsNil)
	left, err := strconv.ParseInt(e.seen()[0].header.Get("Oleanderramp-Deadline-Ms"), 10, 64)
	c.Assert(err, qt.IsNil)
	c.Check(left <= (callerTimeout-wait).Milliseconds(), qt.IsTrue, qt.Commentf("%d ms", left))
}
