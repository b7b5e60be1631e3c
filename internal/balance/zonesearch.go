package balance

import (
	"cmp"
	"slices"
	"time"

	"oleanderramp/internal/locality"
)

// zoneSearch is the choice of an endpoint for one demand by zones.
type zoneSearch struct {
	balancer *Balancer
	now      time.Time
	service  *service
	holders  cacheHolders
	// outside is as in candidates.
	outside bool
	demand  Demand
	chain   []link
}

// choose returns the best endpoint: in the router's zone, or elsewhere if the request
// leaves it. A request for which the zone has no endpoint is placed in the region, and then
// in any other, as leaving always pays compared with a rejection.
func (q zoneSearch) choose() Choice {
	s := q.service
	s.bytes += trafficSmoothing * (s.trafficBytes(q.demand) - s.bytes)
	s.promptTokens += trafficSmoothing * (float64(q.demand.Prompt.Tokens) - s.promptTokens)
	result := q.among(s.endpointsAt(q.balancer.placement.home, locality.SameZone))
	if result.Reason == "" {
		return q.leave(result)
	}
	reason := locality.Busy
	if result.Reason == NoEndpoint {
		reason = locality.NoEndpoint
	}
	for _, distance := range []locality.Distance{locality.SameRegion, locality.OtherRegion} {
		next := q.among(s.endpointsAt(q.balancer.placement.home, distance))
		if next.Reason == "" {
			next.Left = reason
			return next
		}
		if next.Reason == Busy {
			result.Reason = Busy
		}
		result.NextTurn = earlier(result.NextTurn, next.NextTurn)
	}
	return result
}

// leave returns the best endpoint elsewhere if the request leaves the zone, and otherwise
// the one in the zone. Compared are the zone that the request has drawn, the endpoint that
// has read most of its shared prompt parts and, of a small service, all endpoints.
func (q zoneSearch) leave(stay Choice) Choice {
	home := q.balancer.placement.home
	if drawn := q.service.shares.Draw(q.draw(zoneDraw)); drawn != home {
		if choice, ok := q.better(stay, q.service.endpointsOf(drawn), true); ok {
			choice.Left = locality.Faster
			return choice
		}
	}
	if holder := q.holders.most(); holder != nil && placeOf(holder) != home {
		choice := q.among([]*endpoint{holder})
		rtt, cost := q.balancer.distanceMS(q.service, holder, q.demand)
		if choice.Reason == "" && locality.LeavesForCache(q.option(stay), q.option(choice), rtt+cost, q.draw(cacheDraw)) {
			choice.Left = locality.Cached
			return choice
		}
	}
	if len(q.service.endpoints) > maxCompared {
		return stay
	}
	others := append(q.service.endpointsAt(home, locality.SameRegion), q.service.endpointsAt(home, locality.OtherRegion)...)
	if choice, ok := q.better(stay, others, false); ok {
		choice.Left = locality.Faster
		return choice
	}
	return stay
}

// The draws of a request are independent of each other.
const (
	zoneDraw uint64 = iota + 1
	cacheDraw
)

// draw returns one of the request's random numbers in [0, 1).
func (q zoneSearch) draw(kind uint64) float64 {
	const mantissaBits = 53
	return float64(mixHash(q.demand.Seed+kind)>>(64-mantissaBits)) / (1 << mantissaBits)
}

// better returns the best of the endpoints, and whether it is worth leaving the zone for.
func (q zoneSearch) better(stay Choice, endpoints []*endpoint, drawn bool) (Choice, bool) {
	choice := q.among(endpoints)
	return choice, choice.Reason == "" && locality.Leaves(q.option(stay), q.option(choice), drawn)
}

// option returns the predicted times and the cost of a choice.
func (q zoneSearch) option(c Choice) locality.Option {
	o := locality.Option{FirstMS: milliseconds(c.Predicted), CostMS: c.costMS - milliseconds(c.Predicted)}
	if engine := q.service.engine; engine != nil && engine.TokensPerEvent > 0 {
		answer := locality.Answer{Tokens: q.demand.Prompt.Output, TokensPerEvent: engine.TokensPerEvent}
		o.StreamMS = answer.Events() * q.service.eventInterval(q.balancer.endpoints[c.Endpoint.ID])
	}
	return o
}

// among returns the best of the endpoints, compared in groups in the demand's order of
// preference.
func (q zoneSearch) among(endpoints []*endpoint) Choice {
	key := preferenceKey(q.demand, q.chain)
	ordered := slices.Clone(endpoints)
	for _, e := range ordered {
		e.score = mixHash(e.hash ^ key)
	}
	slices.SortFunc(ordered, func(a, b *endpoint) int { return cmp.Compare(b.score, a.score) })
	groups := slices.Collect(slices.Chunk(ordered, groupSize))
	return q.balancer.chooseInGroups(q.now, q.service, groups, q.outside, q.holders, q.demand, q.chain)
}
