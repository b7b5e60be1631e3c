package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/event"
	"oleanderramp/internal/quarantine"
	"oleanderramp/internal/queue"
	"oleanderramp/internal/wire"
)

// acquireSlot waits for a slot, at most for the kind's queue timeout.
func (r *Router) acquireSlot(ctx context.Context, t *task) (*wire.Grant, error) {
	now := time.Now()
	t.slotRequest = r.lastNumber.Add(1)
	verdict := r.quarantineVerdict(now, t)
	if verdict.Status == quarantine.Quarantined {
		return nil, notRun(CodeQuarantined, verdict.RetryAfter, "the request crashes endpoints and is quarantined")
	}
	if !r.reserveSuspectRun(now, t) {
		return nil, notRun(CodeQuarantined, suspectRetryAfter, "a duplicate of this request is running; the request is suspected of crashing endpoints")
	}
	if refused := r.admit(now, t); refused != nil {
		r.releaseSuspectRun(t)
		return nil, refused
	}
	grant, err := r.awaitSlot(ctx, t, now, verdict.Status == quarantine.Suspect)
	if err != nil {
		r.releaseSuspectRun(t)
	}
	return grant, err
}

// awaitSlot requests a slot and waits for it.
func (r *Router) awaitSlot(ctx context.Context, t *task, now time.Time, alone bool) (*wire.Grant, error) {
	result := r.cfg.Slots.Submit(r.demand(t, alone))
	timer := time.NewTimer(t.request.queueTimeout())
	defer timer.Stop()
	select {
	case slot := <-result:
		return r.handleSlotResult(t, slot, now)
	case <-timer.C:
		retryAfter := r.withdraw(t)
		return nil, notRun(CodeQueueTimeout, retryAfter, "no slot became available within %v", t.request.queueTimeout())
	case <-ctx.Done():
		r.withdraw(t)
		return nil, notRun(CodeCallerGone, 0, "the caller disconnected")
	}
}

func (r *Router) demand(t *task, alone bool) *wire.Demand {
	return &wire.Demand{
		Request: t.slotRequest, Service: t.request.Service, Account: t.request.Account.Name, Kind: t.request.Kind.Name,
		Estimate: t.request.estimate(), Prefix: t.request.Prefix, Model: t.request.Model, Adapter: t.request.Adapter,
		Excluded: t.excluded, Alone: alone,
	}
}

// admit adds the request to the queue, or rejects it immediately.
func (r *Router) admit(now time.Time, t *task) *Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, refusal := r.queue.OfferLimited(now, t.request.Account.Name, t.slotRequest, queue.Limits{
		MaxPerAccount: t.request.Account.MaxQueued, Timeout: t.request.queueTimeout(),
	})
	if refusal == nil {
		return nil
	}
	return notRun(CodeQueueFull, refusal.RetryAfter, "the queue of client account %s is full: %s",
		t.request.Account.Name, refusal.Reason)
}

// handleSlotResult processes the response to a demand.
func (r *Router) handleSlotResult(t *task, slot SlotResult, since time.Time) (*wire.Grant, error) {
	now := time.Now()
	r.mu.Lock()
	if slot.Grant != nil {
		r.queue.Granted(now, t.slotRequest)
	} else {
		r.queue.Withdraw(now, t.slotRequest)
	}
	r.mu.Unlock()
	if slot.Refusal != nil {
		retryAfter := time.Duration(slot.Refusal.GetRetryAfterMs()) * time.Millisecond
		return nil, notRun(CodeNoEndpoint, retryAfter, "no endpoint can run the request: %s", slot.Refusal.GetReason())
	}
	r.cfg.Metrics.ObserveSlotWait(t.request.Service, now.Sub(since))
	event.RequestRouted.Log(r.cfg.Log, event.Fields{
		"request": t.request.ID, "account": t.request.Account.Name, "service": t.request.Service,
		"endpoint": slot.Grant.GetEndpoint(), "reason": slot.Grant.GetReason(), "waited_ms": now.Sub(since).Milliseconds(),
	})
	return slot.Grant, nil
}

// withdraw cancels the demand and returns the retry delay for the caller.
func (r *Router) withdraw(t *task) time.Duration {
	now := time.Now()
	r.cfg.Slots.Withdraw(t.slotRequest)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.Withdraw(now, t.slotRequest)
	return r.queue.RetryAfter(now, t.request.Account.Name)
}

// release removes the request from the tables of those in flight and returns its slot.
func (r *Router) release(t *task, grant *wire.Grant, cost float64, crashed bool) {
	r.mu.Lock()
	r.inFlight.remove(grant.GetEndpoint(), t.slotRequest)
	delete(r.crashReports, t.slotRequest)
	r.mu.Unlock()
	r.cfg.Slots.Complete(t.slotRequest, cost, crashed)
}

// call runs the request on the granted endpoint and releases the slot.
func (r *Router) call(ctx context.Context, t *task, grant *wire.Grant, relay *relay) *endpoint.CallError {
	r.mu.Lock()
	r.inFlight.add(grant.GetEndpoint(), t.slotRequest, t.contentDigest)
	r.mu.Unlock()
	t.attempts++
	result, err := r.cfg.Endpoints.Do(ctx, r.endpointCall(t, grant), relay)
	failure := asCallError(err)
	if failure != nil {
		result, failure = r.resume(ctx, t, grant, relay, result, failure)
	}
	if failure == nil {
		cost := t.request.cost(result.Tokens)
		r.release(t, grant, cost, false)
		r.cfg.Metrics.AddService(t.request.Service, t.request.Account.Name, cost)
		r.clearSuspicion(t)
		return nil
	}
	r.handleCallFailure(t, grant, failure, result)
	return failure
}

func asCallError(err error) *endpoint.CallError {
	if err == nil {
		return nil
	}
	var failure *endpoint.CallError
	if errors.As(err, &failure) {
		return failure
	}
	return &endpoint.CallError{Kind: endpoint.ConnectionLost}
}

func (r *Router) endpointCall(t *task, grant *wire.Grant) endpoint.Call {
	timeout := t.request.progressTimeout()
	return endpoint.Call{
		RequestID: t.request.ID, Address: grant.GetAddress(), Method: t.request.Method, Path: t.request.Path,
		Header: endpointHeader(t.request), Body: t.request.Body, ProgressTimeout: timeout, HeaderTimeout: timeout,
		MaxAnswerBytes: r.cfg.MaxAnswerBytes, Stream: t.request.Stream,
		Idempotent: t.request.Kind.Idempotent, Incarnation: grant.GetEndpointIncarnation(),
	}
}

// headerAccount names the client account of the request to the endpoint.
const headerAccount = "Oleanderramp-Account"

// endpointHeader returns the header sent to the endpoint: the caller's, without
// its API key.
func endpointHeader(request *Request) http.Header {
	header := request.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Del("Authorization")
	header.Set(headerAccount, request.Account.Name)
	return header
}

// handleCallFailure releases the slot of a call without a complete response.
// Tokens are charged when the caller disconnected, but not when the endpoint
// lost the work.
func (r *Router) handleCallFailure(t *task, grant *wire.Grant, failure *endpoint.CallError, result endpoint.Result) {
	cost := 0.0
	if failure.Kind == endpoint.CallerGone {
		cost = t.request.cost(result.Tokens)
	}
	var report crashReport
	if failure.Crashed() {
		report = r.handleCrash(t, grant)
	} else {
		r.releaseSuspectRun(t)
	}
	r.logFailure(t, grant, failure)
	// An endpoint that can't be connected to gets no more requests until it
	// announces itself again.
	r.release(t, grant, cost, failure.Crashed() || failure.Kind == endpoint.DialFailed)
	if len(report) > 0 {
		t.crashUnconfirmed = !report.wait()
	}
}

// logFailure logs failures that indicate a fault of an endpoint or of the
// network to it.
func (r *Router) logFailure(t *task, grant *wire.Grant, failure *endpoint.CallError) {
	fields := event.Fields{
		"request": t.request.ID, "service": t.request.Service, "endpoint": grant.GetEndpoint(), "error": failure.Error(),
	}
	switch failure.Kind {
	case endpoint.Silent:
		event.ConnectionSilent.Log(r.cfg.Log, fields)
	case endpoint.Truncated:
		event.AnswerTruncated.Log(r.cfg.Log, fields)
	case endpoint.WrongAnswer:
		event.AnswerMismatched.Log(r.cfg.Log, fields)
	}
}
