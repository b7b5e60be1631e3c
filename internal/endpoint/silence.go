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
	// since is when the call began to wait, and limit the duration from then on after
	// which the silence is reported.
	since time.Time
	limit time.Duration
}

// newSilenceTimer returns a timer that has started.
func newSilenceTimer(limit time.Duration, report func(silent time.Duration)) *silenceTimer {
	s := &silenceTimer{report: report, waiting: true, since: time.Now(), limit: limit}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(limit, s.expired)
	return s
}

// start begins to wait for the endpoint.
func (s *silenceTimer) start(limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting, s.reported, s.since, s.limit = true, false, time.Now(), limit
	s.timer.Reset(limit)
}

// stop ends the wait.
func (s *silenceTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = false
	s.timer.Stop()
}

// expired reports the silence, now and every silenceCheckPeriod, until the wait ends.
func (s *silenceTimer) expired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	silent := time.Since(s.since)
	if !s.waiting || silent < s.limit {
		return // The wait ended as the timer expired.
	}
	s.reported = true
	s.report(silent)
	s.timer.Reset(silenceCheckPeriod)
}

// wasSilent reports whether the endpoint was silent for longer than the limit in the last
// wait.
func (s *silenceTimer) wasSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reported
}
