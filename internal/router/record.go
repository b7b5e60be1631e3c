package router

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"oleanderramp/internal/event"
	"oleanderramp/internal/wire"
)

// Timing of at-most-once records.
const (
	// recordPollInterval is the time between two reads of the record of an
	// attempt that is still running.
	recordPollInterval = 200 * time.Millisecond
	// finishRetryTimeout is how long a router retries to commit an outcome.
	finishRetryTimeout = 5 * time.Minute
	// finishRetryInterval is the time between two such attempts.
	finishRetryInterval = time.Second
)

// RecordStore keeps the at-most-once records in the replicated state.
type RecordStore interface {
	// Begin commits the start of the request before it is sent. The error is a
	// *RecordStoreError if the replicated state rejected it.
	Begin(ctx context.Context, begin *wire.BeginRequest) (*wire.BeginResult, error)
	// Finish commits the outcome.
	Finish(ctx context.Context, finish *wire.FinishRequest) error
	// Lookup returns the record of the request.
	Lookup(ctx context.Context, query *wire.RecordQuery) (*wire.BeginResult, error)
}

// RecordStoreError is a rejection by the replicated state.
type RecordStoreError struct {
	code    string
	message string
}

// NewRecordStoreError returns a rejection with the replicated state's stable
// code.
func NewRecordStoreError(code, message string) *RecordStoreError {
	return &RecordStoreError{code: code, message: message}
}

// Code returns the replicated state's stable code.
func (e *RecordStoreError) Code() string { return e.code }

func (e *RecordStoreError) Error() string { return fmt.Sprintf("%s: %s", e.code, e.message) }

// Codes of the replicated state that the router handles.
const (
	recordKeyReused = "key_reused"
	recordStoreFull = "records_full"
)

// serveAtMostOnce runs a non-idempotent request at most once.
func (r *Router) serveAtMostOnce(ctx context.Context, t *task, sink Sink) error {
	done, err := r.serveFromRecord(ctx, t, sink)
	if done || err != nil {
		return err
	}
	grant, err := r.acquireSlot(ctx, t)
	if err != nil {
		if t.recorded {
			r.finish(ctx, t, wire.RecordState_RECORD_STATE_NOT_RUN, nil)
		}
		return err
	}
	result, err := r.begin(ctx, t, grant)
	if err != nil {
		r.release(t, grant, 0, false)
		return err
	}
	if !result.GetStarted() {
		r.release(t, grant, 0, false)
		_, err := r.awaitRecord(ctx, t, result, sink)
		return err
	}
	return r.runAtMostOnce(ctx, t, grant, sink)
}

// serveFromRecord answers a request whose record already exists from that
// record. It returns true when the request has ended.
func (r *Router) serveFromRecord(ctx context.Context, t *task, sink Sink) (bool, error) {
	lookupCtx, cancel := context.WithTimeout(ctx, r.cfg.CommitTimeout)
	defer cancel()
	result, err := r.cfg.Records.Lookup(lookupCtx, t.recordQuery())
	if err != nil {
		return true, r.recordStoreFailure(t, err)
	}
	switch result.GetState() {
	case wire.RecordState_RECORD_STATE_UNSPECIFIED, wire.RecordState_RECORD_STATE_NOT_RUN:
		return false, nil
	}
	// Begin compares the request digest and returns the record.
	result, err = r.begin(ctx, t, &wire.Grant{})
	if err != nil {
		return true, err
	}
	if result.GetStarted() {
		t.recorded = true
		return false, nil
	}
	return r.awaitRecord(ctx, t, result, sink)
}

// begin commits the record before the first byte is sent to an endpoint.
func (r *Router) begin(ctx context.Context, t *task, grant *wire.Grant) (*wire.BeginResult, error) {
	beginCtx, cancel := context.WithTimeout(ctx, r.cfg.CommitTimeout)
	defer cancel()
	d := t.recordDigest
	result, err := r.cfg.Records.Begin(beginCtx, &wire.BeginRequest{
		Account: t.request.Account.Name, Service: t.request.Service,
		IdempotencyKey: t.request.IdempotencyKey, RequestDigest: d[:],
		Attempt: t.request.ID, Endpoint: grant.GetEndpoint(),
	})
	if err != nil {
		r.markUnsent(t)
		var refused *RecordStoreError
		if !errors.As(err, &refused) {
			// The command may still be committed: finish the record as not run.
			r.finishInBackground(t, wire.RecordState_RECORD_STATE_NOT_RUN, nil)
		}
		return nil, r.recordStoreFailure(t, err)
	}
	return result, nil
}

// recordStoreFailure converts an error of the record store into the error
// returned to the caller.
func (r *Router) recordStoreFailure(t *task, err error) *Error {
	var refused *RecordStoreError
	if !errors.As(err, &refused) {
		return notRun(CodeNoQuorum, r.cfg.CommitTimeout, "the record of the request could not be committed: %v", err)
	}
	switch refused.Code() {
	case recordKeyReused:
		return notRun(CodeKeyReused, 0, "the idempotency key %q belongs to another request", t.request.IdempotencyKey)
	case recordStoreFull:
		return notRun(CodeRecordsFull, time.Minute, "the limit of at-most-once records is reached")
	}
	return notRun(CodeNoQuorum, r.cfg.CommitTimeout, "the record of the request was refused: %v", refused)
}

// awaitRecord waits for the outcome of a request whose record was made by
// another attempt, and returns that outcome to the caller.
func (r *Router) awaitRecord(ctx context.Context, t *task, result *wire.BeginResult, sink Sink) (bool, error) {
	r.markUnsent(t)
	waitCtx, cancel := context.WithTimeout(ctx, t.request.progressTimeout())
	defer cancel()
	for {
		switch result.GetState() {
		case wire.RecordState_RECORD_STATE_FINISHED:
			return true, r.replay(t, result.GetAnswer(), sink)
		case wire.RecordState_RECORD_STATE_UNKNOWN:
			return true, NewError(CodeOutcomeUnknown, OutcomeUnknown, 0,
				"an earlier attempt may have run; the request is not run again")
		case wire.RecordState_RECORD_STATE_NOT_RUN:
			// A late copy of this attempt's begin could still start a record:
			// finish it as not run.
			r.finishInBackground(t, wire.RecordState_RECORD_STATE_NOT_RUN, nil)
			return true, earlierAttemptNotRun()
		case wire.RecordState_RECORD_STATE_STARTED:
			if r.finishUnsent(waitCtx, t, result.GetAttempt()) {
				return true, earlierAttemptNotRun()
			}
		}
		select {
		case <-waitCtx.Done():
			return true, NewError(CodeStillRunning, OutcomeUnknown, time.Second, "an earlier attempt is still running")
		case <-time.After(recordPollInterval):
		}
		latest, err := r.cfg.Records.Lookup(waitCtx, t.recordQuery())
		if err == nil {
			result = latest
		}
	}
}

func earlierAttemptNotRun() *Error {
	return notRun(CodeNoEndpoint, time.Second, "the earlier attempt with this idempotency key did not run")
}

// replay sends the saved response to the caller.
func (r *Router) replay(t *task, saved *wire.SavedAnswer, sink Sink) error {
	if saved.GetBodyOmitted() {
		return NewError(CodeAnswerNotKept, OutcomeOK, 0, "the request has run; its response was too large to save")
	}
	event.AnswerReplayed.Log(r.cfg.Log, event.Fields{"request": t.request.ID, "account": t.request.Account.Name})
	sink.MarkReplayed()
	header := http.Header{}
	if saved.GetContentType() != "" {
		header.Set("Content-Type", saved.GetContentType())
	}
	response := &relay{sink: sink, limit: len(saved.GetBody())}
	if err := errors.Join(response.Head(int(saved.GetStatus()), header), response.Data(saved.GetBody())); err != nil {
		return err
	}
	return response.finish()
}

// runAtMostOnce runs the request on the granted endpoint and commits the
// outcome before the caller gets the response. A call known not to have run is
// retried on another endpoint, under the same record.
func (r *Router) runAtMostOnce(ctx context.Context, t *task, grant *wire.Grant, sink Sink) error {
	relay := &relay{sink: sink, limit: int(r.cfg.MaxAnswerBytes)}
	// The call continues after the caller disconnects: its outcome must be
	// recorded.
	callCtx := context.WithoutCancel(ctx)
	for {
		failure := r.call(callCtx, t, grant, relay)
		if failure == nil {
			break
		}
		if failure.MayHaveRun() {
			r.finish(ctx, t, wire.RecordState_RECORD_STATE_UNKNOWN, nil)
			final := callFailure(failure, false)
			return NewError(final.Code(), OutcomeUnknown, 0, "%s; the request may have run and is not run again", final.Message())
		}
		decision := r.decideRetry(t, failure, false, false)
		if !decision.Retry {
			r.finish(ctx, t, wire.RecordState_RECORD_STATE_NOT_RUN, nil)
			return callFailure(failure, false)
		}
		r.prepareRetry(t, grant, decision, failure)
		next, err := r.acquireSlotAfter(ctx, t, decision.Delay)
		if err != nil {
			r.finish(ctx, t, wire.RecordState_RECORD_STATE_NOT_RUN, nil)
			return err
		}
		grant = next
	}
	saved := &wire.SavedAnswer{
		Status: uint32(relay.status), ContentType: relay.header.Get("Content-Type"), Body: relay.buffered.Bytes(),
	}
	if len(saved.GetBody()) > r.cfg.MaxSavedAnswerBytes {
		saved.Body, saved.BodyOmitted = nil, true
	}
	r.finish(ctx, t, wire.RecordState_RECORD_STATE_FINISHED, saved)
	return relay.finish()
}

// acquireSlotAfter acquires another slot after a delay.
func (r *Router) acquireSlotAfter(ctx context.Context, t *task, after time.Duration) (*wire.Grant, error) {
	if err := pause(ctx, after); err != nil {
		return nil, notRun(CodeCallerGone, 0, "the caller disconnected")
	}
	return r.acquireSlot(ctx, t)
}

// finish commits the outcome. If that takes longer than the commit timeout, it
// is retried in the background.
func (r *Router) finish(ctx context.Context, t *task, state wire.RecordState, saved *wire.SavedAnswer) {
	finishCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.cfg.CommitTimeout)
	defer cancel()
	err := r.cfg.Records.Finish(finishCtx, t.finishRequest(state, saved))
	var refused *RecordStoreError
	if err == nil || errors.As(err, &refused) {
		return
	}
	event.OutcomeUncommitted.Log(r.cfg.Log, event.Fields{
		"request": t.request.ID, "account": t.request.Account.Name, "error": err.Error(),
	})
	r.finishInBackground(t, state, saved)
}

// finishInBackground commits the outcome in the background.
func (r *Router) finishInBackground(t *task, state wire.RecordState, saved *wire.SavedAnswer) {
	finish := t.finishRequest(state, saved)
	r.background.Go(func() {
		ctx, cancel := context.WithTimeout(r.backgroundCtx, finishRetryTimeout)
		defer cancel()
		for {
			err := r.cfg.Records.Finish(ctx, finish)
			var refused *RecordStoreError
			if err == nil || errors.As(err, &refused) {
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(finishRetryInterval):
			}
		}
	})
}
