package membudget

import "time"

// Allowance bounds the bytes per second that are read only to be discarded. It starts
// full.
type Allowance struct {
	perSecond, burst float64
	left             float64
	at               time.Time
}

// NewAllowance returns an allowance that refills at a rate up to burst, both in bytes.
func NewAllowance(perSecond, burst int64) *Allowance {
	return &Allowance{perSecond: float64(perSecond), burst: float64(burst), left: float64(burst)}
}

// Spend takes bytes from the allowance. It returns false if there are not as many.
func (a *Allowance) Spend(now time.Time, bytes int64) bool {
	if !a.at.IsZero() {
		a.left = min(a.burst, a.left+a.perSecond*max(now.Sub(a.at).Seconds(), 0))
	}
	a.at = now
	if a.left < float64(bytes) {
		return false
	}
	a.left -= float64(bytes)
	return true
}
