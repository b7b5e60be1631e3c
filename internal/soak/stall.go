package soak

import (
	"context"
	"time"
)

const (
	// stallCheckInterval is the time between two checks for a stall.
	stallCheckInterval = 20 * time.Millisecond
	// minStall is the shortest stall that counts: with it, an endpoint's pause may
	// last longer than the time limit of a request allows.
	minStall = 500 * time.Millisecond
)

// stall is a period in which this process did not run. Endpoints, callers and relays
// are part of it, so that for the site under test all of them were frozen.
type stall struct{ from, until time.Duration }

// watchStalls records the stalls of this process until the context ends.
func (s *Site) watchStalls(ctx context.Context) {
	for last := s.since(); sleep(ctx, stallCheckInterval); {
		now := s.since()
		if now-last >= minStall+stallCheckInterval {
			s.recordStall(stall{from: last, until: now})
		}
		last = now
	}
}

func (s *Site) recordStall(found stall) {
	s.recorder.addFault("the soak itself did not run for %v", found.until-found.from)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalls = append(s.stalls, found)
}

// stalled reports whether this process stalled within the interval. A stall is a fault
// like any other.
func (s *Site) stalled(from, to time.Duration) bool {
	for _, found := range s.stalls {
		if found.from <= to && found.until >= from {
			return true
		}
	}
	return false
}

// runningClock counts the time in which this process ran. Its site's processes are
// taken to stall with it, as they do on a machine that stalls.
type runningClock struct {
	last time.Time
	ran  time.Duration
}

// advance adds the time since the last call, at most stallCheckInterval of it if the
// process stalled meanwhile, and returns the time that the process ran.
func (c *runningClock) advance(now time.Time) time.Duration {
	elapsed := now.Sub(c.last)
	if elapsed >= minStall+stallCheckInterval {
		elapsed = stallCheckInterval
	}
	c.last = now
	c.ran += elapsed
	return c.ran
}

// awaitWhileRunning waits until done is closed. It returns false if this process has
// run for the timeout before.
func awaitWhileRunning(done <-chan struct{}, timeout time.Duration) bool {
	clock := runningClock{last: time.Now()}
	for {
		select {
		case <-done:
			return true
		case <-time.After(min(stallCheckInterval, timeout-clock.ran)):
		}
		if clock.advance(time.Now()) >= timeout {
			return false
		}
	}
}

// withRunningTimeout returns a context that ends when this process has run for the
// timeout. The function that it returns ends it before, and waits for the clock.
func withRunningTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		defer cancel()
		awaitWhileRunning(ctx.Done(), timeout)
	}()
	return ctx, func() {
		cancel()
		<-stopped
	}
}
