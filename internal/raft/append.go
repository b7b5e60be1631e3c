package raft

import (
	"slices"
	"time"
)

// Propose appends a command to the leader's log and returns its position. The
// command is committed once a Ready returns an entry with that index and term.
// If the committed entry at that index has another term, the command is never
// committed.
func (n *Node) Propose(now time.Time, command []byte) (index, term uint64, err error) {
	if n.role != RoleLeader || !n.transferee.IsZero() {
		return 0, 0, ErrNotLeader
	}
	if len(command) > n.cfg.MaxEntryBytes {
		return 0, 0, ErrTooLarge
	}
	if n.uncommitted >= n.cfg.MaxUncommittedBytes {
		return 0, 0, ErrBusy
	}
	return n.appendEntry(now, Entry{Command: command}), n.term, nil
}

// appendEntry appends an entry to the leader's own log.
func (n *Node) appendEntry(now time.Time, e Entry) uint64 {
	e.Index = n.log.lastIndex() + 1
	e.Term = n.term
	n.log.append(e)
	n.uncommitted += e.size()
	if e.Configuration != nil {
		n.adoptConfiguration(*e.Configuration, e.Index)
		n.updateMembers(now)
	}
	n.output.appendsDue = true
	return e.Index
}

func (n *Node) adoptConfiguration(c Configuration, index uint64) {
	n.configuration = c
	n.configurationIndex = index
}

// updateMembers updates the progress list to match the configuration.
func (n *Node) updateMembers(now time.Time) {
	known := n.members
	n.members = nil
	for _, member := range n.configuration.Members() {
		if member == n.cfg.Self {
			continue
		}
		at := slices.IndexFunc(known, func(p *progress) bool { return p.member == member })
		if at >= 0 {
			n.members = append(n.members, known[at])
			continue
		}
		n.members = append(n.members, &progress{
			member: member, next: n.log.lastIndex() + 1, probing: true, lastActive: now,
		})
	}
}

func (n *Node) progress(member Member) *progress {
	for _, p := range n.members {
		if p.member == member {
			return p
		}
	}
	return nil
}

// broadcastAppends sends each member the entries that it lacks.
func (n *Node) broadcastAppends() {
	for _, p := range n.members {
		n.sendAppends(p)
	}
}

// lastToSend returns the last index that may be sent to members. A PromoteAll
// entry is withheld until the sole voter has synced it. Otherwise the new voters
// could commit without the sole voter, which after a crash would continue as a
// quorum of its own.
func (n *Node) lastToSend() uint64 {
	if n.promoteAllIndex > n.log.stable {
		return n.promoteAllIndex - 1
	}
	return n.log.lastIndex()
}

// sendAppends sends the entries from p.next on, up to the limit of appends in
// flight.
func (n *Node) sendAppends(p *progress) {
	for !p.paused && !p.sendingSnapshot() && len(p.inflight) < n.cfg.MaxInflight {
		if p.next > n.lastToSend() && !p.probing {
			return
		}
		n.sendAppend(p)
	}
}

// sendAppend sends one append, which may be empty.
func (n *Node) sendAppend(p *progress) {
	previous := p.next - 1
	term, found := n.log.term(previous)
	if !found {
		n.startSnapshot(p)
		return
	}
	entries := n.log.slice(p.next, n.lastToSend(), n.cfg.MaxMessageBytes)
	n.sendBeforeSync(Message{
		Kind:     KindAppend,
		To:       p.member,
		LogIndex: previous,
		LogTerm:  term,
		Entries:  entries,
		Commit:   n.log.commit,
	})
	if p.probing {
		p.paused = true
		return
	}
	if len(entries) > 0 {
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, p.next-1)
	}
}

func (n *Node) sendHeartbeats() {
	for _, p := range n.members {
		n.sendBeforeSync(Message{
			Kind:         KindHeartbeat,
			To:           p.member,
			Commit:       min(p.match, n.log.commit),
			ReadSequence: n.reads.sequence,
		})
	}
}

func (n *Node) handleHeartbeat(m Message) {
	n.commitTo(min(m.Commit, n.log.lastIndex()))
	n.send(Message{Kind: KindHeartbeatResponse, To: m.From, ReadSequence: m.ReadSequence})
}

// handleAppend processes entries from the leader.
func (n *Node) handleAppend(m Message) {
	if m.LogIndex < n.log.commit {
		n.send(Message{Kind: KindAppendResponse, To: m.From, LogIndex: n.log.commit})
		return
	}
	if !n.log.matches(m.LogIndex, m.LogTerm) {
		n.rejectAppend(m)
		return
	}
	if !n.storeEntries(m.Entries) {
		return
	}
	last := m.LogIndex + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, last))
	n.send(Message{Kind: KindAppendResponse, To: m.From, LogIndex: last})
}

// rejectAppend rejects an append with a hint where the logs may match: before
// the first entry of the term that conflicts.
func (n *Node) rejectAppend(m Message) {
	hint := n.log.lastIndex()
	if m.LogIndex <= hint {
		hint = max(n.log.firstOfTerm(m.LogIndex)-1, n.log.commit)
	}
	n.send(Message{
		Kind: KindAppendResponse, To: m.From, Reject: true, LogIndex: m.LogIndex, Hint: hint,
	})
}

// storeEntries appends missing entries and removes conflicting ones. It returns
// false when a conflicting entry is committed, or when the entries leave a gap.
func (n *Node) storeEntries(entries []Entry) bool {
	for i, e := range entries {
		if n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.log.commit || e.Index > n.log.lastIndex()+1 {
			return false
		}
		if e.Index <= n.log.lastIndex() {
			n.log.truncate(e.Index - 1)
			n.adoptConfiguration(n.log.configurationAt(n.log.lastIndex()))
		}
		n.log.append(entries[i:]...)
		for _, added := range entries[i:] {
			if added.Configuration != nil {
				n.adoptConfiguration(*added.Configuration, added.Index)
			}
		}
		return true
	}
	return true
}

// handleResponse processes a member's response at the leader.
func (n *Node) handleResponse(now time.Time, m Message) {
	p := n.progress(m.From)
	if n.role != RoleLeader || p == nil {
		return
	}
	p.lastActive = now
	switch m.Kind {
	case KindAppendResponse:
		n.handleAppendResponse(now, p, m)
	case KindHeartbeatResponse:
		n.handleHeartbeatResponse(p, m)
	case KindSnapshotResponse:
		n.handleSnapshotResponse(p, m)
	}
}

func (n *Node) handleAppendResponse(now time.Time, p *progress, m Message) {
	if m.Reject {
		stale := m.LogIndex <= p.match || p.probing && m.LogIndex != p.next-1
		if stale || p.sendingSnapshot() {
			return
		}
		p.probe(min(m.LogIndex, m.Hint+1))
		n.sendAppends(p)
		return
	}
	if m.LogIndex > n.log.lastIndex() {
		return
	}
	p.acknowledge(m.LogIndex)
	n.advanceCommit(now)
	n.sendAppends(p)
}

func (n *Node) handleHeartbeatResponse(p *progress, m Message) {
	p.ackedReadSequence = max(p.ackedReadSequence, m.ReadSequence)
	n.confirmReads()
	p.paused = false
	if p.sendingSnapshot() {
		n.resendChunk(p)
		return
	}
	if p.match < n.log.lastIndex() {
		// Detects whether earlier appends were lost.
		n.sendAppend(p)
	}
}
