package httpserver

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestFreshConnectionsAreCounted guards against callers that open connections without
// sending anything, for which others would be rejected for long.
func TestFreshConnectionsAreCounted(t *testing.T) {
	c := qt.New(t)
	var f freshConns
	start := time.Unix(1_000_000, 0)
	silent := f.add(start)
	first, second := f.add(start), f.add(start.Add(freshTime/2))
	c.Check(f.len(start.Add(freshTime/2)), qt.Equals, 3)
	f.end(first)
	f.end(first)
	c.Check(f.len(start.Add(freshTime/2)), qt.Equals, 2)
	c.Check(f.len(start.Add(freshTime)), qt.Equals, 1)
	f.end(silent) // It counts no more already.
	c.Check(f.len(start.Add(freshTime)), qt.Equals, 1)
	f.end(second)
	c.Check(f.len(start.Add(freshTime)), qt.Equals, 0)
	c.Check(f.queue, qt.HasLen, 0)
}
