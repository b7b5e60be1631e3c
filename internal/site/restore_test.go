package site

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/directory"
	"oleanderramp/internal/settings"
	"oleanderramp/internal/state"
	"oleanderramp/internal/wire"
)

// restartedControl returns a control host whose endpoint e was saved before a restart.
func restartedControl(c *qt.C, now time.Time) (*control, directory.Entry) {
	e := directory.Entry{ID: "e", Service: "s", Address: "1.2.3.4:5", Zone: "z", Region: "r", Started: now.Add(-time.Hour), Sequence: 3, Slots: 4, LastSeen: now}
	folder := c.TempDir()
	c.Assert(saveEndpoints(folder, now, []directory.Entry{e}), qt.IsNil)
	return &control{
		settings: &settings.Site{DataFolder: folder}, log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		directory: directory.New(), saves: newOnDemand(), firstSync: make(chan struct{}),
		store: state.NewStore(state.Limits{}), commit: func(context.Context, *wire.Command) error { return nil },
	}, e
}

// TestEndpointThatLeftIsNotRestored guards against an endpoint that left while a control
// host was down, and that routers use again as the host knows it from its file.
func TestEndpointThatLeftIsNotRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		host, e := restartedControl(c, time.Now())
		go host.restoreEndpoints(t.Context())
		synctest.Wait()
		c.Check(host.directory.Usable(), qt.HasLen, 0)
		left := e
		left.Leaving = true
		host.directory.Merge(left)
		close(host.firstSync)
		synctest.Wait()
		c.Check(host.directory.Usable(), qt.HasLen, 0)
	})
}

// TestEndpointsOfLoneHostAreRestored guards against a site that has no endpoints after a
// failure of all its control hosts.
func TestEndpointsOfLoneHostAreRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		host, _ := restartedControl(c, time.Now())
		host.restoreEndpoints(t.Context())
		c.Check(host.directory.Usable(), qt.HasLen, 1)
	})
}

// TestDepartureIsSavedFirst guards against an endpoint that was told that it may leave,
// and that is in use again as its control host restarts right after.
func TestDepartureIsSavedFirst(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	host, e := restartedControl(c, now)
	host.directory.Merge(e)
	go host.saves.run(t.Context(), time.Hour, host.saver())
	_, err := host.Leave(now, e.ID, e.Started)
	c.Assert(err, qt.IsNil)
	saved, err := loadEndpoints(host.log, host.settings.DataFolder, time.Now())
	c.Assert(err, qt.IsNil)
	c.Assert(saved, qt.HasLen, 1)
	c.Check(saved[0].Leaving, qt.IsTrue)
}
