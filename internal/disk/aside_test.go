package disk_test

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/disk"
)

// TestSetAside crashes at each step of setting a folder aside. What is opened
// then must not be the old replica without its log.
func TestSetAside(t *testing.T) {
	const seeds = 20
	c := qt.New(t)
	whole := openMemory(t, filled(t))
	old, entries := whole.Identity(), len(whole.Load().Entries)
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 0))
		for failIn := 1; ; failIn++ {
			files := filled(t)
			files.failIn = failIn
			_, err := disk.SetAside(files)
			files.crash(random.IntN)
			again, openErr := disk.Open(files, disk.Options{Host: old.Host, NewReplica: old.Replica + 1})
			if err == nil {
				c.Assert(openErr, qt.IsNil)
				c.Check(again.Identity().Replica, qt.Equals, old.Replica+1)
				c.Check(again.Load().Entries, qt.HasLen, 0)
				break
			}
			if openErr == nil && again.Identity() == old {
				c.Check(again.Load().Entries, qt.HasLen, entries, qt.Commentf("seed %d, failing at step %d", seed, failIn))
			}
		}
	}
}
