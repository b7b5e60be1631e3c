package raft

import "time"

// progress is a leader's knowledge of a member's log.
type progress struct {
	member Member
	// match is the last index known to be synced at the member.
	match uint64
	// next is the index of the next entry to send. It is above match.
	next uint64
	// probing limits the leader to one append in flight until the logs are known
	// to match at next-1.
	probing bool
	// paused is set while a probe is unanswered.
	paused bool
	// inflight holds the last indexes of unacknowledged appends in ascending
	// order.
	inflight []uint64
	// lastActive is when the last message from the member arrived.
	lastActive time.Time
	// ackedReadSequence is the last read sequence that the member acknowledged.
	ackedReadSequence uint64
	transfer          snapshotTransfer
}

// snapshotTransfer is the state of a snapshot being sent to a member.
type snapshotTransfer struct {
	// snapshot has Index 0 when no transfer is in progress.
	snapshot Snapshot
	offset   uint64
	// acknowledged is set when a chunk was acknowledged since the last heartbeat.
	acknowledged bool
}

func (p *progress) sendingSnapshot() bool { return p.transfer.snapshot.Index != 0 }

// acknowledge records that the member's log matches up to index.
func (p *progress) acknowledge(index uint64) {
	if index > p.match {
		p.match = index
	}
	p.next = max(p.next, p.match+1)
	p.probing = false
	p.paused = false
	done := 0
	for done < len(p.inflight) && p.inflight[done] <= index {
		done++
	}
	p.inflight = p.inflight[done:]
	if p.sendingSnapshot() && p.match >= p.transfer.snapshot.Index {
		p.transfer = snapshotTransfer{}
	}
}

// probe switches back to sending one append at a time, starting at next.
func (p *progress) probe(next uint64) {
	p.next = max(next, p.match+1)
	p.probing = true
	p.paused = false
	p.inflight = nil
}
