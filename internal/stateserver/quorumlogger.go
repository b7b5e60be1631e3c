package stateserver

import (
	"fmt"

	"github.com/apex/log"

	"oleanderramp/internal/event"
	"oleanderramp/internal/raft"
	"oleanderramp/internal/replica"
)

// QuorumLogger logs changes of the leader and of the members. It is not safe for
// concurrent use.
type QuorumLogger struct {
	log    log.Interface
	leader raft.Member
	// suspended reports whether the replica was suspended at the last call.
	suspended bool
	// isVoter holds for each member whether it is a voter.
	isVoter map[raft.Member]bool
}

// NewQuorumLogger returns a logger that knows no leader and no members yet.
func NewQuorumLogger(l log.Interface) *QuorumLogger { return &QuorumLogger{log: l} }

// LogChanges logs the changes since the last call.
func (q *QuorumLogger) LogChanges(status replica.Status) {
	q.logSuspension(status)
	if leader := status.Leader(); leader != q.leader && !q.suspended {
		q.leader = leader
		if leader.IsZero() {
			event.QuorumLost.Log(q.log, event.Fields{"term": status.Term()})
		} else {
			event.LeaderChanged.Log(q.log, event.Fields{"leader": leader.Host, "term": status.Term()})
		}
	}
	voters := make(map[raft.Member]bool)
	for _, m := range status.Members() {
		voters[m.Member] = m.Voter
		if before, known := q.isVoter[m.Member]; known && !before && m.Voter {
			event.ReplicaCaughtUp.Log(q.log, event.Fields{"peer": m.Member.Host, "replica": FormatReplicaID(m.Member.Replica)})
		}
	}
	for member := range q.isVoter {
		if _, remains := voters[member]; !remains {
			event.ReplicaRemoved.Log(q.log, event.Fields{"peer": member.Host, "replica": FormatReplicaID(member.Replica)})
		}
	}
	q.isVoter = voters
}

// logSuspension logs that the replica was suspended by a full disk, or takes
// part in the quorum again.
func (q *QuorumLogger) logSuspension(status replica.Status) {
	reason := status.Suspension()
	if suspended := reason != nil; suspended == q.suspended {
		return
	}
	q.suspended = reason != nil
	if q.suspended {
		event.ReplicaSuspended.Log(q.log, event.Fields{"error": reason.Error()})
		return
	}
	event.ReplicaResumed.Log(q.log, event.Fields{"term": status.Term()})
}

// FormatReplicaID returns the number of a replica in the form of logs and
// commands.
func FormatReplicaID(replica uint64) string { return fmt.Sprintf("%016x", replica) }
