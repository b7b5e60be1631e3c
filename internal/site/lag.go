package site

import (
	"context"
	"math"
	"runtime/metrics"
	"sync/atomic"
	"time"
)

const (
	// lagPeriod is the interval between two measurements.
	lagPeriod = 50 * time.Millisecond
	// lagDecay is the factor applied to the lag in each period without a higher
	// measurement.
	lagDecay = 0.7
	// schedLatencyMetric is the runtime's histogram of the time that runnable
	// goroutines waited to be scheduled.
	schedLatencyMetric = "/sched/latencies:seconds"
)

// lagMeter measures the scheduling latency of the goroutines of this process.
// The lag follows an increase at once and a decrease by lagDecay.
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

// meanLatencySince returns the mean of the values that the histogram has
// counted since before. Each value counts as the lower bound of its bucket.
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

// value returns the current lag.
func (m *lagMeter) value() time.Duration { return time.Duration(m.lag.Load()) }
