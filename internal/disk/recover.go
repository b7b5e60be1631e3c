package disk

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"oleanderramp/internal/raft"
	"oleanderramp/internal/wire"
)

// recover reads the folder into s.stored and opens the last segment.
func (s *Store) recover() error {
	// A process that was killed may have left names that are not synced. What
	// is read here is relied on from now on.
	if err := s.syncFolder(); err != nil {
		return &WriteError{operation: "sync the folder", err: err}
	}
	names, err := s.fs.Names()
	if err != nil {
		return err
	}
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			if err := s.fs.Remove(name); err != nil {
				return &WriteError{operation: "remove " + name, err: err}
			}
		}
	}
	names = slices.DeleteFunc(names, func(name string) bool {
		return strings.HasSuffix(name, temporarySuffix) || strings.HasSuffix(name, damagedSuffix)
	})
	if err := s.recoverIdentity(names); err != nil {
		return err
	}
	if err := s.recoverSnapshot(namesWithPrefix(names, snapshotPrefix)); err != nil {
		return err
	}
	return s.recoverLog(namesWithPrefix(names, segmentPrefix))
}

// recoverIdentity reads the identity, or creates it in an empty folder.
func (s *Store) recoverIdentity(names []string) error {
	if !slices.Contains(names, identityName) {
		if len(namesWithPrefix(names, segmentPrefix))+len(namesWithPrefix(names, snapshotPrefix)) > 0 {
			return &DamageError{file: identityName, reason: "missing, but the folder holds a log"}
		}
		return s.createIdentity()
	}
	content, err := s.fs.ReadFile(identityName)
	if err != nil {
		return err
	}
	replica, err := parseFileHeader(identityName, content, identityMagic)
	if err != nil {
		return err
	}
	_, host, state := parseRecord(content[fileHeaderSize:], fileHeaderSize)
	if state != recordValid || replica == 0 {
		return &DamageError{file: identityName, offset: fileHeaderSize, reason: "checksum or length does not match"}
	}
	if string(host) != s.options.Host {
		return fmt.Errorf("the folder belongs to host %q, not %q", host, s.options.Host)
	}
	s.identity = raft.Member{Host: string(host), Replica: replica}
	return nil
}

func (s *Store) createIdentity() error {
	s.identity = raft.Member{Host: s.options.Host, Replica: s.options.NewReplica}
	content := appendFileHeader(nil, identityMagic, s.identity.Replica)
	content = appendRecord(content, 0, []byte(s.identity.Host))
	if err := s.replaceFile(identityName, content); err != nil {
		return &WriteError{operation: "write identity", err: err}
	}
	return nil
}

// recoverSnapshot reads the latest snapshot and removes the earlier ones.
func (s *Store) recoverSnapshot(names []string) error {
	if len(names) == 0 {
		return nil
	}
	last := len(names) - 1
	snapshot, err := s.readSnapshot(names[last])
	if err != nil {
		return err
	}
	s.stored.Snapshot = snapshot
	s.snapshotIndex = snapshot.Index
	for _, name := range names[:last] {
		if err := s.fs.Remove(name); err != nil {
			return &WriteError{operation: "remove " + name, err: err}
		}
	}
	return nil
}

// recoverLog reads all segments and keeps the entries that follow the snapshot.
func (s *Store) recoverLog(names []string) error {
	replay := newLogReplay()
	for i, name := range names {
		if err := s.recoverSegment(replay, name, i == 0, i == len(names)-1); err != nil {
			return err
		}
	}
	entries, contiguous, err := replay.entriesAfter(s.stored.Snapshot)
	if err != nil {
		return err
	}
	if last := s.stored.Snapshot.Index + uint64(len(entries)); replay.hardState.Commit > last {
		return &DamageError{
			file:   segmentName(replay.sequence),
			reason: fmt.Sprintf("committed entry %d is missing; the log ends at entry %d", replay.hardState.Commit, last),
		}
	}
	s.stored.Entries = entries
	s.stored.HardState = replay.hardState
	s.sequence = max(replay.sequence, 1)
	if err := s.openLastSegment(); err != nil {
		return &WriteError{operation: "open log", err: err}
	}
	if !contiguous {
		return s.Save(s.stored.HardState, nil, &s.stored.Snapshot)
	}
	return nil
}

// openLastSegment opens the last segment for writing.
func (s *Store) openLastSegment() error {
	if len(s.segments) == 0 {
		return nil
	}
	file, err := s.fs.Append(s.currentSegment().name)
	if err != nil {
		return err
	}
	s.file = file
	// The content that was read may not have been synced before the process
	// ended.
	return s.syncFile(file)
}

// recoverSegment replays one segment. If it is the last one, a torn record at
// its end is truncated.
func (s *Store) recoverSegment(replay *logReplay, name string, first, last bool) error {
	content, err := s.fs.ReadFile(name)
	if err != nil {
		return err
	}
	if last && tornHeader(content) {
		return s.removeTornSegment(name)
	}
	number, err := parseFileHeader(name, content, segmentMagic)
	if err != nil {
		return err
	}
	if name != segmentName(number) || !first && number != replay.sequence {
		return &DamageError{file: name, reason: "the previous segment is missing or incomplete"}
	}
	replay.sequence = number
	replay.lastIndex = 0
	size, err := replay.applySegment(name, content, last)
	if err != nil {
		return err
	}
	if size == fileHeaderSize {
		if !last {
			return &DamageError{file: name, offset: size, reason: "segment has no records"}
		}
		return s.removeTornSegment(name)
	}
	if size < int64(len(content)) {
		if err := s.fs.Truncate(name, size); err != nil {
			return &WriteError{operation: "truncate torn record", err: err}
		}
	}
	s.segments = append(s.segments, segment{name: name, size: size, lastIndex: replay.lastIndex})
	return nil
}

// removeTornSegment removes a segment whose first record was interrupted by a
// crash.
func (s *Store) removeTornSegment(name string) error {
	err := s.fs.Remove(name)
	if err == nil {
		err = s.syncFolder()
	}
	if err != nil {
		return &WriteError{operation: "remove " + name, err: err}
	}
	return nil
}

// tornHeader reports whether a crash interrupted the first write of a segment
// within its header, so that the segment holds no record.
func tornHeader(content []byte) bool {
	if len(content) < fileHeaderSize {
		return true
	}
	return tornOrDamaged(content, 0, fileHeaderSize) == recordTorn && !containsLaterRecord(content, 0)
}

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
