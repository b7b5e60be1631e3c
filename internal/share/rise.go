package share

import "time"

// riseSpan is the shortest time over which the rise of a sum is measured.
const riseSpan = 250 * time.Millisecond

// riseDoubt is by how much a rise must exceed the level for its account to count as one that
// asks for more than its share: a few large requests of a small account rise as fast for a
// moment.
const riseDoubt = 2.0

// rise measures how fast the tokens of accounts rise that count within the window. When
// accounts begin to send, what they ask for adds up over a whole window, while those that
// ask for most could use the capacity of all others.
type rise struct {
	// earlier holds the tokens of each account as of earlierAt, and latest those as of
	// latestAt, which is riseSpan later or more; nil before the first.
	earlier, latest     map[string]float64
	earlierAt, latestAt time.Time
}

// advance records the tokens of each account at all routers.
func (r *rise) advance(now time.Time, totals map[string]Use, tokens func(Use) float64) {
	if r.latest != nil && now.Sub(r.latestAt) < riseSpan {
		return
	}
	current := make(map[string]float64, len(totals))
	for account, u := range totals {
		current[account] = tokens(u)
	}
	r.earlier, r.earlierAt = r.latest, r.latestAt
	r.latest, r.latestAt = current, now
	if r.earlier == nil {
		r.earlier, r.earlierAt = current, now
	}
}

// perWindow returns the tokens of the account per window: those of the last window, or,
// if they rise, as many as at present at least.
func (r *rise) perWindow(now time.Time, account string, tokens float64, window time.Duration) float64 {
	span := max(now.Sub(r.earlierAt), riseSpan)
	rate := (tokens - r.earlier[account]) / span.Seconds()
	return max(tokens, rate*window.Seconds())
}
