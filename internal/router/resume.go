package router

import (
	"context"
	"errors"
	"net/http"

	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/wire"
)

// resume requests the rest of a broken stream until it is complete or can't be
// resumed. It returns the combined result and the remaining failure. A stream
// that is not resumed is cancelled, as the endpoint may still be running it.
func (r *Router) resume(
	ctx context.Context, t *task, grant *wire.Grant, relay *relay, result endpoint.Result, failure *endpoint.CallError,
) (endpoint.Result, *endpoint.CallError) {
	for t.canResume(relay, failure) {
		rest, next := r.resumeOnce(ctx, t, grant, relay, result, failure)
		result = mergeResults(result, rest)
		if next == nil {
			return result, nil
		}
		if next == failure {
			break
		}
		failure = next
	}
	if t.mayStillRun(failure) {
		r.cfg.Endpoints.Cancel(r.endpointCall(t, grant))
	}
	return result, failure
}

// resumeOnce requests the rest on a new connection to the same endpoint, which
// runs the stream under the same slot. It returns failure itself if the stream
// was not resumed.
func (r *Router) resumeOnce(
	ctx context.Context, t *task, grant *wire.Grant, relay *relay, result endpoint.Result, failure *endpoint.CallError,
) (endpoint.Result, *endpoint.CallError) {
	call := r.endpointCall(t, grant)
	call.MaxAnswerBytes -= result.Bytes
	if call.MaxAnswerBytes <= 0 {
		return endpoint.Result{}, failure
	}
	decision := r.decideRetry(t, failure, relay.forwarded, true)
	if !decision.Resume {
		return endpoint.Result{}, failure
	}
	r.prepareRetry(t, grant, decision, failure)
	if pause(ctx, decision.Delay) != nil {
		return endpoint.Result{}, failure
	}
	t.attempts++
	sink := &resumeSink{relay: relay}
	rest, err := r.cfg.Endpoints.Resume(ctx, call, result.Events, sink)
	next := asCallError(err)
	if next != nil && (sink.rejected || !supersedesCallFailure(next)) {
		next = failure
	}
	return rest, next
}

// canResume reports whether the endpoint may be able to continue the same
// stream.
func (t *task) canResume(relay *relay, failure *endpoint.CallError) bool {
	if !t.mayStillRun(failure) || failure.Health != endpoint.Alive {
		return false
	}
	return relay.status == 0 || relay.status == http.StatusOK && endpoint.IsEventStream(relay.header)
}

// mayStillRun reports whether the endpoint may still be running a stream whose
// connection is lost. Non-idempotent requests are never resumed or cancelled.
func (t *task) mayStillRun(failure *endpoint.CallError) bool {
	if !t.request.Stream || !t.request.Kind.Idempotent {
		return false
	}
	switch failure.Kind {
	case endpoint.Silent:
		return true
	case endpoint.ConnectionLost, endpoint.Truncated:
		return failure.Health == endpoint.Alive
	}
	return false
}

// supersedesCallFailure reports whether the failure of a resumption replaces
// that of the call. If the resumption did not run, its failure does not show how
// the call ended.
func supersedesCallFailure(failure *endpoint.CallError) bool {
	return failure.MayHaveRun() && failure.Kind != endpoint.EndpointError
}

// mergeResults combines the results of the first part and the rest of a stream.
func mergeResults(first, rest endpoint.Result) endpoint.Result {
	merged := first
	merged.Events += rest.Events
	merged.Bytes += rest.Bytes
	merged.Complete = rest.Complete
	if rest.Tokens > rest.Events {
		// The rest reported the usage, which covers the whole stream.
		merged.Tokens = rest.Tokens
	} else {
		merged.Tokens += rest.Tokens
	}
	return merged
}

// errStreamNotResumed aborts a resumption whose response is not the rest of the
// stream.
var errStreamNotResumed = errors.New("the endpoint did not resume the stream")

// resumeSink forwards the rest of a stream to a caller that already has its
// beginning.
type resumeSink struct {
	relay *relay
	// rejected is true when the endpoint's response was not an event stream.
	rejected bool
}

// Head forwards the head if the caller has none yet.
func (s *resumeSink) Head(status int, header http.Header) error {
	if status != http.StatusOK || !endpoint.IsEventStream(header) {
		s.rejected = true
		return errStreamNotResumed
	}
	if s.relay.status != 0 {
		return nil
	}
	return s.relay.Head(status, header)
}

// Data forwards complete events.
func (s *resumeSink) Data(p []byte) error { return s.relay.Data(p) }
