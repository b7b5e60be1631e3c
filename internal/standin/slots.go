package standin

import (
	"container/list"
	"context"
	"sync"
	"time"
)

// slots limits the number of concurrent requests. Waiting requests are admitted
// in order of arrival, regardless of their client account.
type slots struct {
	mu      sync.Mutex
	free    int
	running int
	// waiting holds a chan struct{} for each request, in order of arrival.
	waiting list.List
	// samples holds past load samples, oldest first.
	samples []sample
}

// sample is the load at one point in time.
type sample struct {
	at              time.Time
	running, queued int
}

// maxSamples is the maximum number of samples that are kept.
const maxSamples = 1024

func newSlots(count int) *slots { return &slots{free: count} }

// acquire waits for a slot.
func (s *slots) acquire(ctx context.Context) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.running++
		s.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	element := s.waiting.PushBack(granted)
	s.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-granted:
		s.releaseLocked()
	default:
		s.waiting.Remove(element)
	}
	return ctx.Err()
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

func (s *slots) releaseLocked() {
	first := s.waiting.Front()
	if first == nil {
		s.free++
		s.running--
		return
	}
	close(s.waiting.Remove(first).(chan struct{}))
}

// load returns the number of running and of queued requests.
func (s *slots) load() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, s.waiting.Len()
}

// delayedLoad records the current load and returns the latest sample that is at
// least lag old, or zeros if there is none yet.
func (s *slots) delayedLoad(now time.Time, lag time.Duration) (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = append(s.samples, sample{at: now, running: s.running, queued: s.waiting.Len()})
	if len(s.samples) > maxSamples {
		s.samples = s.samples[1:]
	}
	for len(s.samples) > 1 && now.Sub(s.samples[1].at) >= lag {
		s.samples = s.samples[1:]
	}
	if now.Sub(s.samples[0].at) < lag {
		return 0, 0
	}
	return s.samples[0].running, s.samples[0].queued
}
