package edge

import (
	"context"
	"errors"
	"time"

	"oleanderramp/internal/balance"
	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/event"
	"oleanderramp/pkg/routing"
)

const (
	// goneRetryAfter is when a caller may come back whose request an endpoint
	// turned away.
	goneRetryAfter = 500 * time.Millisecond
	// leastAttempt is the least time that is worth another attempt.
	leastAttempt = 20 * time.Millisecond
)

// run brings the request to its answer. It returns nil when the caller has the
// whole answer.
func (f *Forwarder) run(ctx context.Context, t *task) *failure {
	f.earn(t.service)
	var callErr *endpoint.CallError
	for {
		placed, refused := f.place(ctx, t, callErr != nil)
		if refused != nil {
			return f.notPlaced(ctx, t, refused, callErr)
		}
		if f.cfg.Left(ctx) {
			placed.ticket.end(time.Now(), balance.Abandoned)
			return callerGone()
		}
		callErr = f.attempt(ctx, t, placed)
		if callErr == nil {
			return nil
		}
		if !f.tryAgain(ctx, t, placed, callErr) {
			return f.giveUp(ctx, t, callErr)
		}
	}
}

// place finds an endpoint for the next attempt.
func (f *Forwarder) place(ctx context.Context, t *task, again bool) (placement, *failure) {
	now := time.Now()
	prompt := t.request.Prompt
	w := wish{
		demand:    balance.Demand{Service: t.service, Prompt: prompt, Excluded: t.excluded},
		account:   t.account,
		objective: t.objective.Sub(now), patience: t.deadline.Sub(now), again: again, tokens: t.tokens(),
	}
	if again {
		// What was begun is carried on as long as the caller waits.
		w.objective = t.deadline.Sub(now)
	}
	placed, refused := f.cfg.Gate.place(ctx, w)
	f.cfg.Metrics.Waited(t.service, time.Since(now))
	t.placing = event.Fields{
		"waited_ms": time.Since(now).Milliseconds(), "within_share": placed.within, "share_tokens": int(placed.share.Level),
		"asked_tokens": int(placed.share.Asked), "admitted_tokens": int(placed.share.Admitted),
	}
	if refused != nil {
		return placed, refused
	}
	fields := t.logFields()
	t.placing = nil
	fields["endpoint"], fields["predicted_ms"] = placed.choice.Endpoint.ID, placed.choice.Predicted.Milliseconds()
	fields["running"], fields["prefill_tokens"], fields["uncached_tokens"] =
		placed.choice.Load.Running, placed.choice.Load.Prefill, placed.choice.Uncached
	fields["source"] = placed.choice.Source.ID
	fields["announced_ms_ago"], fields["attempt"] = time.Since(placed.choice.Endpoint.LastSeen).Milliseconds(), t.arrivals+1
	event.RequestRouted.Log(f.cfg.Log, fields)
	return placed, nil
}

// attempt sends the request to the endpoint and passes the answer on.
func (f *Forwarder) attempt(caller context.Context, t *task, p placement) *endpoint.CallError {
	ctx, cancel := context.WithDeadline(caller, t.deadline)
	defer cancel()
	t.answer.begin(p.ticket)
	_, err := f.cfg.Endpoints.Do(ctx, f.call(time.Now(), t, p), t.answer)
	if err == nil {
		p.ticket.end(time.Now(), balance.Answered)
		f.crashes.answered(time.Now(), t.digest)
		f.cfg.Metrics.Served(t.service, t.account, float64(t.request.Prompt.Tokens))
		return nil
	}
	var callErr *endpoint.CallError
	if !errors.As(err, &callErr) {
		callErr = &endpoint.CallError{Kind: endpoint.ConnectionLost}
	}
	outcome := outcomeOf(callErr)
	if callErr.Kind == endpoint.CallerGone && caller.Err() == nil {
		outcome = balance.Failed // The time was over, and not the caller's patience.
	}
	p.ticket.end(time.Now(), outcome)
	switch callErr.Kind {
	case endpoint.ConnectionLost, endpoint.Truncated:
		f.crashes.broke(time.Now(), p.choice.Endpoint, t.digest())
	case endpoint.DialFailed:
		f.crashes.unreachable(time.Now(), p.choice.Endpoint.ID)
	}
	if callErr.Kind != endpoint.DialFailed && callErr.Kind != endpoint.NotSent {
		t.arrivals++
	}
	t.mayHaveRun = t.mayHaveRun || callErr.MayHaveRun()
	return callErr
}

// outcomeOf says what a failed call means for the endpoint.
func outcomeOf(err *endpoint.CallError) balance.Outcome {
	switch err.Kind {
	case endpoint.CallerGone, endpoint.TooLarge, endpoint.InvalidCall:
		return balance.Abandoned
	case endpoint.Refused:
		return balance.Declined
	case endpoint.DialFailed:
		return balance.Unreachable
	case endpoint.NotSent:
		return balance.Abandoned
	default:
		return balance.Failed
	}
}

// tryAgain tells whether the request goes to another endpoint after a failed
// attempt, and prepares that.
func (f *Forwarder) tryAgain(ctx context.Context, t *task, p placement, err *endpoint.CallError) bool {
	reason, ok := f.mayTryAgain(ctx, t, err)
	fields := t.logFields()
	fields["endpoint"], fields["attempt"], fields["error"], fields["reason"] = p.choice.Endpoint.ID, t.arrivals, err.Error(), reason
	fields["again"] = ok
	event.RequestRetried.Log(f.cfg.Log, fields)
	if ok {
		t.excluded = append(t.excluded, p.choice.Endpoint.ID)
		f.cfg.Metrics.Retried(t.service)
	}
	return ok
}

// mayTryAgain decides on another attempt, and says why.
func (f *Forwarder) mayTryAgain(ctx context.Context, t *task, err *endpoint.CallError) (string, bool) {
	switch {
	case ctx.Err() != nil:
		return "caller_gone", false
	case time.Until(t.deadline) < leastAttempt:
		return "deadline", false
	case err.Kind == endpoint.TooLarge || err.Kind == endpoint.InvalidCall || err.Kind == endpoint.CallerGone:
		return "not_the_endpoints_fault", false
	case t.mayHaveRun && !t.route.Idempotent():
		return "may_have_run_once", false
	case t.answer.passed() && !t.answer.resumable():
		return "answer_partly_passed", false
	case err.Kind == endpoint.DialFailed || err.Kind == endpoint.NotSent:
		return "not_sent", len(t.excluded) < maxDials
	case t.arrivals >= max(t.route.MaxAttempts, 1):
		return "attempts_used_up", false
	case !f.spend(t.service):
		return "retry_budget_used_up", false
	default:
		return "allowed", true
	}
}

// maxDials bounds the endpoints that one request is tried at.
const maxDials = 4

// notPlaced ends a request that found no endpoint, after an attempt that failed
// with before unless that is nil. After a run a refusal would not be true.
func (f *Forwarder) notPlaced(ctx context.Context, t *task, refused *failure, before *endpoint.CallError) *failure {
	switch {
	case ctx.Err() != nil:
		return callerGone()
	case before != nil && before.Kind == endpoint.EndpointError:
		return f.giveUp(ctx, t, before)
	case t.mayHaveRun:
		return &failure{status: 502, outcome: OutcomeFailed, code: CodeBroken, message: "the endpoint failed, and no other has room"}
	default:
		return refused
	}
}

// giveUp ends a request after its last attempt.
func (f *Forwarder) giveUp(ctx context.Context, t *task, err *endpoint.CallError) *failure {
	switch {
	case ctx.Err() != nil:
		return callerGone()
	case !time.Now().Before(t.deadline) && t.mayHaveRun:
		return &failure{status: 504, outcome: OutcomeFailed, code: CodeTimeout, message: "no whole answer in time"}
	case err.Kind == endpoint.EndpointError && !t.answer.passed():
		t.answer.replay(err)
		return &failure{status: err.Status, outcome: OutcomeFailed, code: CodeEndpointError, message: "the endpoint failed"}
	case !t.mayHaveRun && err.Kind == endpoint.Refused:
		return &failure{status: 503, outcome: OutcomeNotRun, code: CodeDeclined, retryAfter: goneRetryAfter, message: "the endpoint declined"}
	case !t.mayHaveRun:
		return &failure{status: 503, outcome: OutcomeNotRun, code: CodeUnreachable, retryAfter: goneRetryAfter, message: "the endpoint can't be reached"}
	default:
		return &failure{status: 502, outcome: OutcomeFailed, code: CodeBroken, message: "the endpoint's answer broke off"}
	}
}

func callerGone() *failure {
	return &failure{outcome: OutcomeAbandoned, code: CodeCallerGone, message: "the caller has gone"}
}

// tokens returns what the request costs of its account's share: a token read
// counts once, a token generated twice.
func (t *task) tokens() float64 {
	prompt := t.request.Prompt
	if prompt.Tokens == 0 {
		return 0
	}
	return float64(prompt.Tokens + 2*prompt.Output)
}

// isStream tells whether the answer is a stream of events.
func (t *task) isStream() bool { return t.route.Kind == routing.Streaming }
