package disk

import (
	"fmt"
	"slices"
	"strings"

	"oleanderramp/internal/raft"
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
