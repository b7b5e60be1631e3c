package sessions_test

import (
	"encoding/json"
	"errors"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/event"
)

// TestSchedulerHandoverOnShutdown stops the host that schedules the assistant of the
// region maz. The other daemon must ask elsewhere before its link is lost, as
// nothing is granted in between.
func TestSchedulerHandoverOnShutdown(t *testing.T) {
	const scheduler, other = 2, 1
	c := qt.New(t)
	f := startRelayedFleet(c, 3, 3)
	c.Assert(f.startEngine(1, "maz"), qt.IsNil)
	c.Assert(f.awaitEndpoint(other, "engine-1", "available"), qt.IsNil)
	f.mustChat(c, other, "before")
	c.Assert(f.signal(f.host(scheduler), syscall.SIGTERM), qt.IsNil)
	code, err := f.awaitExit(f.host(scheduler))
	c.Assert(err, qt.IsNil)
	c.Check(code, qt.Equals, 0)
	f.mustChat(c, other, "after")
	c.Assert(waitFor("the end of the link", func() error {
		if f.firstLogLine(other, event.SchedulerLinkLost, f.host(scheduler)) < 0 {
			return errors.New("not logged yet")
		}
		return nil
	}), qt.IsNil)
	changed := f.firstLogLine(other, event.SchedulerChanged, f.host(scheduler))
	lost := f.firstLogLine(other, event.SchedulerLinkLost, f.host(scheduler))
	c.Check(changed >= 0 && changed < lost, qt.IsTrue, qt.Commentf("scheduler changed in line %d, link lost in line %d", changed, lost))
}

// firstLogLine returns the number of the first log line of daemon n with the event
// that names the host as the peer, or as the one before; -1 for none.
func (f *fleet) firstLogLine(n int, e event.Event, host string) int {
	for i, line := range strings.Split(f.procs[f.host(n)].stderr.String(), "\n") {
		var entry struct {
			Fields struct {
				Event        int
				Peer, Before string
			}
		}
		if json.Unmarshal([]byte(line), &entry) != nil || entry.Fields.Event != int(e.Number()) {
			continue
		}
		if entry.Fields.Before == host || entry.Fields.Before == "" && entry.Fields.Peer == host {
			return i
		}
	}
	return -1
}
