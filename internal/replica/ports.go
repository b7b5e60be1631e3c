package replica

import (
	"oleanderramp/internal/raft"
	"oleanderramp/internal/wire"
)

// Storage keeps the log on disk. disk.Store implements it. After an error that
// implements retryableError, the stored log is as before the call.
type Storage interface {
	Identity() raft.Member
	// Load returns the state that was stored when the storage was opened.
	Load() raft.Stored
	// Save stores and syncs the given state; see disk.Store.
	Save(state raft.HardState, entries []raft.Entry, snapshot *raft.Snapshot) error
	// Compact stores a snapshot of the applied log.
	Compact(snapshot raft.Snapshot) error
	Close() error
}

// Machine is the state machine to which the log's commands are applied. Its
// methods are not called concurrently.
type Machine interface {
	// Apply executes a committed command. The result must depend only on this
	// command and those applied before it.
	Apply(index uint64, command []byte) []byte
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// Sender sends messages to other replicas. Send must not block; it may drop,
// duplicate and reorder messages.
type Sender interface {
	Send(host string, message *wire.RaftMessage)
}
