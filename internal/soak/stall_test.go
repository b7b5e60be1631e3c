package soak

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStallsAreFaults checks that a request beside a stall of the soak is not reported as
// lost, and that others are.
func TestStallsAreFaults(t *testing.T) {
	const began, ended = 20 * time.Second, 23 * time.Second
	tests := []struct {
		name string
		at   stall
		want string
	}{
		{"within the request", stall{21 * time.Second, 22 * time.Second}, ""},
		{"shortly before", stall{15 * time.Second, 17 * time.Second}, ""},
		{"long before", stall{14 * time.Second, 15 * time.Second}, "LOST"},
		{"afterwards", stall{24 * time.Second, 25 * time.Second}, "LOST"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &Site{recorder: &recorder{started: time.Now()}, ledger: newLedger(), faultFreeFrom: 10 * time.Second}
			s.recordStall(test.at)
			s.ledger.begin(&sentRequest{
				kind: requestKinds[3], id: "r", account: "large", failure: errors.New("EOF"), began: began, ended: ended,
				executions: []execution{{endpoint: "e", service: plainService, account: "large"}},
			})
			s.checkLedger()
			qt.Check(t, violatedInvariants(s), qt.Equals, test.want)
		})
	}
}

// TestRunningClock guards against bounds that end while neither the soak nor its
// processes run, and against bounds that a slow machine extends.
func TestRunningClock(t *testing.T) {
	const short = minStall + stallCheckInterval - time.Millisecond
	tests := []struct {
		name string
		gaps []time.Duration
		want time.Duration
	}{
		{"running", []time.Duration{stallCheckInterval, stallCheckInterval}, 2 * stallCheckInterval},
		{"slow", []time.Duration{short, short}, 2 * short},
		{"stalled", []time.Duration{stallCheckInterval, time.Hour}, 2 * stallCheckInterval},
		{"shortest stall", []time.Duration{short + time.Millisecond}, stallCheckInterval},
		{"runs again", []time.Duration{time.Minute, short, stallCheckInterval}, short + 2*stallCheckInterval},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			clock := runningClock{last: now}
			for _, gap := range test.gaps {
				now = now.Add(gap)
				clock.advance(now)
			}
			qt.Check(t, clock.ran, qt.Equals, test.want)
		})
	}
}

// TestBoundsOfARunningProcess checks that a bound ends at its time while the process
// runs, no later.
func TestBoundsOfARunningProcess(t *testing.T) {
	for _, timeout := range []time.Duration{time.Millisecond, recoveryTimeout, shutdownTimeout + 3*time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			ctx, cancel := withRunningTimeout(t.Context(), timeout)
			defer cancel()
			<-ctx.Done()
			qt.Check(t, time.Since(start), qt.Equals, timeout)
		})
	}
}

// TestEndBeforeTheBound checks that what ends in time is not reported.
func TestEndBeforeTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		done := make(chan struct{})
		time.AfterFunc(recoveryTimeout-time.Millisecond, func() { close(done) })
		qt.Check(t, awaitWhileRunning(done, recoveryTimeout), qt.IsTrue)
	})
}

// TestRunningProcessHasNoStalls checks that nothing is recorded while the process runs.
func TestRunningProcessHasNoStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Site{recorder: &recorder{started: time.Now()}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		s.watchStalls(ctx)
		qt.Check(t, s.stalls, qt.HasLen, 0)
	})
}
