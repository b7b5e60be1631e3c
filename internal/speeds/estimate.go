package speeds

import "math"

const (
	// priorMS and priorEvents are how much the expectation counts against the samples
	// of an endpoint: as much as so many milliseconds of prefill, or so many events.
	priorMS     = 200.0
	priorEvents = 20.0
	// changeFraction is the change of an estimate from which on it is sent to routers.
	changeFraction = 0.05
)

// Estimate is the expected speed of an endpoint, or the average of a service.
type Estimate struct {
	// Rate is the prefill rate, in prompt tokens per millisecond; 0 if unknown.
	Rate float64
	// IntervalMS is the time between two events of a stream, in milliseconds; 0 if
	// unknown.
	IntervalMS float64
}

// Combine returns the estimate for an endpoint of which the expectation was prior and
// the sums were measured. strength is how much the prior counts; 1 for the average of
// the service.
//
// The event interval is the cleaner sign of an engine's speed: it does not depend on
// what other routers have sent just before. The expected prefill rate is therefore
// that of the prior in proportion to it, and prefill samples correct that.
func Combine(prior Estimate, measured Sums, strength float64) Estimate {
	result := prior
	if prior.IntervalMS > 0 {
		measured.Events += strength * priorEvents
		measured.EventsMS += strength * priorEvents * prior.IntervalMS
	}
	if measured.Events > 0 {
		result.IntervalMS = measured.EventsMS / measured.Events
	}
	if prior.Rate > 0 {
		expected := prior.Rate
		if prior.IntervalMS > 0 {
			expected *= prior.IntervalMS / result.IntervalMS
		}
		measured.PrefillTokens += strength * priorMS * expected
		measured.PrefillMS += strength * priorMS
	}
	if measured.PrefillMS > 0 {
		result.Rate = min(max(measured.PrefillTokens/measured.PrefillMS, MinRate), MaxRate)
	}
	return result
}

// Average returns the average of a service whose endpoints have the sums.
func Average(list []Sums) Estimate {
	var total Sums
	for _, s := range list {
		total = total.Add(s)
	}
	average := Estimate{}
	if total.Events > 0 {
		average.IntervalMS = total.EventsMS / total.Events
	}
	// The time that an endpoint took counts by its speed, so that the average is that
	// of an endpoint with the average event interval.
	var nominalMS float64
	for _, s := range list {
		nominalMS += s.PrefillMS * average.IntervalMS / max(Combine(average, s, 1).IntervalMS, math.SmallestNonzeroFloat64)
	}
	switch {
	case total.PrefillMS == 0:
	case average.IntervalMS == 0:
		average.Rate = total.PrefillTokens / total.PrefillMS
	default:
		average.Rate = total.PrefillTokens / nominalMS
	}
	return average
}

// differs reports whether the estimate differs from a former one by changeFraction or
// more.
func (e Estimate) differs(former Estimate) bool {
	return changed(former.Rate, e.Rate) || changed(former.IntervalMS, e.IntervalMS)
}

func changed(former, present float64) bool {
	return math.Abs(present-former) > changeFraction*former
}
