package raft

import "time"

// progress is what a leader knows of a member's log.
type progress struct {
	member Member
	// match is the last index known to be synced at the member.
	match uint64
	// next is the index of the next entry to send; above match.
	next uint64
	// probing limits the leader to one append until the logs are known to
	// match at next-1.
	probing bool
	// paused says that a probe was sent and not answered.
	paused bool
	// inflight holds the last indexes of unanswered appends, ascending.
	inflight []uint64
	// lastActive is when the member was heard last.
	lastActive time.Time
	// ackedReadSequence is the last read sequence that the member answered.
	ackedReadSequence uint64
	transfer          snapshotTransfer
}

// snapshotTransfer is a snapshot under way to a member.
type snapshotTransfer struct {
	// snapshot has Index 0 when no transfer is under way.
	snapshot Snapshot
	offset   uint64
	// answered says that the last chunk was answered since the last heartbeat.
	answered bool
}

func (p *progress) sendingSnapshot() bool { return p.transfer.snapshot.Index != 0 }

// acknowledge notes that the member holds the log up to index.
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

// probe goes back to sending one append at a time from next.
func (p *progress) probe(next uint64) {
	p.next = max(next, p.match+1)
	p.probing = true
	p.paused = false
	p.inflight = nil
}
