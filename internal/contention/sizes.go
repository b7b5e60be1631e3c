package contention

import (
	"math"
	"time"
)

const (
	// sizesHalfLife is the time after which a request counts half for the sizes of its
	// service. A router with 2 requests a second knows some dozens by then.
	sizesHalfLife = 20 * time.Second
	// largeQuantile is the fraction of the requests that are no larger than those for which
	// room is left.
	largeQuantile = 0.98
	// minSample is the number of requests from which on they say how much memory is held for
	// the tokens that are charged.
	minSample = 12.0
	// bucketsPerDoubling and maxBuckets divide the sizes, up to 2^24 tokens.
	bucketsPerDoubling = 4
	maxBuckets         = 24 * bucketsPerDoubling
)

// Size is what a request needs of an engine, in tokens.
type Size struct {
	// Prompt is the length of the prompt, Memory that of the prompt and of the longest
	// answer.
	Prompt, Memory int
}

// Sizes tracks how large the requests of each service are, and how soon the most urgent of
// them must be answered. It is not safe for concurrent use.
type Sizes struct {
	services map[string]*sizes
	// tokens is the sum of what the requests of all services were charged.
	tokens decaying
}

// sizes are those of one service.
type sizes struct {
	prompt, memory histogram
	// requests is the number of the requests, and held the sum of their Memory.
	requests, held decaying
	// urgent holds the shortest time limits by priority.
	urgent map[int]urgency
}

// urgency is the shortest response time that requests of a priority have asked for, as of
// the last request with it.
type urgency struct {
	limit time.Duration
	at    time.Time
}

// NewSizes returns an empty record.
func NewSizes() *Sizes { return &Sizes{services: make(map[string]*sizes)} }

// Record adds a request of the service with the priority that was charged the tokens and must
// be answered within the limit.
func (s *Sizes) Record(now time.Time, service string, size Size, tokens float64, priority int, limit time.Duration) {
	one, ok := s.services[service]
	if !ok {
		one = &sizes{urgent: make(map[int]urgency)}
		s.services[service] = one
	}
	s.tokens.add(now, tokens)
	one.requests.add(now, 1)
	one.held.add(now, float64(size.Memory))
	one.prompt.add(now, size.Prompt)
	one.memory.add(now, size.Memory)
	if u, known := one.urgent[priority]; !known || limit <= u.limit || now.Sub(u.at) > sizesHalfLife {
		one.urgent[priority] = urgency{limit: limit, at: now}
	}
}

// Large returns the size of the large requests of the service, for which others leave room.
func (s *Sizes) Large(service string) Size {
	one, ok := s.services[service]
	if !ok {
		return Size{}
	}
	return Size{Prompt: one.prompt.quantile(), Memory: one.memory.quantile()}
}

// Flow returns how many requests a second come to the service and the memory that they hold,
// if all services are charged the tokens per second. It returns 0 while too few are known.
func (s *Sizes) Flow(now time.Time, service string, tokens float64) (requests, memory float64) {
	one, ok := s.services[service]
	all := s.tokens.value(now)
	if !ok || one.requests.value(now) < minSample {
		return 0, 0
	}
	return tokens * one.requests.value(now) / all, tokens * one.held.value(now) / all
}

// UrgentLimit returns the shortest response time that more urgent requests of the service
// have asked for lately; 0 if there were none.
func (s *Sizes) UrgentLimit(now time.Time, service string, priority int) time.Duration {
	one, ok := s.services[service]
	if !ok {
		return 0
	}
	shortest := time.Duration(0)
	for p, u := range one.urgent {
		if p < priority && now.Sub(u.at) <= sizesHalfLife && (shortest == 0 || u.limit < shortest) {
			shortest = u.limit
		}
	}
	return shortest
}

// decaying is a sum in which what was added earlier counts less.
type decaying struct {
	sum float64
	at  time.Time
}

func (d *decaying) value(now time.Time) float64 {
	return d.sum * math.Exp2(-max(now.Sub(d.at).Seconds(), 0)/sizesHalfLife.Seconds())
}

func (d *decaying) add(now time.Time, value float64) { d.sum, d.at = d.value(now)+value, now }

// histogram counts sizes on a logarithmic scale. Older ones count less.
type histogram struct {
	counts [maxBuckets]float64
	// weight is what a new size counts; it grows so that older ones count less beside it.
	weight float64
	at     time.Time
}

func (h *histogram) add(now time.Time, size int) {
	if h.weight == 0 {
		h.weight, h.at = 1, now
	}
	h.weight *= math.Exp2(max(now.Sub(h.at).Seconds(), 0) / sizesHalfLife.Seconds())
	h.at = now
	const tooLarge = 1e9
	if h.weight > tooLarge {
		for i := range h.counts {
			h.counts[i] /= h.weight
		}
		h.weight = 1
	}
	bucket := int(math.Ceil(bucketsPerDoubling * math.Log2(float64(max(size, 1)))))
	h.counts[min(bucket, maxBuckets-1)] += h.weight
}

// quantile returns the largeQuantile of the sizes, rounded up to its bucket.
func (h *histogram) quantile() int {
	total := 0.0
	for _, count := range h.counts {
		total += count
	}
	below := 0.0
	for i, count := range h.counts {
		below += count
		if total > 0 && below >= largeQuantile*total {
			return int(math.Exp2(float64(i) / bucketsPerDoubling))
		}
	}
	return 0
}
