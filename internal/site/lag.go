package site

import (
	"context"
	"math"
	"runtime/metrics"
	"sync/atomic"
	"time"
)

const (
	// lagPeriod is the time between two measurements.
	lagPeriod = 50 * time.Millisecond
	// lagDecay is what is left of a lag after a period without any.
	lagDecay = 0.7
	// schedLatencyMetric is the runtime's histogram of how long goroutines that could
	// run waited for the processor.
	schedLatencyMetric = "/sched/latencies:seconds"
)

// lagMeter measures how long what this process has to do waits for the
// processor.
type lagMeter struct {
	lag atomic.Int64
}

// run measures until the context ends.
func (m *lagMeter) run(ctx context.Context) {
	ticker := time.NewTicker(lagPeriod)
	defer ticker.Stop()
	sample := []metrics.Sample{{Name: schedLatencyMetric}}
	var before []uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		metrics.Read(sample)
		histogram := sample[0].Value.Float64Histogram()
		mean := meanLatencySince(histogram, before)
		before = append(before[:0], histogram.Counts...)
		m.lag.Store(max(int64(mean), int64(lagDecay*float64(m.lag.Load()))))
	}
}

// meanLatencySince returns the mean of what the histogram has counted since before.
func meanLatencySince(h *metrics.Float64Histogram, before []uint64) time.Duration {
	count, sum := 0.0, 0.0
	for i, c := range h.Counts {
		if i < len(before) {
			c -= before[i]
		}
		low := h.Buckets[i]
		if c == 0 || math.IsInf(low, -1) {
			low = 0
		}
		count += float64(c)
		sum += float64(c) * low
	}
	if count == 0 {
		return 0
	}
	return time.Duration(sum / count * float64(time.Second))
}

// value returns the lag.
func (m *lagMeter) value() time.Duration { return time.Duration(m.lag.Load()) }
