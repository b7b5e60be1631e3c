package daemon

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/demo"
	"oleanderramp/internal/quarantine"
	"oleanderramp/internal/router"
	"oleanderramp/internal/wire"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newTestBundles() *bundleHolder {
	return newBundleHolder(&log.Logger{Handler: discard.Default, Level: log.ErrorLevel})
}

// documentUpdate returns an update with the whole demonstration bundle.
func documentUpdate(c *qt.C, version uint64, stalenessSeconds int) *wire.BundleUpdate {
	d := demo.Document()
	d.Version, d.Parent, d.StalenessLimitSeconds = version, version-1, stalenessSeconds
	data, err := json.Marshal(d)
	c.Assert(err, qt.IsNil)
	return &wire.BundleUpdate{Version: version, Document: data}
}

func TestBundleVersionNeverDecreases(t *testing.T) {
	c := qt.New(t)
	bundles := newTestBundles()
	for _, step := range []struct{ sent, want uint64 }{{3, 3}, {2, 3}, {3, 3}, {4, 4}, {1, 4}} {
		c.Assert(bundles.update(start, documentUpdate(c, step.sent, 60)), qt.IsNil)
		c.Check(bundles.Version(), qt.Equals, step.want)
	}
	c.Check(bundles.update(start, &wire.BundleUpdate{Version: 6, Base: 5, Delta: []byte("{}")}), qt.IsNotNil)
	c.Check(bundles.Version(), qt.Equals, uint64(4))
}

// TestWatchResumesWithWholeBundleAfterBadDelta guards against a watch that
// resumes at its version after a delta that did not fit, and gets the same delta
// for ever.
func TestWatchResumesWithWholeBundleAfterBadDelta(t *testing.T) {
	c := qt.New(t)
	bundles := newTestBundles()
	c.Check(bundles.ResumeVersion(), qt.Equals, uint64(0))
	c.Assert(bundles.update(start, documentUpdate(c, 4, 60)), qt.IsNil)
	c.Check(bundles.ResumeVersion(), qt.Equals, uint64(4))
	c.Check(bundles.update(start, &wire.BundleUpdate{Version: 5, Base: 4, Delta: []byte("no delta")}), qt.IsNotNil)
	c.Check(bundles.ResumeVersion(), qt.Equals, uint64(0))
	c.Assert(bundles.update(start, documentUpdate(c, 5, 60)), qt.IsNil)
	c.Check(bundles.ResumeVersion(), qt.Equals, uint64(5))
}

func TestAdmit(t *testing.T) {
	c := qt.New(t)
	bundles := newTestBundles()
	_, refused := bundles.Admit(start, true)
	c.Assert(refused.Code(), qt.Equals, router.CodeNotReady)
	c.Assert(bundles.update(start, documentUpdate(c, 1, 60)), qt.IsNil)
	tests := []struct {
		name       string
		after      time.Duration
		idempotent bool
		want       router.Code
	}{
		{"fresh", time.Second, true, ""},
		{"at the limit", time.Minute, true, ""},
		{"stale", time.Minute + time.Second, true, router.CodeBundleStale},
		{"stale, not idempotent", time.Hour, false, ""},
	}
	for _, test := range tests {
		c.Run(test.name, func(c *qt.C) {
			_, refused := bundles.Admit(start.Add(test.after), test.idempotent)
			got := router.Code("")
			if refused != nil {
				got = refused.Code()
				c.Check(refused.Outcome(), qt.Equals, router.OutcomeNotRun)
			}
			c.Check(got, qt.Equals, test.want)
		})
	}
	c.Assert(bundles.update(start.Add(time.Hour), &wire.BundleUpdate{Version: 1}), qt.IsNil)
	_, refused = bundles.Admit(start.Add(time.Hour), true)
	c.Check(refused == nil, qt.IsTrue)
}

// Each update repeats all suspected digests. A digest must be adopted only when
// the previous update did not contain it, or a digest that the router has
// cleared would become suspected again.
func TestSuspectsAreAdoptedOnce(t *testing.T) {
	c := qt.New(t)
	bundles := newTestBundles()
	adopted := 0
	bundles.setQuarantineHandler(func(_ time.Time, _ []quarantine.Entry, suspects []quarantine.Digest) { adopted += len(suspects) })
	update := documentUpdate(c, 1, 60)
	for _, digests := range [][]string{{"x"}, {"x", "y"}, {"x", "y"}, {}, {"x"}} {
		update.Suspected = nil
		for _, digest := range digests {
			update.Suspected = append(update.Suspected, &wire.QuarantineDigest{Digest: []byte(digest)})
		}
		c.Assert(bundles.update(start, update), qt.IsNil)
	}
	c.Check(adopted, qt.Equals, 3)
}
