package replica

import (
	"errors"
	"time"

	"oleanderramp/internal/raft"
)

// storeRetryInterval is the time between attempts to write to a full disk.
const storeRetryInterval = 100 * time.Millisecond

// errClosed ends the driver when the replica is closed while it is suspended.
var errClosed = errors.New("the replica was closed while its disk was full")

// retryableError is implemented by errors of the storage.
type retryableError interface {
	error
	// Retryable reports whether the stored log is as before the call, and the
	// same call may succeed later.
	Retryable() bool
}

func isRetryable(err error) bool {
	var failure retryableError
	return errors.As(err, &failure) && failure.Retryable()
}

// store calls write. While that fails with a retryable error, the replica is
// suspended: it sends no message, so that for the other replicas it has stopped,
// and it refuses requests. Entries that were committed before are still applied.
func (d *driver) store(write func() error) error {
	err := write()
	if !isRetryable(err) {
		return err
	}
	d.suspend(err)
	ticker := time.NewTicker(storeRetryInterval)
	defer ticker.Stop()
	for {
		var batches chan<- batch
		if !d.pending.empty() {
			batches = d.batches
		}
		select {
		case <-ticker.C:
			if err := write(); !isRetryable(err) {
				return err
			}
		case q := <-d.replica.requests:
			q.finish(nil, d.notLeader())
		case <-d.replica.messages:
			// Raft allows for lost messages.
		case batches <- d.pending:
			d.pending = batch{}
		case <-d.replica.closing:
			return errClosed
		}
	}
}

// suspend reports that the replica doesn't lead, and why, and fails the requests
// that wait for it.
func (d *driver) suspend(reason error) {
	d.suspended = true
	d.role, d.leader = raft.RoleFollower, raft.Member{}
	status := *d.replica.status.Load()
	status.raft.Role, status.raft.Leader = d.role, d.leader
	status.suspension = reason
	d.replica.status.Store(&status)
	if d.cfg.OnChange != nil {
		d.cfg.OnChange(d.replica.Status())
	}
	d.failLeaderRequests()
	for _, q := range d.confirmed {
		q.finish(nil, d.notLeader())
	}
	d.confirmed = nil
}

// resignAfterSuspension gives up the leadership after a suspension, because the
// requests of the leader have failed and another replica may lead by now.
func (d *driver) resignAfterSuspension(now time.Time) {
	if !d.suspended {
		return
	}
	d.suspended = false
	d.node.Resign(now)
}
