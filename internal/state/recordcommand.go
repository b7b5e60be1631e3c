package state

import (
	"bytes"
	"slices"

	"oleanderramp/internal/wire"
)

// begin starts the request, or returns the state of its record if it was
// started already.
func (t *recordTable) begin(clockMS int64, request *wire.BeginRequest) *wire.Result {
	key := recordKey{request.GetAccount(), request.GetService(), request.GetIdempotencyKey()}
	known := t.byKey[key]
	if known == nil {
		return t.start(clockMS, nil, key, request)
	}
	if len(known.digest) > 0 && !bytes.Equal(known.digest, request.GetRequestDigest()) {
		return errorResult(CodeKeyReused, "the idempotency key was used for another request")
	}
	if slices.Contains(known.endedAttempts, request.GetAttempt()) {
		return errorResult(CodeAttemptEnded, "attempt %s ended as not run", request.GetAttempt())
	}
	if t.mayStart(known) {
		return t.start(clockMS, known, key, request)
	}
	result := known.result()
	result.Started = known.state == wire.RecordState_RECORD_STATE_STARTED &&
		known.attempt == request.GetAttempt() && known.router == processFromWire(request.GetRouter())
	return beginResult(result)
}

func (t *recordTable) start(clockMS int64, known *record, key recordKey, request *wire.BeginRequest) *wire.Result {
	started := &record{
		key:       key,
		digest:    request.GetRequestDigest(),
		router:    processFromWire(request.GetRouter()),
		attempt:   request.GetAttempt(),
		endpoint:  request.GetEndpoint(),
		state:     wire.RecordState_RECORD_STATE_STARTED,
		changedMS: clockMS,
	}
	if known != nil {
		started.endedAttempts = known.endedAttempts
	}
	if !t.replace(known, started) {
		return errorResult(CodeRecordsFull, "there is no room for another record")
	}
	result := started.result()
	result.Started = true
	return beginResult(result)
}

// finish records the outcome of an attempt.
func (t *recordTable) finish(clockMS int64, request *wire.FinishRequest) *wire.Result {
	if refused := t.checkFinish(request); refused != nil {
		return refused
	}
	key := recordKey{request.GetAccount(), request.GetService(), request.GetIdempotencyKey()}
	known := t.byKey[key]
	if known != nil && slices.Contains(known.endedAttempts, request.GetAttempt()) {
		return endedAttemptResult(request)
	}
	if known == nil || known.state == wire.RecordState_RECORD_STATE_NOT_RUN {
		return t.endAttempt(clockMS, known, key, request)
	}
	if known.attempt != request.GetAttempt() {
		return errorResult(CodeAttemptMismatch, "the record belongs to attempt %s", known.attempt)
	}
	if result := known.unchangedResult(request.GetState()); result != nil {
		return result
	}
	return t.setOutcome(clockMS, known, request)
}

func (t *recordTable) checkFinish(request *wire.FinishRequest) *wire.Result {
	if !isValidText(request.GetAccount(), maxNameBytes) || !isValidText(request.GetService(), maxNameBytes) ||
		!isValidText(request.GetIdempotencyKey(), maxKeyBytes) || !isValidText(request.GetAttempt(), maxNameBytes) {
		return errorResult(CodeBadCommand, "finish: a name is missing or too long")
	}
	switch request.GetState() {
	case wire.RecordState_RECORD_STATE_NOT_RUN, wire.RecordState_RECORD_STATE_UNKNOWN:
		return nil
	case wire.RecordState_RECORD_STATE_FINISHED:
		if request.GetAnswer() != nil {
			return nil
		}
		return errorResult(CodeBadCommand, "finish: a finished request needs its answer")
	default:
		return errorResult(CodeBadCommand, "finish: %s is not an outcome of a request", request.GetState())
	}
}

// endedAttemptResult returns the result of a finish for an attempt that ended as
// NOT_RUN. It doesn't depend on the attempt that has the record now.
func endedAttemptResult(request *wire.FinishRequest) *wire.Result {
	if request.GetState() != wire.RecordState_RECORD_STATE_NOT_RUN {
		return errorResult(CodeAttemptEnded, "attempt %s ended as not run", request.GetAttempt())
	}
	return beginResult(&wire.BeginResult{State: request.GetState()})
}

// endAttempt records that an attempt did not run, for a key that has no record
// or one that is NOT_RUN, so that a delayed begin of the attempt can't start it.
func (t *recordTable) endAttempt(clockMS int64, known *record, key recordKey, request *wire.FinishRequest) *wire.Result {
	if request.GetState() != wire.RecordState_RECORD_STATE_NOT_RUN {
		return errorResult(CodeRecordMissing, "attempt %s was not started", request.GetAttempt())
	}
	changed := &record{key: key, state: wire.RecordState_RECORD_STATE_NOT_RUN}
	if known != nil {
		*changed = *known
	}
	changed.changedMS = clockMS
	changed.endedAttempts = appendAttempt(changed.endedAttempts, request.GetAttempt())
	if !t.replace(known, changed) {
		return errorResult(CodeRecordsFull, "there is no room for another record")
	}
	return beginResult(changed.result())
}

// unchangedResult returns the result of a finish that doesn't change the outcome
// of the record, or nil if it changes it.
func (r *record) unchangedResult(outcome wire.RecordState) *wire.Result {
	notRun := outcome == wire.RecordState_RECORD_STATE_NOT_RUN
	switch r.state {
	case wire.RecordState_RECORD_STATE_FINISHED:
		if notRun {
			return errorResult(CodeRecordFinished, "the request is recorded as finished")
		}
		return beginResult(r.result())
	case wire.RecordState_RECORD_STATE_UNKNOWN:
		if notRun {
			return errorResult(CodeOutcomeUnknown, "the outcome is recorded as unknown")
		}
		if outcome == wire.RecordState_RECORD_STATE_UNKNOWN {
			return beginResult(r.result())
		}
	}
	return nil
}

// setOutcome sets the outcome of a started record, or changes that of an unknown
// one to FINISHED. It never fails: an answer for which there is no room is
// omitted.
func (t *recordTable) setOutcome(clockMS int64, known *record, request *wire.FinishRequest) *wire.Result {
	changed := *known
	changed.state = request.GetState()
	changed.changedMS = clockMS
	switch changed.state {
	case wire.RecordState_RECORD_STATE_FINISHED:
		changed.answer = t.savedAnswer(request.GetAnswer())
	case wire.RecordState_RECORD_STATE_NOT_RUN:
		changed.endedAttempts = appendAttempt(known.endedAttempts, known.attempt)
	}
	if !t.replace(known, &changed) {
		changed.answer = omitBody(changed.answer)
		t.remove(known)
		t.insert(&changed)
	}
	return beginResult(changed.result())
}

func (t *recordTable) savedAnswer(answer *wire.SavedAnswer) *wire.SavedAnswer {
	if len(answer.GetBody()) > t.limits.MaxAnswerBytes || len(answer.GetContentType()) > maxNameBytes {
		return omitBody(answer)
	}
	return &wire.SavedAnswer{
		Status:      answer.GetStatus(),
		ContentType: answer.GetContentType(),
		Body:        answer.GetBody(),
		BodyOmitted: answer.GetBodyOmitted(),
	}
}

func omitBody(answer *wire.SavedAnswer) *wire.SavedAnswer {
	if answer == nil {
		return nil
	}
	return &wire.SavedAnswer{Status: answer.GetStatus(), BodyOmitted: true}
}

// appendAttempt returns a copy of attempts with attempt appended, limited to the
// latest maxEndedAttempts.
func appendAttempt(attempts []string, attempt string) []string {
	attempts = append(slices.Clone(attempts), attempt)
	return attempts[max(0, len(attempts)-maxEndedAttempts):]
}

// markUnknown sets the outcome of the started records of a host's processes, up
// to and including the incarnation, to UNKNOWN.
func (t *recordTable) markUnknown(clockMS int64, host string, incarnation uint64) {
	var lost []*record
	for _, r := range t.started[host] {
		if r.router.incarnation <= incarnation {
			lost = append(lost, r)
		}
	}
	for _, r := range lost {
		t.remove(r)
		r.state = wire.RecordState_RECORD_STATE_UNKNOWN
		r.changedMS = clockMS
		t.insert(r)
	}
}

// result returns the record as the result of a begin or finish.
func (r *record) result() *wire.BeginResult {
	result := &wire.BeginResult{State: r.state, Answer: r.answer}
	if r.state == wire.RecordState_RECORD_STATE_STARTED {
		result.Router = r.router.toWire()
		result.Attempt = r.attempt
	}
	return result
}

func beginResult(result *wire.BeginResult) *wire.Result {
	return &wire.Result{Body: &wire.Result_Begin{Begin: result}}
}
