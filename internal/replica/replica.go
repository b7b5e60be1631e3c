// Package replica runs one replica of the replicated log: it connects a raft
// node with a storage and a sender, and applies committed commands to a state
// machine.
package replica

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"oleanderramp/internal/raft"
	"oleanderramp/internal/wire"
)

// Config holds the parameters of a replica.
type Config struct {
	// Raft holds the parameters of the raft node. Self is set from the storage.
	Raft raft.Config
	// Bootstrap lists the members of a new quorum, including this replica. It is
	// used only when the storage is empty.
	Bootstrap []raft.Member
	// Join makes a replica with an empty storage wait until it is added to an
	// existing quorum.
	Join bool
	// SnapshotBytes is the size of the commands since the last snapshot at which
	// a new snapshot is made.
	SnapshotBytes int
	// KeepEntries is the number of entries before a snapshot that stay in memory
	// for slow members.
	KeepEntries uint64
	// OnChange, when set, is called on each change of role, term or leader. It
	// must not block.
	OnChange func(Status)
	// QueueLength is the capacity of each queue: of requests, of messages from
	// other replicas, and of committed entries that wait for the applier.
	QueueLength int
}

const (
	defaultSnapshotBytes = 4 << 20
	defaultKeepEntries   = 256
	defaultQueueLength   = 4096

	changeRetryInterval = 20 * time.Millisecond
)

// Defaults sets unset fields to their defaults.
func (c *Config) Defaults() {
	c.Raft.Defaults()
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = defaultSnapshotBytes
	}
	if c.KeepEntries == 0 {
		c.KeepEntries = defaultKeepEntries
	}
	if c.QueueLength == 0 {
		c.QueueLength = defaultQueueLength
	}
}

// Replica is a running replica. Its methods are safe for concurrent use.
type Replica struct {
	self     raft.Member
	requests chan *request
	messages chan raft.Message
	status   atomic.Pointer[Status]
	// applied is the index of the last applied entry.
	applied atomic.Uint64

	closing   chan struct{}
	closeOnce sync.Once
	// done is closed when the driver has ended. failure is set before that.
	done    chan struct{}
	failure error
	group   sync.WaitGroup
}

// New starts a replica. On success the replica owns the storage, and Close
// closes it.
func New(cfg Config, storage Storage, machine Machine, sender Sender) (*Replica, error) {
	cfg.Defaults()
	cfg.Raft.Self = storage.Identity()
	stored, err := loadOrBootstrap(cfg, storage)
	if err != nil {
		return nil, err
	}
	if stored.Snapshot.Index > 0 {
		if err := machine.Restore(stored.Snapshot.Data); err != nil {
			return nil, fmt.Errorf("restore snapshot %d: %w", stored.Snapshot.Index, err)
		}
	}
	node, err := raft.New(time.Now(), cfg.Raft, stored)
	if err != nil {
		return nil, fmt.Errorf("replica: %w", err)
	}
	r := &Replica{
		self:     cfg.Raft.Self,
		requests: make(chan *request, cfg.QueueLength),
		messages: make(chan raft.Message, cfg.QueueLength),
		closing:  make(chan struct{}),
		done:     make(chan struct{}),
	}
	r.applied.Store(stored.Snapshot.Index)
	r.start(cfg, storage, machine, sender, node)
	return r, nil
}

// loadOrBootstrap returns the stored log, or the initial log of a new quorum.
func loadOrBootstrap(cfg Config, storage Storage) (raft.Stored, error) {
	stored := storage.Load()
	empty := stored.HardState == raft.HardState{} && stored.Snapshot.Index == 0 && len(stored.Entries) == 0
	if !empty || cfg.Join {
		return stored, nil
	}
	if !slices.Contains(cfg.Bootstrap, cfg.Raft.Self) {
		return stored, fmt.Errorf("the data folder is empty and %v is not an initial member: set Join", cfg.Raft.Self)
	}
	stored = raft.Bootstrap(cfg.Bootstrap)
	if err := storage.Save(stored.HardState, stored.Entries, nil); err != nil {
		return stored, fmt.Errorf("bootstrap: %w", err)
	}
	return stored, nil
}

// start starts the driver and the applier.
func (r *Replica) start(cfg Config, storage Storage, machine Machine, sender Sender, node *raft.Node) {
	batches := make(chan batch)
	// Capacity for a snapshot and a subsequent failure of the applier.
	snapshots := make(chan snapshotResult, 2)
	d := newDriver(r, cfg, storage, sender, node, batches, snapshots)
	a := &applier{machine: machine, applied: &r.applied, snapshots: snapshots}
	d.publishStatus()
	r.group.Add(2)
	go func() {
		defer r.group.Done()
		defer close(batches)
		err := d.run()
		if errors.Is(err, errClosed) {
			err = nil
		}
		r.failure = errors.Join(err, storage.Close())
		close(r.done)
		d.failWaiting()
		r.drainRequests()
	}()
	go func() {
		defer r.group.Done()
		a.run(batches)
	}()
}

// Self returns the replica's identity.
func (r *Replica) Self() raft.Member { return r.self }

// Propose commits a command, which must not be empty, through the quorum and
// returns the result of Machine.Apply. The errors *NotLeaderError, ErrBusy,
// ErrStopped and raft.ErrTooLarge mean that the command was not accepted. After
// ErrOutcomeUnknown or the error of ctx it may still be committed.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return r.submit(ctx, &request{kind: requestCommand, command: command})
}

// Barrier returns once the machine has applied everything that was committed
// before the call. It returns the same errors as Propose.
func (r *Replica) Barrier(ctx context.Context) error {
	_, err := r.submit(ctx, &request{kind: requestBarrier})
	return err
}

// AddReplica adds a learner, which is promoted to voter automatically once it
// holds the whole committed log; see Status. It returns when the learner is
// added. It is idempotent.
func (r *Replica) AddReplica(ctx context.Context, member raft.Member) error {
	return r.change(ctx, raft.Change{Kind: raft.AddLearner, Member: member})
}

// RemoveReplica removes a member from the quorum, which requires a majority of
// the remaining voters. It is idempotent. It returns raft.ErrInvalidChange when
// no voter would remain, and raft.ErrNoMajority when the remaining voters that
// respond would not form a majority.
func (r *Replica) RemoveReplica(ctx context.Context, member raft.Member) error {
	return r.change(ctx, raft.Change{Kind: raft.Remove, Member: member})
}

// change commits a membership change, and retries while an earlier one is not
// committed.
func (r *Replica) change(ctx context.Context, change raft.Change) error {
	ticker := time.NewTicker(changeRetryInterval)
	defer ticker.Stop()
	for {
		_, err := r.submit(ctx, &request{kind: requestChange, change: change})
		if !errors.Is(err, raft.ErrChangePending) {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *Replica) submit(ctx context.Context, q *request) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	q.ctx = ctx
	q.done = make(chan response, 1)
	select {
	case <-r.done:
		return nil, r.stoppedError()
	case <-r.closing:
		return nil, ErrStopped
	default:
	}
	select {
	case r.requests <- q:
	default:
		return nil, ErrBusy
	}
	select {
	case response := <-q.done:
		return response.result, response.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.done:
		return r.outcomeAfterStop(q)
	}
}

// outcomeAfterStop returns the outcome of a request that was pending when the
// driver ended.
func (r *Replica) outcomeAfterStop(q *request) ([]byte, error) {
	select {
	case response := <-q.done:
		return response.result, response.err
	default:
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, r.stoppedError())
	}
}

func (r *Replica) stoppedError() error {
	if r.failure == nil {
		return ErrStopped
	}
	return fmt.Errorf("%w: %w", ErrStopped, r.failure)
}

// drainRequests fails the queued requests that the driver did not process.
func (r *Replica) drainRequests() {
	for {
		select {
		case q := <-r.requests:
			q.finish(nil, r.stoppedError())
		default:
			return
		}
	}
}

// Receive queues a message from another replica. Malformed messages, and
// messages that arrive when the queue is full, are dropped.
func (r *Replica) Receive(message *wire.RaftMessage) {
	m, err := raft.MessageFromWire(message)
	if err != nil || m.To != r.self {
		return
	}
	select {
	case r.messages <- m:
	default:
	}
}

// Done returns a channel that is closed when the replica has stopped, either by
// Close or by a failure.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns the failure that stopped the replica, or nil while it runs.
func (r *Replica) Err() error {
	select {
	case <-r.done:
		return r.failure
	default:
		return nil
	}
}

// Close transfers the leadership if possible, stops the replica, waits for its
// goroutines and closes the storage. It returns the failure that stopped the
// replica, or the error of closing the storage, if any.
func (r *Replica) Close() error {
	r.closeOnce.Do(func() { close(r.closing) })
	r.group.Wait()
	return r.failure
}
