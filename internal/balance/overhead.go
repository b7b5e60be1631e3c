package balance

import (
	"math"
	"time"
)

const (
	// overheadHalfLife is the time after which a sample of the overhead counts half.
	overheadHalfLife = time.Minute
	// overheadPriorSamples is how much the initial overhead counts, as so many samples
	// of an empty prompt.
	overheadPriorSamples = 2.0
	// minOverheadMS and maxOverheadMS bound the overhead, in milliseconds.
	minOverheadMS = 1.0
	maxOverheadMS = 200.0
)

// overhead estimates the time until the first event that does not depend on the length
// of the prompt, from this router's samples of a service: by linear regression of the
// time over the tokens, each divided by the relative speed of its endpoint.
type overhead struct {
	at time.Time
	// The sums are weighted: of the samples, their tokens and times in milliseconds,
	// and their products.
	samples, tokens, ms, squares, products float64
}

// add adds a sample with a weight.
func (o *overhead) add(now time.Time, weight, tokens, ms float64) {
	decay := math.Exp2(-now.Sub(o.at).Seconds() / overheadHalfLife.Seconds())
	o.at = now
	o.samples = o.samples*decay + weight
	o.tokens = o.tokens*decay + weight*tokens
	o.ms = o.ms*decay + weight*ms
	o.squares = o.squares*decay + weight*tokens*tokens
	o.products = o.products*decay + weight*tokens*ms
}

// value returns the overhead in milliseconds; firstEventMS without samples.
func (o *overhead) value() float64 {
	if o.squares == 0 {
		return firstEventMS
	}
	slope := o.tokens / o.squares
	ms := o.ms - slope*o.products + overheadPriorSamples*firstEventMS
	return min(max(ms/(o.samples-slope*o.tokens+overheadPriorSamples), minOverheadMS), maxOverheadMS)
}

// firstEventOverhead returns the time until the first event of an answer to an empty
// prompt, in milliseconds.
func (s *service) firstEventOverhead() float64 {
	if s.speed.overheadMS > 0 {
		return s.speed.overheadMS
	}
	return firstEventMS
}

// recordOverhead records the time until the first event, in milliseconds.
func (s *service) recordOverhead(now time.Time, r *Reservation, took float64) {
	rate := s.prefillRate(r.endpoint)
	if r.certainty == 0 || s.speed.average.Rate == 0 {
		return
	}
	expected := s.firstEventOverhead() + float64(r.prefillAhead)/rate
	took = min(max(took, expected/outlierFactor), expected*outlierFactor)
	// The error of a sample is in proportion to the time, so that those of long prompts
	// count less.
	weight := r.certainty * (firstEventMS / expected) * (firstEventMS / expected)
	s.speed.overhead.add(now, weight, float64(r.prefillAhead)/s.relativeSpeed(r.endpoint), took)
	s.speed.overheadMS = s.speed.overhead.value()
}
