package edge

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"oleanderramp/internal/balance"
	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/event"
)

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
	now := time.Now()
	a.first = a.newCall(now, p)
	t.answer.startAttempt(p.reservation)
	call := f.call(caller, now, t, p)
	if t.route.Idempotent() {
		call.OnSilence = a.hedge
	}
	a.first.run(call)
	last := a.settle()
	if last.err == nil {
		f.cfg.Metrics.AddService(t.service, t.account, float64(t.request.Prompt.Tokens))
	}
	return last.placement, last.err
}

// hedge sends the request to a second endpoint, as the first has been silent for that
// long, unless it has been already. It is called while the first call waits for its
// endpoint, so that it may use the task.
func (a *attempt) hedge(silent time.Duration) {
	now := time.Now()
	if !a.dropSecond() || a.task.deadline.Sub(now) < minAttemptTime {
		return
	}
	p, reason := a.forwarder.placeHedge(now, a.task, a.first.placement.choice.Endpoint.ID)
	if reason != a.skipReason || reason == "" {
		a.logSilence(silent, p, reason)
	}
	a.skipReason = reason
	if reason != "" {
		return
	}
	second := a.newCall(now, p)
	call := a.forwarder.call(a.ctx, now, a.task, p)
	call.OnSilence = func(time.Duration) {} // There is no third endpoint to wait for.
	a.mu.Lock()
	a.second = second
	a.mu.Unlock()
	go second.run(call)
}

// dropSecond drops a second call that has ended without being forwarded. It reports
// whether there is now none.
func (a *attempt) dropSecond() bool {
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

// mayOutpace reports whether the call is a second one, while the first may still answer.
func (a *attempt) mayOutpace(call *attemptCall) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return call == a.second && a.winner == nil
}

// claim makes the call's answer the one that is forwarded, and reports whether it is:
// without a second call it always is, otherwise that of the call that claims first. The
// other call is cancelled.
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
	<-second.done
	if last == second {
		other = a.first
	}
	if last == second && second.err != nil && a.first.err.Kind == endpoint.EndpointError {
		last, other = a.first, second // The first's error response is an answer.
	}
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
	if !wasSent(err) && call != a.first {
		a.forwarder.refundRetry(t.service)
	}
	if wasSent(err) && !slices.Contains(t.reached, id) {
		t.reached = append(t.reached, id)
	}
	t.mayHaveRun = t.mayHaveRun || err.MayHaveRun()
	if !call.outpaced() && !slices.Contains(t.excluded, id) {
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
		a.forwarder.logPlacement(a.task, p, len(a.task.reached)+2)
	}
}

// placeHedge reserves an endpoint for the request beside the one that is silent, or
// returns the reason why not.
func (f *Forwarder) placeHedge(now time.Time, t *task, silent string) (placement, string) {
	f.refreshRegions(t)
	demand := t.demand(silent)
	switch {
	case t.answer.partlySent() && !t.answer.resumable():
		return placement{}, "answer_partly_passed"
	case demand.Only != nil && len(demand.Only) == 0:
		return placement{}, "attempts_used_up"
	case !f.hasRetry(t.service):
		return placement{}, "retry_budget_used_up"
	}
	left := t.deadline.Sub(now)
	p, refused := f.cfg.Admission.placeNow(now, placementRequest{
		demand: demand, account: t.account, objective: left, timeLeft: left, begun: true, tokens: t.tokens(),
	})
	if refused != "" {
		return placement{}, string(refused)
	}
	if !f.spendRetry(t.service) {
		p.reservation.end(now, balance.Abandoned)
		return placement{}, "retry_budget_used_up"
	}
	f.cfg.Metrics.CountRetry(t.service)
	return p, ""
}
