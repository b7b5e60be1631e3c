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
