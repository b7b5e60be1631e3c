package replica

import (
	"errors"
	"fmt"
	"time"

	"oleanderramp/internal/raft"
)

// maxBatchedInputs limits the queued requests and messages that share one sync.
const maxBatchedInputs = 1024

// driver owns the raft node and the storage.
type driver struct {
	replica   *Replica
	cfg       Config
	storage   Storage
	sender    Sender
	node      *raft.Node
	batches   chan<- batch
	snapshots <-chan snapshotResult

	// waiting holds the requests whose entries are not committed yet, by index.
	waiting map[uint64]*request
	// reads holds the unconfirmed barriers, by id.
	reads    map[uint64]*request
	nextRead uint64
	// confirmed holds the confirmed barriers that wait for the entry at their
	// index to be delivered.
	confirmed []*request
	// pending is the next batch for the applier.
	pending batch
	// delivered is the last index that was added to pending.
	delivered uint64
	// appliedBytes is the size of the commands since the last snapshot.
	appliedBytes int
	snapshotting bool
	// role, term and leader are those last reported to Config.OnChange.
	role          raft.Role
	term          uint64
	leader        raft.Member
	closeDeadline time.Time
	// suspended is set from a failed write to a full disk until the write has
	// succeeded and the node has resigned.
	suspended bool
}

func newDriver(
	r *Replica, cfg Config, storage Storage, sender Sender, node *raft.Node,
	batches chan<- batch, snapshots <-chan snapshotResult,
) *driver {
	return &driver{
		replica:   r,
		cfg:       cfg,
		storage:   storage,
		sender:    sender,
		node:      node,
		batches:   batches,
		snapshots: snapshots,
		waiting:   make(map[uint64]*request),
		reads:     make(map[uint64]*request),
		delivered: r.applied.Load(),
		role:      node.Role(),
		term:      node.Term(),
	}
}

// run runs the node until the replica is closed or fails.
func (d *driver) run() error {
	ticker := time.NewTicker(d.cfg.Raft.HeartbeatInterval / 2)
	defer ticker.Stop()
	closing := d.replica.closing
	d.node.Tick(time.Now())
	for {
		if err := d.processReady(); err != nil {
			return err
		}
		if d.closeDue(time.Now()) {
			return nil
		}
		// A nil channel disables its case in the select statement.
		var batches chan<- batch
		if !d.pending.empty() {
			batches = d.batches
		}
		select {
		case <-ticker.C:
			d.tick(time.Now())
		case q := <-d.replica.requests:
			d.handleRequest(time.Now(), q)
		case m := <-d.replica.messages:
			d.node.Step(time.Now(), m)
		case batches <- d.pending:
			d.pending = batch{}
		case result := <-d.snapshots:
			if err := d.compact(result); err != nil {
				return err
			}
		case <-closing:
			closing = nil
			d.beginClose(time.Now())
		}
		d.drainQueues(time.Now())
	}
}

// drainQueues processes the inputs that are already queued, so that they share
// the next sync.
func (d *driver) drainQueues(now time.Time) {
	for range maxBatchedInputs {
		select {
		case q := <-d.replica.requests:
			d.handleRequest(now, q)
		case m := <-d.replica.messages:
			d.node.Step(now, m)
		default:
			return
		}
	}
}

// tick ticks the node and promotes learners that have caught up.
func (d *driver) tick(now time.Time) {
	d.node.Tick(now)
	if change, due := d.node.Promotion(now); due {
		// An error, such as that of a pending change, is ignored because the next
		// tick retries.
		_, _, _ = d.node.ProposeChange(now, change)
	}
}

func (d *driver) beginClose(now time.Time) {
	d.closeDeadline = now
	if d.node.TransferLeadership(now) {
		d.closeDeadline = now.Add(d.cfg.Raft.ElectionTimeout)
	}
}

func (d *driver) closeDue(now time.Time) bool {
	if d.closeDeadline.IsZero() {
		return false
	}
	return !now.Before(d.closeDeadline) || d.node.Role() != raft.RoleLeader
}

// handleRequest starts processing a client request.
func (d *driver) handleRequest(now time.Time, q *request) {
	if err := q.ctx.Err(); err != nil {
		q.finish(nil, err)
		return
	}
	var err error
	switch q.kind {
	case requestCommand:
		if len(d.pending.entries) >= d.cfg.QueueLength {
			err = raft.ErrBusy
			break
		}
		q.index, q.term, err = d.node.Propose(now, q.command)
	case requestChange:
		if d.changeInEffect(now, q.change) {
			q.finish(nil, nil)
			return
		}
		q.index, q.term, err = d.node.ProposeChange(now, q.change)
	case requestBarrier:
		d.nextRead++
		d.reads[d.nextRead] = q
		if err = d.node.ReadIndex(now, d.nextRead); err != nil {
			delete(d.reads, d.nextRead)
		}
	}
	if err != nil {
		q.finish(nil, d.translateError(err))
		return
	}
	if q.kind != requestBarrier {
		d.waiting[q.index] = q
	}
}

// changeInEffect reports whether a change, such as a repeated one, is already
// committed.
func (d *driver) changeInEffect(now time.Time, change raft.Change) bool {
	status := d.node.Status(now)
	if status.Role != raft.RoleLeader || status.ChangePending {
		return false
	}
	member := false
	for _, m := range status.Members {
		member = member || m.Member == change.Member
	}
	return member == (change.Kind == raft.AddLearner)
}

func (d *driver) translateError(err error) error {
	switch {
	case errors.Is(err, raft.ErrNotLeader):
		return d.notLeader()
	case errors.Is(err, raft.ErrBusy):
		return ErrBusy
	}
	return err
}

func (d *driver) notLeader() error {
	if d.suspended {
		return &NotLeaderError{}
	}
	return &NotLeaderError{leader: d.node.Leader().Host}
}

// processReady does the work that the node requests until none is left.
func (d *driver) processReady() error {
	for {
		ready := d.node.Ready()
		if ready.Empty() {
			break
		}
		if err := d.handleReady(ready); err != nil {
			return err
		}
		d.node.Advance(time.Now(), ready)
		d.resignAfterSuspension(time.Now())
	}
	d.reportLeadershipChange()
	d.publishStatus()
	return nil
}

func (d *driver) handleReady(ready raft.Ready) error {
	d.send(ready.Messages)
	if ready.MustSync {
		err := d.store(func() error {
			return d.storage.Save(ready.HardState, ready.Entries, ready.Snapshot)
		})
		if err != nil {
			return fmt.Errorf("save log: %w", err)
		}
	}
	d.send(ready.SyncedMessages)
	if ready.Snapshot != nil {
		d.restore(ready.Snapshot)
	}
	d.deliver(ready.Committed)
	for _, read := range ready.Reads {
		if q := d.reads[read.ID]; q != nil {
			delete(d.reads, read.ID)
			q.index = read.Index
			d.confirmed = append(d.confirmed, q)
		}
	}
	d.releaseBarriers()
	return nil
}

func (d *driver) send(messages []raft.Message) {
	for _, m := range messages {
		d.sender.Send(m.To.Host, m.Wire())
	}
}
