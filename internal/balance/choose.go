package balance

import (
	"math"
	"time"

	"oleanderramp/internal/locality"
)

// Choose returns the endpoint with the lowest cost for the demand: the predicted
// response time plus penalties. It reserves nothing; Begin does. Endpoints are
// compared in groups, the next one only if no endpoint of the former ones has
// capacity.
func (b *Balancer) Choose(now time.Time, d Demand) Choice {
	s := b.services[d.Service]
	if s == nil {
		return Choice{Reason: NoEndpoint}
	}
	chain := prefixChain(d.Prompt.Parts)
	eligible := b.eligible(s, d)
	holders := s.findCacheHolders(now, b.distanceTo, b.placement != nil, eligible.endpoints, chain)
	if b.placement != nil {
		return zoneSearch{
			balancer: b, now: now, service: s, holders: holders, outside: eligible.outside, demand: d, chain: chain,
		}.choose()
	}
	ordered := groups(eligible.endpoints, b.region, preferenceKey(d, chain))
	return b.chooseInGroups(now, s, ordered, eligible.outside, holders, d, chain)
}

// chooseInGroups returns the best of the first group that has an endpoint with capacity.
// outside is as in candidates.
func (b *Balancer) chooseInGroups(now time.Time, s *service, groups [][]*endpoint, outside bool, holders cacheHolders, d Demand, chain []link) Choice {
	result := Choice{Reason: NoEndpoint}
	for _, group := range groups {
		usable := candidates{endpoints: make([]*endpoint, 0, len(group)), outside: outside}
		for _, e := range group {
			if !e.down(now) && e.permits(d) && d.allows(e.entry) {
				usable.endpoints = append(usable.endpoints, e)
			}
		}
		if len(usable.endpoints) == 0 {
			continue
		}
		turn := result.NextTurn
		if result = b.chooseAmong(now, s, usable, holders, d, chain); result.Reason == "" {
			break
		}
		result.NextTurn = earlier(turn, result.NextTurn)
	}
	return result
}

// chooseAmong returns the best of the candidates.
func (b *Balancer) chooseAmong(now time.Time, s *service, usable candidates, holders cacheHolders, d Demand, chain []link) Choice {
	best, bestCost := Choice{Reason: Busy}, math.Inf(1)
	var nextTurn time.Time
	preferred, key := s.preferredEndpoint(b.region, usable, chain), preferenceKey(d, chain)
	for _, e := range usable.endpoints {
		load := e.load(now)
		source, cachedTokens, fetchCost := b.fetchSource(s, holders, e)
		uncached := max(d.Prompt.Tokens-cachedTokens, 0)
		idlePredicted := s.predict(e, Load{}, uncached)
		predicted := s.predict(e, load, uncached) + s.fetchMS(cachedTokens-holders.tokens[e])
		bounded := predicted
		rtt, trafficCost := b.distanceMS(s, e, d)
		predicted += rtt
		if !usable.outside { // Otherwise the time to another region can't be avoided.
			bounded = predicted
		}
		if !s.fits(e, load, d) || !s.inTime(e, load, d, bounded, idlePredicted) {
			continue
		}
		if turn := b.nextTurn(now, e); turn.After(now) {
			nextTurn = earlier(nextTurn, turn)
			continue
		}
		cost := predicted + e.failures*failurePenaltyMS + trafficCost
		if e.isCold {
			cost += coldPenaltyMS
		}
		spread := 0.0
		if b.sharesSpeeds(s) {
			spread = s.spreadCost(e, load, d, uncached, key)
		}
		switch {
		case cachedTokens > holders.tokens[e]:
			cost += fetchPenaltyMS + fetchCost
		case e == preferred && cachedTokens == 0:
			cost -= preferredCachedFraction * float64(sharedTokens(chain)) / s.prefillRate(e)
		}
		if cost+spread < bestCost {
			bestCost = cost + spread
			best = Choice{Endpoint: e.entry, Predicted: duration(predicted), Uncached: uncached, Load: load, costMS: cost, chain: chain}
			best.fetchMS = s.fetchMS(cachedTokens - holders.tokens[e])
			if source != nil {
				best.Source = source.entry
			}
		}
	}
	if best.Reason != "" {
		best.NextTurn = nextTurn
	}
	return best
}

// earlier returns the earlier of both times; a zero one is not set.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// preferredEndpoint returns the candidate of the region that is preferred for
// requests with the same shared parts while no endpoint is known to have read
// them. It uses rendezvous hashing, weighted by speed if speeds are shared, so that all
// routers of the region prefer the same endpoint. If the request is kept from the region,
// candidates of all regions count. It returns nil when the prompt has no shared parts.
func (s *service) preferredEndpoint(region string, usable candidates, chain []link) *endpoint {
	if s.engine == nil || len(chain) < 2 {
		return nil
	}
	key := chain[len(chain)-2].key
	var preferred *endpoint
	var highest float64
	for _, e := range usable.endpoints {
		if e.entry.Region != region && !usable.outside {
			continue
		}
		if score := gumbel(mixHash(e.hash^key)) + math.Log(s.relativeSpeed(e)); preferred == nil || score > highest {
			preferred, highest = e, score
		}
	}
	return preferred
}

// predict returns the predicted time until the first event or the answer, in
// milliseconds.
func (s *service) predict(e *endpoint, load Load, uncached int) float64 {
	if s.engine != nil {
		return s.firstEventOverhead() + float64(load.Prefill+uncached)/s.prefillRate(e)
	}
	return s.answerMS * max(1, float64(load.Running+1)/float64(max(e.entry.Slots, 1)))
}

// fetchMS returns how long an engine takes to fetch the cached tokens from
// another engine, in milliseconds.
func (s *service) fetchMS(tokens int) float64 {
	if tokens <= 0 {
		return 0
	}
	return fetchSetupMS + float64(tokens)/s.engine.FetchRate
}

// fits reports whether the endpoint has a slot and enough memory for the
// request.
func (s *service) fits(e *endpoint, load Load, d Demand) bool {
	slots := float64(max(e.entry.Slots, 1))
	if s.engine == nil {
		return float64(load.Running) < plainRequestsPerSlot*slots
	}
	if d.Room != nil {
		return s.fitsRoom(e, d)
	}
	if d.SpareOnly {
		slots *= spareSlotFraction
	}
	if float64(load.Running) >= slots {
		return false
	}
	memory := float64(s.engine.MemoryTokens) * memoryFraction
	return load.Running == 0 || memory == 0 || float64(load.Memory+d.Prompt.Tokens+d.Prompt.Output) <= memory
}

// inTime reports whether the first event and the whole answer are predicted to
// come in time. A prompt that would exceed the maximum response time even on an
// idle engine may wait for latePromptFraction of that time in addition. If a
// plain service was slower than that time, its idle endpoints count as in time: only
// an answer can show that they no longer are.
func (s *service) inTime(e *endpoint, load Load, d Demand, predicted, idlePredicted float64) bool {
	limit := milliseconds(d.MaxResponseTime)
	if s.engine == nil {
		return predicted <= limit || idlePredicted > limit && load.Running == 0
	}
	queued := float64(load.Prefill) / s.prefillRate(e)
	if queued > prefillQueueFraction*limit || d.Room != nil && queued > d.Room.queueMS(s.prefillRate(e), limit) {
		return false
	}
	limit = max(limit, idlePredicted+latePromptFraction*limit)
	if predicted > limit {
		return false
	}
	if s.engine.TokensPerEvent == 0 || d.MaxTotalTime == 0 {
		return true
	}
	events := float64(d.Prompt.Output) / float64(s.engine.TokensPerEvent)
	return predicted+events*s.eventInterval(e) <= milliseconds(d.MaxTotalTime)
}

// cacheHolders records which endpoints of a service have cached parts of a prompt.
type cacheHolders struct {
	// tokens holds the cached tokens of the endpoints that have any.
	tokens map[*endpoint]int
	// best and second are the endpoints that hold most; nil means none.
	best, second *endpoint
	// distanceTo returns how far an endpoint is from the router.
	distanceTo func(*endpoint) locality.Distance
	// byZone is set if a near source is preferred to one that holds more.
	byZone bool
}

// findCacheHolders finds the eligible endpoints that have cached parts of the prompt. Of
// those that hold equally much, it prefers the nearest ones.
func (s *service) findCacheHolders(now time.Time, distanceTo func(*endpoint) locality.Distance, byZone bool, eligible []*endpoint, chain []link) cacheHolders {
	h := cacheHolders{tokens: make(map[*endpoint]int), distanceTo: distanceTo, byZone: byZone}
	if s.engine == nil || len(chain) < 2 {
		return h
	}
	for _, e := range eligible {
		if _, known := e.cache[chain[0].key]; !known {
			continue
		}
		tokens := e.cache.expectedTokens(now, chain, s.cacheLifetime(e.load(now)))
		if tokens == 0 {
			continue
		}
		h.tokens[e] = tokens
		if s.engine.FetchRate == 0 || e.down(now) {
			continue
		}
		switch {
		case h.best == nil || h.betterSource(e, h.best):
			h.best, h.second = e, h.best
		case h.second == nil || h.betterSource(e, h.second):
			h.second = e
		}
	}
	return h
}

// betterSource reports whether e is a better source than other.
func (h *cacheHolders) betterSource(e, other *endpoint) bool {
	near, far := h.distanceTo(e), h.distanceTo(other)
	if h.byZone && near != far {
		return sourceWorth[near]*float64(h.tokens[e]) > sourceWorth[far]*float64(h.tokens[other])
	}
	if h.tokens[e] != h.tokens[other] {
		return h.tokens[e] > h.tokens[other]
	}
	return near < far
}

// source returns another endpoint from which e can fetch the cached parts that it
// lacks, and how many tokens it holds after that. An endpoint that is assumed to
// hold all parts is given a source too, in case it has evicted them.
func (h *cacheHolders) source(e *endpoint) (*endpoint, int) {
	source := h.best
	if source == e {
		source = h.second
	}
	if source == nil || h.tokens[source] < h.tokens[e] {
		return nil, h.tokens[e]
	}
	return source, h.tokens[source]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
