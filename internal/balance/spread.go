package balance

import "math"

const (
	// slownessFraction is the fraction of the maximum response time by which an engine
	// may be slower than the average of its service before it costs anything. Up to
	// there the load follows speed: slow engines get less, but not nothing.
	slownessFraction = 0.15
	// spreadFraction and spreadMS set how much costs may differ for requests to be
	// spread over the engines rather than sent to the one with the lowest cost: as a
	// fraction of the time that an average engine needs for the prompt, and in
	// addition in milliseconds.
	spreadFraction = 0.25
	spreadMS       = 5.0
	// Of trialEvery requests, one prefers idle engines without recent samples by
	// trialBonusMS, in milliseconds. Otherwise an engine without cached prompt parts may
	// get no requests, and nothing would show that its estimate is wrong.
	trialEvery   = 32
	trialBonusMS = 150.0
)

// spreadCost returns what is added to the cost of an engine while speeds are shared, in
// milliseconds. Among engines of equal cost otherwise, the one with the lowest is each with
// a probability in proportion to its speed and its free slots: all routers have the same
// estimates, and would otherwise send their requests to the same engines. Requests with the
// same key prefer the same engines.
func (s *service) spreadCost(e *endpoint, load Load, d Demand, uncached int, key uint64) float64 {
	speed, ownMS := s.relativeSpeed(e), float64(uncached)/s.prefillRate(e)
	averageMS := ownMS * speed
	cost := -min(ownMS-averageMS, slownessFraction*milliseconds(d.MaxResponseTime))
	if e.speed.shared.IntervalMS == 0 && load.Running == 0 && mixHash(d.Seed)%trialEvery == 0 {
		cost -= trialBonusMS
	}
	slots := float64(max(e.entry.Slots, 1))
	weight := speed * max(slots-float64(load.Running), 1) / slots
	return cost - (spreadFraction*averageMS+spreadMS)*(math.Log(weight)+gumbel(mixHash(e.hash^key)))
}

// relativeSpeed returns the prefill rate of the endpoint relative to the average of its
// service; 1 while the average is not known, or if speeds are not shared.
func (s *service) relativeSpeed(e *endpoint) float64 {
	if s.speed.average.Rate == 0 {
		return 1
	}
	return s.prefillRate(e) / s.speed.average.Rate
}

// gumbel returns the hash as a variate of the Gumbel distribution. Of several
// logarithms of weights, each with an own variate added, each is the highest with a
// probability in proportion to its weight.
func gumbel(hash uint64) float64 {
	const bits = 53 // Those of a float64.
	uniform := (float64(hash>>(64-bits)) + 0.5) / (1 << bits)
	return -math.Log(-math.Log(uniform))
}
