package disk

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"oleanderramp/internal/raft"
	"oleanderramp/internal/wire"
)

// logReplay rebuilds the log and the hard state from a sequence of records.
type logReplay struct {
	hardState raft.HardState
	// base is the index before entries[0].
	base uint64
	// baseIsSnapshot is set if base is the index of a snapshot. Otherwise base
	// follows from the first entry, and earlier entries may have been removed
	// with their segments.
	baseIsSnapshot bool
	entries        []raft.Entry
	// sequence is the sequence number of the next record.
	sequence uint64
	// lastIndex is the highest index of the entries in the current segment.
	lastIndex uint64
}

func newLogReplay() *logReplay { return &logReplay{} }

// applySegment replays the records of a segment and returns the offset in bytes
// at which its last valid record ends. Only the last segment may end with a torn
// record.
func (r *logReplay) applySegment(name string, content []byte, last bool) (int64, error) {
	offset := int64(fileHeaderSize)
	for offset < int64(len(content)) {
		sequence, payload, state := parseRecord(content[offset:], offset)
		if state == recordTorn && last && !containsLaterRecord(content[offset+1:], r.sequence) {
			return offset, nil
		}
		if state != recordValid {
			return 0, &DamageError{file: name, offset: offset, reason: "checksum of the record does not match"}
		}
		if sequence != r.sequence {
			return 0, &DamageError{file: name, offset: offset, reason: fmt.Sprintf("got record with sequence number %d, want %d", sequence, r.sequence)}
		}
		if err := r.applyRecord(payload); err != nil {
			return 0, &DamageError{file: name, offset: offset, reason: err.Error()}
		}
		r.sequence++
		offset += recordHeaderSize + int64(len(payload))
	}
	return offset, nil
}

// containsLaterRecord reports whether a valid record with a sequence number
// above sequence begins anywhere in content. If so, an invalid record before it
// is damaged and not torn, because each record is synced before the next one is
// written.
func containsLaterRecord(content []byte, sequence uint64) bool {
	for offset := range content {
		number, _, state := parseRecord(content[offset:], int64(offset))
		if state == recordValid && number > sequence {
			return true
		}
	}
	return false
}

func (r *logReplay) applyRecord(payload []byte) error {
	w := &wire.LogRecord{}
	if err := proto.Unmarshal(payload, w); err != nil {
		return fmt.Errorf("record can't be decoded: %w", err)
	}
	if state := w.GetHardState(); state != nil {
		r.hardState = raft.HardState{
			Term: state.GetTerm(), Vote: raft.MemberFromWire(state.GetVote()), Commit: state.GetCommit(),
		}
	}
	if reset := w.GetReset_(); reset != nil {
		r.base = reset.GetIndex()
		r.baseIsSnapshot = true
		r.entries = nil
	}
	return r.appendEntries(raft.EntriesFromWire(w.GetEntries()))
}

func (r *logReplay) appendEntries(entries []raft.Entry) error {
	for _, e := range entries {
		if e.Index > 0 && r.startsAt(e.Index) {
			r.base = e.Index - 1
			r.entries = nil
		}
		next := r.base + uint64(len(r.entries)) + 1
		if e.Index <= r.base || e.Index > next {
			return fmt.Errorf("entry %d can't follow entry %d", e.Index, next-1)
		}
		r.entries = append(r.entries[:e.Index-r.base-1], e)
		r.lastIndex = max(r.lastIndex, e.Index)
	}
	return nil
}

// startsAt reports whether an entry with this index becomes the first one of the
// log: no snapshot has replaced the log, and no earlier entry is known.
func (r *logReplay) startsAt(index uint64) bool {
	return !r.baseIsSnapshot && (len(r.entries) == 0 || index <= r.base)
}

// entriesAfter returns the entries that follow the snapshot. It returns false if
// the log doesn't hold the snapshot's last entry: the snapshot replaced the log,
// and a crash came before the record of that was written.
func (r *logReplay) entriesAfter(snapshot raft.Snapshot) ([]raft.Entry, bool, error) {
	if r.base > snapshot.Index {
		return nil, false, &DamageError{
			file:   snapshotName(r.base),
			reason: fmt.Sprintf("entries are missing; the log begins at entry %d, the snapshot ends at entry %d", r.base+1, snapshot.Index),
		}
	}
	skip := snapshot.Index - r.base
	if skip == 0 {
		return r.entries, true, nil
	}
	if skip > uint64(len(r.entries)) || r.entries[skip-1].Term != snapshot.Term {
		return nil, false, nil
	}
	return slices.Clone(r.entries[skip:]), true, nil
}
