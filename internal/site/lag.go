package site

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// lagPeriod is the time between two measurements.
	lagPeriod = 20 * time.Millisecond
	// lagDecay is what is left of a lag after a period without any.
	lagDecay = 0.8
)

// lagMeter measures how late this process's timers are: how long what it has
// to do waits for the processor.
type lagMeter struct {
	lag atomic.Int64
}

// run measures until the context ends.
func (m *lagMeter) run(ctx context.Context) {
	for {
		start := time.Now()
		select {
		case <-ctx.Done():
			return
		case <-time.After(lagPeriod):
		}
		late := time.Since(start) - lagPeriod
		m.lag.Store(max(int64(late), int64(lagDecay*float64(m.lag.Load()))))
	}
}

// value returns the lag.
func (m *lagMeter) value() time.Duration { return time.Duration(m.lag.Load()) }
