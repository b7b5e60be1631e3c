package balance

import (
	"time"

	"oleanderramp/internal/prefixes"
)

// Ticket is a request's place at an endpoint.
type Ticket struct {
	balancer *Balancer
	// endpoint and service are those of the choice. One that has left or
	// started again since then is no longer in the balancer.
	endpoint *endpoint
	service  *service
	load     Load
	chain    []link
	sent     time.Time
	// ahead are the prompt tokens that the endpoint had to read, those of this
	// request included, when it was sent.
	ahead int
	begun bool
	done  bool
	// last is when the last event came.
	last time.Time
}

// Begin takes the place at the endpoint that Choose returned just before.
func (b *Balancer) Begin(now time.Time, d Demand, c Choice) *Ticket {
	t := &Ticket{
		balancer: b, endpoint: b.endpoints[c.Endpoint.ID], service: b.services[d.Service], chain: c.chain, sent: now,
		load:  Load{Running: 1, Prefill: max(c.Uncached, 0), Memory: d.Prompt.Tokens + d.Prompt.Output},
		ahead: c.Load.Prefill + max(c.Uncached, 0),
	}
	t.endpoint.own = t.endpoint.own.Plus(t.load)
	return t
}

// release takes work off the endpoint.
func (t *Ticket) release(part Load) {
	e := t.endpoint
	e.own.Running = max(e.own.Running-part.Running, 0)
	e.own.Prefill = max(e.own.Prefill-part.Prefill, 0)
	e.own.Memory = max(e.own.Memory-part.Memory, 0)
}

// Events records that so many events of the answer came. With the first one
// the prompt has been read.
func (t *Ticket) Events(now time.Time, count int) {
	switch {
	case t.done || count == 0:
	case !t.begun:
		t.first(now)
	default:
		sample := milliseconds(now.Sub(t.last)) / float64(count)
		if t.endpoint.paceMS == 0 {
			t.endpoint.paceMS = sample
		}
		t.endpoint.paceMS += paceSmoothing * (sample - t.endpoint.paceMS)
	}
	t.last = now
}

func (t *Ticket) first(now time.Time) {
	t.begun = true
	t.release(Load{Prefill: t.load.Prefill})
	t.load.Prefill = 0
	e := t.endpoint
	for _, l := range shared(t.chain) {
		e.cache.use(now, now, l.key)
		if len(t.balancer.read) < maxRead {
			t.balancer.read = append(t.balancer.read, prefixes.Entry{Key: l.key, Endpoint: e.entry.ID, Used: now})
		}
	}
	took := milliseconds(now.Sub(t.sent)) - firstEventMS
	if t.ahead >= rateSampleTokens && took > 0 {
		sample := min(max(float64(t.ahead)/took, minRate), maxRate)
		e.rate += smoothing * (sample - e.rate)
	}
}

// Outcome says how a request ended at its endpoint.
type Outcome int

// The outcomes.
const (
	// Answered requests got the endpoint's whole answer.
	Answered Outcome = iota
	// Abandoned requests were given up by the caller.
	Abandoned
	// Declined requests were refused by the endpoint, which is full or
	// leaves.
	Declined
	// Failed requests got an error or a part of an answer.
	Failed
	// Unreachable endpoints accepted no connection.
	Unreachable
)

// End gives the place back.
func (t *Ticket) End(now time.Time, outcome Outcome) {
	if t.done {
		return
	}
	t.done = true
	t.release(t.load)
	e := t.endpoint
	switch outcome {
	case Answered:
		e.failures -= failureSmoothing * e.failures
		took := milliseconds(now.Sub(t.sent))
		if t.service.engine == nil {
			t.service.workMS += smoothing * (took - t.service.workMS)
		} else {
			t.service.stayMS += paceSmoothing * (took - t.service.stayMS)
		}
	case Failed:
		e.failures += failureSmoothing * (1 - e.failures)
	case Unreachable:
		e.failures += failureSmoothing * (1 - e.failures)
		e.failedAt, e.downUntil = now, now.Add(downFor)
	case Declined:
		e.failedAt, e.downUntil = now, now.Add(downLeast)
	}
}
