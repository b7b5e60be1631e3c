package state

import (
	"bytes"
	"container/list"
	"slices"

	"oleanderramp/internal/wire"
)

const (
	// recordOverheadBytes is counted for each record in addition to its strings.
	recordOverheadBytes = 400
	// maxEndedAttempts is the maximum number of ended attempts that a record
	// keeps.
	maxEndedAttempts = 8
)

// recordKey identifies a record.
type recordKey struct {
	account string
	service string
	key     string
}

// record is the at-most-once record of the request with an idempotency key.
type record struct {
	key recordKey
	// digest is the digest of the request. It is empty if the record holds only
	// ended attempts that were never begun.
	digest   []byte
	router   process
	attempt  string
	endpoint string
	state    wire.RecordState
	// answer is set for FINISHED only. It is never modified in place.
	answer *wire.SavedAnswer
	// changedMS is the time of the last change, by the clock of the machine.
	changedMS int64
	// endedAttempts holds the latest attempts that ended as NOT_RUN.
	endedAttempts []string
	// settledElement is the element in recordTable.settled; nil while STARTED.
	settledElement *list.Element
}

// recordTable holds the at-most-once records.
type recordTable struct {
	limits Limits
	byKey  map[recordKey]*record
	// started holds the STARTED records by the host of their router.
	started map[string]map[recordKey]*record
	// settled holds all other records, ordered by their last change.
	settled *list.List
	// bytes is the sum of size over all records.
	bytes int64
	// mayStart is isStartable; tests replace it with faulty variants.
	mayStart func(*record) bool
}

func newRecordTable(limits Limits) *recordTable {
	return &recordTable{
		limits:   limits,
		byKey:    make(map[recordKey]*record),
		started:  make(map[string]map[recordKey]*record),
		settled:  list.New(),
		mayStart: isStartable,
	}
}

// isStartable reports whether the request of a record certainly did not run.
func isStartable(r *record) bool {
	return r.state == wire.RecordState_RECORD_STATE_NOT_RUN
}

// size returns the bytes that the record counts towards MaxRecordBytes.
func (t *recordTable) size(r *record) int64 {
	size := recordOverheadBytes + len(r.digest) + len(r.attempt) + len(r.endpoint) + len(r.router.host)
	size += len(r.key.account) + len(r.key.service) + len(r.key.key)
	for _, attempt := range r.endedAttempts {
		size += len(attempt)
	}
	if r.state == wire.RecordState_RECORD_STATE_STARTED {
		size += t.limits.MaxAnswerBytes + maxNameBytes
	}
	size += len(r.answer.GetBody()) + len(r.answer.GetContentType())
	return int64(size)
}

// insert adds a record to all indexes.
func (t *recordTable) insert(r *record) {
	t.byKey[r.key] = r
	t.bytes += t.size(r)
	if r.state != wire.RecordState_RECORD_STATE_STARTED {
		r.settledElement = t.settled.PushBack(r)
		return
	}
	r.settledElement = nil
	if t.started[r.router.host] == nil {
		t.started[r.router.host] = make(map[recordKey]*record)
	}
	t.started[r.router.host][r.key] = r
}

// remove removes a record from all indexes.
func (t *recordTable) remove(r *record) {
	delete(t.byKey, r.key)
	t.bytes -= t.size(r)
	if r.settledElement != nil {
		t.settled.Remove(r.settledElement)
		return
	}
	delete(t.started[r.router.host], r.key)
	if len(t.started[r.router.host]) == 0 {
		delete(t.started, r.router.host)
	}
}

// replace replaces old, which may be nil, with changed. It returns false, and
// changes nothing, if there is no room.
func (t *recordTable) replace(old, changed *record) bool {
	size := t.size(changed)
	count := len(t.byKey) + 1
	if old != nil {
		size -= t.size(old)
		count--
	}
	if size > 0 && t.bytes+size > t.limits.MaxRecordBytes || count > t.limits.MaxRecords {
		return false
	}
	if old != nil {
		t.remove(old)
	}
	t.insert(changed)
	return true
}

// expire removes the settled records whose retention has ended.
func (t *recordTable) expire(clockMS int64) {
	retentionMS := t.limits.RecordRetention.Milliseconds()
	for t.settled.Len() > 0 {
		oldest, ok := t.settled.Front().Value.(*record)
		if !ok || clockMS-oldest.changedMS < retentionMS {
			return
		}
		t.remove(oldest)
	}
}

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

// Record returns the at-most-once record of a request.
func (m *Machine) Record(account, service, key string) (*wire.BeginResult, bool) {
	r, found := m.records.byKey[recordKey{account, service, key}]
	if !found {
		return nil, false
	}
	return r.result(), true
}

// RecordCount returns the number of at-most-once records and the bytes that they
// count towards Limits.MaxRecordBytes.
func (m *Machine) RecordCount() (count int, bytes int64) {
	return len(m.records.byKey), m.records.bytes
}
