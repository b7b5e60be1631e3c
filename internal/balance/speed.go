package balance

import (
	"time"

	"oleanderramp/internal/speeds"
)

const (
	// sharedStrength is how much the estimate of a control host counts against the
	// samples of this router alone, which it includes while the host can be reached.
	sharedStrength = 10.0
	// outlierFactor bounds by how much a sample may differ from what was expected.
	// Samples beyond count as that much, so that repeated ones still change the
	// estimate.
	outlierFactor = 1.5
	// eventsPerSample is the number of events of a stream from which on their
	// intervals are recorded before the stream ends.
	eventsPerSample = 16.0
)

// endpointSpeed is what is known of an endpoint's speed while speeds are shared.
type endpointSpeed struct {
	// shared is the last estimate heard from a control host.
	shared speeds.Estimate
	// own are the samples of this router, and unreported those that no control host
	// has got.
	own        speeds.Decaying
	unreported speeds.Sums
	// estimate follows from shared and own; zero before any is known.
	estimate speeds.Estimate
}

// serviceSpeed is the average of a service while speeds are shared.
type serviceSpeed struct {
	// average is taken over the estimates of control hosts if any is known, and else
	// over the samples of this router.
	average speeds.Estimate
	shared  bool
	own     speeds.Decaying
	// overheadMS is the value of overhead; 0 without samples.
	overhead   overhead
	overheadMS float64
}

// UseSharedSpeeds makes the balancer predict with the speeds that all routers have
// measured, and with the average of the service for endpoints without measurements.
func (b *Balancer) UseSharedSpeeds() {
	b.sharedSpeeds, b.heardSpeeds = true, make(map[string]speeds.Speed)
}

// sharesSpeeds reports whether the speeds of the service's endpoints are shared. A router
// measures the few endpoints of a small service often enough itself, with the present
// load; shared estimates are older.
func (b *Balancer) sharesSpeeds(s *service) bool {
	return b.sharedSpeeds && s != nil && s.engine != nil && len(s.endpoints) > maxCompared
}

// sharesSpeeds reports whether the speed of the reservation's endpoint is shared.
func (r *Reservation) sharesSpeeds() bool {
	return r.balancer.sharesSpeeds(r.balancer.services[r.endpoint.entry.Service])
}

// SetSpeeds records estimates that a control host has sent. Those of endpoints that
// are not known yet are kept until they are.
func (b *Balancer) SetSpeeds(now time.Time, list []speeds.Speed) {
	if !b.sharedSpeeds || len(list) == 0 {
		return
	}
	for _, speed := range list {
		b.heardSpeeds[speed.Endpoint] = speed
	}
	b.applySpeeds(now)
}

// applySpeeds applies the estimates of control hosts to the present endpoints.
func (b *Balancer) applySpeeds(now time.Time) {
	for _, s := range b.services {
		if !b.sharesSpeeds(s) {
			continue
		}
		var sum speeds.Estimate
		var rates, intervals float64
		for _, e := range s.endpoints {
			if heard, ok := b.heardSpeeds[e.entry.ID]; ok && heard.Started.Equal(e.entry.Started) {
				e.speed.shared = heard.Estimate
			}
			if shared := e.speed.shared; shared.Rate > 0 {
				sum.Rate, rates = sum.Rate+shared.Rate, rates+1
			}
			if shared := e.speed.shared; shared.IntervalMS > 0 {
				sum.IntervalMS, intervals = sum.IntervalMS+shared.IntervalMS, intervals+1
			}
		}
		if s.speed.shared = rates > 0; s.speed.shared {
			s.speed.average = speeds.Estimate{Rate: sum.Rate / rates, IntervalMS: sum.IntervalMS / max(intervals, 1)}
		}
		for _, e := range s.endpoints {
			s.updateEstimate(now, e)
		}
	}
}

// forgetSpeeds removes the estimates of endpoints that have left.
func (b *Balancer) forgetSpeeds() {
	for id := range b.heardSpeeds {
		if _, ok := b.endpoints[id]; !ok {
			delete(b.heardSpeeds, id)
		}
	}
}

// TakeSpeeds returns what this router has measured since the last call.
func (b *Balancer) TakeSpeeds() []speeds.Sample {
	var list []speeds.Sample
	for id, e := range b.endpoints {
		if e.speed.unreported != (speeds.Sums{}) {
			list = append(list, speeds.Sample{Endpoint: id, Started: e.entry.Started, Sums: e.speed.unreported})
			e.speed.unreported = speeds.Sums{}
		}
	}
	return list
}

// ReportSpeedsAgain makes the next TakeSpeeds return all samples of this router, for a
// control host that has restarted.
func (b *Balancer) ReportSpeedsAgain(now time.Time) {
	for _, e := range b.endpoints {
		e.speed.unreported = e.speed.own.As(now)
	}
}

// recordSpeed records samples of the endpoint.
func (b *Balancer) recordSpeed(now time.Time, e *endpoint, sums speeds.Sums) {
	e.speed.own.Add(now, sums)
	e.speed.unreported = e.speed.unreported.Add(sums)
	s := b.services[e.entry.Service]
	if s == nil {
		return // The last endpoint of the service has left.
	}
	s.speed.own.Add(now, sums)
	if !s.speed.shared {
		s.speed.average = speeds.Average([]speeds.Sums{s.speed.own.As(now)})
	}
	s.updateEstimate(now, e)
}

// updateEstimate computes the estimate for the endpoint.
func (s *service) updateEstimate(now time.Time, e *endpoint) {
	prior, strength := e.speed.shared, sharedStrength
	if prior == (speeds.Estimate{}) {
		prior, strength = s.speed.average, 1
	}
	e.speed.estimate = speeds.Combine(prior, e.speed.own.As(now), strength)
}

// expectedSpeed returns the estimate for the endpoint, or the average of its service;
// zero if neither is known, or if speeds are not shared.
func (s *service) expectedSpeed(e *endpoint) speeds.Estimate {
	if e.speed.estimate != (speeds.Estimate{}) {
		return e.speed.estimate
	}
	return s.speed.average
}

// prefillRate returns the endpoint's expected prefill rate, in prompt tokens per
// millisecond.
func (s *service) prefillRate(e *endpoint) float64 {
	if rate := s.expectedSpeed(e).Rate; rate > 0 {
		return rate
	}
	return e.rate
}

// eventInterval returns the time between two events of a stream, in milliseconds; 0 if
// it is not known. While no request of this router runs there, nothing would correct an
// interval that a pause has raised; that of a control host is corrected by others.
func (s *service) eventInterval(e *endpoint) float64 {
	switch {
	case e.own.Running > 0 && e.speed.estimate.IntervalMS > 0:
		return e.speed.estimate.IntervalMS
	case e.speed.shared.IntervalMS > 0:
		return e.speed.shared.IntervalMS
	case e.own.Running == 0:
		return 0
	}
	return e.eventIntervalMS
}

// recordPrefill records that the endpoint took the time until the first event, in
// milliseconds.
//
// The tokens ahead of a request are known as far as this router has sent them, and
// late as far as others have; how much is cached is only expected. A sample counts the
// less, the more of it is uncertain.
func (r *Reservation) recordPrefill(now time.Time, took float64) {
	e, b := r.endpoint, r.balancer
	s := b.services[e.entry.Service]
	if s == nil {
		return // The last endpoint of the service has left.
	}
	took -= r.fetchMS
	s.recordOverhead(now, r, took)
	if r.prefillAhead < rateSampleTokens {
		return
	}
	took -= s.firstEventOverhead()
	tokens := float64(r.prefillAhead)
	lowest, highest := speeds.MinRate, speeds.MaxRate
	if expected := s.expectedSpeed(e).Rate; expected > 0 {
		lowest, highest = max(lowest, expected/outlierFactor), min(highest, expected*outlierFactor)
	} else if took <= 0 {
		return
	}
	took = min(max(took, tokens/highest), tokens/lowest)
	b.recordSpeed(now, e, speeds.Sums{PrefillTokens: tokens * r.certainty, PrefillMS: took * r.certainty})
}

// prefillCertainty returns how much of the prefill ahead of the request is certain:
// the part that this router has sent, and of the request's own that which is not
// expected to be cached.
func (r *Reservation) prefillCertainty(d Demand) float64 {
	if r.prefillAhead == 0 || d.Prompt.Tokens == 0 {
		return 0
	}
	known := float64(min(r.endpoint.own.Prefill+r.load.Prefill, r.prefillAhead)) / float64(r.prefillAhead)
	uncached := float64(min(r.load.Prefill, d.Prompt.Tokens)) / float64(d.Prompt.Tokens)
	return known * known * uncached
}

// recordInterval records that count events took the time, in milliseconds.
func (r *Reservation) recordInterval(now time.Time, count int, took float64) {
	if s := r.balancer.services[r.endpoint.entry.Service]; s != nil {
		if expected := s.expectedSpeed(r.endpoint).IntervalMS * float64(count); expected > 0 {
			took = min(max(took, expected/outlierFactor), expected*outlierFactor)
		}
	}
	r.events.Events += float64(count)
	r.events.EventsMS += took
	if r.events.Events >= eventsPerSample {
		r.flushIntervals(now)
	}
}

// flushIntervals records the event intervals that were measured. Those of a loaded
// engine count less, as its steps take longer.
func (r *Reservation) flushIntervals(now time.Time) {
	if r.events.EventsMS <= 0 {
		return
	}
	weight := 1 / float64(max(r.endpoint.load(now).Running, 1))
	r.balancer.recordSpeed(now, r.endpoint, speeds.Sums{Events: r.events.Events * weight, EventsMS: r.events.EventsMS * weight})
	r.events = speeds.Sums{}
}
