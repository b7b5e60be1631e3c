package share

import "time"

// scarceFraction is the fraction of the requests within their shares without an endpoint
// from which on the capacity counts as what is placed, and no longer as what is configured.
const scarceFraction = 0.1

// calmFraction is the same fraction below which capacity does not count as scarce at all.
const calmFraction = 0.02

// scarcity is what the requests that found no endpoint say about the capacity.
type scarcity struct {
	// unplaced is the fraction of the requests within their shares without an endpoint.
	unplaced float64
	// lack is the same of the accounts that ask for no more than their share.
	lack float64
	// below and within are the tokens per second that the accounts ask for that ask for no more
	// than their share, and that all accounts ask for up to their share. tried is how many were
	// tried to be placed lately.
	below, within, tried float64
	// reachable is the capacity that the endpoints have at present, in tokens per window.
	reachable float64
}

// newScarcity returns the scarcity of a site with the configured capacity and the use of all
// accounts. A level from the configured capacity would be above what all accounts get where
// endpoints have left, and those that ask most often would then get most.
func newScarcity(configured float64, totals map[string]Use, window time.Duration) scarcity {
	var sum Use
	for _, u := range totals {
		sum = sum.Add(u)
	}
	const recentSpan = recentBuckets + 0.5 // The mean, in buckets.
	perSecond := buckets / (recentSpan * window.Seconds())
	s := scarcity{tried: (sum.Placed + sum.Unplaced) * perSecond, reachable: configured}
	if sum.Unplaced <= 0 {
		return s
	}
	s.unplaced = sum.unplacedFraction()
	placed := min(max(sum.Admitted, sum.Placed*perSecond*window.Seconds()), configured)
	s.reachable = configured - min(s.unplaced/scarceFraction, 1)*(configured-placed)
	return s
}

// unplacedFraction returns the fraction of the requests within the share without an endpoint.
func (u Use) unplacedFraction() float64 {
	if u.Unplaced <= 0 {
		return 0
	}
	return u.Unplaced / (u.Placed + u.Unplaced)
}

// FollowEndpoints makes the ledger compute shares of the capacity that the endpoints are seen
// to have, where that is less than the configured one.
func (l *Ledger) FollowEndpoints() { l.followEndpoints = true }

// Lack returns the fraction of the requests without an endpoint, of the accounts that ask for
// no more than their shares.
func (l *Ledger) Lack() float64 { return l.scarcity.lack }

// Unplaced returns the fraction of the requests of all accounts that were within their shares
// lately and found no endpoint.
func (l *Ledger) Unplaced() float64 { return l.scarcity.unplaced }

// Reachable returns the capacity that the endpoints are seen to have, in tokens per window.
func (l *Ledger) Reachable() float64 { return l.scarcity.reachable }

// Demand returns the tokens per second that all routers want to place: of the accounts that
// ask for no more than their shares, and of all accounts. Until requests find no endpoint, it
// is no less than the capacity: accounts may begin to ask for more at any time, and routers
// hear of it late.
func (l *Ledger) Demand() (below, all float64) {
	below, all = l.scarcity.below, max(l.scarcity.within, l.scarcity.tried)
	if l.scarcity.unplaced < calmFraction {
		capacity := l.levelCapacity / l.window.Seconds()
		return max(below, capacity), max(all, capacity)
	}
	return below, all
}

// PlacedFraction returns the fraction of the account's requests within its share for which an
// endpoint was found lately.
func (s Share) PlacedFraction() float64 { return s.placed() }

// Steady returns the fraction of what the account asks for that is within its share.
func (s Share) Steady() float64 {
	if s.AsksWithinShare() {
		return 1
	}
	return s.Level / s.asking
}

// AsksWithinShare reports whether the account asks for no more than its share.
func (s Share) AsksWithinShare() bool { return s.asking <= s.Level }
