package prefixes_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/prefixes"
)

var start = time.Unix(1_000_000, 0)

func at(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }

func TestMergeIgnoresRecentUse(t *testing.T) {
	c := qt.New(t)
	x := prefixes.New()
	e := prefixes.Entry{Key: 1, Endpoint: "a", Used: at(0)}
	c.Check(x.Merge(at(0), e), qt.IsTrue)
	c.Check(x.Merge(at(0), e), qt.IsFalse)
	e.Used = at(2)
	c.Check(x.Merge(at(2), e), qt.IsFalse)
	e.Used = at(3)
	c.Check(x.Merge(at(3), e), qt.IsTrue)
	other := prefixes.Entry{Key: 1, Endpoint: "b", Used: at(3)}
	c.Check(x.Merge(at(3), other), qt.IsTrue)
	c.Check(x.Revision(), qt.Equals, uint64(3))
	c.Check(x.Since(2), qt.DeepEquals, []prefixes.Entry{other})
	c.Check(x.Since(0), qt.DeepEquals, []prefixes.Entry{e, other})
	c.Check(x.Since(3), qt.HasLen, 0)
}

func TestDeleteExpired(t *testing.T) {
	c := qt.New(t)
	x := prefixes.New()
	x.Merge(at(0), prefixes.Entry{Key: 1, Endpoint: "a", Used: at(0)})
	x.DeleteExpired(at(29))
	c.Check(x.Since(0), qt.HasLen, 1)
	x.DeleteExpired(at(30))
	c.Check(x.Since(0), qt.HasLen, 0)
	// Entries that are already expired when received are not added.
	c.Check(x.Merge(at(60), prefixes.Entry{Key: 1, Endpoint: "a", Used: at(30)}), qt.IsFalse)
}

// TestReportedSinceOmitsMerged checks that entries merged from another index are
// not passed on to others.
func TestReportedSinceOmitsMerged(t *testing.T) {
	c := qt.New(t)
	x := prefixes.New()
	reported, merged := prefixes.Entry{Key: 1, Endpoint: "a", Used: at(0)}, prefixes.Entry{Key: 2, Endpoint: "a", Used: at(0)}
	x.Report(at(0), reported)
	x.Merge(at(0), merged)
	c.Check(x.Since(0), qt.DeepEquals, []prefixes.Entry{reported, merged})
	c.Check(x.ReportedSince(0), qt.DeepEquals, []prefixes.Entry{reported})
}

// TestSinceAfterCompaction checks that Since returns each entry once, in the order
// of the last changes, however often entries changed and whatever was compacted.
func TestSinceAfterCompaction(t *testing.T) {
	c := qt.New(t)
	x := prefixes.New()
	const rounds, keys = 50, 100
	for round := range rounds {
		now := at(3 * round)
		for key := range uint64(keys) {
			x.Report(now, prefixes.Entry{Key: key, Endpoint: "a", Used: now})
		}
		x.DeleteExpired(now)
		all := x.Since(0)
		c.Assert(all, qt.HasLen, keys)
		for key, e := range all {
			c.Assert(e, qt.Equals, prefixes.Entry{Key: uint64(key), Endpoint: "a", Used: now})
		}
		c.Assert(x.Since(x.Revision()-3), qt.DeepEquals, all[keys-3:])
		c.Assert(x.Since(x.Revision()), qt.HasLen, 0)
	}
}

// BenchmarkSince measures one call of a router that lacks few entries of a large
// index.
func BenchmarkSince(b *testing.B) {
	for _, entries := range []int{1000, 50_000} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			x := prefixes.New()
			for key := range uint64(entries) {
				x.Report(start, prefixes.Entry{Key: key, Endpoint: "a", Used: start})
			}
			for b.Loop() {
				x.Since(x.Revision() - 10)
			}
		})
	}
}
