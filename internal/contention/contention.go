// Package contention decides which of the requests that compete for the slots and the
// memory of a site's engines runs next, which waits, and which is refused at once and until
// when.
//
// Each router decides by itself, from what it knows of all routers. What a request may take
// of an engine depends on its rank and on the larger requests of its service, so that the
// same rule at all routers leaves room for those that come to another router a moment later.
//
// It does no I/O and reads no clock: the current time is an argument.
package contention

import (
	"math"

	"oleanderramp/internal/share"
)

// Rank is the precedence of a request by its account's share; lower goes first.
type Rank int

// The ranks.
const (
	// BelowShare requests belong to an account that asks for no more than its share.
	BelowShare Rank = iota
	// WithinShare requests are among those by which an account that asks for more reaches
	// its share.
	WithinShare
	// Spare requests are beyond the account's share.
	Spare
)

const (
	// withinFill is the fraction of an engine that requests WithinShare may fill. The rest
	// is for those BelowShare that arrive before the routers hear of each other.
	withinFill = 0.9
	// minWithinFill is the same while lackFraction of the requests BelowShare or more find no
	// endpoint.
	minWithinFill = 0.7
	lackFraction  = 0.1
	// fillStep is the step in which fractions change, so that few of them are in use.
	fillStep = 0.05
	// maxSpareFill and minSpareFill are the same for Spare requests, while an endpoint is
	// found for all requests within their shares and while scarceFraction finds none.
	maxSpareFill = 0.8
	minSpareFill = 0.5
	// scarceFraction is the fraction of the requests within their shares without an
	// endpoint from which on capacity counts as scarce.
	scarceFraction = 0.1
)

// RankOf returns the rank of a request of an account with the share. within reports whether
// it is within the share.
func RankOf(s share.Share, within bool) Rank {
	switch {
	case !within:
		return Spare
	case s.AsksWithinShare():
		return BelowShare
	default:
		return WithinShare
	}
}

// Fill returns the fraction of an engine's slots, memory and prefill queue that may be in
// use with a request of the rank. unplaced is the fraction of the requests of all accounts
// that were within their shares and found no endpoint, and lack the same of those BelowShare.
func (r Rank) Fill(unplaced, lack float64) float64 {
	switch r {
	case BelowShare:
		return 1
	case WithinShare:
		return toStep(withinFill - min(lack/lackFraction, 1)*(withinFill-minWithinFill))
	default:
		scarcity := min(max(unplaced/scarceFraction, lack/lackFraction), 1)
		return toStep(maxSpareFill - scarcity*(maxSpareFill-minSpareFill))
	}
}

func toStep(fraction float64) float64 { return math.Round(fraction/fillStep) * fillStep }
