package site

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLongRunQueueIsALag guards against a router that takes seconds for each request,
// because goroutines that wake each other at once hide in the mean latency how long
// those that wait for the network take.
func TestLongRunQueueIsALag(t *testing.T) {
	c := qt.New(t)
	var w probeWindow
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d * time.Millisecond) }
	probe := func(from, to time.Duration) {
		c.Assert(w.start(at(from)), qt.IsTrue)
		w.end(at(to))
	}
	c.Check(w.shortest(at(0)), qt.Equals, time.Duration(0))
	probe(0, 1)
	c.Assert(w.start(at(50)), qt.IsTrue)
	c.Check(w.start(at(100)), qt.IsFalse)
	c.Check(w.shortest(at(200)), qt.Equals, time.Millisecond) // A burst may delay one probe.
	c.Check(w.shortest(at(260)), qt.Equals, 210*time.Millisecond)
	w.end(at(400))
	probe(420, 700)
	c.Check(w.shortest(at(710)), qt.Equals, 280*time.Millisecond)
	probe(750, 751)
	c.Check(w.shortest(at(752)), qt.Equals, time.Millisecond)
}

// TestQuotaPauseIsNoLag guards against requests that are refused although the machine
// only pauses until the next period of its processor quota.
func TestQuotaPauseIsNoLag(t *testing.T) {
	const (
		period = 100 * time.Millisecond
		runs   = 19 * time.Millisecond
	)
	c := qt.New(t)
	var w probeWindow
	start := time.Now()
	for k := range 20 {
		resumed := start.Add(time.Duration(k) * period)
		c.Assert(w.start(resumed), qt.IsTrue)
		w.end(resumed.Add(time.Millisecond))
		c.Assert(w.start(resumed.Add(runs)), qt.IsTrue)
		c.Check(w.shortest(resumed.Add(period)), qt.Equals, time.Millisecond)
		w.end(resumed.Add(period))
	}
}

func TestStandingLagOfIdleProcess(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	lag := newStandingLag(ctx)
	for seen := 0; seen == 0; {
		lag.mu.Lock()
		seen = len(lag.probes.ended)
		lag.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	c.Check(lag.value(time.Now()) < time.Second, qt.IsTrue)
	cancel()
	lag.close()
}
