package balance

import (
	"time"

	"oleanderramp/internal/ratelimit"
	"oleanderramp/pkg/routing"
)

// coldPenaltyMS is the cost of a cold endpoint, expressed in milliseconds: a warm one is
// preferred unless it takes clearly longer.
const coldPenaltyMS = 100.0

// coldLimits is what the balancer knows about the limits of cold endpoints.
type coldLimits struct {
	// overrun and slack are as in ratelimit.ColdLimit. roster is nil if cold endpoints
	// are not limited.
	overrun, slack float64
	roster         *ratelimit.Roster
}

// LimitColdEndpoints makes this router, whose id is router, keep the limits of cold
// endpoints, for services that state any.
func (b *Balancer) LimitColdEndpoints(router uint64, overrun, slack float64) {
	b.cold = coldLimits{overrun: overrun, slack: slack, roster: ratelimit.NewRoster(router)}
}

// SetRoster replaces the ids of the site's routers. digest identifies the list; ids are
// ignored if it is that of the last one.
func (b *Balancer) SetRoster(now time.Time, digest uint64, ids []uint64) {
	if b.cold.roster != nil {
		b.cold.roster.Update(now, digest, ids)
	}
}

// RosterDigest returns the digest of the last list of routers; 0 if there was none.
func (b *Balancer) RosterDigest() uint64 {
	if b.cold.roster == nil {
		return 0
	}
	return b.cold.roster.Digest()
}

// MarkUnknownTemperature records that the endpoints of the zone may have become cold
// before now, such as at the end of an evacuation. Each counts as cold until it has
// announced itself after that.
func (b *Balancer) MarkUnknownTemperature(zone string, now time.Time) {
	for _, e := range b.endpoints {
		if e.entry.Zone == zone {
			e.unknownSince = now
			b.updateTemperature(now, e)
		}
	}
}

// limitCold sets the limit for the times when the endpoint is cold, as the routing table
// states it for the service.
func (b *Balancer) limitCold(e *endpoint, definition *routing.Service) {
	if b.cold.roster == nil || definition == nil || definition.ColdPerSecond == 0 {
		e.cold, e.isCold = nil, false
		return
	}
	limit := ratelimit.ColdLimit{PerSecond: definition.ColdPerSecond, Overrun: b.cold.overrun, Slack: b.cold.slack}
	e.coldStart = definition.ColdStart
	if e.cold == nil {
		e.cold = ratelimit.NewCold(limit, e.hash, b.cold.roster)
		return
	}
	e.cold.SetLimit(limit)
}

// updateTemperature records whether the endpoint counts as cold. It does so too while
// this router is out of touch, as news of a cold phase would not reach it.
func (b *Balancer) updateTemperature(now time.Time, e *endpoint) {
	if e.cold == nil {
		return
	}
	if b.cold.roster.Absent() {
		e.isCold = false
		return
	}
	cold := now.Before(e.entry.ColdUntil()) || now.Sub(e.entry.FirstSeen) < e.coldStart ||
		!e.entry.LastSeen.After(e.unknownSince) || !b.cold.roster.InTouch(now)
	if cold && !e.isCold {
		e.cold.Begin(now)
	}
	e.isCold = cold
}

// nextColdTurn returns from when on this router may send the endpoint a request, as long
// as it is cold; zero if it is warm.
func (b *Balancer) nextColdTurn(now time.Time, e *endpoint) time.Time {
	b.updateTemperature(now, e)
	if !e.isCold {
		return time.Time{}
	}
	return e.cold.NextTurn(now, b.fleetFor(now, e))
}

// recordSent records that this router sends the endpoint a request.
func (e *endpoint) recordSent(now time.Time) {
	if e.limiter != nil {
		e.limiter.Record(now)
	}
	if e.cold != nil {
		e.cold.Record(now)
	}
}

// recentlySent returns what this router has sent lately, if the limits of the endpoint
// need that.
func (e *endpoint) recentlySent(now time.Time) ratelimit.Sent {
	switch {
	case e.limiter != nil:
		return e.limiter.Sent(now)
	case e.isCold:
		return e.cold.Sent(now)
	default:
		return ratelimit.Sent{}
	}
}

// ColdEndpoints returns the number of endpoints that count as cold.
func (b *Balancer) ColdEndpoints(now time.Time) int {
	count := 0
	for _, e := range b.endpoints {
		if b.updateTemperature(now, e); e.isCold {
			count++
		}
	}
	return count
}
