package replica

import (
	"fmt"
	"sync/atomic"

	"oleanderramp/internal/raft"
)

// batch is work for the applier, which processes the fields in order.
type batch struct {
	// restore, when set, replaces the state.
	restore *raft.Snapshot
	entries []raft.Entry
	// waiting holds the requests that wait for their entry to be applied, by
	// index.
	waiting map[uint64]*request
	// barriers are completed at the end of the batch.
	barriers []*request
	// snapshot requests a snapshot after the batch.
	snapshot bool
}

func (b *batch) empty() bool {
	return b.restore == nil && len(b.entries) == 0 && len(b.barriers) == 0 && !b.snapshot
}

// snapshotResult is a snapshot of the machine, or the error that stopped the
// applier.
type snapshotResult struct {
	index uint64
	data  []byte
	err   error
}

// applier applies batches to the machine.
type applier struct {
	machine   Machine
	applied   *atomic.Uint64
	snapshots chan<- snapshotResult
}

// run applies batches until the channel is closed. After a failure of the
// machine it fails the requests of all further batches.
func (a *applier) run(batches <-chan batch) {
	failed := false
	for b := range batches {
		if failed {
			failBatch(b)
			continue
		}
		if err := a.apply(b); err != nil {
			failed = true
			failBatch(b)
			a.snapshots <- snapshotResult{err: err}
		}
	}
}

func (a *applier) apply(b batch) error {
	if b.restore != nil {
		if err := a.machine.Restore(b.restore.Data); err != nil {
			return fmt.Errorf("restore snapshot %d: %w", b.restore.Index, err)
		}
		a.applied.Store(b.restore.Index)
	}
	for _, e := range b.entries {
		var result []byte
		if len(e.Command) > 0 {
			result = a.machine.Apply(e.Index, e.Command)
		}
		a.applied.Store(e.Index)
		if q := b.waiting[e.Index]; q != nil {
			q.finish(result, nil)
		}
	}
	for _, q := range b.barriers {
		q.finish(nil, nil)
	}
	if !b.snapshot {
		return nil
	}
	data, err := a.machine.Snapshot()
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	a.snapshots <- snapshotResult{index: a.applied.Load(), data: data}
	return nil
}

// failBatch fails the requests of a batch that is not applied.
func failBatch(b batch) {
	for _, q := range b.waiting {
		q.finish(nil, ErrOutcomeUnknown)
	}
	for _, q := range b.barriers {
		q.finish(nil, ErrOutcomeUnknown)
	}
}
