package edge

import (
	"context"
	"errors"
	"net/http"
	"time"

	"oleanderramp/internal/balance"
	"oleanderramp/internal/endpoint"
)

// attemptCall is a call of an attempt to one endpoint. It is the sink of the call.
type attemptCall struct {
	attempt   *attempt
	placement placement
	ctx       context.Context
	cancel    context.CancelCauseFunc
	// sentAt is when the call was begun, and beganAt when the first bytes of the answer
	// arrived; zero before that.
	sentAt, beganAt time.Time
	// done is closed when the call has ended, with err.
	done chan struct{}
	err  *endpoint.CallError
}

func (a *attempt) newCall(now time.Time, p placement) *attemptCall {
	ctx, cancel := context.WithCancelCause(a.ctx)
	return &attemptCall{attempt: a, placement: p, ctx: ctx, cancel: cancel, sentAt: now, done: make(chan struct{})}
}

// run makes the call and releases the endpoint's capacity.
func (c *attemptCall) run(call endpoint.Call) {
	defer close(c.done)
	defer c.cancel(nil)
	_, err := c.attempt.forwarder.cfg.Endpoints.Do(c.ctx, call, c)
	if err != nil && !errors.As(err, &c.err) {
		c.err = &endpoint.CallError{Kind: endpoint.ConnectionLost}
	}
	c.recordEndpoint(time.Now())
}

// recordEndpoint records what the end of the call says about the endpoint.
func (c *attemptCall) recordEndpoint(now time.Time) {
	c.placement.reservation.end(now, c.outcome())
	crashes := c.attempt.forwarder.crashes
	if c.err == nil {
		crashes.recordAnswered(now, c.endpointRun)
		return
	}
	switch c.err.Kind {
	case endpoint.ConnectionLost, endpoint.Truncated:
		c.recordLost(now)
	case endpoint.DialFailed:
		crashes.recordUnreachable(now, c.placement.choice.Endpoint.ID)
	}
}

// endpointRun returns the run of the request at the call's endpoint.
func (c *attemptCall) endpointRun() endpointRun { return c.attempt.task.run(c.sentAt) }

// outcome returns the outcome of the call as recorded for the endpoint.
func (c *attemptCall) outcome() balance.Outcome {
	if c.err == nil {
		return balance.Answered
	}
	if c.err.Kind == endpoint.CallerGone && errors.Is(context.Cause(c.ctx), context.DeadlineExceeded) {
		return balance.Failed
	}
	return endpointOutcome(c.err)
}

// ended reports whether the call has ended.
func (c *attemptCall) ended() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// claimUnlessRefused makes the call the one whose answer is forwarded, unless it has
// ended.
func (c *attemptCall) claimUnlessRefused() {
	if !c.ended() {
		c.attempt.claim(c)
	}
}

// Head forwards the head of the answer.
func (c *attemptCall) Head(status int, header http.Header) error {
	if !c.attempt.claim(c) {
		return errOutpaced
	}
	return c.attempt.task.answer.Head(status, header)
}

// Data forwards the next bytes of the answer.
func (c *attemptCall) Data(p []byte) error {
	if !c.attempt.claim(c) {
		return errOutpaced
	}
	if c.beganAt.IsZero() {
		c.beganAt = time.Now()
	}
	return c.attempt.task.answer.Data(p)
}
