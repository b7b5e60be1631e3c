package edge

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"oleanderramp/internal/balance"
	"oleanderramp/internal/endpoint"
)

// errNotResumed rejects the answer of an endpoint that is no stream, or does not continue
// the stream directly after the last forwarded event.
var errNotResumed = fmt.Errorf("%w: it does not follow the last event", endpoint.ErrWrongAnswer)

// errTooLargeToHold rejects a lastResort answer that exceeds maxBufferedBytes.
var errTooLargeToHold = fmt.Errorf("%w: the first endpoint may still answer", endpoint.ErrWrongAnswer)

// attemptCall is a call of an attempt to one endpoint. It is the sink of the call.
type attemptCall struct {
	attempt   *attempt
	placement placement
	// resumesAfter is the ID of the last event that was forwarded before the call; empty
	// if none was.
	resumesAfter string
	// resumed is true once the call's first event has followed that one.
	resumed bool
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// sentAt is when the call was begun, and beganAt when the first bytes of the answer
	// arrived; zero before that.
	sentAt, beganAt time.Time
	// status and header are those of the answer; header is nil before and once they are
	// forwarded. held is the part of the body that is not forwarded yet.
	status int
	header http.Header
	held   bytes.Buffer
	// lastResort is true for the error response of a second endpoint. It is forwarded
	// only once the first has failed.
	lastResort bool
	// done is closed when the call has ended, with err.
	done chan struct{}
	err  *endpoint.CallError
}

func (a *attempt) newCall(now time.Time, p placement) *attemptCall {
	ctx, cancel := context.WithCancelCause(a.ctx)
	return &attemptCall{
		attempt: a, placement: p, resumesAfter: a.task.answer.lastEvent, ctx: ctx, cancel: cancel, sentAt: now, done: make(chan struct{}),
	}
}

// run makes the call and releases the endpoint's capacity.
func (c *attemptCall) run(call endpoint.Call) {
	defer close(c.done)
	defer c.cancel(nil)
	_, err := c.attempt.forwarder.cfg.Endpoints.Do(c.ctx, call, c)
	if err == nil && !c.lastResort {
		err = c.forward(nil)
	}
	c.setError(err)
	c.recordAtEndpoint(time.Now())
	if err == nil && c.lastResort {
		<-c.attempt.first.done
		c.setError(c.forward(nil))
	}
}

// setError records the error with which the call has ended, if any.
func (c *attemptCall) setError(err error) {
	if err != nil && !errors.As(err, &c.err) {
		c.err = endpoint.NewCallError(endpoint.CallerGone, err)
	}
}

// outpaced reports whether the call was cancelled because the other one answered.
func (c *attemptCall) outpaced() bool {
	return c.err != nil && (errors.Is(c.err, errOutpaced) || errors.Is(context.Cause(c.ctx), endpoint.ErrSilent))
}

// recordAtEndpoint records what the end of the call says about the endpoint.
func (c *attemptCall) recordAtEndpoint(now time.Time) {
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
		if c.outpaced() {
			return
		}
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
	if c.err.Kind == endpoint.DialFailed && c.outpaced() {
		return balance.Abandoned
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

// Head takes the head of the answer, which must be that of a stream if it resumes one. It
// decides nothing else yet: an endpoint that has sent no more may still fail.
func (c *attemptCall) Head(status int, header http.Header) error {
	if c.resumesAfter != "" {
		if status != http.StatusOK || !endpoint.IsEventStream(header) {
			return errNotResumed
		}
		return nil
	}
	c.lastResort = status >= http.StatusBadRequest && c.attempt.mayOutpace(c)
	c.status, c.header = status, header
	return nil
}

// Data takes the next bytes of the answer. Events are forwarded at once; other answers
// are held back until they are complete or exceed maxBufferedBytes.
func (c *attemptCall) Data(p []byte) error {
	if c.beganAt.IsZero() {
		c.beganAt = time.Now()
	}
	if !c.continuesStream(p) {
		return errNotResumed
	}
	fits := c.held.Len()+len(p) <= maxBufferedBytes
	switch {
	case fits && (c.lastResort || !c.attempt.task.isStream()):
		c.held.Write(p)
		return nil
	case c.lastResort:
		return errTooLargeToHold
	default:
		return c.forward(p)
	}
}

// forward makes the call's answer the one that is forwarded, and forwards what was held
// back and p. It returns errOutpaced if the other call's answer is.
func (c *attemptCall) forward(p []byte) error {
	if !c.attempt.claim(c) {
		return errOutpaced
	}
	a := c.attempt.task.answer
	if c.header != nil {
		a.setHead(c.status, c.header)
		c.header = nil
	}
	c.held.Write(p)
	if c.held.Len() == 0 {
		return nil
	}
	defer c.held.Reset()
	return a.write(c.held.Bytes())
}

// continuesStream reports whether the events directly follow the last one that the caller
// has, as told by the ID of the first one. Those after it are not checked.
func (c *attemptCall) continuesStream(events []byte) bool {
	if c.resumesAfter == "" || c.resumed {
		return true
	}
	first, found := firstEventID(events)
	if !found {
		return true
	}
	c.resumed = follows(c.resumesAfter, first)
	return c.resumed
}
