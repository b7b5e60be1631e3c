package balance

import (
	"math"
	"slices"
	"time"
)

// Choose returns the endpoint with the lowest cost for the demand: the predicted
// response time plus penalties. It reserves nothing; Begin does.
//
// Only maxCandidates endpoints are compared at a time, in the order of preference
// for the demand, and the next ones only if none of them has capacity.
func (b *Balancer) Choose(now time.Time, d Demand) Choice {
	s := b.services[d.Service]
	if s == nil {
		return Choice{Reason: NoEndpoint}
	}
	chain := prefixChain(d.Prompt.Parts)
	candidates := s.order(b.region, preferenceKey(d, chain))
	candidates = slices.DeleteFunc(candidates, func(e *endpoint) bool {
		return e.down(now) || slices.Contains(d.Excluded, e.entry.ID)
	})
	best := Choice{Reason: NoEndpoint}
	for group := range slices.Chunk(candidates, maxCandidates) {
		if best = b.chooseAmong(now, s, group, d, chain); best.Reason == "" {
			break
		}
	}
	return best
}

// preferenceKey returns the key of the demand's order of preference. Demands that
// share a prompt prefix have the same order at all routers, so that they meet where
// the prefix is cached.
func preferenceKey(d Demand, chain []link) uint64 {
	switch {
	case len(chain) >= 2:
		return chain[len(chain)-2].key
	case len(chain) == 1:
		return chain[0].key
	default:
		return d.Seed
	}
}

// chooseAmong returns the best of the candidates.
func (b *Balancer) chooseAmong(now time.Time, s *service, candidates []*endpoint, d Demand, chain []link) Choice {
	best, bestCost := Choice{Reason: Busy}, math.Inf(1)
	holders := s.findCacheHolders(now, b.region, candidates, chain)
	preferred := s.preferredEndpoint(b.region, candidates, chain)
	for i, e := range candidates {
		load := e.load(now)
		source, cachedTokens := holders.source(i)
		uncached := max(d.Prompt.Tokens-cachedTokens, 0)
		idlePredicted := s.predict(e, Load{}, uncached)
		predicted := s.predict(e, load, uncached) + s.fetchMS(cachedTokens-holders.cachedTokens[i])
		if e.entry.Region != b.region {
			predicted += crossRegionRTTMS
		}
		if !s.fits(e, load, d) || !s.inTime(e, load, d, predicted, idlePredicted) {
			continue
		}
		cost := predicted + e.failures*failurePenaltyMS
		if e.entry.Region != b.region {
			cost += crossRegionPenaltyMS
		}
		switch {
		case cachedTokens > holders.cachedTokens[i]:
			cost += fetchPenaltyMS
		case e == preferred && cachedTokens == 0:
			cost -= preferredCachedFraction * float64(sharedTokens(chain)) / e.rate
		}
		if cost < bestCost {
			bestCost = cost
			best = Choice{Endpoint: e.entry, Predicted: duration(predicted), Uncached: uncached, Load: load, chain: chain}
			if source != nil {
				best.Source = source.entry
			}
		}
	}
	return best
}

// preferredEndpoint returns the candidate of the region that is preferred for
// requests with the same shared parts while no endpoint is known to have read
// them. It uses rendezvous hashing, so that all routers of the region prefer the
// same endpoint. It returns nil when the prompt has no shared parts.
func (s *service) preferredEndpoint(region string, candidates []*endpoint, chain []link) *endpoint {
	if s.engine == nil || len(chain) < 2 {
		return nil
	}
	key := chain[len(chain)-2].key
	var preferred *endpoint
	var highest uint64
	for _, e := range candidates {
		if e.entry.Region != region {
			continue
		}
		if score := mixHash(e.hash ^ key); preferred == nil || score > highest {
			preferred, highest = e, score
		}
	}
	return preferred
}

// predict returns the predicted time until the first event or the answer, in
// milliseconds.
func (s *service) predict(e *endpoint, load Load, uncached int) float64 {
	if s.engine != nil {
		return firstEventMS + float64(load.Prefill+uncached)/e.rate
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
// idle engine may wait for latePromptFraction of that time in addition.
func (s *service) inTime(e *endpoint, load Load, d Demand, predicted, idlePredicted float64) bool {
	limit := milliseconds(d.MaxResponseTime)
	if s.engine != nil {
		if float64(load.Prefill)/e.rate > prefillQueueFraction*limit {
			return false
		}
		limit = max(limit, idlePredicted+latePromptFraction*limit)
	}
	if predicted > limit {
		return false
	}
	if s.engine == nil || s.engine.TokensPerEvent == 0 || d.MaxTotalTime == 0 {
		return true
	}
	events := float64(d.Prompt.Output) / float64(s.engine.TokensPerEvent)
	return predicted+events*e.eventIntervalMS <= milliseconds(d.MaxTotalTime)
}

// cacheHolders records how much of a prompt each of the candidates has cached.
type cacheHolders struct {
	endpoints []*endpoint
	// cachedTokens holds the cached tokens of each endpoint, by its index.
	cachedTokens []int
	// best and second are the indexes of the endpoints that hold most; -1 means
	// none.
	best, second int
}

// findCacheHolders finds the candidates that have cached parts of the prompt. Of
// those that hold equally much, it prefers endpoints of the region.
func (s *service) findCacheHolders(now time.Time, region string, candidates []*endpoint, chain []link) cacheHolders {
	h := cacheHolders{endpoints: candidates, cachedTokens: make([]int, len(candidates)), best: -1, second: -1}
	if s.engine == nil || len(chain) < 2 {
		return h
	}
	for i, e := range candidates {
		if _, known := e.cache[chain[0].key]; !known {
			continue
		}
		h.cachedTokens[i] = e.cache.expectedTokens(now, chain, s.cacheLifetime(e.load(now)))
		if h.cachedTokens[i] == 0 || s.engine.FetchRate == 0 {
			continue
		}
		switch {
		case h.best < 0 || h.betterSource(i, h.best, region):
			h.best, h.second = i, h.best
		case h.second < 0 || h.betterSource(i, h.second, region):
			h.second = i
		}
	}
	return h
}

// betterSource reports whether the endpoint at index i is a better source than
// the one at index j.
func (h *cacheHolders) betterSource(i, j int, region string) bool {
	if h.cachedTokens[i] != h.cachedTokens[j] {
		return h.cachedTokens[i] > h.cachedTokens[j]
	}
	return h.endpoints[i].entry.Region == region && h.endpoints[j].entry.Region != region
}

// source returns another endpoint from which the endpoint at index i can fetch
// the cached parts that it lacks, and how many tokens it holds after that. An
// endpoint that is assumed to hold all parts is given a source too, in case it
// has evicted them.
func (h *cacheHolders) source(i int) (*endpoint, int) {
	index := h.best
	if index == i {
		index = h.second
	}
	if index < 0 || h.cachedTokens[index] < h.cachedTokens[i] {
		return nil, h.cachedTokens[i]
	}
	return h.endpoints[index], h.cachedTokens[index]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
