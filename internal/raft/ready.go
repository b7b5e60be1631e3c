package raft

// output is what a node has to hand out in the next Ready.
type output struct {
	// stored is the hard state that is synced.
	stored     HardState
	beforeSync []Message
	afterSync  []Message
	snapshot   *Snapshot
	reads      []ReadState
	// appendsDue and confirm ask for appends and for heartbeats to all members,
	// which are made once for a whole batch of inputs.
	appendsDue    bool
	heartbeatsDue bool
}

// Ready is the work that a node asks for, in this order: send Messages, store
// and sync Snapshot, HardState and Entries, send SyncedMessages, restore the
// state machine from Snapshot, apply Committed, answer Reads once their index
// is applied.
type Ready struct {
	Messages []Message
	// Snapshot, when set, replaces the log and the state machine.
	Snapshot  *Snapshot
	HardState HardState
	// Entries go to the end of the stored log, after everything from the
	// first one's index on was dropped.
	Entries []Entry
	// SyncedMessages depend on what is stored.
	SyncedMessages []Message
	Committed      []Entry
	Reads          []ReadState
	// MustSync is false when there is nothing to store but a new commit index,
	// which may wait.
	MustSync bool
}

// Empty tells whether there is nothing to do.
func (r Ready) Empty() bool {
	return !r.MustSync && len(r.Messages) == 0 && len(r.SyncedMessages) == 0 && len(r.Committed) == 0 &&
		len(r.Reads) == 0
}

// maxCommittedBytes bounds the committed entries of one Ready.
const maxCommittedBytes = 4 << 20

// Ready returns the work to do. Advance must follow when it is done.
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

// flush makes the messages that a batch of inputs shares.
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

// Advance says that all work of the last Ready is done.
func (n *Node) Advance(r Ready) {
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
		n.advanceCommit(n.heartbeatDeadline)
	}
}

// send queues a message of the present term until the state is synced.
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

// sendBeforeSync queues a leader's message, which may overtake the sync of the
// leader's own entries, but not of its term.
func (n *Node) sendBeforeSync(m Message) {
	if n.term != n.output.stored.Term {
		n.send(m)
		return
	}
	m.From = n.cfg.Self
	m.Term = n.term
	n.output.beforeSync = append(n.output.beforeSync, m)
}
