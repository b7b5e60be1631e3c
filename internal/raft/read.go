package raft

import "time"

// read is a linearizable read that waits for confirmation of the leadership.
type read struct {
	id uint64
	// index is the commit index that the read must observe.
	index uint64
	// sequence is the heartbeat round that confirms the leadership.
	sequence uint64
}

// readQueue holds the reads of a leader.
type readQueue struct {
	// sequence numbers the heartbeat rounds.
	sequence uint64
	// deferred holds the ids of reads that arrived before an entry of the
	// leader's term was committed.
	deferred []uint64
	// waiting is sorted by sequence.
	waiting []read
}

// ReadState confirms a read, which may run once Index is applied.
type ReadState struct {
	ID    uint64
	Index uint64
}

// ReadIndex requests the index that a linearizable read must observe. A later
// Ready returns it. When the leader steps down, its pending reads are never
// answered.
func (n *Node) ReadIndex(_ time.Time, id uint64) error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if !n.log.matches(n.log.commit, n.term) {
		n.reads.deferred = append(n.reads.deferred, id)
		return nil
	}
	n.startRead(id)
	return nil
}

func (n *Node) startRead(id uint64) {
	if n.faults.readWithoutQuorum {
		n.output.reads = append(n.output.reads, ReadState{ID: id, Index: n.log.commit})
		return
	}
	if !n.output.heartbeatsDue {
		n.reads.sequence++
		n.output.heartbeatsDue = true
	}
	n.reads.waiting = append(n.reads.waiting, read{
		id: id, index: n.log.commit, sequence: n.reads.sequence,
	})
}

// startDeferredReads starts the deferred reads once an entry of the leader's
// term is committed.
func (n *Node) startDeferredReads() {
	if len(n.reads.deferred) == 0 || !n.log.matches(n.log.commit, n.term) {
		return
	}
	deferred := n.reads.deferred
	n.reads.deferred = nil
	for _, id := range deferred {
		n.startRead(id)
	}
}

// confirmReads confirms the reads whose heartbeat round a majority has
// acknowledged.
func (n *Node) confirmReads() {
	done := 0
	for done < len(n.reads.waiting) && n.roundConfirmed(n.reads.waiting[done].sequence) {
		r := n.reads.waiting[done]
		n.output.reads = append(n.output.reads, ReadState{ID: r.id, Index: r.index})
		done++
	}
	n.reads.waiting = n.reads.waiting[done:]
}

func (n *Node) roundConfirmed(sequence uint64) bool {
	count := 0
	for _, voter := range n.configuration.Voters {
		p := n.progress(voter)
		if voter == n.cfg.Self || p != nil && p.ackedReadSequence >= sequence {
			count++
		}
	}
	return count >= n.configuration.majority()
}
