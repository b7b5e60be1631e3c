package router

import (
	"errors"
	"time"

	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/event"
	"oleanderramp/internal/quarantine"
)

// asFailedAfterRun turns the outcome not_run of a further attempt into failed
// when an earlier attempt may have run.
func asFailedAfterRun(ran bool, err error) error {
	var refused *Error
	if !ran || !errors.As(err, &refused) || refused.Outcome() != OutcomeNotRun {
		return err
	}
	return NewError(refused.Code(), OutcomeFailed, refused.RetryAfter(), "%s", refused.Message())
}

// finalError returns the final error of an idempotent request that is not retried.
func (r *Router) finalError(t *task, failure *endpoint.CallError) error {
	if verdict := r.quarantineVerdict(time.Now(), t); verdict.Status == quarantine.Quarantined {
		return NewError(CodeQuarantined, OutcomeFailed, verdict.RetryAfter, "the request crashes endpoints and is not run again")
	}
	if failure.Kind == endpoint.EndpointError {
		return NewError(CodeEndpointFailed, OutcomeFailed, time.Second, "the endpoint answered with status %d", failure.Status)
	}
	return callFailure(failure, true)
}

// callFailure converts a failed call into the error returned to the caller.
func callFailure(err error, idempotent bool) *Error {
	var failure *endpoint.CallError
	if !errors.As(err, &failure) {
		return NewError(CodeEndpointFailed, OutcomeUnknown, 0, "%v", err)
	}
	if !failure.MayHaveRun() {
		return notRun(CodeNoEndpoint, time.Second, "the endpoint could not be reached: %v", failure)
	}
	retryAfter := time.Duration(0)
	outcome := OutcomeUnknown
	if idempotent {
		retryAfter = time.Second
		outcome = OutcomeFailed
	}
	return NewError(failureCode(failure), outcome, retryAfter, "%v", failure)
}

func failureCode(failure *endpoint.CallError) Code {
	switch failure.Kind {
	case endpoint.Silent:
		return CodeEndpointSilent
	case endpoint.Truncated:
		return CodeAnswerTruncated
	case endpoint.CallerGone:
		return CodeCallerGone
	}
	return CodeEndpointFailed
}

// reportEnd logs and counts the end of a request.
func (r *Router) reportEnd(request *Request, err error) {
	took := time.Since(request.Arrived)
	fields := event.Fields{
		"request": request.ID, "account": request.Account.Name, "service": request.Service,
		"kind": request.Kind.Name, "took_ms": took.Milliseconds(),
	}
	if err == nil {
		fields["outcome"] = string(OutcomeOK)
		r.cfg.Metrics.RequestEnded(request.Service, string(OutcomeOK), "", took)
		event.RequestAnswered.Log(r.cfg.Log, fields)
		return
	}
	final := asError(err)
	fields["outcome"], fields["code"], fields["error"] = string(final.Outcome()), string(final.Code()), final.Message()
	r.cfg.Metrics.RequestEnded(request.Service, string(final.Outcome()), string(final.Code()), took)
	switch {
	case final.Code() == CodeCallerGone:
		event.CallAbandoned.Log(r.cfg.Log, fields)
	case final.Outcome() == OutcomeNotRun:
		event.RequestRefused.Log(r.cfg.Log, fields)
	case final.Outcome() == OutcomeUnknown:
		event.OutcomeUnknown.Log(r.cfg.Log, fields)
	default:
		event.RequestFailed.Log(r.cfg.Log, fields)
	}
}

// asError returns the *Error in err. Any other error is a failure to write to
// the caller.
func asError(err error) *Error {
	var final *Error
	if errors.As(err, &final) {
		return final
	}
	return NewError(CodeCallerGone, OutcomeUnknown, 0, "%v", err)
}
