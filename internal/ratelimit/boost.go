package ratelimit

import "time"

const (
	// boostLimit is the fraction of the limit up to which routers that need more are
	// boosted. Many of their turns end unused: a router rarely has a request for just
	// that endpoint within one.
	boostLimit = 0.8
	// boostStep is the time between two changes of a boost, boostUp and boostDown the
	// factors by which it changes.
	boostStep = 100 * time.Millisecond
	boostUp   = 1.05
	boostDown = 0.8
	// needMemory is how long a request that was kept from an endpoint counts as a need.
	needMemory = time.Second
	// maxRateBoost bounds by how much more often a router has turns. It is small, as
	// what the routers send before they have heard of each other grows with it.
	maxRateBoost = 1.5
)

// boost makes the turns of a router longer and more frequent while it needs more and the
// routers together leave a part of the limit unused.
type boost struct {
	// factor is the length of a turn in minTurn, from 1 to maxTurn/minTurn.
	factor float64
	// changedAt is when the factor was last changed, and neededAt when a request was
	// last kept from the endpoint.
	changedAt, neededAt time.Time
}

func newBoost() boost { return boost{factor: 1} }

// update changes the boost by one step. used is the fraction of what the limit allows
// within Window that all routers have sent.
func (b *boost) update(now time.Time, m mode, used float64) {
	if now.Sub(b.changedAt) < boostStep {
		return
	}
	b.changedAt = now
	switch {
	case !m.boosted:
		b.factor = 1
	case used < boostLimit && now.Sub(b.neededAt) < needMemory:
		b.factor = min(b.factor*boostUp, float64(maxTurn/minTurn))
	default:
		b.factor = max(b.factor*boostDown, 1)
	}
}

// turn returns how long the router may use a turn.
func (b *boost) turn() time.Duration { return time.Duration(b.factor * float64(minTurn)) }

// rate returns by how much more often the router has turns.
func (b *boost) rate() float64 { return min(b.factor, maxRateBoost) }
