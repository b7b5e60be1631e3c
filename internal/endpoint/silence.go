package endpoint

import (
	"errors"
	"sync"
	"time"
)

// ErrSilent is the cause with which a call is cancelled because its endpoint is silent,
// or because another endpoint has answered meanwhile. Such a call fails with Silent.
var ErrSilent = errors.New("no byte within the timeout")

// silenceCheckPeriod is the interval at which a call whose endpoint stays silent reports
// it again.
const silenceCheckPeriod = 100 * time.Millisecond

// maxStallTimeouts is how many progress timeouts a stream may take for its next event
// while its endpoint sends comments or parts of the event, as a sound endpoint does that
// works on a long prompt or event. After that, the stream counts as stalled.
const maxStallTimeouts = 4

// silenceTimer reports that an endpoint has been silent for longer than a limit. It runs
// only while a call waits for the endpoint. It is safe for concurrent use.
type silenceTimer struct {
	// report is called with mu held, so that it never runs after stop has returned.
	report func(silent time.Duration)
	timer  *time.Timer

	mu sync.Mutex
	// waiting is set from start to stop.
	waiting bool
	// reported is set once the silence of the last wait has been reported.
	reported bool
	// since is when the call began to wait for the next bytes, and limit the duration
	// after which their absence is reported.
	since time.Time
	limit time.Duration
	// waited is how long the call has waited before, since the last progress, and
	// stallTimeouts how many limits both waits together may take.
	waited        time.Duration
	stallTimeouts time.Duration
}

// newSilenceTimer returns a timer that has started.
func newSilenceTimer(limit, stallTimeouts time.Duration, report func(silent time.Duration)) *silenceTimer {
	s := &silenceTimer{report: report, waiting: true, since: time.Now(), limit: limit, stallTimeouts: stallTimeouts}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(limit, s.expired)
	return s
}

// start begins to wait for the endpoint after progress.
func (s *silenceTimer) start(limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting, s.reported, s.waited, s.since, s.limit = true, false, 0, time.Now(), limit
	s.timer.Reset(limit)
}

// resume waits on for the endpoint, which has sent something that is no progress.
func (s *silenceTimer) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting, s.since = true, time.Now()
	if s.reported {
		s.timer.Reset(silenceCheckPeriod)
		return
	}
	s.timer.Reset(min(s.limit, s.stallLimit()-s.waited))
}

// stallLimit returns how long the call may wait for progress.
func (s *silenceTimer) stallLimit() time.Duration { return s.limit * s.stallTimeouts }

// stop ends the wait.
func (s *silenceTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting {
		s.waited += time.Since(s.since)
	}
	s.waiting = false
	s.timer.Stop()
}

// expired reports the silence, now and every silenceCheckPeriod, until the wait ends.
func (s *silenceTimer) expired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	silent := time.Since(s.since)
	stalled := s.waited + silent
	if !s.waiting || silent < s.limit && stalled < s.stallLimit() {
		return // The wait ended as the timer expired.
	}
	s.reported = true
	s.report(stalled)
	s.timer.Reset(silenceCheckPeriod)
}

// wasSilent reports whether the endpoint was silent for longer than the limit since its
// last progress.
func (s *silenceTimer) wasSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reported
}
