package edge

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"oleanderramp/internal/balance"
	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/event"
)

// refusalWait is how long after a stream was sent to a second endpoint that one may
// refuse it before the first is cancelled. Both must not run the stream for long.
const refusalWait = 250 * time.Millisecond

// errOutpaced is the cause with which a call is cancelled because the other endpoint of
// its attempt answered first.
var errOutpaced = errors.New("another endpoint answered first")

// attempt is one attempt to have a request answered. If its endpoint falls silent, an
// idempotent request is sent to a second one as well, and the first of the two that
// answers is forwarded. Until then the first is not given up: it may go on, and the
// second may refuse or fail.
type attempt struct {
	forwarder *Forwarder
	task      *task
	// ctx ends at the request's deadline, or when the caller disconnects.
	ctx   context.Context
	first *attemptCall
	// skipReason is why no second endpoint was found when that was last tried; "" if
	// one was.
	skipReason string

	mu sync.Mutex
	// second is the call to the second endpoint; nil if there is none.
	second *attemptCall
	// winner is the call whose answer is forwarded; nil until that is decided. It is
	// decided only while there is a second call.
	winner *attemptCall
}

// attempt sends the request to the endpoint and forwards the answer. It returns the
// placement at which the attempt ended.
func (f *Forwarder) attempt(caller context.Context, t *task, p placement) (placement, *endpoint.CallError) {
	ctx, cancel := context.WithDeadline(caller, t.deadline)
	defer cancel()
	a := &attempt{forwarder: f, task: t, ctx: ctx}
	a.first = a.newCall(p)
	t.answer.startAttempt(p.reservation)
	call := f.call(caller, time.Now(), t, p)
	if t.route.Idempotent() {
		call.OnSilence = a.hedge
	}
	a.first.run(call)
	last := a.settle()
	if last.err == nil {
		f.crashes.recordAnswered(time.Now(), t.run)
		f.cfg.Metrics.AddService(t.service, t.account, float64(t.request.Prompt.Tokens))
	}
	return last.placement, last.err
}

// hedge sends the request to a second endpoint, as the first has been silent for that
// long, unless it has been already. It is called while the first call waits for its
// endpoint, so that it may use the task.
func (a *attempt) hedge(silent time.Duration) {
	now := time.Now()
	if !a.dropFinished() || a.task.deadline.Sub(now) < minAttemptTime {
		return
	}
	p, reason := a.forwarder.placeHedge(now, a.task, a.first.placement)
	if reason != a.skipReason || reason == "" {
		a.logSilence(silent, p, reason)
	}
	a.skipReason = reason
	if reason != "" {
		return
	}
	second := a.newCall(p)
	call := a.forwarder.call(a.ctx, now, a.task, p)
	call.OnSilence = func(time.Duration) {} // There is no third endpoint to wait for.
	if a.task.isStream() {
		recordSent := call.OnSent
		call.OnSent = func() {
			recordSent()
			time.AfterFunc(refusalWait, second.claimUnlessRefused)
		}
	}
	a.mu.Lock()
	a.second = second
	a.mu.Unlock()
	go second.run(call)
}

// dropFinished drops a second call that has ended without an answer. It reports whether
// there is now none, and the attempt is still undecided.
func (a *attempt) dropFinished() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.second == nil {
		return true
	}
	if a.winner == a.second || !a.second.ended() {
		return false
	}
	a.record(a.second)
	a.second, a.winner = nil, nil
	return true
}

// claim makes the call's answer the one that is forwarded, unless the other call's is.
func (a *attempt) claim(call *attemptCall) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.claimLocked(call)
}

// claimLocked is claim for a caller that holds a.mu.
func (a *attempt) claimLocked(call *attemptCall) bool {
	if a.second == nil || a.winner != nil {
		return a.winner == call || a.second == nil
	}
	a.winner = call
	loser := a.second
	if call == a.second {
		loser = a.first
		a.task.usePlacement(time.Now(), call.placement)
		a.task.answer.startAttempt(call.placement.reservation)
		loser.cancel(endpoint.ErrSilent)
	} else {
		loser.cancel(errOutpaced)
	}
	event.HedgeSettled.Log(a.forwarder.cfg.Log, event.Fields{
		"request": a.task.request.ID, "service": a.task.service,
		"endpoint": call.placement.choice.Endpoint.ID, "given_up": loser.placement.choice.Endpoint.ID, "second": call == a.second,
	})
	return true
}

// settle waits for the call that decides the outcome after the first has ended, and
// returns it.
func (a *attempt) settle() *attemptCall {
	a.mu.Lock()
	second := a.second
	if second == nil {
		a.mu.Unlock()
		a.record(a.first)
		return a.first
	}
	if a.first.err == nil {
		a.claimLocked(a.first)
	} else {
		a.claimLocked(second) // The first has failed; the second may still answer.
	}
	last, other := a.winner, second
	a.mu.Unlock()
	if last == second {
		other = a.first
	}
	<-second.done
	a.record(other)
	a.record(last)
	return last
}

// record records in the task how a call has ended.
func (a *attempt) record(call *attemptCall) {
	t, err := a.task, call.err
	if err == nil {
		return
	}
	id := call.placement.choice.Endpoint.ID
	switch err.Kind {
	case endpoint.ConnectionLost, endpoint.Truncated:
		a.forwarder.recordLost(time.Now(), t, call.placement.choice.Endpoint)
	case endpoint.DialFailed:
		a.forwarder.crashes.recordUnreachable(time.Now(), id)
	}
	if err.Kind != endpoint.DialFailed && err.Kind != endpoint.NotSent {
		t.reachedEndpoints++
	}
	t.mayHaveRun = t.mayHaveRun || err.MayHaveRun()
	if !slices.Contains(t.excluded, id) {
		t.excluded = append(t.excluded, id)
	}
}

// logSilence logs that the first endpoint is silent, and which other one gets the
// request, or why none does.
func (a *attempt) logSilence(silent time.Duration, p placement, reason string) {
	fields := a.task.logFields()
	fields["endpoint"], fields["silent_ms"], fields["begun"] = a.first.placement.choice.Endpoint.ID, silent.Milliseconds(), a.task.answer.sent
	fields["hedged"], fields["reason"] = reason == "", reason
	event.EndpointSilent.Log(a.forwarder.cfg.Log, fields)
	if reason == "" {
		a.forwarder.logPlacement(a.task, p, a.task.reachedEndpoints+2)
	}
}

// placeHedge reserves an endpoint for the request beside the one that is silent, or
// returns the reason why not.
func (f *Forwarder) placeHedge(now time.Time, t *task, silent placement) (placement, string) {
	switch {
	case t.answer.partlySent() && !t.answer.resumable():
		return placement{}, "answer_partly_passed"
	case t.reachedEndpoints+1 >= max(t.route.MaxAttempts, 1):
		return placement{}, "attempts_used_up"
	case !f.spendRetry(t.service):
		return placement{}, "retry_budget_used_up"
	}
	left := t.deadline.Sub(now)
	wanted := placementRequest{demand: t.demand(), account: t.account, objective: left, timeLeft: left, begun: true, tokens: t.tokens()}
	wanted.demand.Excluded = append(slices.Clone(t.excluded), silent.choice.Endpoint.ID)
	p, refused := f.cfg.Admission.placeNow(now, wanted)
	if refused != "" {
		f.refundRetry(t.service)
		return placement{}, string(refused)
	}
	f.cfg.Metrics.CountRetry(t.service)
	return p, ""
}

// attemptCall is a call of an attempt to one endpoint. It is the sink of the call.
type attemptCall struct {
	attempt   *attempt
	placement placement
	ctx       context.Context
	cancel    context.CancelCauseFunc
	// done is closed when the call has ended, with err.
	done chan struct{}
	err  *endpoint.CallError
}

func (a *attempt) newCall(p placement) *attemptCall {
	ctx, cancel := context.WithCancelCause(a.ctx)
	return &attemptCall{attempt: a, placement: p, ctx: ctx, cancel: cancel, done: make(chan struct{})}
}

// run makes the call and releases the endpoint's capacity.
func (c *attemptCall) run(call endpoint.Call) {
	defer close(c.done)
	defer c.cancel(nil)
	_, err := c.attempt.forwarder.cfg.Endpoints.Do(c.ctx, call, c)
	if err != nil && !errors.As(err, &c.err) {
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
	return c.attempt.task.answer.Data(p)
}
