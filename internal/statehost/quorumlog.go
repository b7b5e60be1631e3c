package statehost

import (
	"fmt"

	"github.com/apex/log"

	"oleanderramp/internal/event"
	"oleanderramp/internal/raft"
	"oleanderramp/internal/replica"
)

// QuorumLog logs changes of the leader and of the members. It is for one
// goroutine.
type QuorumLog struct {
	log    log.Interface
	leader raft.Member
	// voters holds each member, with true for those that vote.
	voters map[raft.Member]bool
}

// NewQuorumLog returns a log that knows no leader and no member.
func NewQuorumLog(l log.Interface) *QuorumLog { return &QuorumLog{log: l} }

// Note logs what has changed since the last call.
func (q *QuorumLog) Note(status replica.Status) {
	if leader := status.Leader(); leader != q.leader {
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
		if before, known := q.voters[m.Member]; known && !before && m.Voter {
			event.ReplicaCaughtUp.Log(q.log, event.Fields{"peer": m.Member.Host, "replica": ReplicaName(m.Member.Replica)})
		}
	}
	for member := range q.voters {
		if _, remains := voters[member]; !remains {
			event.ReplicaRemoved.Log(q.log, event.Fields{"peer": member.Host, "replica": ReplicaName(member.Replica)})
		}
	}
	q.voters = voters
}

// ReplicaName returns the number of a replica as logs and commands show it.
func ReplicaName(replica uint64) string { return fmt.Sprintf("%016x", replica) }
