package replica

import (
	"fmt"
	"time"

	"oleanderramp/internal/raft"
)

// restore replaces the pending batch with the restoration of a snapshot.
func (d *driver) restore(snapshot *raft.Snapshot) {
	failBatch(d.pending)
	if d.pending.snapshot {
		d.snapshotting = false
	}
	d.pending = batch{restore: snapshot}
	d.delivered = snapshot.Index
	d.appliedBytes = 0
}

// deliver adds committed entries to the applier's next batch.
func (d *driver) deliver(entries []raft.Entry) {
	for _, e := range entries {
		d.pending.entries = append(d.pending.entries, e)
		d.delivered = e.Index
		d.appliedBytes += len(e.Command)
		q := d.waiting[e.Index]
		if q == nil {
			continue
		}
		delete(d.waiting, e.Index)
		if q.term != e.Term {
			q.finish(nil, ErrOutcomeUnknown)
			continue
		}
		if d.pending.waiting == nil {
			d.pending.waiting = make(map[uint64]*request)
		}
		d.pending.waiting[e.Index] = q
	}
	if d.appliedBytes >= d.cfg.SnapshotBytes && !d.snapshotting {
		d.snapshotting = true
		d.appliedBytes = 0
		d.pending.snapshot = true
	}
}

// releaseBarriers adds the barriers whose index was delivered to the applier's
// next batch.
func (d *driver) releaseBarriers() {
	kept := d.confirmed[:0]
	for _, q := range d.confirmed {
		if q.index > d.delivered {
			kept = append(kept, q)
			continue
		}
		d.pending.barriers = append(d.pending.barriers, q)
	}
	d.confirmed = kept
}

// compact stores a snapshot that the applier made.
func (d *driver) compact(result snapshotResult) error {
	if result.err != nil {
		return result.err
	}
	d.snapshotting = false
	snapshot, err := d.node.Compact(result.index, result.data, d.cfg.KeepEntries)
	if err != nil {
		// A newer snapshot was installed from the leader in the meantime.
		return nil
	}
	if err := d.store(func() error { return d.storage.Compact(snapshot) }); err != nil {
		return fmt.Errorf("save snapshot: %w", err)
	}
	d.resignAfterSuspension(time.Now())
	return nil
}
