package raft_test

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"oleanderramp/internal/raft"
)

// checkState checks state machine safety: peers that applied the same index have
// the same state.
func (s *simulation) checkState(p *simPeer) {
	checksum, known := s.checksums[p.state.index]
	if known && checksum != p.state.checksum {
		s.fail("%v applied a different log up to index %d", p.member, p.state.index)
	}
	s.checksums[p.state.index] = p.state.checksum
}

// recordEntries checks log matching: entries with equal index and term have
// equal content and are preceded by entries of equal term.
func (s *simulation) recordEntries(entries []raft.Entry, previous uint64) {
	for _, e := range entries {
		content := fmt.Sprintf("%d %q %v", previous, e.Command, e.Configuration)
		at := position{e.Index, e.Term}
		if known, ok := s.contents[at]; ok && known != content {
			s.fail("two different entries at index %d of term %d", e.Index, e.Term)
		}
		s.contents[at] = content
		previous = e.Term
	}
}

// checkDurable checks that a majority has synced an entry that a leader reports
// as committed.
func (s *simulation) checkDurable(p *simPeer, e raft.Entry) {
	if _, known := s.committed[e.Index]; known || p.node.Status(s.now).Role != raft.RoleLeader {
		return
	}
	voters, holders := configurationOf(p).Voters, 0
	for _, m := range voters {
		if s.synced[storedEntry{m, position{e.Index, e.Term}}] || s.installed[m] >= e.Index {
			holders++
		}
	}
	if holders <= len(voters)/2 {
		s.fail("%v committed entry %d, which %d of %d voters had synced", p.member, e.Index, holders, len(voters))
	}
}

func (s *simulation) recordCommitted(e raft.Entry) {
	if _, known := s.committed[e.Index]; !known {
		s.commits++
		s.committed[e.Index] = e.Term
		// A write without a response took effect once it is committed.
		if op, ok := s.written[position{e.Index, e.Term}]; ok && s.history[op].Return == pendingReturn {
			s.history[op].Return = s.tick()
		}
		if e.Configuration != nil {
			s.changes++
			s.grown = s.grown || len(e.Configuration.Voters) >= s.targetVoters
		}
	}
}

// checkLeader checks election safety and leader completeness.
func (s *simulation) checkLeader(p *simPeer) {
	if p.node == nil {
		return
	}
	status := p.node.Status(s.now)
	if status.Role != raft.RoleLeader {
		return
	}
	known, ok := s.leaders[status.Term]
	if ok {
		if known != p.member {
			s.fail("term %d has two leaders, %v and %v", status.Term, known, p.member)
		}
		return
	}
	s.leaders[status.Term] = p.member
	s.elections++
	for index, term := range s.committed {
		if index <= p.stored.Snapshot.Index || term >= status.Term {
			continue
		}
		at := index - p.stored.Snapshot.Index - 1
		if at >= uint64(len(p.stored.Entries)) || p.stored.Entries[at].Term != term {
			s.fail("leader %v of term %d lacks the committed entry %d", p.member, status.Term, index)
		}
	}
}

// registerInput is an operation on the register.
type registerInput struct {
	read  bool
	value int
}

var registerModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		in := input.(registerInput)
		if in.read {
			return output.(int) == state.(int), state
		}
		return true, in.value
	},
}

// pendingReturn is the return time of an operation without a response.
const pendingReturn = int64(1) << 60

// checkHistory checks that the reads and writes are linearizable. It runs after
// all faults have ended, so a write without a response that is not committed by
// now never will be.
func (s *simulation) checkHistory() {
	var history []porcupine.Operation
	for _, op := range s.history {
		if op.Return == pendingReturn {
			continue
		}
		history = append(history, op)
	}
	result := porcupine.CheckOperationsTimeout(registerModel, history, 10*time.Second)
	if result != porcupine.Ok {
		s.fail("history of %d operations: %v", len(history), result)
	}
}
