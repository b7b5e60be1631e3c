package site

import (
	"math"
	"runtime/metrics"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestMeanLatencySince(t *testing.T) {
	c := qt.New(t)
	h := &metrics.Float64Histogram{Counts: []uint64{7, 3, 2}, Buckets: []float64{math.Inf(-1), 0.1, 0.2, math.Inf(1)}}
	c.Check(meanLatencySince(h, nil), qt.Equals, 700*time.Millisecond/12)
	c.Check(meanLatencySince(h, []uint64{7, 3, 1}), qt.Equals, 200*time.Millisecond)
	c.Check(meanLatencySince(h, []uint64{7, 3, 2}), qt.Equals, time.Duration(0))
}
