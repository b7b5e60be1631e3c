package replica_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/disk"
	"oleanderramp/internal/replica"
)

const (
	historyClients    = 4
	historyOperations = 25
	historySeeds      = 12
	pendingReturn     = int64(1) << 62
)

type historyInput struct {
	read  bool
	value string
}

var historyModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in := input.(historyInput)
		if in.read {
			return output.(string) == state.(string), state
		}
		return true, in.value
	},
}

// history records the operations of a cluster's clients and their results.
type history struct {
	c     *cluster
	start time.Time
	// barrier makes clients call Barrier before each read. Without it they read
	// from any replica, which the check must detect.
	barrier bool

	mu         sync.Mutex
	operations []porcupine.Operation
}

func (h *history) now() int64 { return time.Since(h.start).Nanoseconds() }

func (h *history) add(client int, in historyInput, output string, call, end int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: in, Output: output, Call: call, Return: end,
	})
}

// client writes to and reads from a replica that reports itself as the leader.
func (h *history) client(number int, random *rand.Rand) {
	for i := range historyOperations {
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		read := random.IntN(2) == 0
		for _, r := range h.c.running() {
			if r.Status().IsLeader() || read && !h.barrier {
				h.call(r, number, i, read)
				break
			}
		}
	}
}

func (h *history) call(r *replica.Replica, client, number int, read bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	call := h.now()
	if read {
		if h.barrier && r.Barrier(ctx) != nil {
			return
		}
		h.add(client, historyInput{read: true}, h.c.lastCommand(r.Self().Host), call, h.now())
		return
	}
	in := historyInput{value: fmt.Sprintf("%d.%d", client, number)}
	_, err := r.Propose(ctx, []byte(in.value))
	var notLeader *replica.NotLeaderError
	switch {
	case err == nil:
		h.add(client, in, "", call, h.now())
	case errors.As(err, &notLeader), errors.Is(err, replica.ErrBusy):
	case errors.Is(err, replica.ErrStopped) && !errors.Is(err, replica.ErrOutcomeUnknown):
	default:
		// The outcome is unknown: the write may take effect at any later time.
		h.add(client, in, "", call, pendingReturn)
	}
}

// lastCommand returns the last command that the machine on a host applied.
func (c *cluster) lastCommand(host string) string {
	c.mu.Lock()
	machine := c.machines[host]
	c.mu.Unlock()
	commands := machine.list()
	if len(commands) == 0 {
		return ""
	}
	return commands[len(commands)-1]
}

// injectFaults isolates hosts, fills their disks, restarts them and replaces
// their disks, one host at a time.
func (c *cluster) injectFaults(random *rand.Rand, stop <-chan struct{}) {
	hosts := []string{"a", "b", "c"}
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(1500)) * time.Millisecond):
		}
		host := hosts[random.IntN(len(hosts))]
		switch random.IntN(7) {
		case 0, 1, 2:
			c.setIsolated(host, true)
			time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
			c.setIsolated(host, false)
		case 3:
			c.stop(host)
			c.run(c.open(host, disk.Options{}), nil)
		case 4:
			c.replaceDisk(host)
		case 5, 6:
			c.setFull(host, true)
			time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
			c.setFull(host, false)
		}
	}
}

// replaceDisk deletes the disk of a host and repairs the quorum.
func (c *cluster) replaceDisk(host string) {
	old := c.running()[host].Self()
	c.stop(host)
	qt.Check(c.tb, os.RemoveAll(c.path(host)), qt.IsNil)
	fresh := c.run(c.open(host, disk.Options{}), nil).Self()
	c.eventually("the lost replica is removed", func() bool {
		return c.leader().RemoveReplica(context.Background(), old) == nil
	})
	c.eventually("its replacement is added", func() bool {
		return c.leader().AddReplica(context.Background(), fresh) == nil
	})
	c.eventually("its replacement votes", func() bool {
		for _, m := range c.leader().Status().Members() {
			if m.Member == fresh {
				return m.Voter
			}
		}
		return false
	})
}

// checkSeed runs clients and faults concurrently, and checks that the recorded
// history is linearizable.
func checkSeed(t *testing.T, seed uint64, barrier bool) porcupine.CheckResult {
	var result porcupine.CheckResult
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.config.SnapshotBytes = 100
		c.config.KeepEntries = 5
		c.bootstrap(disk.Options{NoSync: true}, "a", "b", "c")
		h := &history{c: c, start: time.Now(), barrier: barrier}
		stop := make(chan struct{})
		var clients, faults sync.WaitGroup
		faults.Go(func() { c.injectFaults(rand.New(rand.NewPCG(seed, 0)), stop) })
		for i := range historyClients {
			clients.Go(func() { h.client(i, rand.New(rand.NewPCG(seed, uint64(i)+1))) })
		}
		clients.Wait()
		close(stop)
		faults.Wait()
		qt.Check(t, len(h.operations) > historyOperations, qt.IsTrue)
		result = porcupine.CheckOperationsTimeout(historyModel, h.operations, 0)
	})
	return result
}

func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(historySeeds) {
		qt.Check(t, checkSeed(t, seed, true), qt.Equals, porcupine.Ok, qt.Commentf("seed %d", seed))
	}
}

// TestCheckDetectsReadsWithoutBarrier verifies that the check detects stale
// reads.
func TestCheckDetectsReadsWithoutBarrier(t *testing.T) {
	for seed := range uint64(historySeeds) {
		if checkSeed(t, seed, false) == porcupine.Illegal {
			return
		}
	}
	t.Fatal("stale reads were not detected with any seed")
}
