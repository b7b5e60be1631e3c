package disk_test

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/disk"
)

// TestRenameDamaged fails and crashes at each step of RenameDamaged. Opening the
// folder afterwards must not return the old replica without its log, which could
// vote a second time in the same term.
func TestRenameDamaged(t *testing.T) {
	const seeds = 20
	c := qt.New(t)
	original := openStore(t, populatedFolder(t))
	old, entries := original.Identity(), len(original.Load().Entries)
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 0))
		for failIn := 1; ; failIn++ {
			files := populatedFolder(t)
			files.failIn = failIn
			_, err := disk.RenameDamaged(files)
			files.crash(random.IntN)
			reopened, openErr := disk.Open(files, disk.Options{Host: old.Host, NewReplica: old.Replica + 1})
			if err == nil {
				c.Assert(openErr, qt.IsNil)
				c.Check(reopened.Identity().Replica, qt.Equals, old.Replica+1)
				c.Check(reopened.Load().Entries, qt.HasLen, 0)
				break
			}
			if openErr == nil && reopened.Identity() == old {
				c.Check(reopened.Load().Entries, qt.HasLen, entries, qt.Commentf("seed %d, failing at step %d", seed, failIn))
			}
		}
	}
}
