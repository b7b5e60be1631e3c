package balance

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Choose returns the endpoint that answers the demand soonest, counted with
// what it costs. It takes no place there: that is Begin's.
func (b *Balancer) Choose(now time.Time, d Demand) Choice {
	s := b.services[d.Service]
	if s == nil {
		return Choice{Reason: NoEndpoint}
	}
	best, bestCost := Choice{Reason: NoEndpoint}, math.Inf(1)
	chain := chainOf(d.Prompt.Parts)
	holders := s.holders(now, b.region, chain)
	home := s.home(now, b.region, chain)
	for i, e := range s.endpoints {
		if e.down(now) || slices.Contains(d.Excluded, e.entry.ID) {
			continue
		}
		load := e.load(now)
		source, held := holders.source(i)
		uncached := max(d.Prompt.Tokens-held, 0)
		alone := s.predict(e, Load{}, uncached)
		predicted := s.predict(e, load, uncached) + s.fetchMS(held-holders.held[i])
		if e.entry.Region != b.region {
			predicted += farMS
		}
		if !s.fits(e, load, d) || !s.inTime(e, load, d, predicted, alone) {
			if best.Reason == NoEndpoint {
				best.Reason = Busy
			}
			continue
		}
		cost := predicted + e.failures*failurePenaltyMS
		if e.entry.Region != b.region {
			cost += farPenaltyMS
		}
		switch {
		case held > holders.held[i]:
			cost += fetchPenaltyMS
		case e == home && held == 0:
			cost -= homeShare * float64(sharedTokens(chain)) / e.rate
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

// home returns the endpoint of the region at which requests with the same
// shared parts meet while nobody is known to have read them; nil when there
// are no such parts.
func (s *service) home(now time.Time, region string, chain []link) *endpoint {
	if s.engine == nil || len(chain) < 2 {
		return nil
	}
	key := chain[len(chain)-2].key
	var home *endpoint
	var highest uint64
	for _, e := range s.endpoints {
		if e.entry.Region != region || e.down(now) {
			continue
		}
		if score := mix(xxhash.Sum64String(e.entry.ID) ^ key); home == nil || score > highest {
			home, highest = e, score
		}
	}
	return home
}

// predict returns the time until the first event or the answer, in
// milliseconds.
func (s *service) predict(e *endpoint, load Load, uncached int) float64 {
	if s.engine != nil {
		return firstEventMS + float64(load.Prefill+uncached)/e.rate
	}
	return s.workMS * max(1, float64(load.Running+1)/float64(max(e.entry.Slots, 1)))
}

// fetchMS returns how long an engine fetches so many tokens from another, in
// milliseconds.
func (s *service) fetchMS(tokens int) float64 {
	if tokens <= 0 {
		return 0
	}
	return fetchSetupMS + float64(tokens)/s.engine.FetchRate
}

// fits tells whether the endpoint has a slot and the memory for the request.
func (s *service) fits(e *endpoint, load Load, d Demand) bool {
	slots := float64(max(e.entry.Slots, 1))
	if s.engine == nil {
		return float64(load.Running) < plainQueue*slots
	}
	if d.Spare {
		slots *= spareShare
	}
	if float64(load.Running) >= slots {
		return false
	}
	memory := float64(s.engine.MemoryTokens) * memoryShare
	return load.Running == 0 || memory == 0 || float64(load.Memory+d.Prompt.Tokens+d.Prompt.Output) <= memory
}

// inTime tells whether the first event and the whole answer come in time. A
// prompt that takes too long on an idle engine already may wait for a part of
// the time besides.
func (s *service) inTime(e *endpoint, load Load, d Demand, predicted, alone float64) bool {
	within := milliseconds(d.Within)
	if s.engine != nil {
		if float64(load.Prefill)/e.rate > queueShare*within {
			return false
		}
		within = max(within, alone+lateShare*within)
	}
	if predicted > within {
		return false
	}
	if s.engine == nil || s.engine.TokensPerEvent == 0 || d.Finish == 0 {
		return true
	}
	events := float64(d.Prompt.Output) / float64(s.engine.TokensPerEvent)
	return predicted+events*e.paceMS <= milliseconds(d.Finish)
}

// holders says how much of a prompt each endpoint of a service has read.
type holders struct {
	endpoints []*endpoint
	// held is the tokens, by the endpoint's place.
	held []int
	// best and second are the places of the endpoints that hold most; -1 for
	// none.
	best, second int
}

// holders finds the endpoints that have read the prompt, those of the region
// first.
func (s *service) holders(now time.Time, region string, chain []link) holders {
	h := holders{endpoints: s.endpoints, held: make([]int, len(s.endpoints)), best: -1, second: -1}
	if s.engine == nil || len(chain) < 2 {
		return h
	}
	for i, e := range s.endpoints {
		if _, known := e.cache[chain[0].key]; !known {
			continue
		}
		h.held[i] = e.cache.held(now, chain, s.lifetime(e.load(now)))
		if h.held[i] == 0 || s.engine.FetchRate == 0 || e.down(now) {
			continue
		}
		switch {
		case h.best < 0 || h.better(i, h.best, region):
			h.best, h.second = i, h.best
		case h.second < 0 || h.better(i, h.second, region):
			h.second = i
		}
	}
	return h
}

// better tells whether the endpoint at place i is the better source.
func (h *holders) better(i, j int, region string) bool {
	if h.held[i] != h.held[j] {
		return h.held[i] > h.held[j]
	}
	return h.endpoints[i].entry.Region == region && h.endpoints[j].entry.Region != region
}

// source returns another endpoint from which the one at place i can fetch what
// it lacks, and how much it holds then. An endpoint that is taken to hold all
// is given a source too, in case that it does no more.
func (h *holders) source(i int) (*endpoint, int) {
	at := h.best
	if at == i {
		at = h.second
	}
	if at < 0 || h.held[at] < h.held[i] {
		return nil, h.held[i]
	}
	return h.endpoints[at], h.held[at]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
