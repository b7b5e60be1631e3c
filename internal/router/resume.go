package router

import (
	"context"
	"errors"
	"mime"
	"net/http"

	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/wire"
)

// resume asks for the rest of a stream that broke off, until it is whole or
// can't be gone on with. It returns what came in all and the failure that is
// left. A stream that is not resumed is cancelled, as it may still run.
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

// resumeOnce asks for the rest on a fresh connection to the same endpoint,
// which runs the stream under the same slot. It returns failure itself when
// that does not help.
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
	if pause(ctx, decision.After) != nil {
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

// canResume tells whether the endpoint may go on with the same stream.
func (t *task) canResume(relay *relay, failure *endpoint.CallError) bool {
	if !t.mayStillRun(failure) || failure.Health != endpoint.Alive {
		return false
	}
	return relay.status == 0 || relay.status == http.StatusOK && isEventStream(relay.header)
}

// mayStillRun tells whether the endpoint may go on with a stream whose
// connection is lost. A request that runs at most once is left alone.
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

// supersedesCallFailure tells whether the failure of a resumption stands for that of the
// call. What says that the resumption did not run says nothing of the call.
func supersedesCallFailure(failure *endpoint.CallError) bool {
	return failure.MayHaveRun() && failure.Kind != endpoint.EndpointError
}

// mergeResults adds the rest of a stream to its beginning.
func mergeResults(begin, rest endpoint.Result) endpoint.Result {
	whole := begin
	whole.Events += rest.Events
	whole.Bytes += rest.Bytes
	whole.Complete = rest.Complete
	if rest.Tokens > rest.Events {
		// The rest stated the usage, which is that of the whole stream.
		whole.Tokens = rest.Tokens
	} else {
		whole.Tokens += rest.Tokens
	}
	return whole
}

func isEventStream(header http.Header) bool {
	kind, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// errStreamNotResumed ends a call whose answer is not the rest of a stream.
var errStreamNotResumed = errors.New("the endpoint did not resume the stream")

// resumeSink passes the rest of a stream on to the caller, who has its beginning.
type resumeSink struct {
	relay *relay
	// rejected is true when the endpoint answered with something else.
	rejected bool
}

// Head passes the head on when the caller has none yet.
func (s *resumeSink) Head(status int, header http.Header) error {
	if status != http.StatusOK || !isEventStream(header) {
		s.rejected = true
		return errStreamNotResumed
	}
	if s.relay.status != 0 {
		return nil
	}
	return s.relay.Head(status, header)
}

// Data passes whole events on.
func (s *resumeSink) Data(p []byte) error { return s.relay.Data(p) }
