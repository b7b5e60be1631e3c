package raft

import "time"

// output collects the content of the next Ready.
type output struct {
	// stored is the hard state that was last synced.
	stored     HardState
	beforeSync []Message
	afterSync  []Message
	snapshot   *Snapshot
	reads      []ReadState
	// appendsDue and heartbeatsDue request appends and heartbeats to all
	// members. These are sent once for a whole batch of inputs.
	appendsDue    bool
	heartbeatsDue bool
}

// Ready is the work that a node requests. The owner must, in this order: send
// Messages; store and sync Snapshot, HardState and Entries; send
// SyncedMessages; restore the state machine from Snapshot; apply Committed; and
// answer Reads once their index is applied.
type Ready struct {
	Messages []Message
	// Snapshot, when set, replaces the log and the state machine.
	Snapshot  *Snapshot
	HardState HardState
	// Entries are appended to the stored log. Stored entries at or after the
	// index of the first one are removed before.
	Entries []Entry
	// SyncedMessages must not be sent before the state is synced.
	SyncedMessages []Message
	Committed      []Entry
	Reads          []ReadState
	// MustSync is false when there is nothing to store except a new commit index,
	// which need not be stored at once.
	MustSync bool
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return !r.MustSync && len(r.Messages) == 0 && len(r.SyncedMessages) == 0 && len(r.Committed) == 0 &&
		len(r.Reads) == 0
}

// maxCommittedBytes limits the committed entries of one Ready.
const maxCommittedBytes = 4 << 20

// Ready returns the pending work. The caller must call Advance when it is done.
func (n *Node) Ready() Ready {
	n.flush()
	r := Ready{
		Messages:       n.output.beforeSync,
		Snapshot:       n.output.snapshot,
		Entries:        n.log.slice(n.log.stable+1, n.log.lastIndex(), maxInt),
		SyncedMessages: n.output.afterSync,
		Committed:      n.log.slice(n.log.delivered+1, n.log.commit, maxCommittedBytes),
		Reads:          n.output.reads,
	}
	r.HardState = n.hardState()
	r.MustSync = r.Snapshot != nil || len(r.Entries) > 0 ||
		r.HardState.Term != n.output.stored.Term || r.HardState.Vote != n.output.stored.Vote
	return r
}

// flush queues the appends and heartbeats that are due for a batch of inputs.
func (n *Node) flush() {
	if n.role == RoleLeader {
		if n.output.appendsDue {
			n.broadcastAppends()
		}
		if n.output.heartbeatsDue {
			n.confirmReads()
			n.sendHeartbeats()
		}
	}
	n.output.appendsDue = false
	n.output.heartbeatsDue = false
}

// Advance reports to the node that all work of the last Ready is done.
func (n *Node) Advance(now time.Time, r Ready) {
	n.output.beforeSync = nil
	n.output.afterSync = nil
	n.output.snapshot = nil
	n.output.reads = nil
	if r.MustSync {
		n.output.stored = r.HardState
	}
	if len(r.Entries) > 0 {
		withheld := n.promoteAllIndex > n.log.stable
		n.log.stable = r.Entries[len(r.Entries)-1].Index
		n.output.appendsDue = n.output.appendsDue || withheld && n.promoteAllIndex <= n.log.stable
	}
	if len(r.Committed) > 0 {
		n.log.delivered = r.Committed[len(r.Committed)-1].Index
	}
	if n.role == RoleLeader {
		n.advanceCommit(now)
	}
}

// send queues a message of the current term, to be sent after the state is
// synced.
func (n *Node) send(m Message) { n.sendInTerm(n.term, m) }

func (n *Node) sendInTerm(term uint64, m Message) {
	m.From = n.cfg.Self
	m.Term = term
	if n.faults.answerBeforeSync {
		n.output.beforeSync = append(n.output.beforeSync, m)
		return
	}
	n.output.afterSync = append(n.output.afterSync, m)
}

// sendBeforeSync queues a leader's message that may be sent before the leader's
// own entries are synced, but not before its term is.
func (n *Node) sendBeforeSync(m Message) {
	if n.term != n.output.stored.Term {
		n.send(m)
		return
	}
	m.From = n.cfg.Self
	m.Term = n.term
	n.output.beforeSync = append(n.output.beforeSync, m)
}
