package state_test

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"oleanderramp/internal/state"
	"oleanderramp/internal/wire"
)

func TestRestoreRejectsDamagedSnapshots(t *testing.T) {
	c := qt.New(t)
	data := snapshot(t, populatedMachine().Machine)
	for name, damage := range map[string]func(*wire.Snapshot){
		"format":          func(s *wire.Snapshot) { s.Format++ },
		"time":            func(s *wire.Snapshot) { s.NowUnixMs = -1 },
		"version":         func(s *wire.Snapshot) { s.Accepted.Version++ },
		"digest":          func(s *wire.Snapshot) { s.Accepted.Digest[0]++ },
		"document":        func(s *wire.Snapshot) { s.Accepted.Document[0] = 'x' },
		"open digest":     func(s *wire.Snapshot) { s.Open.Digest[0]++ },
		"open parent":     func(s *wire.Snapshot) { s.Accepted, s.History = nil, nil },
		"no history":      func(s *wire.Snapshot) { s.History = nil },
		"history gap":     func(s *wire.Snapshot) { s.History[1] = s.History[0] },
		"record twice":    func(s *wire.Snapshot) { s.Records = append(s.Records, s.Records[2]) },
		"record order":    func(s *wire.Snapshot) { s.Records[0].ChangedMs++ },
		"no record state": func(s *wire.Snapshot) { s.Records[0].State = 0 },
	} {
		var damaged wire.Snapshot
		c.Assert(proto.Unmarshal(data, &damaged), qt.IsNil)
		damage(&damaged)
		changed, err := proto.Marshal(&damaged)
		c.Assert(err, qt.IsNil)
		c.Check(state.New(state.Limits{}).Restore(changed), qt.ErrorIs, state.ErrSnapshot, qt.Commentf(name))
	}
}

// TestStoreConcurrentReads reads a store while another goroutine applies
// commands. Run with -race, it checks the locking of the store.
func TestStoreConcurrentReads(t *testing.T) {
	c := qt.New(t)
	s := state.NewStore(state.Limits{})
	done := make(chan struct{})
	var readers sync.WaitGroup
	for range 3 {
		readers.Go(func() {
			var last uint64
			for last < 20 {
				changed := s.Changed()
				if b := s.AcceptedBundle(); b != nil {
					c.Check(b.Version() >= last, qt.IsTrue)
					last = b.Version()
				}
				s.Bundles()
				s.Record("fair", "orders", "k")
				s.RecordCount()
				s.Deltas(last)
				s.Drained()
				s.Quarantined(time.UnixMilli(0))
				s.Fence("placement")
				s.Audit(0)
				s.Processes()
				if last < 20 {
					<-changed
				}
			}
		})
	}
	go func() {
		defer close(done)
		index := uint64(0)
		apply := func(command *wire.Command) {
			index++
			s.Apply(index, encodeCommand(command))
		}
		for version := range 20 {
			content := document(uint64(version), 1)
			apply(propose("ann", content))
			apply(begin("k", "d", "a", router("r", uint64(version+1))))
			apply(signOff("bob", digestOf(content)))
			apply(drain("e1", version%2 == 0))
			apply(accept("ann", digestOf(content)))
		}
	}()
	<-done
	readers.Wait()
	c.Assert(s.Index(), qt.Equals, uint64(100))
}
