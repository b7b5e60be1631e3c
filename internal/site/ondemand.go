package site

import (
	"context"
	"sync"
	"time"
)

// onDemand does work in one goroutine when it is wanted. All who want it before it begins
// share it.
type onDemand struct {
	// wanted is signalled when the work is to begin.
	wanted chan struct{}

	// mu guards ended, which is closed when the work that is wanted next has ended.
	mu    sync.Mutex
	ended chan struct{}
}

func newOnDemand() *onDemand {
	return &onDemand{wanted: make(chan struct{}, 1), ended: make(chan struct{})}
}

// run does the work until the context ends: when it is wanted, and in each period unless
// that is 0.
func (d *onDemand) run(ctx context.Context, period time.Duration, work func(context.Context)) {
	var ticks <-chan time.Time
	if period > 0 {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		ticks = ticker.C
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		case <-d.wanted:
		}
		ended := d.begin()
		work(ctx)
		close(ended)
	}
}

// begin returns the channel to close when the work that begins now has ended.
func (d *onDemand) begin() chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	ended := d.ended
	d.ended = make(chan struct{})
	return ended
}

// want has the work done, and does not wait for it.
func (d *onDemand) want() {
	select {
	case d.wanted <- struct{}{}:
	default: // It is wanted already.
	}
}

// await has the work done, and waits for its end at most for the timeout. It reports
// whether the work has ended.
func (d *onDemand) await(timeout time.Duration) bool {
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	d.want()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
		return false
	}
}
