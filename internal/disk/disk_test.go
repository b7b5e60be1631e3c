package disk_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/disk"
	"oleanderramp/internal/raft"
)

func openStore(t testing.TB, folder *memoryFolder) *disk.Store {
	t.Helper()
	store, err := disk.Open(folder, disk.Options{Host: "a", NewReplica: 7, SegmentBytes: 300})
	qt.Assert(t, err, qt.IsNil)
	return store
}

func entry(index uint64, command string) raft.Entry {
	return raft.Entry{Index: index, Term: 1, Command: []byte(command)}
}

// populatedFolder returns a folder with a snapshot and several segments.
func populatedFolder(t testing.TB) *memoryFolder {
	folder := newMemoryFolder()
	store := openStore(t, folder)
	for i := uint64(1); i <= 12; i++ {
		e := entry(i, strings.Repeat(fmt.Sprint(i), 40))
		qt.Assert(t, store.Save(raft.HardState{Term: 1}, []raft.Entry{e}, nil), qt.IsNil)
		if i == 8 {
			qt.Assert(t, store.Compact(raft.Snapshot{Index: 5, Term: 1, Data: []byte("state")}), qt.IsNil)
		}
	}
	qt.Assert(t, store.Close(), qt.IsNil)
	return folder
}

func TestOpenRestoresSavedState(t *testing.T) {
	folder := populatedFolder(t)
	store := openStore(t, folder)
	stored := store.Load()
	qt.Assert(t, stored.Snapshot.Index, qt.Equals, uint64(5))
	qt.Assert(t, string(stored.Snapshot.Data), qt.Equals, "state")
	qt.Assert(t, stored.Entries, qt.HasLen, 7)
	qt.Assert(t, stored.Entries[0].Index, qt.Equals, uint64(6))
	qt.Assert(t, store.Identity(), qt.Equals, raft.Member{Host: "a", Replica: 7})
}

func TestOpenChecksLockAndHost(t *testing.T) {
	fs, err := disk.OpenFolder(t.TempDir())
	qt.Assert(t, err, qt.IsNil)
	store, err := disk.Open(fs, disk.Options{Host: "a", NewReplica: 1})
	qt.Assert(t, err, qt.IsNil)
	_, err = disk.Open(fs, disk.Options{Host: "a", NewReplica: 2})
	qt.Assert(t, err, qt.ErrorIs, disk.ErrLocked)
	qt.Assert(t, store.Close(), qt.IsNil)
	_, err = disk.Open(fs, disk.Options{Host: "b", NewReplica: 2})
	qt.Assert(t, err, qt.ErrorMatches, `.*belongs to host "a", not "b"`)
	store, err = disk.Open(fs, disk.Options{Host: "a", NewReplica: 2})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, store.Identity().Replica, qt.Equals, uint64(1))
	qt.Assert(t, store.Close(), qt.IsNil)
}

// TestOpenDetectsEveryChangedByte changes each byte of each file in turn. Open
// must return a DamageError that names the file.
func TestOpenDetectsEveryChangedByte(t *testing.T) {
	complete := populatedFolder(t)
	names, err := complete.Names()
	qt.Assert(t, err, qt.IsNil)
	for _, name := range names {
		for at := range complete.files[name].content {
			folder := populatedFolder(t)
			folder.files[name].content[at] ^= 0x10
			_, err := disk.Open(folder, disk.Options{Host: "a", NewReplica: 7})
			var damage *disk.DamageError
			qt.Assert(t, err, qt.ErrorAs, &damage, qt.Commentf("%s byte %d", name, at))
			qt.Assert(t, damage.File(), qt.Equals, name)
			qt.Assert(t, damage.Offset() <= int64(at), qt.IsTrue)
		}
	}
}

// TestOpenTruncatesTornTail truncates the last segment at each byte of its last
// record, or fills the rest with zeros. Open must keep the records before it.
func TestOpenTruncatesTornTail(t *testing.T) {
	for _, zeros := range []bool{false, true} {
		folder := populatedFolder(t)
		store := openStore(t, folder)
		name := slices.Max(segmentNames(folder))
		start := len(folder.files[name].content)
		qt.Assert(t, store.Save(raft.HardState{Term: 1}, []raft.Entry{entry(13, "torn")}, nil), qt.IsNil)
		complete := slices.Clone(folder.files[name].content)
		for size := start; size < len(complete); size++ {
			folder.locked = false
			content := slices.Clone(complete[:size])
			if zeros {
				content = append(slices.Clone(complete[:start]), make([]byte, size-start)...)
			}
			folder.files[name] = &memoryFile{content: content}
			store := openStore(t, folder)
			qt.Assert(t, store.Load().Entries, qt.HasLen, 7)
			again := entry(13, "again")
			qt.Assert(t, store.Save(raft.HardState{Term: 1}, []raft.Entry{again}, nil), qt.IsNil)
			qt.Assert(t, store.Close(), qt.IsNil)
			store = openStore(t, folder)
			qt.Assert(t, store.Load().Entries[7].Command, qt.DeepEquals, again.Command)
		}
	}
}

func segmentNames(folder *memoryFolder) []string {
	var names []string
	for name := range folder.files {
		if strings.HasPrefix(name, "log-") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func TestOpenRejectsMissingFiles(t *testing.T) {
	complete := populatedFolder(t)
	segments := segmentNames(complete)
	qt.Assert(t, len(segments) >= 3, qt.IsTrue)
	tests := []struct{ name, file string }{
		{"identity", "identity"},
		{"snapshot", "snapshot-0000000000000005"},
		{"segment in the middle", segments[1]},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			folder := populatedFolder(t)
			qt.Assert(t, folder.files[test.file], qt.IsNotNil)
			delete(folder.files, test.file)
			_, err := disk.Open(folder, disk.Options{Host: "a", NewReplica: 8})
			var damage *disk.DamageError
			qt.Assert(t, err, qt.ErrorAs, &damage)
		})
	}
}

// Guards against a store that stays closed for writes after its disk was full.
func TestSaveIsRetryableAfterDiskFull(t *testing.T) {
	folder := populatedFolder(t)
	store := openStore(t, folder)
	save := func() error { return store.Save(raft.HardState{Term: 2}, []raft.Entry{entry(13, "x")}, nil) }
	for range 3 {
		folder.failIn = 1
		folder.partial = 10
		err := save()
		var failure *disk.WriteError
		qt.Assert(t, err, qt.ErrorAs, &failure)
		qt.Assert(t, failure.Retryable(), qt.IsTrue)
		qt.Assert(t, errors.Is(err, syscall.ENOSPC), qt.IsTrue)
		qt.Assert(t, store.Err(), qt.IsNil)
	}
	qt.Assert(t, save(), qt.IsNil)
	qt.Assert(t, store.Close(), qt.IsNil)
	stored := openStore(t, folder).Load()
	qt.Assert(t, stored.HardState.Term, qt.Equals, uint64(2))
	qt.Assert(t, stored.Entries, qt.HasLen, 8)
	qt.Assert(t, stored.Entries[7], qt.DeepEquals, entry(13, "x"))
}

func TestStoreFailsAfterFailedSync(t *testing.T) {
	folder := populatedFolder(t)
	store := openStore(t, folder)
	const writeAndSync = 2
	folder.failIn = writeAndSync
	err := store.Save(raft.HardState{Term: 2}, nil, nil)
	var failure *disk.WriteError
	qt.Assert(t, err, qt.ErrorAs, &failure)
	qt.Assert(t, failure.Retryable(), qt.IsFalse)
	qt.Assert(t, errors.Is(err, syscall.EIO), qt.IsTrue)
	qt.Assert(t, store.Save(raft.HardState{Term: 2}, nil, nil), qt.ErrorIs, disk.ErrFailed)
	qt.Assert(t, store.Compact(raft.Snapshot{Index: 9, Term: 1}), qt.ErrorIs, disk.ErrFailed)
	qt.Assert(t, store.Close(), qt.IsNil)
	qt.Assert(t, openStore(t, folder).Load().Entries, qt.HasLen, 7)
}

// TestZerosInCommandAreNotTornTail checks that a damaged last record is not
// taken for a torn one if its command holds sectors of zeros.
func TestZerosInCommandAreNotTornTail(t *testing.T) {
	folder := newMemoryFolder()
	store := openStore(t, folder)
	zeros := raft.Entry{Index: 1, Term: 1, Command: make([]byte, 3000)}
	qt.Assert(t, store.Save(raft.HardState{Term: 1}, []raft.Entry{zeros}, nil), qt.IsNil)
	qt.Assert(t, store.Close(), qt.IsNil)
	content := folder.files[segmentNames(folder)[0]].content
	content[len(content)/2] ^= 1
	_, err := disk.Open(folder, disk.Options{Host: "a", NewReplica: 7})
	var damage *disk.DamageError
	qt.Assert(t, err, qt.ErrorAs, &damage)
}

// TestOpenRejectsLostCommittedEntries opens a log that ends before its own
// commit index.
func TestOpenRejectsLostCommittedEntries(t *testing.T) {
	folder := newMemoryFolder()
	store := openStore(t, folder)
	qt.Assert(t, store.Save(raft.HardState{Term: 1, Commit: 2}, []raft.Entry{entry(1, "x")}, nil), qt.IsNil)
	qt.Assert(t, store.Close(), qt.IsNil)
	_, err := disk.Open(folder, disk.Options{Host: "a", NewReplica: 7})
	qt.Assert(t, err, qt.ErrorMatches, ".*committed entry 2 is missing; the log ends at entry 1")
}

// TestOpenAfterRemovalOfOverwrittenSegment removes a segment and keeps a later
// one whose entries overwrite some of the removed ones, so that the log begins
// with an overwriting entry.
func TestOpenAfterRemovalOfOverwrittenSegment(t *testing.T) {
	folder := newMemoryFolder()
	store := openStore(t, folder)
	long := entry(3, strings.Repeat("x", 300))
	replacing := raft.Entry{Index: 3, Term: 2}
	saves := [][]raft.Entry{{entry(1, ""), entry(2, ""), long}, {entry(4, ""), entry(5, "")}, {replacing}}
	for _, entries := range saves {
		qt.Assert(t, store.Save(raft.HardState{Term: 2}, entries, nil), qt.IsNil)
	}
	qt.Assert(t, store.Compact(raft.Snapshot{Index: 3, Term: 2}), qt.IsNil)
	qt.Assert(t, segmentNames(folder), qt.HasLen, 1)
	qt.Assert(t, store.Close(), qt.IsNil)
	stored := openStore(t, folder).Load()
	qt.Assert(t, stored.Snapshot.Index, qt.Equals, uint64(3))
	qt.Assert(t, stored.Entries, qt.HasLen, 0)
}

// TestFolderOfKilledProcessIsSynced guards against the loss of acknowledged entries
// at a power loss after a kill: the process is killed between the write of a new
// segment and the sync of its name, and the next process appends to that segment.
func TestFolderOfKilledProcessIsSynced(t *testing.T) {
	const createWriteSyncAndSyncFolder = 4
	folder := newMemoryFolder()
	store := openStore(t, folder)
	folder.failIn = createWriteSyncAndSyncFolder
	qt.Assert(t, store.Save(raft.HardState{Term: 1}, []raft.Entry{entry(1, "x")}, nil), qt.ErrorIs, syscall.EIO)
	folder.kill()
	store = openStore(t, folder)
	qt.Assert(t, store.Load().Entries, qt.HasLen, 1)
	qt.Assert(t, store.Save(raft.HardState{Term: 1, Commit: 2}, []raft.Entry{entry(2, "acknowledged")}, nil), qt.IsNil)
	folder.crash(func(n int) int { return n - 1 })
	qt.Assert(t, openStore(t, folder).Load().Entries, qt.HasLen, 2)
}

// TestHardStateSurvivesTornSegment crashes while a new segment is started, and
// then compacts the log, which may remove the earlier segments. The vote must
// not be lost with them.
func TestHardStateSurvivesTornSegment(t *testing.T) {
	const maxChanges = 8
	for failIn := 1; failIn <= maxChanges; failIn++ {
		folder := newMemoryFolder()
		store := openStore(t, folder)
		long := entry(1, strings.Repeat("x", 300))
		vote := raft.Member{Host: "b", Replica: 2}
		qt.Assert(t, store.Save(raft.HardState{Term: 5, Vote: vote, Commit: 1}, []raft.Entry{long}, nil), qt.IsNil)
		folder.failIn = failIn
		folder.partial = 24
		if err := store.Save(raft.HardState{Term: 5, Vote: vote, Commit: 1}, nil, nil); err != nil {
			t.Logf("change %d fails: %v", failIn, err)
		}
		folder.crash(func(n int) int { return n - 1 })
		store = openStore(t, folder)
		qt.Assert(t, store.Compact(raft.Snapshot{Index: 1, Term: 1}), qt.IsNil)
		qt.Assert(t, store.Close(), qt.IsNil)
		qt.Assert(t, openStore(t, folder).Load().HardState.Vote, qt.Equals, vote)
	}
}
