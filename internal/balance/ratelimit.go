package balance

import (
	"math/rand/v2"
	"time"

	"oleanderramp/internal/directory"
	"oleanderramp/internal/ratelimit"
)

// fleetSizeMemory is how long the highest number of routers is remembered. Routers that
// restart or are out of touch for a while are not reported, but go on sending.
const fleetSizeMemory = time.Minute

// fleet is what the balancer knows of the other routers of the site.
type fleet struct {
	// size is the highest number of routers, including this one, that was reported
	// within fleetSizeMemory, or a higher one before; sizeAt is when it was reported.
	size   int
	sizeAt time.Time
	// counted reports whether the loads of all other routers count their requests.
	counted bool
}

// SetFleet records how many other routers there are, and whether the loads of all of
// them count their recent requests.
func (b *Balancer) SetFleet(now time.Time, others int, counted bool) {
	if size := others + 1; size >= b.fleet.size || now.Sub(b.fleet.sizeAt) >= fleetSizeMemory {
		b.fleet.size, b.fleet.sizeAt = size, now
	}
	b.fleet.counted = counted
}

// setRateLimit records the rate limit that the endpoint last stated.
func (b *Balancer) setRateLimit(now time.Time, e *endpoint, limit directory.RateLimit) {
	e.rateLimit = limit
	switch {
	case limit.PerSecond == 0:
		e.limiter = nil
	case e.limiter == nil:
		e.limiter = ratelimit.New(now, limit.PerSecond, b.fleetFor(now, e), rand.Float64())
	default:
		e.limiter.SetPerSecond(now, limit.PerSecond)
	}
}

// fleetFor returns what is known of the other routers' requests to the endpoint.
func (b *Balancer) fleetFor(now time.Time, e *endpoint) ratelimit.Fleet {
	known := b.fleet.counted && now.Sub(e.othersAt) < otherLoadsMaxAge
	return ratelimit.Fleet{Routers: max(b.fleet.size, 1), Others: e.others.Recent, Known: known}
}

// nextTurn returns from when on this router may send the endpoint a request, by its rate
// limit and as long as it is cold; zero if there is no limit.
func (b *Balancer) nextTurn(now time.Time, e *endpoint) time.Time {
	turn := b.nextColdTurn(now, e)
	if e.limiter == nil {
		return turn
	}
	e.limiter.SetFleet(now, b.fleetFor(now, e))
	if next := e.limiter.NextTurn(now); next.After(turn) {
		return next
	}
	return turn
}

// RateLimitReport is a rate limit that the start of an endpoint has stated.
type RateLimitReport struct {
	Endpoint string
	Started  time.Time
	Limit    directory.RateLimit
}

// RateLimitReports returns the rate limits that this router has heard from endpoints
// and that its directory does not have.
func (b *Balancer) RateLimitReports() []RateLimitReport {
	var list []RateLimitReport
	for id, e := range b.endpoints {
		if ratelimit.Differ(e.rateLimit.PerSecond, e.entry.RateLimit.PerSecond) && e.rateLimit.Supersedes(e.entry.RateLimit) {
			list = append(list, RateLimitReport{Endpoint: id, Started: e.entry.Started, Limit: e.rateLimit})
		}
	}
	return list
}

// RecordRateLimit records how many requests a second the endpoint takes from all
// routers together, as its answer to this request states; 0 stands for no limit. It
// returns the limits before and after it.
func (r *Reservation) RecordRateLimit(now time.Time, perSecond float64) (before, after float64) {
	e := r.endpoint
	before = e.rateLimit.PerSecond
	if perSecond == 0 && !r.sentAt.After(e.rateLimit.StatedAt) {
		// This answer may have been on its way when the limit was stated.
		return before, before
	}
	r.balancer.setRateLimit(now, e, directory.RateLimit{PerSecond: perSecond, StatedAt: now})
	return before, perSecond
}
