package disk

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"oleanderramp/internal/raft"
	"oleanderramp/internal/wire"
)

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// writeSnapshot stores a snapshot and removes the previous one.
func (s *Store) writeSnapshot(snapshot raft.Snapshot) error {
	payload, err := marshal(&wire.LogSnapshot{
		Last:          &wire.LogPosition{Index: snapshot.Index, Term: snapshot.Term},
		Configuration: raft.ConfigurationToWire(snapshot.Configuration),
		Data:          snapshot.Data,
	})
	if err != nil {
		return err
	}
	content := appendFileHeader(nil, snapshotMagic, snapshot.Index)
	content = appendRecord(content, 0, payload)
	if err := s.replaceFile(snapshotName(snapshot.Index), content); err != nil {
		return err
	}
	previous := s.snapshotIndex
	s.snapshotIndex = snapshot.Index
	if previous != 0 && previous != snapshot.Index {
		return s.fs.Remove(snapshotName(previous))
	}
	return nil
}

// readSnapshot reads a snapshot file. Snapshots get their name only after they
// were written and synced, so that any fault in one is damage and not a torn
// write.
func (s *Store) readSnapshot(name string) (raft.Snapshot, error) {
	content, err := s.fs.ReadFile(name)
	if err != nil {
		return raft.Snapshot{}, err
	}
	index, err := parseFileHeader(name, content, snapshotMagic)
	if err != nil {
		return raft.Snapshot{}, err
	}
	_, payload, state := parseRecord(content[fileHeaderSize:], fileHeaderSize)
	if state != recordValid || len(content) != fileHeaderSize+recordHeaderSize+len(payload) {
		return raft.Snapshot{}, &DamageError{file: name, offset: fileHeaderSize, reason: "checksum or length does not match"}
	}
	w := &wire.LogSnapshot{}
	if err := proto.Unmarshal(payload, w); err != nil || w.GetLast().GetIndex() != index || name != snapshotName(index) {
		return raft.Snapshot{}, &DamageError{file: name, offset: fileHeaderSize, reason: "content does not match the file name"}
	}
	return raft.Snapshot{
		Index:         index,
		Term:          w.GetLast().GetTerm(),
		Configuration: raft.ConfigurationFromWire(w.GetConfiguration()),
		Data:          w.GetData(),
	}, nil
}
