package edge

import (
	"errors"
	"io"
	"net/http"
	"time"

	"oleanderramp/internal/quarantine"
	"oleanderramp/pkg/routing"
)

// ServeHTTP forwards one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	request := f.cfg.Codec.Decode(r)
	a := &answer{w: w, control: http.NewResponseController(w), closeConnection: f.draining.Load()}
	t := &task{request: request, answer: a}
	unresolved := f.resolve(t)
	failed := f.rejectEarly(t, unresolved == nil)
	if failed != nil {
		// What is left unread of a body would reset the connection.
		_, _ = io.CopyN(io.Discard, r.Body, directReadBytes)
		a.closeConnection = true
	} else {
		failed = unresolved
	}
	if failed == nil {
		failed = readBody(w, r, t, f.cfg.Tables.Table())
	}
	if failed == nil {
		failed = f.checkQuarantine(t)
	}
	if failed == nil {
		a.stream, a.resumableRoute, a.deadline = t.isStream(), t.isStream() && t.route.Resumable, t.deadline.Add(writeSlack)
		a.onFirstEvent = func() { f.cfg.Metrics.Began(t.service, time.Since(request.ReceivedAt)) }
		failed = f.run(r.Context(), t)
	}
	f.finishAnswer(t, failed)
}

// checkQuarantine refuses a request that crashes endpoints.
func (f *Forwarder) checkQuarantine(t *task) *failure {
	verdict := f.crashes.verdict(time.Now(), t.digest)
	if verdict.Status != quarantine.Quarantined {
		return nil
	}
	return &failure{
		status: http.StatusServiceUnavailable, outcome: OutcomeNotRun, code: CodeQuarantined, retryAfter: verdict.RetryAfter,
		message: "the request has crashed endpoints and is not run again for a while",
	}
}

// writeSlack is how long after the caller's time an answer may still be
// written.
const writeSlack = 500 * time.Millisecond

// finishAnswer gives the caller the end of its answer.
func (f *Forwarder) finishAnswer(t *task, failed *failure) {
	a := t.answer
	if failed == nil {
		if err := a.finish(); err != nil {
			failed = &failure{outcome: OutcomeAbandoned, code: CodeCallerGone, message: err.Error()}
		}
	}
	f.recordEnd(t, failed)
	switch {
	case failed == nil:
	case a.sent || failed.outcome == OutcomeAbandoned:
		// A cut connection is how the caller knows that the rest is missing.
		panic(http.ErrAbortHandler)
	case failed.code == CodeEndpointError:
		_ = a.finish() // The caller may be gone.
	default:
		a.closeConnection = a.closeConnection || f.cfg.TooManyConnections()
		a.writeFailure(t.request.ID, failed)
	}
}

// directReadBytes bounds the bodies for which room is made before they come.
const directReadBytes = 256 << 10

// readBody reads the whole body of the request.
func readBody(w http.ResponseWriter, r *http.Request, t *task, table *routing.Table) *failure {
	body := r.Body
	if limit := table.Limits().MaxBodyBytes; limit > 0 {
		body = http.MaxBytesReader(w, body, limit)
	}
	var err error
	if r.ContentLength > 0 && r.ContentLength <= directReadBytes {
		t.request.Body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(body, t.request.Body)
	} else {
		t.request.Body, err = io.ReadAll(body)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return &failure{status: http.StatusRequestEntityTooLarge, outcome: OutcomeNotRun, code: CodeBodyTooLarge, message: "the body is too large"}
	default:
		return &failure{outcome: OutcomeAbandoned, code: CodeBadBody, message: "the body did not come whole: " + err.Error()}
	}
}
