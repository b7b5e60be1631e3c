package raft

// Kind is the kind of a message.
type Kind uint8

// The kinds of message.
const (
	KindPreVote Kind = iota + 1
	KindPreVoteResponse
	KindVote
	KindVoteResponse
	KindAppend
	KindAppendResponse
	KindHeartbeat
	KindHeartbeatResponse
	KindSnapshot
	KindSnapshotResponse
	KindTimeoutNow
)

// fromLeader reports whether only the leader of a term sends messages of this
// kind.
func (k Kind) fromLeader() bool {
	return k == KindAppend || k == KindHeartbeat || k == KindSnapshot
}

// Message is sent from one replica to another. It may be lost, duplicated,
// delayed or reordered. Entries and data are shared and must not be modified.
type Message struct {
	Kind Kind
	From Member
	To   Member
	Term uint64
	// LogIndex and LogTerm identify the entry before Entries, the last entry of
	// a candidate's log, or the last entry of a snapshot. In a response,
	// LogIndex is the last index at which the sender's log is known to match
	// the leader's; in a rejection, it is the LogIndex of the request.
	LogIndex uint64
	LogTerm  uint64
	Entries  []Entry
	Commit   uint64
	Reject   bool
	// Hint is the highest index at which the logs may match after a rejected
	// append.
	Hint uint64
	// ReadSequence numbers the rounds of heartbeats that confirm reads.
	ReadSequence uint64
	// Transfer is set in the vote requests of a leadership transfer.
	Transfer bool
	// Chunk is set in snapshot messages. In snapshot responses only its Offset
	// is set, to the number of bytes received so far.
	Chunk *SnapshotChunk
}

// SnapshotChunk is a part of the data of a snapshot.
type SnapshotChunk struct {
	Offset uint64
	Data   []byte
	// Total is the length of the snapshot's data in bytes.
	Total         uint64
	Configuration Configuration
}

// Entry is one entry of the log. An entry without a command and a configuration
// is the first entry of a leader's term.
type Entry struct {
	Index   uint64
	Term    uint64
	Command []byte
	// Configuration is set in an entry that changes the membership.
	Configuration *Configuration
}

// entryOverhead is the estimated encoded size of an entry without its command,
// in bytes.
const entryOverhead = 32

func (e Entry) size() int { return len(e.Command) + entryOverhead }

// HardState is the state that must survive a restart.
type HardState struct {
	Term uint64
	// Vote is the candidate voted for in Term; zero for none.
	Vote   Member
	Commit uint64
}

// Snapshot is the state after applying the log up to and including Index.
type Snapshot struct {
	Index         uint64
	Term          uint64
	Configuration Configuration
	Data          []byte
}

// Stored is the state that a replica has on disk when it starts. Entries follow
// the snapshot without a gap.
type Stored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Bootstrap returns the initial stored state of a new quorum. All initial voters
// must use the same list.
func Bootstrap(voters []Member) Stored {
	configuration := NewConfiguration(voters)
	return Stored{
		HardState: HardState{Term: 1, Commit: 1},
		Entries:   []Entry{{Index: 1, Term: 1, Configuration: &configuration}},
	}
}
