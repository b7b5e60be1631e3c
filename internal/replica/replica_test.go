package replica_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
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

// inBubble runs a test of a cluster in a synctest bubble, which has a fake clock.
func inBubble(t *testing.T, test func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		test(t, c)
	})
}

func propose(t *testing.T, r *replica.Replica, command string) string {
	t.Helper()
	result, err := r.Propose(t.Context(), []byte(command))
	qt.Assert(t, err, qt.IsNil)
	return string(result)
}

func TestOneReplicaSurvivesRestart(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		var led atomic.Int64
		c.config.OnChange = func(s replica.Status) {
			if s.IsLeader() {
				led.Add(1)
			}
		}
		defer func() { qt.Check(t, led.Load(), qt.Equals, int64(2)) }()
		c.bootstrap(disk.Options{}, "a")
		qt.Assert(t, propose(t, c.leader(), "x"), qt.Equals, "1:x")
		c.stop("a")
		c.run(c.open("a", disk.Options{}), nil)
		qt.Assert(t, propose(t, c.leader(), "y"), qt.Equals, "2:y")
		qt.Assert(t, c.leader().Barrier(t.Context()), qt.IsNil)
		qt.Assert(t, c.machines["a"].list(), qt.DeepEquals, []string{"x", "y"})
	})
}

func TestThreeReplicasSurviveLeaderLoss(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.bootstrap(disk.Options{}, "a", "b", "c")
		first := c.leader()
		propose(t, first, "x")
		host := first.Self().Host
		c.setIsolated(host, true)
		second := c.leader()
		qt.Assert(t, second.Self().Host, qt.Not(qt.Equals), host)
		propose(t, second, "y")
		_, err := first.Propose(t.Context(), []byte("lost"))
		var notLeader *replica.NotLeaderError
		qt.Assert(t, errors.As(err, &notLeader) || errors.Is(err, replica.ErrOutcomeUnknown), qt.IsTrue, qt.Commentf("%v", err))
		c.setIsolated(host, false)
		c.eventually("the old leader follows", func() bool { return len(c.machines[host].list()) == 2 })
		qt.Assert(t, c.machines[host].list(), qt.DeepEquals, []string{"x", "y"})
		qt.Assert(t, c.leader().Self(), qt.Equals, second.Self())
	})
}

func TestLostDiskRejoinsAsNewMember(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.config.SnapshotBytes = 64
		c.config.KeepEntries = 1
		c.bootstrap(disk.Options{}, "a", "b", "c")
		for i := range 40 {
			propose(t, c.leader(), fmt.Sprintf("command %d", i))
		}
		old := c.replicas["c"].Self()
		c.stop("c")
		qt.Assert(t, os.RemoveAll(c.path("c")), qt.IsNil)
		c.run(c.open("c", disk.Options{}), nil)
		fresh := c.replicas["c"].Self()
		qt.Assert(t, fresh, qt.Not(qt.Equals), old)
		qt.Assert(t, c.leader().RemoveReplica(t.Context(), old), qt.IsNil)
		qt.Assert(t, c.leader().AddReplica(t.Context(), fresh), qt.IsNil)
		c.eventually("the new member votes", func() bool {
			for _, m := range c.leader().Status().Members() {
				if m.Member == fresh && m.Voter {
					return true
				}
			}
			return false
		})
		// The loss of a second host right after the repair loses no data.
		for _, host := range []string{"a", "b"} {
			if c.replicas[host].Self() != c.leader().Self() {
				c.stop(host)
				break
			}
		}
		qt.Assert(t, propose(t, c.leader(), "last"), qt.Equals, "41:last")
		c.eventually("all is applied", func() bool { return len(c.machines["c"].list()) == 41 })
	})
}

func TestProposalsWithoutQuorumFail(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.bootstrap(disk.Options{}, "a", "b", "c")
		leader := c.leader()
		for host := range c.running() {
			c.setIsolated(host, true)
		}
		_, err := leader.Propose(t.Context(), []byte("x"))
		qt.Assert(t, err, qt.ErrorIs, replica.ErrOutcomeUnknown)
		var notLeader *replica.NotLeaderError
		qt.Assert(t, leader.Barrier(t.Context()), qt.ErrorAs, &notLeader)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err = leader.Propose(ctx, []byte("y"))
		qt.Assert(t, err, qt.ErrorAs, &notLeader)
	})
}

func TestCloseTransfersLeadership(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.bootstrap(disk.Options{}, "a", "b", "c")
		leader := c.leader()
		propose(t, leader, "x")
		time.Sleep(time.Second)
		start := time.Now()
		c.stop(leader.Self().Host)
		propose(t, c.leader(), "y")
		qt.Assert(t, time.Since(start) < time.Second, qt.IsTrue)
	})
}

func TestEmptyStorageRequiresBootstrapOrJoin(t *testing.T) {
	c := newCluster(t)
	store := c.open("a", disk.Options{})
	defer func() { qt.Check(t, store.Close(), qt.IsNil) }()
	cfg := replica.Config{Bootstrap: []raft.Member{{Host: "a", Replica: 99}}}
	_, err := replica.New(cfg, store, &recordingMachine{}, c)
	qt.Assert(t, err, qt.ErrorMatches, ".*is not an initial member.*")
}

// failingStorage is a storage whose writes fail.
type failingStorage struct {
	replica.Storage
	failing atomic.Bool
}

func (s *failingStorage) Save(state raft.HardState, entries []raft.Entry, snapshot *raft.Snapshot) error {
	if s.failing.Load() {
		return syscall.EIO
	}
	return s.Storage.Save(state, entries, snapshot)
}

func TestFailedWriteStopsReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		store := c.open("a", disk.Options{})
		storage := &failingStorage{Storage: store}
		cfg := replica.Config{Bootstrap: []raft.Member{store.Identity()}}
		cfg.Raft.Random = rand.New(rand.NewPCG(1, 1))
		r, err := replica.New(cfg, storage, &recordingMachine{}, c)
		qt.Assert(t, err, qt.IsNil)
		synctest.Wait()
		propose(t, r, "x")
		storage.failing.Store(true)
		_, err = r.Propose(t.Context(), []byte("y"))
		qt.Assert(t, err, qt.ErrorIs, replica.ErrOutcomeUnknown)
		<-r.Done()
		qt.Assert(t, r.Err(), qt.ErrorIs, syscall.EIO)
		_, err = r.Propose(t.Context(), []byte("z"))
		qt.Assert(t, err, qt.ErrorIs, replica.ErrStopped)
		qt.Assert(t, r.Close(), qt.ErrorIs, syscall.EIO)
		c.run(c.open("a", disk.Options{}), nil)
		qt.Assert(t, propose(t, c.leader(), "after"), qt.Equals, "2:after")
		c.close()
	})
}

func TestMembershipChangesAreIdempotent(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.bootstrap(disk.Options{}, "a")
		c.run(c.open("b", disk.Options{}), nil)
		joining := c.replicas["b"].Self()
		for range 2 {
			qt.Assert(t, c.leader().AddReplica(t.Context(), joining), qt.IsNil)
		}
		c.eventually("the replica votes", func() bool { return c.leader().Status().Members()[1].Voter })
		for range 2 {
			qt.Assert(t, c.leader().RemoveReplica(t.Context(), joining), qt.IsNil)
		}
		qt.Assert(t, c.leader().Status().Members(), qt.HasLen, 1)
		qt.Assert(t, c.leader().RemoveReplica(t.Context(), c.leader().Self()), qt.ErrorIs, raft.ErrInvalidChange)
	})
}
