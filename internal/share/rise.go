package share

import "time"

// riseSpan is the shortest time over which the rise of a sum is measured.
const riseSpan = 250 * time.Millisecond

// rise measures how fast the tokens rise that accounts ask for within the window. When
// accounts begin to send, what they ask for adds up over a whole window, while those that
// ask for most could use the capacity of all others.
type rise struct {
	// earlier holds the tokens asked for as of earlierAt, and latest those as of
	// latestAt, which is riseSpan later or more; nil before the first.
	earlier, latest     map[string]float64
	earlierAt, latestAt time.Time
}

// advance records the use of each account at all routers.
func (r *rise) advance(now time.Time, totals map[string]Use) {
	if r.latest != nil && now.Sub(r.latestAt) < riseSpan {
		return
	}
	asked := make(map[string]float64, len(totals))
	for account, u := range totals {
		asked[account] = u.Asked
	}
	r.earlier, r.earlierAt = r.latest, r.latestAt
	r.latest, r.latestAt = asked, now
	if r.earlier == nil {
		r.earlier, r.earlierAt = asked, now
	}
}

// demand returns the tokens that the account asks for per window: those of the last
// window, or, if they rise, as many as it asks for at present at least.
func (r *rise) demand(now time.Time, u Use, window time.Duration) float64 {
	span := max(now.Sub(r.earlierAt), riseSpan)
	rate := (u.Asked - r.earlier[u.Account]) / span.Seconds()
	return max(u.Asked, rate*window.Seconds())
}
