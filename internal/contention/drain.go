package contention

import (
	"math"
	"time"
)

// decayed returns the requests placed, with less weight for older ones.
func (d *drain) decayed(now time.Time) float64 {
	return d.placed * math.Exp2(-max(now.Sub(d.at).Seconds(), 0)/drainHalfLife.Seconds())
}

// perSecond returns the rate at which waiting requests are placed.
func (d *drain) perSecond(now time.Time) float64 {
	return d.decayed(now) * math.Ln2 / drainHalfLife.Seconds()
}
