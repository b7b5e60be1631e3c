package replica

import (
	"time"

	"oleanderramp/internal/raft"
)

// Status is the state of a replica.
type Status struct {
	raft raft.Status
	// applied is the index of the last applied entry.
	applied uint64
	// suspension is the error for which the replica is suspended, or nil.
	suspension error
}

// Self returns the replica's identity.
func (s Status) Self() raft.Member { return s.raft.Self }

// Term returns the current term.
func (s Status) Term() uint64 { return s.raft.Term }

// IsLeader reports whether the replica is the leader.
func (s Status) IsLeader() bool { return s.raft.Role == raft.RoleLeader }

// Role returns the role of the replica in its current term.
func (s Status) Role() raft.Role { return s.raft.Role }

// Leader returns the leader; zero when unknown.
func (s Status) Leader() raft.Member { return s.raft.Leader }

// Suspension returns the error of the full disk for which the replica takes no
// part in the quorum, or nil.
func (s Status) Suspension() error { return s.suspension }

// Commit returns the index of the last entry known to be committed.
func (s Status) Commit() uint64 { return s.raft.Commit }

// Applied returns the index of the last applied entry.
func (s Status) Applied() uint64 { return s.applied }

// LastIndex returns the index of the last entry of the log.
func (s Status) LastIndex() uint64 { return s.raft.LastIndex }

// Members returns the members of the quorum as far as they are known. Only the
// leader knows how far each member's log matches.
func (s Status) Members() []raft.MemberStatus { return s.raft.Members }

// ChangePending reports whether a membership change is not committed yet.
func (s Status) ChangePending() bool { return s.raft.ChangePending }

// ToleratedFailures returns how many voters may fail while a majority remains
// that responds and holds the whole committed log. It is negative when there is
// no such majority. Only the leader knows it.
func (s Status) ToleratedFailures() int { return s.raft.ToleratedFailures() }

// Status returns the current status.
func (r *Replica) Status() Status {
	s := *r.status.Load()
	s.applied = r.applied.Load()
	return s
}

func (d *driver) publishStatus() {
	d.replica.status.Store(&Status{raft: d.node.Status(time.Now())})
}
