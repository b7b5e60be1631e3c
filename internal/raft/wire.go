package raft

import (
	"errors"
	"fmt"

	"oleanderramp/internal/wire"
)

// ErrBadMessage is returned for a message that violates the protocol.
var ErrBadMessage = errors.New("malformed replication message")

// Wire returns the message as its protobuf type. Commands and data are shared.
func (m Message) Wire() *wire.RaftMessage {
	w := &wire.RaftMessage{
		Kind:         wire.RaftKind(m.Kind),
		From:         MemberToWire(m.From),
		To:           MemberToWire(m.To),
		Term:         m.Term,
		LogIndex:     m.LogIndex,
		LogTerm:      m.LogTerm,
		Entries:      EntriesToWire(m.Entries),
		Commit:       m.Commit,
		Reject:       m.Reject,
		Hint:         m.Hint,
		ReadSequence: m.ReadSequence,
		Transfer:     m.Transfer,
	}
	if m.Chunk != nil {
		w.Chunk = &wire.RaftSnapshotChunk{
			Offset:        m.Chunk.Offset,
			Data:          m.Chunk.Data,
			Total:         m.Chunk.Total,
			Configuration: ConfigurationToWire(m.Chunk.Configuration),
		}
	}
	return w
}

// MessageFromWire validates and converts a message. It returns ErrBadMessage
// when the message violates the protocol.
func MessageFromWire(w *wire.RaftMessage) (Message, error) {
	m := Message{
		Kind:         Kind(w.GetKind()),
		From:         MemberFromWire(w.GetFrom()),
		To:           MemberFromWire(w.GetTo()),
		Term:         w.GetTerm(),
		LogIndex:     w.GetLogIndex(),
		LogTerm:      w.GetLogTerm(),
		Entries:      EntriesFromWire(w.GetEntries()),
		Commit:       w.GetCommit(),
		Reject:       w.GetReject(),
		Hint:         w.GetHint(),
		ReadSequence: w.GetReadSequence(),
		Transfer:     w.GetTransfer(),
	}
	if c := w.GetChunk(); c != nil {
		m.Chunk = &SnapshotChunk{
			Offset:        c.GetOffset(),
			Data:          c.GetData(),
			Total:         c.GetTotal(),
			Configuration: ConfigurationFromWire(c.GetConfiguration()),
		}
	}
	if w.GetKind() < wire.RaftKind_RAFT_KIND_PRE_VOTE || w.GetKind() > wire.RaftKind_RAFT_KIND_TIMEOUT_NOW {
		return Message{}, fmt.Errorf("%w: kind %d", ErrBadMessage, w.GetKind())
	}
	return m, m.validate()
}

// validate checks that the message has a sender and a receiver, that its entries
// follow LogIndex in order, and that a snapshot has content.
func (m Message) validate() error {
	if m.From.Replica == 0 || m.To.Replica == 0 {
		return fmt.Errorf("%w: sender or receiver is missing", ErrBadMessage)
	}
	term := m.LogTerm
	for i, e := range m.Entries {
		if e.Index != m.LogIndex+1+uint64(i) || e.Term < term || e.Term > m.Term {
			return fmt.Errorf("%w: entry %d of term %d is out of order", ErrBadMessage, e.Index, e.Term)
		}
		term = e.Term
	}
	if m.Kind == KindSnapshot && (m.Chunk == nil || m.LogIndex == 0 || m.LogTerm > m.Term) {
		return fmt.Errorf("%w: snapshot chunk is missing or its position is invalid", ErrBadMessage)
	}
	return nil
}

// MemberToWire returns nil for the zero member.
func MemberToWire(m Member) *wire.RaftMember {
	if m.IsZero() {
		return nil
	}
	return &wire.RaftMember{Host: m.Host, Replica: m.Replica}
}

// MemberFromWire returns the zero member for nil.
func MemberFromWire(w *wire.RaftMember) Member {
	return Member{Host: w.GetHost(), Replica: w.GetReplica()}
}

// EntriesToWire returns the entries as their protobuf type. Commands are shared.
func EntriesToWire(entries []Entry) []*wire.RaftEntry {
	if len(entries) == 0 {
		return nil
	}
	out := make([]*wire.RaftEntry, len(entries))
	for i, e := range entries {
		out[i] = &wire.RaftEntry{Index: e.Index, Term: e.Term, Command: e.Command}
		if e.Configuration != nil {
			out[i].Configuration = ConfigurationToWire(*e.Configuration)
		}
	}
	return out
}

// EntriesFromWire is the inverse of EntriesToWire.
func EntriesFromWire(entries []*wire.RaftEntry) []Entry {
	if len(entries) == 0 {
		return nil
	}
	out := make([]Entry, len(entries))
	for i, w := range entries {
		out[i] = Entry{Index: w.GetIndex(), Term: w.GetTerm(), Command: w.GetCommand()}
		if w.GetConfiguration() != nil {
			configuration := ConfigurationFromWire(w.GetConfiguration())
			out[i].Configuration = &configuration
		}
	}
	return out
}

// ConfigurationToWire returns the membership as its protobuf type.
func ConfigurationToWire(c Configuration) *wire.RaftConfiguration {
	return &wire.RaftConfiguration{Voters: membersToWire(c.Voters), Learners: membersToWire(c.Learners)}
}

// ConfigurationFromWire is the inverse of ConfigurationToWire.
func ConfigurationFromWire(w *wire.RaftConfiguration) Configuration {
	return Configuration{Voters: membersFromWire(w.GetVoters()), Learners: membersFromWire(w.GetLearners())}
}

func membersToWire(members []Member) []*wire.RaftMember {
	var out []*wire.RaftMember
	for _, m := range members {
		out = append(out, MemberToWire(m))
	}
	return out
}

func membersFromWire(members []*wire.RaftMember) []Member {
	var out []Member
	for _, w := range members {
		out = append(out, MemberFromWire(w))
	}
	return out
}
