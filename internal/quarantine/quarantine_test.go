package quarantine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oleanderramp/internal/quarantine"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func digest(name string) quarantine.Digest {
	return quarantine.NewDigest("manuals", "POST", "/", []byte(name))
}

func TestSecondCrashQuarantines(t *testing.T) {
	table := quarantine.New(quarantine.Config{QuarantineTime: time.Minute})
	bad, band, label := digest("bad"), digest("band"), digest("label")

	qt.Check(t, table.StatusOf(start, bad).Status, qt.Equals, quarantine.Clear)
	qt.Check(t, table.RecordCrash(start, []quarantine.Digest{bad, band, label, band}), qt.HasLen, 0)
	for _, d := range []quarantine.Digest{bad, band, label} {
		qt.Check(t, table.StatusOf(start, d).Status, qt.Equals, quarantine.Suspect)
	}
	qt.Check(t, table.ClearSuspect(start, band), qt.IsTrue)
	qt.Check(t, table.StatusOf(start, band).Status, qt.Equals, quarantine.Clear)

	got := table.RecordCrash(start, []quarantine.Digest{bad})
	want := []quarantine.Entry{{Digest: bad, Until: start.Add(time.Minute)}}
	qt.Check(t, got, qt.DeepEquals, want)
	qt.Check(t, table.QuarantinedEntries(start), qt.DeepEquals, want)
	verdict := table.StatusOf(start.Add(20*time.Second), bad)
	qt.Check(t, verdict, qt.Equals, quarantine.Verdict{Status: quarantine.Quarantined, RetryAfter: 40 * time.Second})
	qt.Check(t, table.ClearSuspect(start, bad), qt.IsFalse)
	qt.Check(t, table.StatusOf(start.Add(time.Minute), bad).Status, qt.Equals, quarantine.Clear)
}

// Copies of two requests may already be in flight together when a first crash
// makes both suspects. A second crash must not quarantine the harmless one.
func TestSeveralSuspectsInOneCrashStaySuspects(t *testing.T) {
	table := quarantine.New(quarantine.Config{})
	bad, popular := digest("bad"), digest("popular")
	both := []quarantine.Digest{bad, popular}
	table.RecordCrash(start, both)
	qt.Check(t, table.RecordCrash(start, both), qt.HasLen, 0)
	qt.Check(t, table.ClearSuspect(start, popular), qt.IsTrue)
	qt.Check(t, table.RecordCrash(start, []quarantine.Digest{bad}), qt.HasLen, 1)
}

// A caller that repeats a suspect request while it runs must not crash another
// endpoint.
func TestOneSuspectCopyRunsAtATime(t *testing.T) {
	table := quarantine.New(quarantine.Config{})
	bad := digest("bad")
	qt.Check(t, table.TryStart(start, bad), qt.IsTrue)
	qt.Check(t, table.TryStart(start, bad), qt.IsTrue)
	table.RecordCrash(start, []quarantine.Digest{bad})
	qt.Check(t, table.TryStart(start, bad), qt.IsTrue)
	qt.Check(t, table.TryStart(start, bad), qt.IsFalse)
	table.EndRun(bad)
	qt.Check(t, table.TryStart(start, bad), qt.IsTrue)
	qt.Check(t, table.RecordCrash(start, []quarantine.Digest{bad}), qt.HasLen, 1)
	qt.Check(t, table.TryStart(start, bad), qt.IsFalse)
}

func TestMergeFromOtherRouters(t *testing.T) {
	table := quarantine.New(quarantine.Config{})
	bad, odd := digest("bad"), digest("odd")
	qt.Check(t, table.MergeQuarantined(start, bad, start.Add(time.Minute)), qt.IsTrue)
	qt.Check(t, table.MergeQuarantined(start, bad, start.Add(time.Minute)), qt.IsFalse)
	qt.Check(t, table.StatusOf(start, bad).Status, qt.Equals, quarantine.Quarantined)
	qt.Check(t, table.MergeSuspect(start, odd), qt.IsTrue)
	qt.Check(t, table.MergeSuspect(start, bad), qt.IsFalse)
	qt.Check(t, table.Suspects(start), qt.DeepEquals, []quarantine.Digest{odd})
	qt.Check(t, table.RecordCrash(start, []quarantine.Digest{odd}), qt.HasLen, 1)
}

// TestMergeIgnoresExpiredQuarantine guards against records that a merge adds or
// keeps although they have expired: they would occupy the table and show a
// suspect's old crashes as new ones.
func TestMergeIgnoresExpiredQuarantine(t *testing.T) {
	table := quarantine.New(quarantine.Config{SuspectTime: time.Second})
	qt.Check(t, table.MergeQuarantined(start, digest("late"), start), qt.IsFalse)
	qt.Check(t, table.Len(), qt.Equals, 0)
	table.RecordCrash(start, []quarantine.Digest{digest("old")})
	qt.Check(t, table.TryStart(start, digest("old")), qt.IsTrue)
	later := start.Add(time.Minute)
	qt.Check(t, table.MergeQuarantined(later, digest("old"), later), qt.IsFalse)
	qt.Check(t, table.StatusOf(later, digest("old")).Status, qt.Equals, quarantine.Clear)
	qt.Check(t, table.MergeQuarantined(later, digest("old"), later.Add(time.Minute)), qt.IsTrue)
	qt.Check(t, table.StatusOf(later, digest("old")).Status, qt.Equals, quarantine.Quarantined)
}

func TestFullTableDropsSuspectsFirst(t *testing.T) {
	table := quarantine.New(quarantine.Config{MaxEntries: 2})
	table.MergeQuarantined(start, digest("bad"), start.Add(time.Minute))
	table.RecordCrash(start, []quarantine.Digest{digest("a")})
	table.RecordCrash(start.Add(time.Second), []quarantine.Digest{digest("b")})
	qt.Check(t, table.Len(), qt.Equals, 2)
	qt.Check(t, table.StatusOf(start, digest("bad")).Status, qt.Equals, quarantine.Quarantined)
	qt.Check(t, table.StatusOf(start, digest("a")).Status, qt.Equals, quarantine.Clear)
}

// When suspects run alone, one crashing request crashes at most two endpoints,
// and none of the requests in flight with it is ever quarantined.
func TestOnlyCrashingRequestIsQuarantined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := quarantine.New(quarantine.Config{})
		bad := digest("bad")
		names := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,4}"), 0, 6, rapid.ID[string]).Draw(t, "companions")
		crashes := 0
		for range 5 {
			var shared []quarantine.Digest
			for _, name := range append([]string{"crash"}, names...) {
				d := digest(name)
				if name == "crash" {
					d = bad
				}
				switch table.StatusOf(start, d).Status {
				case quarantine.Clear:
					shared = append(shared, d)
				case quarantine.Suspect:
					if d == bad {
						crashes++
						table.RecordCrash(start, []quarantine.Digest{d})
					} else {
						table.ClearSuspect(start, d)
					}
				case quarantine.Quarantined:
					if d != bad {
						t.Fatalf("companion %q is quarantined", name)
					}
				}
			}
			if len(shared) > 0 && shared[0] == bad {
				crashes++
				table.RecordCrash(start, shared)
			}
		}
		if crashes != 2 {
			t.Fatalf("crashes: got %d, want 2", crashes)
		}
	})
}
