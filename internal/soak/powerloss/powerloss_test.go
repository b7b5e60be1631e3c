package powerloss_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/disk"
	"oleanderramp/internal/raft"
	"oleanderramp/internal/soak/powerloss"
)

var errKilled = errors.New("the process was killed")

// killed is the folder below one whose process is killed in the midst of its work: after
// a number of changes nothing reaches it.
type killed struct {
	disk.FileSystem
	remaining int
}

func (k *killed) change() error {
	if k.remaining == 0 {
		return errKilled
	}
	k.remaining--
	return nil
}

func (k *killed) Create(name string) (disk.File, error) {
	if err := k.change(); err != nil {
		return nil, err
	}
	return k.FileSystem.Create(name)
}

func (k *killed) Append(name string) (disk.File, error) {
	if err := k.change(); err != nil {
		return nil, err
	}
	return k.FileSystem.Append(name)
}

func (k *killed) Truncate(name string, size int64) error {
	if err := k.change(); err != nil {
		return err
	}
	return k.FileSystem.Truncate(name, size)
}

func (k *killed) Rename(from, to string) error {
	if err := k.change(); err != nil {
		return err
	}
	return k.FileSystem.Rename(from, to)
}

func (k *killed) Remove(name string) error {
	if err := k.change(); err != nil {
		return err
	}
	return k.FileSystem.Remove(name)
}

// withoutFolderSync leaves out the syncs of the folder, and withoutFileSync those of
// files.
type withoutFolderSync struct{ disk.FileSystem }

func (withoutFolderSync) SyncFolder() error { return nil }

type withoutFileSync struct{ disk.FileSystem }

func (f withoutFileSync) Create(name string) (disk.File, error) {
	return fileWithoutSync(f.FileSystem.Create(name))
}

func (f withoutFileSync) Append(name string) (disk.File, error) {
	return fileWithoutSync(f.FileSystem.Append(name))
}

type unsyncedFile struct{ disk.File }

func (unsyncedFile) Sync() error { return nil }

func fileWithoutSync(file disk.File, err error) (disk.File, error) {
	return unsyncedFile{file}, err
}

// lostAcknowledged runs a store through several processes that are killed, and returns
// what it lost that a save had acknowledged.
func lostAcknowledged(t *testing.T, seed uint64, change func(disk.FileSystem) disk.FileSystem) error {
	random := rand.New(rand.NewPCG(seed, 0))
	below, err := disk.OpenFolder(t.TempDir())
	qt.Assert(t, err, qt.IsNil)
	acknowledged := uint64(0)
	const processes = 6
	for range processes {
		folder, err := powerloss.New(&killed{FileSystem: below, remaining: random.IntN(60)}, random.IntN)
		qt.Assert(t, err, qt.IsNil)
		store, err := disk.Open(change(folder), disk.Options{Host: "a", NewReplica: 7, SegmentBytes: 300})
		if errors.Is(err, errKilled) {
			continue
		}
		if err != nil {
			return err
		}
		stored := store.Load()
		last := stored.Snapshot.Index + uint64(len(stored.Entries))
		if last < acknowledged {
			return fmt.Errorf("the log ends at %d, %d was acknowledged", last, acknowledged)
		}
		acknowledged = saveUntilKilled(store, last, random)
		qt.Assert(t, store.Close(), qt.IsNil) // Close syncs nothing.
	}
	return nil
}

// saveUntilKilled saves entries, and compacts the log now and then. It returns the index
// of the last entry that was acknowledged.
func saveUntilKilled(store *disk.Store, last uint64, random *rand.Rand) uint64 {
	const saves = 12
	for range saves {
		e := raft.Entry{Index: last + 1, Term: 1, Command: []byte(strings.Repeat("x", random.IntN(200)))}
		if store.Save(raft.HardState{Term: 1, Commit: e.Index}, []raft.Entry{e}, nil) != nil {
			return last
		}
		last = e.Index
		if random.IntN(4) == 0 && store.Compact(raft.Snapshot{Index: last, Term: 1}) != nil {
			return last
		}
	}
	return last
}

// TestMissingSyncsAreFound guards against a stand-in that shows no missing sync, or
// loses what was synced.
func TestMissingSyncsAreFound(t *testing.T) {
	const seeds = 100
	tests := []struct {
		name   string
		change func(disk.FileSystem) disk.FileSystem
		found  bool
	}{
		{"all syncs", func(f disk.FileSystem) disk.FileSystem { return f }, false},
		{"no sync of the folder", func(f disk.FileSystem) disk.FileSystem { return withoutFolderSync{f} }, true},
		{"no sync of files", func(f disk.FileSystem) disk.FileSystem { return withoutFileSync{f} }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			found := 0
			for seed := range uint64(seeds) {
				if err := lostAcknowledged(t, seed, test.change); err != nil {
					found++
					if !test.found {
						t.Errorf("seed %d: %v", seed, err)
					}
				}
			}
			t.Logf("%d of %d seeds lost something acknowledged", found, seeds)
			qt.Check(t, found > 0, qt.Equals, test.found)
		})
	}
}
