package peer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// errSilent is the cause with which a call ends whose host sends nothing.
var errSilent = errors.New("the host sent nothing within the timeout")

// silence ends a context once a host has sent nothing for the timeout.
type silence struct {
	timeout  time.Duration
	received *atomic.Uint64
	cancel   context.CancelCauseFunc

	// mu guards the fields below.
	mu      sync.Mutex
	stopped bool
	// timer expires at the end of the timeout since it was last set.
	timer *time.Timer
	// before is the value of received when the timer was last set.
	before uint64
}

// watchSilence returns a context that ends with errSilent once received has not grown for
// the timeout. It is to be stopped.
func watchSilence(ctx context.Context, timeout time.Duration, received *atomic.Uint64) (context.Context, *silence) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &silence{timeout: timeout, received: received, cancel: cancel, before: received.Load()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(timeout, s.expired)
	return ctx, s
}

func (s *silence) expired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	received := s.received.Load()
	switch {
	case s.stopped: // It was stopped as the timer expired.
	case received == s.before:
		s.cancel(errSilent)
	default:
		s.before = received
		s.timer.Reset(s.timeout)
	}
}

// stop ends the context without errSilent, unless it has ended.
func (s *silence) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
	s.cancel(nil)
}
