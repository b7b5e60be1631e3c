package state_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"oleanderramp/internal/state"
	"oleanderramp/internal/wire"
	"oleanderramp/pkg/bundle"
)

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func BenchmarkBeginFinish(b *testing.B) {
	m := state.New(state.Limits{RecordRetention: time.Second})
	index, now := uint64(0), int64(1_000_000)
	apply := func(command *wire.Command) {
		index++
		command.NowUnixMs = now
		m.Apply(index, encodeCommand(command))
	}
	b.ReportAllocs()
	for b.Loop() {
		now++
		key := fmt.Sprint("key-", index)
		apply(begin(key, "digest", key, router("r", 1)))
		apply(finish(key, key, finished, "booked"))
	}
	if result, found := m.Record("fair", "orders", fmt.Sprint("key-", index-2)); !found || result.GetState() != finished {
		b.Fatalf("the last record is %v", result)
	}
}

func BenchmarkSnapshot100kRecords(b *testing.B) {
	before := heapBytes()
	m := state.New(state.Limits{})
	for i := range 100_000 {
		key := fmt.Sprint("key-", i)
		m.Apply(uint64(2*i+1), encodeCommand(begin(key, "digest", key, router("r", 1))))
		m.Apply(uint64(2*i+2), encodeCommand(finish(key, key, finished, "booked")))
	}
	after := heapBytes()
	var data []byte
	b.Run("snapshot", func(b *testing.B) {
		for b.Loop() {
			data = snapshot(b, m)
		}
		b.ReportMetric(float64(len(data)), "snapshot-bytes")
		b.ReportMetric(float64(after-before)/100_000, "heap-bytes/record")
	})
	b.Run("restore", func(b *testing.B) {
		for b.Loop() {
			if err := state.New(state.Limits{}).Restore(data); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkBundleChange measures a change of one of 2,200 client accounts, from
// the proposal to the acceptance.
func BenchmarkBundleChange(b *testing.B) {
	d := newDriver(state.Limits{})
	d.acceptVersions(1)
	change := func(edit func(*bundle.Document)) int {
		next := d.AcceptedBundle().Document()
		next.Parent = next.Version
		edit(&next)
		to, err := bundle.New(next)
		if err != nil {
			b.Fatal(err)
		}
		delta, err := bundle.MakeDelta(d.AcceptedBundle(), to)
		if err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
		d.do(proposeDelta("ann", delta))
		d.do(signOff("bob", to.Digest().Bytes()))
		result := d.do(accept("ann", to.Digest().Bytes()))
		b.StopTimer()
		if result.GetBundle().GetStage() != state.StageAccepted {
			b.Fatal(result)
		}
		return len(delta)
	}
	change(func(document *bundle.Document) {
		for i := range 2_199 {
			account := bundle.ClientAccount{Name: fmt.Sprintf("account-%04d", i), Share: 1, Services: []string{"orders"}}
			document.ClientAccounts = append(document.ClientAccounts, account)
		}
	})
	b.ResetTimer()
	size := 0
	for i := range b.N {
		size = change(func(document *bundle.Document) { document.ClientAccounts[7].Share = i + 2 })
	}
	b.ReportMetric(float64(size), "delta-bytes")
}
