package replica_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/disk"
	"oleanderramp/internal/raft"
	"oleanderramp/internal/replica"
)

const (
	commandBytes     = 200
	maxLatencyMicros = 60_000_000
)

// countingMachine is a machine that only counts the applied commands.
type countingMachine struct{ count atomic.Uint64 }

func (m *countingMachine) Apply(uint64, []byte) []byte {
	m.count.Add(1)
	return nil
}

func (m *countingMachine) Snapshot() ([]byte, error) {
	return fmt.Appendf(nil, "%d", m.count.Load()), nil
}

func (m *countingMachine) Restore(snapshot []byte) error {
	var count uint64
	_, err := fmt.Sscan(string(snapshot), &count)
	m.count.Store(count)
	return err
}

// BenchmarkCommit commits commands of 200 bytes from a number of clients, each of
// which has one command in flight, and reports the throughput and the latency.
func BenchmarkCommit(b *testing.B) {
	for _, hosts := range [][]string{{"a"}, {"a", "b", "c"}} {
		for _, noSync := range []bool{false, true} {
			for _, clients := range []int{1, 16, 256} {
				name := fmt.Sprintf("replicas=%d/sync=%t/clients=%d", len(hosts), !noSync, clients)
				b.Run(name, func(b *testing.B) {
					c := newCluster(b)
					c.counting = true
					defer c.close()
					c.bootstrap(disk.Options{NoSync: noSync}, hosts...)
					commit(b, c.leader(), clients)
				})
			}
		}
	}
}

func commit(b *testing.B, leader *replica.Replica, clients int) {
	latency := hdrhistogram.New(1, maxLatencyMicros, 3)
	var mu sync.Mutex
	var left atomic.Int64
	left.Store(int64(b.N))
	var group sync.WaitGroup
	b.ResetTimer()
	for range clients {
		group.Go(func() {
			command := make([]byte, commandBytes)
			var latencies []int64
			for left.Add(-1) >= 0 {
				start := time.Now()
				if _, err := leader.Propose(b.Context(), command); err != nil {
					b.Error(err)
					return
				}
				latencies = append(latencies, time.Since(start).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			for _, l := range latencies {
				// RecordValue discards values that are out of range.
				qt.Check(b, latency.RecordValue(max(l, 1)), qt.IsNil)
			}
		})
	}
	group.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(latency.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(latency.ValueAtQuantile(99)), "p99-us")
}

// BenchmarkRecovery opens a log that has a number of commands of 200 bytes and no
// snapshot, and starts a replica that applies all of them.
func BenchmarkRecovery(b *testing.B) {
	for _, entries := range []int{0, 1_000, 10_000, 50_000, 100_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			path := b.TempDir()
			fillLog(b, path, entries)
			for b.Loop() {
				store := openStore(b, path)
				machine := &countingMachine{}
				cfg := replica.Config{SnapshotBytes: 1 << 40}
				cfg.Raft.Random = rand.New(rand.NewPCG(1, 1))
				r, err := replica.New(cfg, store, machine, newCluster(b))
				qt.Assert(b, err, qt.IsNil)
				for !r.Status().IsLeader() {
					time.Sleep(100 * time.Microsecond)
				}
				qt.Assert(b, r.Barrier(b.Context()), qt.IsNil)
				qt.Assert(b, machine.count.Load(), qt.Equals, uint64(entries))
				qt.Assert(b, r.Close(), qt.IsNil)
			}
		})
	}
}

func openStore(b *testing.B, path string) *disk.Store {
	fs, err := disk.OpenFolder(path)
	qt.Assert(b, err, qt.IsNil)
	store, err := disk.Open(fs, disk.Options{Host: "a", NewReplica: 1, NoSync: true})
	qt.Assert(b, err, qt.IsNil)
	return store
}

func fillLog(b *testing.B, path string, count int) {
	store := openStore(b, path)
	first := raft.Bootstrap([]raft.Member{store.Identity()})
	entries := first.Entries
	for range count {
		index := uint64(len(entries) + 1)
		entries = append(entries, raft.Entry{Index: index, Term: 1, Command: make([]byte, commandBytes)})
	}
	const batchLength = 100
	for start := 0; start < len(entries); start += batchLength {
		batch := entries[start:min(start+batchLength, len(entries))]
		qt.Assert(b, store.Save(first.HardState, batch, nil), qt.IsNil)
	}
	qt.Assert(b, store.Close(), qt.IsNil)
}
