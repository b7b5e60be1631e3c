package directory_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oleanderramp/internal/directory"
)

var start = time.Unix(1_000_000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func entry(id string, started float64, sequence uint64) directory.Entry {
	return directory.Entry{ID: id, Service: "s", Address: id + ":1", Started: at(started), Sequence: sequence, LastSeen: at(started)}
}

func usable(d *directory.Directory) []string {
	var ids []string
	for _, e := range d.Usable() {
		ids = append(ids, e.ID)
	}
	return ids
}

func TestStaleAnnouncementDoesNotReviveEndpoint(t *testing.T) {
	c := qt.New(t)
	d := directory.New()
	c.Check(d.Merge(entry("e", 0, 1)), qt.Equals, directory.Joined)
	c.Check(d.Merge(entry("e", 0, 3)), qt.Equals, directory.Renewed)
	leaving := entry("e", 0, 4)
	leaving.Leaving = true
	c.Check(d.Merge(leaving), qt.Equals, directory.Left)
	c.Check(d.Merge(entry("e", 0, 2)), qt.Equals, directory.Stale)
	// A later announcement of the same start does not revive it either.
	c.Check(d.Merge(entry("e", 0, 9)), qt.Equals, directory.Renewed)
	c.Check(usable(d), qt.HasLen, 0)
	// A restart with the same ID does.
	c.Check(d.Merge(entry("e", 5, 1)), qt.Equals, directory.Joined)
	c.Check(usable(d), qt.DeepEquals, []string{"e"})
	// Announcements of the former start are stale from then on.
	c.Check(d.Merge(entry("e", 0, 50)), qt.Equals, directory.Stale)
}

func TestRestartWithoutStartTime(t *testing.T) {
	c := qt.New(t)
	d := directory.New()
	e := directory.Entry{ID: "e", Address: "e:1", Sequence: 7, LastSeen: at(0)}
	d.Merge(e)
	e.Sequence, e.LastSeen = 1, at(1)
	c.Check(d.Merge(e), qt.Equals, directory.Stale)
	e.LastSeen = at(5)
	c.Check(d.Merge(e), qt.Equals, directory.Joined)
}

func TestLeave(t *testing.T) {
	c := qt.New(t)
	d := directory.New()
	d.Merge(entry("e", 0, 1))
	c.Check(d.Leave(at(2), "e", time.Time{}), qt.Equals, directory.Left)
	c.Check(usable(d), qt.HasLen, 0)
	c.Check(d.Leave(at(2), "e", time.Time{}), qt.Equals, directory.Stale)
	// An endpoint leaves before its first announcement arrives, which is
	// delayed.
	d.Leave(at(2), "unknown", time.Time{})
	c.Check(d.Merge(entry("unknown", 1, 1)), qt.Equals, directory.Stale)
	c.Check(usable(d), qt.HasLen, 0)
	c.Check(d.Merge(entry("unknown", 3, 1)), qt.Equals, directory.Joined)
}

func TestAddressReuse(t *testing.T) {
	c := qt.New(t)
	d := directory.New()
	before, after := entry("before", 0, 5), entry("after", 9, 1)
	before.Address, after.Address = "x:1", "x:1"
	d.Merge(after)
	before.LastSeen = at(20) // Delayed in transit.
	d.Merge(before)
	c.Check(usable(d), qt.DeepEquals, []string{"after"})
	// When the later endpoint leaves, the earlier one at its address does not
	// return.
	d.Leave(at(21), "after", time.Time{})
	c.Check(usable(d), qt.HasLen, 0)
}

func TestRemoveExpired(t *testing.T) {
	c := qt.New(t)
	d := directory.New()
	d.Merge(entry("e", 0, 1))
	d.RemoveExpired(at(59))
	c.Check(usable(d), qt.DeepEquals, []string{"e"})
	d.RemoveExpired(at(60))
	c.Check(usable(d), qt.HasLen, 0)
}

// TestMergeConverges merges the same announcements in two orders, one of them
// through an intermediate directory.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) directory.Entry {
			e := entry(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"), float64(rapid.IntRange(1, 3).Draw(t, "born")),
				uint64(rapid.IntRange(1, 4).Draw(t, "sequence")))
			e.Leaving = rapid.Bool().Draw(t, "leaving")
			return e
		}), 1, 12).Draw(t, "entries")
		one, two, relay := directory.New(), directory.New(), directory.New()
		for _, e := range entries {
			one.Merge(e)
		}
		for _, e := range rapid.Permutation(entries).Draw(t, "order") {
			relay.Merge(e)
			for _, update := range relay.Since(0, directory.Changes) {
				two.Merge(update)
			}
		}
		if got, want := usable(two), usable(one); !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// TestScopes checks that renewals are passed on only within their scope, and
// changes to every scope.
func TestScopes(t *testing.T) {
	c := qt.New(t)
	d := directory.New()
	ids := func(revision uint64, scope directory.Scope) []string {
		got := []string{}
		for _, e := range d.Since(revision, scope) {
			got = append(got, e.ID)
		}
		return got
	}
	own, other := entry("own", 0, 1), entry("other", 0, 1)
	c.Check(d.Announce(own), qt.Equals, directory.Joined)
	c.Check(d.Merge(other), qt.Equals, directory.Joined)
	for _, scope := range []directory.Scope{directory.All, directory.Direct, directory.Changes} {
		c.Check(ids(0, scope), qt.DeepEquals, []string{"other", "own"})
	}

	revision := d.Revision()
	own.Sequence, own.LastSeen = 2, at(1)
	other.Sequence, other.LastSeen = 2, at(1)
	c.Check(d.Announce(own), qt.Equals, directory.Renewed)
	c.Check(d.Merge(other), qt.Equals, directory.Renewed)
	c.Check(ids(revision, directory.All), qt.DeepEquals, []string{"other", "own"})
	c.Check(ids(revision, directory.Direct), qt.DeepEquals, []string{"own"})
	c.Check(ids(revision, directory.Changes), qt.DeepEquals, []string{})

	// A renewal after renewalPeriod counts as a change, so that directories
	// that receive only changes do not remove the entry.
	other.Sequence, other.LastSeen = 3, at(20)
	d.Merge(other)
	c.Check(ids(revision, directory.Changes), qt.DeepEquals, []string{"other"})

	revision = d.Revision()
	other.Sequence, other.Slots = 4, 9
	c.Check(d.Merge(other), qt.Equals, directory.Changed)
	own.Sequence, own.Leaving = 3, true
	c.Check(d.Announce(own), qt.Equals, directory.Left)
	c.Check(ids(revision, directory.Changes), qt.DeepEquals, []string{"other", "own"})
}

// TestSinceOfOmitsRenewalsOfOthers checks that a reader that needs few endpoints
// still gets the changes of all of them.
func TestSinceOfOmitsRenewalsOfOthers(t *testing.T) {
	c := qt.New(t)
	d := directory.New()
	now := time.Unix(1_000_000, 0)
	entry := func(id string, sequence uint64, leaving bool) directory.Entry {
		return directory.Entry{ID: id, Service: "s", Address: id, Started: now, Sequence: sequence, Leaving: leaving, LastSeen: now}
	}
	for _, id := range []string{"needed", "other", "leaver"} {
		d.Announce(entry(id, 1, false))
	}
	revision := d.Revision()
	for _, id := range []string{"needed", "other"} {
		c.Assert(d.Announce(entry(id, 2, false)), qt.Equals, directory.Renewed)
	}
	c.Assert(d.Announce(entry("leaver", 2, true)), qt.Equals, directory.Left)
	var got []string
	for _, e := range d.SinceOf(revision, directory.All, map[string]bool{"needed": true}) {
		got = append(got, e.ID)
	}
	c.Check(got, qt.DeepEquals, []string{"leaver", "needed"})
	c.Check(d.Since(revision, directory.All), qt.HasLen, 3)
}

// TestHasVersion guards against a version that counts as in use although its endpoints only
// leave, or were not heard of for long: the quorum may have forgotten it.
func TestHasVersion(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	entry := func(id, software string, leaving bool, at time.Time) directory.Entry {
		return directory.Entry{ID: id, Service: "s", Software: software, Address: "1.2.3.4:5", Sequence: 1, Leaving: leaving, LastSeen: at}
	}
	d := directory.New()
	d.Announce(entry("a", "v1", false, now))
	d.Announce(entry("b", "v2", true, now))
	c.Check(d.HasVersion(entry("x", "v1", false, now)), qt.IsTrue)
	c.Check(d.HasVersion(entry("a", "v1", false, now)), qt.IsTrue)
	c.Check(d.HasVersion(entry("b", "v2", false, now)), qt.IsFalse)
	c.Check(d.HasVersion(entry("x", "v3", false, now)), qt.IsFalse)
	c.Check(d.HasVersion(entry("x", "v1", false, now.Add(time.Minute))), qt.IsFalse)
}
