package edge

import (
	"context"
	"net/http"
	"time"

	"oleanderramp/internal/membudget"
	"oleanderramp/internal/memgate"
	"oleanderramp/internal/quarantine"
)

// ServeHTTP forwards one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	request := f.cfg.Codec.Decode(r)
	a := &answer{w: w, control: http.NewResponseController(w), draining: f.draining.Load}
	a.openMemory = func() *memgate.Claim { return f.cfg.Memory.Open(holderOf(r, a.account), membudget.Answer, nil) }
	defer func() { a.memory.Close() }()
	t := &task{request: request, draw: requestDraw(request.ID), answer: a}
	resolveFailure := f.resolve(t)
	a.account = t.account
	failed := f.rejectEarly(time.Now(), t, resolveFailure == nil)
	a.closeConnection = a.closeConnection || failed != nil
	if failed == nil {
		failed = resolveFailure
	}
	if failed != nil {
		f.refuseUnread(r, t, failed)
		return
	}
	claim := f.openBody(r, t)
	defer claim.Close()
	failed = f.readBody(w, r, t, claim)
	if failed != nil && failed.status != 0 {
		f.refuseUnread(r, t, failed)
		return
	}
	if failed == nil {
		failed = f.checkQuarantine(t)
	}
	if failed == nil {
		failed = f.checkParts(t)
	}
	if failed == nil {
		a.stream, a.resumableRoute, a.deadline = t.isStream(), t.isStream() && t.route.Resumable, t.deadline.Add(writeSlack)
		a.onFirstEvent = func() {
			t.firstEventAt = time.Now()
			f.cfg.Metrics.ObserveFirstEvent(t.service, t.firstEventAt.Sub(request.ReceivedAt))
			f.streamBegan(t, t.placed)
		}
		failed = f.findOrigin(r.Context(), t)
	}
	if failed == nil {
		failed = f.runUntilAborted(r.Context(), t)
	}
	f.finishAnswer(r.Context(), t, failed)
}

// checkQuarantine refuses a request that is quarantined for crashing endpoints.
func (f *Forwarder) checkQuarantine(t *task) *failure {
	verdict := f.crashes.verdict(time.Now(), t.digest)
	if verdict.Status != quarantine.Quarantined {
		return nil
	}
	return &failure{
		status: http.StatusServiceUnavailable, outcome: OutcomeNotRun, code: CodeQuarantined, retryAfter: verdict.RetryAfter,
		message: "the request has crashed endpoints and is quarantined",
	}
}

// writeSlack is how long after the deadline an answer may still be written.
const writeSlack = 500 * time.Millisecond

// finishAnswer completes the answer or reports the failure to the caller.
func (f *Forwarder) finishAnswer(ctx context.Context, t *task, failed *failure) {
	a := t.answer
	if failed == nil {
		if err := a.finish(); err != nil {
			failed = &failure{outcome: OutcomeAbandoned, code: CodeCallerGone, message: err.Error()}
		}
	}
	failed = attributeEnd(ctx, failed)
	f.recordEnd(t, failed)
	switch {
	case failed == nil:
	case a.sent || failed.connectionEnded():
		// Aborting the connection shows the caller that the answer is
		// incomplete.
		panic(http.ErrAbortHandler)
	case failed.code == CodeEndpointError:
		_ = a.finish() // The caller may be gone.
	default:
		a.closeConnection = a.closeConnection || f.cfg.TooManyConnections()
		a.writeFailure(t.request.ID, failed)
	}
}
