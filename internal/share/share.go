// Package share decides which requests are within their client account's
// max-min fair share of the fleet's capacity: accounts that ask for less than an
// even share get what they ask for, and all others get the same amount.
//
// It does no I/O and reads no clock: the current time is an argument.
package share

import (
	"math"
	"slices"
)

const (
	// maxLead is the maximum ratio, among accounts that ask for more than they get,
	// of the tokens admitted beyond the fair level for the account that got most to
	// those of the account that got least.
	maxLead = 1.4
	// servedFraction is the fraction of its asked tokens that an account must
	// get to count as served.
	servedFraction = 0.7
)

// Share is an account's share of the capacity within the window, in tokens.
type Share struct {
	// Level is the fair level: the amount for each account that asks for more
	// than an even share.
	Level float64
	// SpareLevel is the amount up to which the account may exceed its fair level.
	// It is never below Level.
	SpareLevel float64
	Use
	// Chance is the fraction of the account's requests that this router may admit towards
	// Level, from 0 to 1.
	Chance float64
	// asking is what the account asks for per window: Asked, or, if the ledger follows endpoints,
	// more where that rises.
	asking float64
	// levelOpen and spareOpen report whether the request that the share was computed for
	// is among those that may be admitted towards Level and towards SpareLevel.
	levelOpen, spareOpen bool
}

// Raised returns the share with a fair level that is higher by the factor, up to
// SpareLevel: what exceeds the fair level must not add up to more than maxLead.
func (s Share) Raised(factor float64) Share {
	s.Level = min(s.Level*factor, s.SpareLevel)
	s.levelOpen = s.spareOpen
	return s
}

// WithinSpareLevel reports whether another request of the account may be
// admitted on an endpoint that has spare capacity.
func (s Share) WithinSpareLevel() bool {
	return s.WithinLevel() || s.spareOpen && s.Admitted < s.SpareLevel
}

// WithinLevel reports whether another request of the account may be admitted
// within its share. The size of the request is not considered, because the
// largest requests would then be refused most often near the level.
func (s Share) WithinLevel() bool {
	return s.asking <= s.Level || s.levelOpen && s.Admitted < s.Level
}

// floodFactor is by how much more than its fair level an account must ask for to count
// as one that floods.
const floodFactor = 2.0

// Floods reports whether the account asks for far more than its fair level, so that most
// of its requests must be refused in any case.
func (s Share) Floods() bool { return s.Asked > floodFactor*s.Level }

// spareLevel returns the amount up to which the account may exceed the level:
// maxLead times the smallest amount admitted for another account that asks for more
// than the level and is not served.
func spareLevel(total map[string]Use, account string, level float64) float64 {
	least := math.Inf(1)
	for name, u := range total {
		if name != account && u.Asked > level && u.Admitted < servedFraction*u.Asked {
			least = min(least, u.Admitted)
		}
	}
	return max(level, maxLead*least)
}

// fairLevel returns the max-min fair level: the amount up to which each demand is
// met when the capacity is divided so that the smallest allocation is as large
// as possible.
func fairLevel(asked []float64, capacity float64) float64 {
	slices.Sort(asked)
	for i, a := range asked {
		even := capacity / float64(len(asked)-i)
		if a >= even {
			return even
		}
		capacity -= a
	}
	if len(asked) == 0 {
		return capacity
	}
	return asked[len(asked)-1] + capacity
}
