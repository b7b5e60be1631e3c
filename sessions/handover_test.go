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

// TestSchedulerHandoverOnShutdown stops the daemon that schedules the service
// assistant in the region maz. The other daemon must switch to the next
// scheduler before it loses the connection to the old one: a daemon that waits
// for the loss is granted no slots in between.
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
	c.Assert(waitFor("loss of the scheduler link", func() error {
		if f.firstLogLine(other, event.SchedulerLinkLost, f.host(scheduler)) < 0 {
			return errors.New("the event is not in the log")
		}
		return nil
	}), qt.IsNil)
	changed := f.firstLogLine(other, event.SchedulerChanged, f.host(scheduler))
	lost := f.firstLogLine(other, event.SchedulerLinkLost, f.host(scheduler))
	c.Check(changed >= 0 && changed < lost, qt.IsTrue, qt.Commentf("scheduler changed in log line %d, link lost in log line %d", changed, lost))
}

// firstLogLine returns the index of the first log line of daemon n that has the
// event and names the host in the field before or, if that is empty, in the
// field peer. It returns -1 if there is none.
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
