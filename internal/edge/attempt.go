package edge

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"oleanderramp/internal/balance"
	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/event"
	"oleanderramp/internal/locality"
	"oleanderramp/internal/share"
	"oleanderramp/pkg/routing"
)

const (
	// declinedRetryAfter is the Retry-After time after an endpoint declined a
	// request or could not be reached.
	declinedRetryAfter = 500 * time.Millisecond
	// minAttemptTime is the minimum time left before the deadline for another
	// attempt.
	minAttemptTime = 20 * time.Millisecond
)

// run sends the request to endpoints until one answers it or no further attempt
// is allowed. It returns nil when the caller has received the whole answer.
func (f *Forwarder) run(ctx context.Context, t *task) *failure {
	f.earnRetry(t.service)
	var callErr *endpoint.CallError
	for {
		if callErr == nil && f.refusing.Load() {
			return drainingFailure() // Its body has only just arrived.
		}
		placed, refused := f.place(ctx, t, callErr != nil)
		if refused != nil {
			return f.placementFailed(ctx, t, refused, callErr)
		}
		if f.cfg.CallerDisconnected(ctx) {
			placed.reservation.end(time.Now(), balance.Abandoned)
			return f.interrupted(ctx, t)
		}
		if callErr == nil && f.refusing.Load() {
			placed.reservation.end(time.Now(), balance.Abandoned)
			return drainingFailure() // It has waited for the endpoint.
		}
		placed, callErr = f.attempt(ctx, t, placed)
		if callErr == nil {
			return nil
		}
		if !f.retryElsewhere(ctx, t, placed, callErr) {
			return f.finalFailure(ctx, t, callErr)
		}
	}
}

// place reserves an endpoint for the next attempt.
func (f *Forwarder) place(ctx context.Context, t *task, isRetry bool) (placement, *failure) {
	now := time.Now()
	f.refreshRegions(t)
	placed, refused := f.cfg.Admission.place(ctx, t.placementRequest(now, isRetry))
	for refused == nil && f.refreshRegions(t) && !t.allowsRegion(placed.choice.Endpoint.Region) {
		// A newer routing table came into force while the request waited.
		placed.reservation.end(time.Now(), balance.Abandoned)
		again := t.placementRequest(time.Now(), isRetry)
		again.begun = true // It is counted already.
		placed, refused = f.cfg.Admission.place(ctx, again)
	}
	f.cfg.Metrics.ObserveSlotWait(t.service, time.Since(now))
	t.placementFields = shareFields(placed.share)
	t.placementFields["waited_ms"], t.placementFields["within_share"] = time.Since(now).Milliseconds(), placed.withinShare
	if refused != nil {
		return placed, refused
	}
	t.usePlacement(time.Now(), placed)
	f.acceptance.recordPlaced(t.placedAt)
	f.logPlacement(t, placed, len(t.reached)+1)
	t.placementFields = nil
	return placed, nil
}

// placementRequest returns what the next attempt needs.
func (t *task) placementRequest(now time.Time, isRetry bool) placementRequest {
	wanted := placementRequest{
		demand: t.demand(""), account: t.account,
		objective: t.objective.Sub(now), timeLeft: t.deadline.Sub(now), begun: isRetry || t.resumesStream(), tokens: t.tokens(), draw: t.draw,
		priority: t.priority,
	}
	if isRetry {
		// Once an attempt was made, only the deadline bounds the request.
		wanted.objective = t.deadline.Sub(now)
	}
	return wanted
}

// usePlacement records where the request was placed.
func (t *task) usePlacement(now time.Time, placed placement) {
	t.placed, t.predicted, t.placedAt = placed.choice.Endpoint, placed.choice.Predicted, now
}

// logPlacement logs where the request is sent, as which attempt, and why.
func (f *Forwarder) logPlacement(t *task, placed placement, attempt int) {
	fields := t.logFields()
	fields["endpoint"], fields["predicted_ms"] = placed.choice.Endpoint.ID, placed.choice.Predicted.Milliseconds()
	fields["region"], fields["zone"] = placed.choice.Endpoint.Region, placed.choice.Endpoint.Zone
	fields["running"], fields["prefill_tokens"], fields["uncached_tokens"] =
		placed.choice.Load.Running, placed.choice.Load.Prefill, placed.choice.Uncached
	fields["source"], fields["software"] = placed.choice.Source.ID, placed.choice.Endpoint.Software
	if left := placed.choice.Left; left != locality.Stays {
		fields["left_zone"] = string(left)
		f.cfg.Metrics.CountLeftZone(t.service, string(left))
	}
	t.logOrigin(fields)
	fields["announced_ms_ago"], fields["attempt"] = time.Since(placed.choice.Endpoint.LastSeen).Milliseconds(), attempt
	event.RequestRouted.Log(f.cfg.Log, fields)
}

// demand returns what the request needs of an endpoint beside the one at which it is
// now, whose ID is "" if there is none.
func (t *task) demand(current string) balance.Demand {
	d := balance.Demand{
		Service: t.service, Prompt: t.request.Prompt, RequestBytes: len(t.request.Body),
		Excluded: t.excluded, Regions: t.regions, Seed: requestHash(t.request.ID),
	}
	if t.origin != nil {
		d.Software = &t.origin.Software
	}
	reached := t.reached
	if current != "" {
		d.Excluded = append(slices.Clone(t.excluded), current)
		reached = append(slices.Clone(t.reached), current)
	}
	if len(reached) >= max(t.route.MaxAttempts, 1) {
		d.Only = slices.DeleteFunc(slices.Clone(reached), func(id string) bool { return slices.Contains(d.Excluded, id) })
	}
	return d
}

// attemptsUsedUp reports whether no endpoint is left to which the request may be sent.
func (t *task) attemptsUsedUp() bool {
	only := t.demand("").Only
	return only != nil && len(only) == 0
}

// shareFields returns the log fields of an account's share. An account without
// competitors has no spare_tokens, as nothing bounds it.
func shareFields(s share.Share) event.Fields {
	fields := event.Fields{"share_tokens": int(s.Level), "asked_tokens": int(s.Asked), "admitted_tokens": int(s.Admitted)}
	if !math.IsInf(s.SpareLevel, 1) {
		fields["spare_tokens"] = int(s.SpareLevel)
	}
	return fields
}

// endpointOutcome returns the outcome of a failed call as recorded for the
// endpoint.
func endpointOutcome(err *endpoint.CallError) balance.Outcome {
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

// retryElsewhere reports whether to retry the request on another endpoint after
// a failed attempt.
func (f *Forwarder) retryElsewhere(ctx context.Context, t *task, p placement, err *endpoint.CallError) bool {
	reason, ok := f.mayRetry(ctx, t, err)
	fields := t.logFields()
	fields["endpoint"], fields["attempt"], fields["error"], fields["reason"] = p.choice.Endpoint.ID, len(t.reached), err.Error(), reason
	fields["again"] = ok
	event.RequestRetried.Log(f.cfg.Log, fields)
	if ok {
		f.cfg.Metrics.CountRetry(t.service)
	}
	return ok
}

// mayRetry decides whether another attempt is made, and returns the reason.
func (f *Forwarder) mayRetry(ctx context.Context, t *task, err *endpoint.CallError) (string, bool) {
	switch {
	case ctx.Err() != nil:
		return "caller_gone", false
	case time.Until(t.deadline) < minAttemptTime:
		return "deadline", false
	case err.Kind == endpoint.TooLarge || err.Kind == endpoint.InvalidCall || err.Kind == endpoint.CallerGone:
		return "not_the_endpoints_fault", false
	case t.mayHaveRun && !t.route.Idempotent():
		return "may_have_run_once", false
	case t.answer.partlySent() && !t.answer.resumable():
		return "answer_partly_passed", false
	case !wasSent(err):
		return "not_sent", len(t.excluded) <= maxExcluded
	case t.attemptsUsedUp():
		return "attempts_used_up", false
	case !f.spendRetry(t.service):
		return "retry_budget_used_up", false
	default:
		return "allowed", true
	}
}

// wasSent reports whether a part of the request may have reached the endpoint.
func wasSent(err *endpoint.CallError) bool {
	return err.Kind != endpoint.DialFailed && err.Kind != endpoint.NotSent
}

// maxExcluded bounds the number of failed endpoints after which a request that could
// not be sent is tried at another one.
const maxExcluded = 4

// placementFailed returns the failure of a request for which no endpoint was
// found. previous is the error of the previous attempt, or nil. A request that
// may have run must not be reported as refused.
func (f *Forwarder) placementFailed(ctx context.Context, t *task, refused *failure, previous *endpoint.CallError) *failure {
	switch {
	case ctx.Err() != nil:
		return f.interrupted(ctx, t)
	case previous != nil && previous.Kind == endpoint.EndpointError:
		return f.finalFailure(ctx, t, previous)
	case t.mayHaveRun:
		return &failure{status: 502, outcome: OutcomeFailed, code: CodeAnswerBroken, message: "the endpoint failed, and no other has capacity"}
	default:
		return refused
	}
}

// finalFailure returns the failure of a request after its last attempt.
func (f *Forwarder) finalFailure(ctx context.Context, t *task, err *endpoint.CallError) *failure {
	switch {
	case ctx.Err() != nil || errors.Is(err, endpoint.ErrCallerDisconnected):
		return f.interrupted(ctx, t)
	case !time.Now().Before(t.deadline) && t.mayHaveRun:
		return &failure{status: 504, outcome: OutcomeFailed, code: CodeTimeout, message: "no complete answer before the deadline"}
	case err.Kind == endpoint.EndpointError && !err.BodyCut && !t.answer.partlySent():
		t.answer.useEndpointError(err)
		return &failure{status: err.Status, outcome: OutcomeFailed, code: CodeEndpointError, message: "the endpoint failed"}
	case !t.mayHaveRun && err.Kind == endpoint.Refused:
		return &failure{status: 503, outcome: OutcomeNotRun, code: CodeDeclined, retryAfter: declinedRetryAfter, message: "the endpoint declined the request"}
	case !t.mayHaveRun:
		return &failure{status: 503, outcome: OutcomeNotRun, code: CodeUnreachable, retryAfter: declinedRetryAfter, message: "the endpoint can't be reached"}
	default:
		return &failure{status: 502, outcome: OutcomeFailed, code: CodeAnswerBroken, message: "the endpoint's answer was incomplete"}
	}
}

func callerGone() *failure {
	return &failure{outcome: OutcomeAbandoned, code: CodeCallerGone, message: "the caller disconnected"}
}

// tokens returns the amount charged to the account's share: each prompt token
// counts once, each generated token twice.
func (t *task) tokens() float64 {
	prompt := t.request.Prompt
	if prompt.Tokens == 0 {
		return 0
	}
	return float64(prompt.Tokens + 2*prompt.Output)
}

// isStream reports whether the answer is a stream of events.
func (t *task) isStream() bool { return t.route.Kind == routing.Streaming }
