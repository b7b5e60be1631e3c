package state

import (
	"container/list"

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
