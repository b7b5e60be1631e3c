package balance

import (
	"time"

	"oleanderramp/internal/prefixes"
	"oleanderramp/internal/speeds"
)

// Reservation is the capacity that a request occupies at an endpoint.
type Reservation struct {
	balancer *Balancer
	// endpoint and service are those of the choice. An endpoint that has left or
	// restarted since then is no longer in the balancer.
	endpoint *endpoint
	service  *service
	load     Load
	chain    []link
	sentAt   time.Time
	// prefillAhead is the number of prompt tokens that the endpoint had to read
	// when the request was sent, including those of this request.
	prefillAhead int
	// certainty is how much of prefillAhead is certain, from 0 to 1, and fetchMS how
	// long the endpoint takes to fetch cached parts, in milliseconds.
	certainty, fetchMS float64
	// events are the event intervals that were measured and not recorded yet.
	events         speeds.Sums
	firstEventSeen bool
	done           bool
	// unmeasured is set if the times of the request say nothing about the endpoint.
	unmeasured bool
	// lastEventAt is when the last event was received.
	lastEventAt time.Time
}

// Begin reserves capacity at the endpoint of the choice. It must be called
// directly after Choose.
func (b *Balancer) Begin(now time.Time, d Demand, c Choice) *Reservation {
	r := &Reservation{
		balancer: b, endpoint: b.endpoints[c.Endpoint.ID], service: b.services[d.Service], chain: c.chain, sentAt: now,
		load:         Load{Running: 1, Prefill: max(c.Uncached, 0), Memory: d.Prompt.Tokens + d.Prompt.Output},
		prefillAhead: c.Load.Prefill + max(c.Uncached, 0), fetchMS: c.fetchMS,
	}
	r.certainty = r.prefillCertainty(d)
	r.endpoint.own = r.endpoint.own.Add(r.load)
	r.endpoint.recordSent(now)
	return r
}

// IgnoreTimes records that this router is too late to measure the endpoint by the
// request.
func (r *Reservation) IgnoreTimes() { r.unmeasured = true }

// release subtracts the load from the endpoint's own load.
func (r *Reservation) release(load Load) {
	r.endpoint.own = r.endpoint.own.Subtract(load)
}

// RecordEvents records that count events of the answer were received. The first
// event shows that the prompt has been read.
func (r *Reservation) RecordEvents(now time.Time, count int) {
	switch {
	case r.done || count == 0:
	case !r.firstEventSeen:
		r.recordFirstEvent(now)
	case r.unmeasured:
	default:
		sample := milliseconds(now.Sub(r.lastEventAt)) / float64(count)
		if r.endpoint.eventIntervalMS == 0 {
			r.endpoint.eventIntervalMS = sample
		}
		r.endpoint.eventIntervalMS += slowSmoothing * (sample - r.endpoint.eventIntervalMS)
		if r.sharesSpeeds() {
			r.recordInterval(now, count, sample*float64(count))
		}
	}
	r.lastEventAt = now
}

func (r *Reservation) recordFirstEvent(now time.Time) {
	r.firstEventSeen = true
	r.release(Load{Prefill: r.load.Prefill})
	r.load.Prefill = 0
	e := r.endpoint
	for _, l := range sharedLinks(r.chain) {
		e.cache.touch(now, now, l.key)
		if len(r.balancer.newlyCached) < maxNewlyCached {
			r.balancer.newlyCached = append(r.balancer.newlyCached, prefixes.Entry{Key: l.key, Endpoint: e.entry.ID, Used: now})
		}
	}
	if r.unmeasured {
		return
	}
	took := milliseconds(now.Sub(r.sentAt))
	if r.sharesSpeeds() {
		r.recordPrefill(now, took)
		return
	}
	took -= firstEventMS
	if r.prefillAhead >= rateSampleTokens && took > 0 {
		sample := min(max(float64(r.prefillAhead)/took, minRate), maxRate)
		e.rate += smoothing * (sample - e.rate)
	}
}

// RecordLeaving records that the endpoint said that it leaves. It gets no further
// requests until it has restarted.
func (r *Reservation) RecordLeaving() { r.endpoint.leaving = true }

// RecordPause records that the endpoint said that it wants no requests until then.
func (r *Reservation) RecordPause(until time.Time) {
	if until.After(r.endpoint.pausedUntil) {
		r.endpoint.pausedUntil = until
	}
}

// Outcome is how a request ended at its endpoint.
type Outcome int

// The outcomes of a request, as they count for its endpoint.
const (
	// Answered requests got the endpoint's whole answer.
	Answered Outcome = iota
	// Abandoned requests ended for reasons other than the endpoint, such as a
	// caller that disconnected.
	Abandoned
	// Declined requests were refused by the endpoint because it is full or
	// shutting down.
	Declined
	// Failed requests got an error or an incomplete answer.
	Failed
	// Unreachable means that the endpoint accepted no connection.
	Unreachable
)

// End releases the reservation and records the outcome. Further calls have no
// effect.
func (r *Reservation) End(now time.Time, outcome Outcome) {
	if r.done {
		return
	}
	r.done = true
	r.flushIntervals(now)
	r.release(r.load)
	e := r.endpoint
	switch outcome {
	case Answered:
		e.failures -= failureSmoothing * e.failures
		r.service.recordTime(r, milliseconds(now.Sub(r.sentAt)))
	case Failed:
		e.failures += failureSmoothing * (1 - e.failures)
	case Unreachable:
		e.failures += failureSmoothing * (1 - e.failures)
		e.failedAt, e.downUntil = now, now.Add(maxDownTime)
		e.unknownSince = now // It may have restarted.
	case Declined:
		e.failedAt, e.downUntil = now, now.Add(minDownTime)
	}
}

// recordTime records how long the request took, in milliseconds.
func (s *service) recordTime(r *Reservation, took float64) {
	switch {
	case r.unmeasured:
	case s.engine == nil:
		s.answerMS += smoothing * (took - s.answerMS)
	default:
		s.runMS += slowSmoothing * (took - s.runMS)
	}
}
