package edge

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"oleanderramp/internal/balance"
	"oleanderramp/internal/endpoint"
)

// errNotResumed rejects the answer of an endpoint that does not continue a stream
// directly after the last forwarded event.
var errNotResumed = fmt.Errorf("%w: it does not follow the last event", endpoint.ErrWrongAnswer)

// attemptCall is a call of an attempt to one endpoint. It is the sink of the call.
type attemptCall struct {
	attempt   *attempt
	placement placement
	// resumesAfter is the ID of the last event that was forwarded before the call; empty
	// if none was.
	resumesAfter string
	// resumed is true once the call's first event has followed that one.
	resumed bool
	// status and header are the head of the answer, which is forwarded with its first
	// data or at its end. headForwarded is true from then on.
	status        int
	header        http.Header
	headForwarded bool
	ctx           context.Context
	cancel        context.CancelCauseFunc
	// done is closed when the call has ended, with err.
	done chan struct{}
	err  *endpoint.CallError
}

func (a *attempt) newCall(p placement) *attemptCall {
	ctx, cancel := context.WithCancelCause(a.ctx)
	return &attemptCall{attempt: a, placement: p, resumesAfter: a.task.answer.lastEvent, ctx: ctx, cancel: cancel, done: make(chan struct{})}
}

// run makes the call and releases the endpoint's capacity.
func (c *attemptCall) run(call endpoint.Call) {
	defer close(c.done)
	defer c.cancel(nil)
	_, err := c.attempt.forwarder.cfg.Endpoints.Do(c.ctx, call, c)
	switch {
	case err == nil && c.forwardHead() != nil:
		c.err = &endpoint.CallError{Kind: endpoint.CallerGone}
	case err != nil && !errors.As(err, &c.err):
		c.err = &endpoint.CallError{Kind: endpoint.ConnectionLost}
	}
	c.placement.reservation.end(time.Now(), c.outcome())
}

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

// Head keeps the head of the answer, which alone does not show that the endpoint will
// answer. A resumed stream must have the status of one that goes on.
func (c *attemptCall) Head(status int, header http.Header) error {
	if c.resumesAfter != "" && status != http.StatusOK {
		return errNotResumed
	}
	c.status, c.header = status, header
	return nil
}

// Data forwards the next bytes of the answer.
func (c *attemptCall) Data(p []byte) error {
	if !c.continuesStream(p) {
		return errNotResumed
	}
	if err := c.forwardHead(); err != nil {
		return err
	}
	return c.attempt.task.answer.Data(p)
}

// forwardHead makes the call's answer the one that is forwarded, and forwards its head
// once.
func (c *attemptCall) forwardHead() error {
	if !c.attempt.claim(c) {
		return errOutpaced
	}
	if !c.headForwarded {
		c.headForwarded = true
		c.attempt.task.answer.setHead(c.status, c.header)
	}
	return nil
}

// continuesStream reports whether the events directly follow the last one that the
// caller has. Only the first event of a resumed stream is checked, and only if it has an
// ID.
func (c *attemptCall) continuesStream(events []byte) bool {
	if c.resumesAfter == "" || c.resumed {
		return true
	}
	first := eventID(events)
	c.resumed = first == "" || follows(c.resumesAfter, first)
	return c.resumed
}
