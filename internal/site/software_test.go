package site

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/directory"
	"oleanderramp/internal/wire"
)

// TestAbsentSoftwareIsForgotten guards against a version that is forgotten while callers may
// still take up streams of it, and against one that is kept for good.
func TestAbsentSoftwareIsForgotten(t *testing.T) {
	c := qt.New(t)
	v1, v2 := directory.Version{Service: "s", Software: "v1"}, directory.Version{Service: "s", Software: "v2"}
	recorded := func(revision uint64) []*wire.SoftwareVersion {
		return []*wire.SoftwareVersion{{Service: "s", Software: "v1", Revision: revision}, {Service: "s", Software: "v2", Revision: 2}}
	}
	start := time.Unix(1_000_000, 0)
	a := make(absences)
	due := func(after time.Duration, revision uint64, present ...directory.Version) int {
		return len(a.due(start.Add(after), recorded(revision), present))
	}
	c.Check(due(0, 1, v2), qt.Equals, 0)
	c.Check(due(softwareTTL-time.Second, 1, v2), qt.Equals, 0)
	c.Check(due(softwareTTL, 1, v2), qt.Equals, 1)
	c.Check(due(softwareTTL+time.Second, 1, v1, v2), qt.Equals, 0, qt.Commentf("it is back"))
	c.Check(due(2*softwareTTL, 1, v2), qt.Equals, 0)
	c.Check(due(3*softwareTTL, 3, v2), qt.Equals, 0, qt.Commentf("it was recorded again"))
	c.Check(due(4*softwareTTL, 3, v2), qt.Equals, 1)
}
