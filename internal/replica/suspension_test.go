package replica_test

import (
	"context"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/disk"
	"oleanderramp/internal/raft"
	"oleanderramp/internal/replica"
)

// diskFullError is the retryable error of a write to a full disk.
type diskFullError struct{ error }

func (diskFullError) Retryable() bool { return true }

func (e diskFullError) Unwrap() error { return e.error }

// fullStorage is a storage whose disk can be full.
type fullStorage struct {
	replica.Storage
	full atomic.Bool
	// compactionFull makes the disk too full for a snapshot only.
	compactionFull atomic.Bool
}

func (s *fullStorage) Save(state raft.HardState, entries []raft.Entry, snapshot *raft.Snapshot) error {
	if s.full.Load() {
		return diskFullError{syscall.ENOSPC}
	}
	return s.Storage.Save(state, entries, snapshot)
}

func (s *fullStorage) Compact(snapshot raft.Snapshot) error {
	if s.full.Load() || s.compactionFull.Load() {
		return diskFullError{syscall.ENOSPC}
	}
	return s.Storage.Compact(snapshot)
}

// setFull makes the disk of a host full, or frees space on it.
func (c *cluster) setFull(host string, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disks[host].full.Store(full)
}

// Guards against a control host that ends by itself when its disk is full.
func TestFullDiskSuspendsReplica(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.bootstrap(disk.Options{}, "a", "b", "c")
		first := c.leader()
		propose(t, first, "x")
		host := first.Self().Host
		c.setFull(host, true)
		_, err := first.Propose(t.Context(), []byte("unknown"))
		qt.Assert(t, err, qt.ErrorIs, replica.ErrOutcomeUnknown)
		qt.Assert(t, first.Status().IsLeader(), qt.IsFalse)
		qt.Assert(t, first.Status().Suspension(), qt.ErrorIs, syscall.ENOSPC)
		second := c.leader()
		qt.Assert(t, second, qt.Not(qt.Equals), first)
		propose(t, second, "y")
		var notLeader *replica.NotLeaderError
		_, err = first.Propose(t.Context(), []byte("refused"))
		qt.Assert(t, err, qt.ErrorAs, &notLeader)
		qt.Assert(t, first.Barrier(t.Context()), qt.ErrorAs, &notLeader)
		time.Sleep(time.Minute)
		qt.Assert(t, first.Err(), qt.IsNil)
		c.setFull(host, false)
		c.eventually("the replica follows again", func() bool {
			return len(c.machines[host].list()) == len(c.machines[second.Self().Host].list())
		})
		qt.Assert(t, c.machines[host].list(), qt.DeepEquals, c.machines[second.Self().Host].list())
		qt.Assert(t, first.Status().Suspension(), qt.IsNil)
		qt.Assert(t, c.leader(), qt.Equals, second)
	})
}

// Guards against counting a replica that can't write as one that acknowledged.
func TestReplicasWithFullDisksDoNotAcknowledge(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.bootstrap(disk.Options{}, "a", "b", "c")
		leader := c.leader()
		propose(t, leader, "x")
		for host := range c.running() {
			c.setFull(host, host != leader.Self().Host)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := leader.Propose(ctx, []byte("y"))
		qt.Assert(t, err, qt.ErrorIs, replica.ErrOutcomeUnknown)
		qt.Assert(t, leader.Status().Commit(), qt.Equals, uint64(3))
		for host := range c.running() {
			c.setFull(host, false)
		}
		propose(t, c.leader(), "z")
		commands := c.machines[c.leader().Self().Host].list()
		qt.Assert(t, commands[0], qt.Equals, "x")
		qt.Assert(t, commands[len(commands)-1], qt.Equals, "z")
	})
}

// Guards against a leader that leads on after its snapshot could not be stored.
func TestFullDiskDuringCompactionSuspendsReplica(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.config.SnapshotBytes = 1
		c.bootstrap(disk.Options{}, "a")
		r := c.leader()
		c.disks["a"].compactionFull.Store(true)
		propose(t, r, "x")
		c.eventually("the replica is suspended", func() bool { return r.Status().Suspension() != nil })
		qt.Assert(t, r.Status().IsLeader(), qt.IsFalse)
		c.disks["a"].compactionFull.Store(false)
		qt.Assert(t, propose(t, c.leader(), "y"), qt.Equals, "2:y")
	})
}

// Guards against a daemon that can't be ended while its disk is full.
func TestCloseWithFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.bootstrap(disk.Options{}, "a")
		r := c.leader()
		propose(t, r, "x")
		c.setFull("a", true)
		_, err := r.Propose(t.Context(), []byte("y"))
		qt.Assert(t, err, qt.ErrorIs, replica.ErrOutcomeUnknown)
		qt.Assert(t, r.Close(), qt.IsNil)
		c.run(c.open("a", disk.Options{}), nil)
		qt.Assert(t, propose(t, c.leader(), "z"), qt.Equals, "2:z")
		c.close()
	})
}
