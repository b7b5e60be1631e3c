package raft

import (
	"fmt"
)

// incomingSnapshot is a partially received snapshot.
type incomingSnapshot struct {
	from  Member
	index uint64
	term  uint64
	data  []byte
}

// Compact replaces the applied log up to and including index with a snapshot of
// the given data. It returns the snapshot, which the caller must store. The last
// keep entries up to index stay in memory for slow members.
func (n *Node) Compact(index uint64, data []byte, keep uint64) (Snapshot, error) {
	if index <= n.log.snapshot.Index || index > n.log.delivered {
		return Snapshot{}, fmt.Errorf("snapshot index %d is outside the range %d..%d",
			index, n.log.snapshot.Index+1, n.log.delivered)
	}
	term, _ := n.log.term(index)
	configuration, _ := n.log.configurationAt(index)
	snapshot := Snapshot{Index: index, Term: term, Configuration: configuration, Data: data}
	n.log.snapshot = snapshot
	if index > keep {
		n.log.compact(index - keep)
	}
	return snapshot, nil
}

// startSnapshot starts sending the latest snapshot in place of entries that are
// no longer in memory.
func (n *Node) startSnapshot(p *progress) {
	p.transfer = snapshotTransfer{snapshot: n.log.snapshot}
	p.inflight = nil
	n.sendChunk(p)
}

func (n *Node) sendChunk(p *progress) {
	s := p.transfer.snapshot
	end := min(uint64(len(s.Data)), p.transfer.offset+uint64(n.cfg.MaxMessageBytes))
	n.sendBeforeSync(Message{
		Kind:     KindSnapshot,
		To:       p.member,
		LogIndex: s.Index,
		LogTerm:  s.Term,
		Chunk: &SnapshotChunk{
			Offset:        p.transfer.offset,
			Data:          s.Data[p.transfer.offset:end],
			Total:         uint64(len(s.Data)),
			Configuration: s.Configuration,
		},
	})
}

// resendChunk resends a chunk that was not acknowledged within a heartbeat
// interval.
func (n *Node) resendChunk(p *progress) {
	if !p.transfer.acknowledged {
		n.sendChunk(p)
	}
	p.transfer.acknowledged = false
}

func (n *Node) handleSnapshotResponse(p *progress, m Message) {
	if !p.sendingSnapshot() || m.LogIndex != p.transfer.snapshot.Index || m.Chunk == nil {
		return
	}
	if m.Chunk.Offset > uint64(len(p.transfer.snapshot.Data)) || m.Chunk.Offset == p.transfer.offset {
		return
	}
	p.transfer.offset = m.Chunk.Offset
	p.transfer.acknowledged = true
	n.sendChunk(p)
}

// handleSnapshot collects the chunks of a snapshot and installs the snapshot
// when it is complete.
func (n *Node) handleSnapshot(m Message) {
	if m.Chunk == nil {
		return
	}
	if m.LogIndex <= n.log.commit {
		n.send(Message{Kind: KindAppendResponse, To: m.From, LogIndex: n.log.commit})
		return
	}
	in := &n.incoming
	if in.from != m.From || in.index != m.LogIndex || in.term != m.LogTerm {
		*in = incomingSnapshot{from: m.From, index: m.LogIndex, term: m.LogTerm}
	}
	if m.Chunk.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Chunk.Data...)
	}
	if uint64(len(in.data)) < m.Chunk.Total {
		n.send(Message{
			Kind: KindSnapshotResponse, To: m.From, LogIndex: m.LogIndex,
			Chunk: &SnapshotChunk{Offset: uint64(len(in.data))},
		})
		return
	}
	n.installSnapshot(Snapshot{
		Index: m.LogIndex, Term: m.LogTerm, Configuration: m.Chunk.Configuration, Data: in.data,
	})
	n.incoming = incomingSnapshot{}
	n.send(Message{Kind: KindAppendResponse, To: m.From, LogIndex: m.LogIndex})
}

// installSnapshot replaces the log with the snapshot. When the log already
// contains the snapshot's last entry, it only advances the commit index.
func (n *Node) installSnapshot(snapshot Snapshot) {
	if n.log.matches(snapshot.Index, snapshot.Term) {
		n.commitTo(snapshot.Index)
		return
	}
	n.log.restore(snapshot)
	n.adoptConfiguration(snapshot.Configuration, snapshot.Index)
	n.output.snapshot = &snapshot
}
