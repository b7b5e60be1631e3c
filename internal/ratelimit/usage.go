package ratelimit

import (
	"math"
	"time"
)

// usage counts requests, of which each counts less the longer ago it was sent. At a
// constant rate it is the number of requests within Window.
type usage struct {
	value float64
	at    time.Time
}

func (u *usage) add(now time.Time) { u.value, u.at = u.count(now)+1, now }

// count returns the present value.
func (u *usage) count(now time.Time) float64 {
	if u.value == 0 {
		return 0
	}
	return u.value * math.Exp(-now.Sub(u.at).Seconds()/Window.Seconds())
}
