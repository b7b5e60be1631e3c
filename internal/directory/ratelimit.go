package directory

import "time"

// statedMargin is how much later a rate limit must have been stated than another one
// to replace it. Daemons tell each other how long ago that was, so that the times which
// they compare differ by the delay of their messages.
const statedMargin = 100 * time.Millisecond

// RateLimit is how many requests a second an endpoint takes from all routers together.
type RateLimit struct {
	// PerSecond is 0 for no limit.
	PerSecond float64
	// StatedAt is when the endpoint stated this; zero if it stated nothing.
	StatedAt time.Time
}

// Supersedes reports whether r was stated clearly after other.
func (r RateLimit) Supersedes(other RateLimit) bool {
	return !r.StatedAt.IsZero() && r.StatedAt.Sub(other.StatedAt) > statedMargin
}

// merge returns the one of both that was stated last; r unless that is clear.
func (r RateLimit) merge(other RateLimit) RateLimit {
	if other.Supersedes(r) {
		return other
	}
	return r
}

// SetRateLimit records the rate limit that the start of an endpoint has stated to a
// router. It returns Limited if that is news.
func (d *Directory) SetRateLimit(id string, started time.Time, limit RateLimit) Change {
	held, ok := d.entries[id]
	if !ok || !held.Started.Equal(started) {
		return Stale
	}
	e := held.Entry
	e.RateLimit = limit
	return d.merge(e, held.direct)
}
