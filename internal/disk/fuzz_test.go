package disk_test

import (
	"bytes"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/disk"
	"oleanderramp/internal/raft"
)

// FuzzParseRecord checks that each record that the decoder accepts encodes to
// the same bytes.
func FuzzParseRecord(f *testing.F) {
	f.Add(disk.AppendRecord(nil, 7, []byte("payload")))
	f.Fuzz(func(t *testing.T, content []byte) {
		record := disk.ParseRecord(content)
		if !record.Valid {
			return
		}
		again := disk.AppendRecord(nil, record.Sequence, record.Payload)
		qt.Assert(t, bytes.HasPrefix(content, again), qt.IsTrue)
	})
}

// The modes in which FuzzRecovery builds a segment from its input.
const (
	fuzzSegment = iota
	fuzzRecords
	fuzzPayload
	fuzzModes
)

// FuzzRecovery opens a folder with arbitrary bytes as its first segment, as the
// records of one, or as the payload of a record. Open must either return a
// typed error, or the store must accept another entry and hold the same content
// after it is opened again.
func FuzzRecovery(f *testing.F) {
	complete := populatedFolder(f)
	for _, name := range segmentNames(complete) {
		f.Add(byte(fuzzSegment), complete.files[name].content)
	}
	f.Add(byte(fuzzRecords), []byte{0, 0, 0})
	f.Add(byte(fuzzPayload), disk.ParseRecord(complete.files[segmentNames(complete)[0]].content[len(disk.SegmentHeader()):]).Payload)
	f.Fuzz(func(t *testing.T, mode byte, content []byte) {
		folder := newMemoryFolder()
		qt.Assert(t, openStore(t, folder).Close(), qt.IsNil)
		switch mode % fuzzModes {
		case fuzzRecords:
			content = append(disk.SegmentHeader(), content...)
		case fuzzPayload:
			content = disk.AppendRecord(disk.SegmentHeader(), 1, content)
		}
		folder.files[disk.FirstSegment] = &memoryFile{content: content}
		store, err := disk.Open(folder, disk.Options{Host: "a", NewReplica: 7})
		if err != nil {
			var damage *disk.DamageError
			var version *disk.VersionError
			qt.Assert(t, errors.As(err, &damage) || errors.As(err, &version), qt.IsTrue, qt.Commentf("%v", err))
			return
		}
		first := model(store.Load())
		next := []raft.Entry{{Index: first.lastIndex() + 1, Term: first.HardState.Term}}
		qt.Assert(t, store.Save(first.HardState, next, nil), qt.IsNil)
		qt.Assert(t, store.Close(), qt.IsNil)
		want := first.after(first.HardState, next, nil)
		qt.Assert(t, model(openStore(t, folder).Load()).String(), qt.Equals, want.String())
	})
}
