package balance

import (
	"time"

	"oleanderramp/internal/prefixes"
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
	prefillAhead   int
	firstEventSeen bool
	done           bool
	// lastEventAt is when the last event was received.
	lastEventAt time.Time
}

// Begin reserves capacity at the endpoint of the choice. It must be called
// directly after Choose.
func (b *Balancer) Begin(now time.Time, d Demand, c Choice) *Reservation {
	t := &Reservation{
		balancer: b, endpoint: b.endpoints[c.Endpoint.ID], service: b.services[d.Service], chain: c.chain, sentAt: now,
		load:         Load{Running: 1, Prefill: max(c.Uncached, 0), Memory: d.Prompt.Tokens + d.Prompt.Output},
		prefillAhead: c.Load.Prefill + max(c.Uncached, 0),
	}
	t.endpoint.own = t.endpoint.own.Add(t.load)
	return t
}

// release subtracts the load from the endpoint's own load.
func (t *Reservation) release(part Load) {
	e := t.endpoint
	e.own.Running = max(e.own.Running-part.Running, 0)
	e.own.Prefill = max(e.own.Prefill-part.Prefill, 0)
	e.own.Memory = max(e.own.Memory-part.Memory, 0)
}

// RecordEvents records that count events of the answer were received. The first
// event shows that the prompt has been read.
func (t *Reservation) RecordEvents(now time.Time, count int) {
	switch {
	case t.done || count == 0:
	case !t.firstEventSeen:
		t.recordFirstEvent(now)
	default:
		sample := milliseconds(now.Sub(t.lastEventAt)) / float64(count)
		if t.endpoint.eventIntervalMS == 0 {
			t.endpoint.eventIntervalMS = sample
		}
		t.endpoint.eventIntervalMS += slowSmoothing * (sample - t.endpoint.eventIntervalMS)
	}
	t.lastEventAt = now
}

func (t *Reservation) recordFirstEvent(now time.Time) {
	t.firstEventSeen = true
	t.release(Load{Prefill: t.load.Prefill})
	t.load.Prefill = 0
	e := t.endpoint
	for _, l := range sharedLinks(t.chain) {
		e.cache.touch(now, now, l.key)
		if len(t.balancer.newlyCached) < maxNewlyCached {
			t.balancer.newlyCached = append(t.balancer.newlyCached, prefixes.Entry{Key: l.key, Endpoint: e.entry.ID, Used: now})
		}
	}
	took := milliseconds(now.Sub(t.sentAt)) - firstEventMS
	if t.prefillAhead >= rateSampleTokens && took > 0 {
		sample := min(max(float64(t.prefillAhead)/took, minRate), maxRate)
		e.rate += smoothing * (sample - e.rate)
	}
}

// Outcome is how a request ended at its endpoint.
type Outcome int

// The outcomes.
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
func (t *Reservation) End(now time.Time, outcome Outcome) {
	if t.done {
		return
	}
	t.done = true
	t.release(t.load)
	e := t.endpoint
	switch outcome {
	case Answered:
		e.failures -= failureSmoothing * e.failures
		took := milliseconds(now.Sub(t.sentAt))
		if t.service.engine == nil {
			t.service.answerMS += smoothing * (took - t.service.answerMS)
		} else {
			t.service.runMS += slowSmoothing * (took - t.service.runMS)
		}
	case Failed:
		e.failures += failureSmoothing * (1 - e.failures)
	case Unreachable:
		e.failures += failureSmoothing * (1 - e.failures)
		e.failedAt, e.downUntil = now, now.Add(maxDownTime)
	case Declined:
		e.failedAt, e.downUntil = now, now.Add(minDownTime)
	}
}
