package site

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// pauseBeat is the interval at which a router notes that it runs, and
	// pauseThreshold how long without a note it must have been to count as paused.
	pauseBeat      = 100 * time.Millisecond
	pauseThreshold = time.Second
	// resumeWait bounds how long requests wait, after a pause, for the answer of a
	// control host.
	resumeWait = 500 * time.Millisecond
)

// pauseWatch notices that the process was paused, for instance stopped by its platform or
// suspended with its host. The routing table may then be out of date, and its keys
// withdrawn. Requests wait until a control host has answered a call that began after the
// pause, or for resumeWait: a router out of touch with them serves as before.
type pauseWatch struct {
	// uptime returns the time of a clock that does not stop.
	uptime func() time.Duration

	// mu guards the fields below.
	mu sync.Mutex
	// seenAt is when this process was last seen to run.
	seenAt time.Duration
	// stale is set from a pause to the first answer after it. resumedAt is when the
	// pause was noticed, and synced is closed when stale is cleared.
	stale     bool
	resumedAt time.Duration
	synced    chan struct{}
}

func newPauseWatch(uptime func() time.Duration) *pauseWatch {
	return &pauseWatch{uptime: uptime, seenAt: uptime()}
}

// beat notes that the process runs, and returns the time.
func (p *pauseWatch) beat() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.uptime()
	if now-p.seenAt >= pauseThreshold && !p.stale {
		p.stale, p.synced = true, make(chan struct{})
	}
	if now-p.seenAt >= pauseThreshold {
		p.resumedAt = now
	}
	p.seenAt = now
	return now
}

// answered records the answer to a call to a control host that began at that time.
func (p *pauseWatch) answered(began time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stale && began >= p.resumedAt {
		p.stale = false
		close(p.synced)
	}
}

// wait returns how long a request that arrives now waits at most, and the channel that
// ends its wait.
func (p *pauseWatch) wait() (time.Duration, <-chan struct{}) {
	now := p.beat()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stale {
		return 0, nil
	}
	return p.resumedAt + resumeWait - now, p.synced
}

// hold returns a handler that holds requests back after a pause.
func (p *pauseWatch) hold(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if limit, synced := p.wait(); limit > 0 {
			awaitResumed(r.Context(), limit, synced)
		}
		next.ServeHTTP(w, r)
	})
}

func awaitResumed(ctx context.Context, limit time.Duration, synced <-chan struct{}) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-synced:
	case <-timer.C:
	case <-ctx.Done():
	}
}
