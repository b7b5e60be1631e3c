// Package raft is the replicated log as a pure state machine: elections with
// pre-vote, a leader that steps down without contact to a majority, read-index
// reads, snapshots, learners, and one membership change at a time.
//
// The owner of a Node calls Step, Tick, Propose, ReadIndex and ProposeChange
// with the present time, and after each takes Ready, sends Messages, syncs what
// is to be stored, sends SyncedMessages, applies Committed, and calls Advance.
// No other method may be called between Ready and Advance.
package raft

import (
	"errors"
	"math/rand/v2"
	"time"

	"oleanderramp/pkg/finding"
)

// Errors of proposals.
var (
	// ErrNotLeader says that the node doesn't lead, and accepted nothing.
	ErrNotLeader = errors.New("not the leader")
	// ErrBusy says that too much is waiting for a majority.
	ErrBusy = errors.New("too many entries wait for a majority")
	// ErrTooLarge says that a command exceeds Config.MaxEntryBytes.
	ErrTooLarge = errors.New("command too large")
	// ErrChangePending says that an earlier membership change, or the first
	// entry of the leader's term, is not committed yet.
	ErrChangePending = errors.New("a membership change is not committed yet")
	// ErrNotCaughtUp says that a learner doesn't hold the committed log, or
	// doesn't answer.
	ErrNotCaughtUp = errors.New("the learner does not hold the committed log yet")
	// ErrNoMajority says that a removal would leave too few voters that answer,
	// so that nothing could be committed any more.
	ErrNoMajority = errors.New("the voters that answer would be no majority")
	// ErrInvalidChange says that a change doesn't fit the membership.
	ErrInvalidChange = errors.New("the change does not fit the membership")
)

// Config holds the parameters of a node.
type Config struct {
	Self Member
	// ElectionTimeout is how long a follower waits for its leader, at the
	// least; it waits up to twice that.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// TargetVoters is the number of voters to which a quorum of one grows at
	// once: of two voters neither may be lost. Up to 1, it grows one by one.
	TargetVoters int
	// MaxMessageBytes bounds the entries or snapshot data of one message; a
	// single larger entry is sent alone.
	MaxMessageBytes int
	// MaxEntryBytes bounds a command.
	MaxEntryBytes int
	// MaxInflight bounds the unanswered appends to one member.
	MaxInflight int
	// MaxUncommittedBytes bounds the entries that wait for a majority.
	MaxUncommittedBytes int
	// Random is the source of the election jitter. It must be seeded
	// differently at each replica.
	Random *rand.Rand
}

// Defaults of Config.
const (
	defaultElectionTimeout     = time.Second
	defaultHeartbeatInterval   = 100 * time.Millisecond
	defaultMaxMessageBytes     = 256 << 10
	defaultMaxEntryBytes       = 4 << 20
	defaultMaxInflight         = 16
	defaultMaxUncommittedBytes = 8 << 20
)

// Defaults fills the fields that are unset, but for Self and Random.
func (c *Config) Defaults() {
	setDefault(&c.ElectionTimeout, defaultElectionTimeout)
	setDefault(&c.HeartbeatInterval, defaultHeartbeatInterval)
	setDefault(&c.MaxMessageBytes, defaultMaxMessageBytes)
	setDefault(&c.MaxEntryBytes, defaultMaxEntryBytes)
	setDefault(&c.MaxInflight, defaultMaxInflight)
	setDefault(&c.MaxUncommittedBytes, defaultMaxUncommittedBytes)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate reports everything that is wrong with the parameters.
func (c *Config) Validate() error {
	var findings finding.List
	if c.Self.Host == "" || c.Self.Replica == 0 {
		findings.Addf("Self", "needs a host and a replica number")
	}
	if c.HeartbeatInterval <= 0 || c.ElectionTimeout < 2*c.HeartbeatInterval {
		findings.Addf("ElectionTimeout", "must be at least twice HeartbeatInterval")
	}
	if min(c.MaxMessageBytes, c.MaxEntryBytes, c.MaxInflight, c.MaxUncommittedBytes) <= 0 {
		findings.Addf("", "limits must be positive")
	}
	if c.Random == nil {
		findings.Addf("Random", "is missing")
	}
	return findings.Err()
}

// Role is the part that a node plays in its term.
type Role uint8

// The roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Node is one replica's state machine. It is not safe for concurrent use.
type Node struct {
	cfg    Config
	faults injectedFaults

	term uint64
	// vote is the candidate that got this node's vote in term.
	vote Member
	role Role
	// leader is zero when unknown.
	leader Member
	log    entryLog

	// configuration is the last in the log, committed or not.
	configuration      Configuration
	configurationIndex uint64

	// electionDeadline is when a node that isn't leader starts an election.
	electionDeadline time.Time
	// leaderContact is when the leader was heard last.
	leaderContact time.Time
	// granted holds the answers to the present election.
	granted map[Member]bool

	// The rest is valid while the node leads.
	heartbeatDeadline time.Time
	// members holds every member but self, in the order of the configuration.
	members []*progress
	reads   readQueue
	// uncommitted is the size of the entries that wait for a majority, in
	// bytes.
	uncommitted int
	// promoteAllIndex is the index of the last PromoteAll of this node; 0 for none.
	promoteAllIndex uint64
	// transferee was asked to take over the lead; zero for none.
	transferee       Member
	transferDeadline time.Time

	incoming incomingSnapshot
	output   output
}

// injectedFaults switches off single rules; tests set it to show that the
// checks notice. All fields are false otherwise.
type injectedFaults struct {
	voteTwice             bool
	commitWithoutMajority bool
	answerBeforeSync      bool
	readWithoutQuorum     bool
	commitEarlierTerm     bool
	voteForShorterLog     bool
}

// New returns a node that goes on from what is stored. The caller must
// restore stored.Snapshot.
func New(now time.Time, cfg Config, stored Stored) (*Node, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	n := &Node{
		cfg:  cfg,
		term: stored.HardState.Term,
		vote: stored.HardState.Vote,
		log:  newEntryLog(stored),
	}
	n.configuration, n.configurationIndex = n.log.configurationAt(n.log.lastIndex())
	n.output.stored = stored.HardState
	// A snapshot may have reached the disk before the term that it came in.
	if last := n.log.lastTerm(); last > n.term {
		n.term = last
		n.vote = Member{}
	}
	n.resetElectionDeadline(now)
	if n.isSoleVoter() {
		n.electionDeadline = now
	}
	return n, nil
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
}

// isSoleVoter tells whether the node decides alone.
func (n *Node) isSoleVoter() bool {
	return len(n.configuration.Voters) == 1 && n.configuration.IsVoter(n.cfg.Self)
}

// Tick lets the time pass. It must be called at least every heartbeat
// interval.
func (n *Node) Tick(now time.Time) {
	if n.role == RoleLeader {
		n.tickLeader(now)
		return
	}
	if !now.Before(n.electionDeadline) {
		n.startPreVote(now)
	}
}

func (n *Node) tickLeader(now time.Time) {
	if !n.majorityActive(now, n.configuration) {
		n.becomeFollower(now, n.term, Member{})
		return
	}
	if !n.transferee.IsZero() && !now.Before(n.transferDeadline) {
		n.transferee = Member{}
	}
	if !now.Before(n.heartbeatDeadline) {
		n.heartbeatDeadline = now.Add(n.cfg.HeartbeatInterval)
		n.sendHeartbeats()
	}
}

// majorityActive tells whether a majority of c was heard within an election
// timeout.
func (n *Node) majorityActive(now time.Time, c Configuration) bool {
	active := 0
	for _, voter := range c.Voters {
		if n.isActive(now, voter) {
			active++
		}
	}
	return active >= c.majority()
}

// isActive tells a leader whether a member was heard within an election
// timeout.
func (n *Node) isActive(now time.Time, member Member) bool {
	if member == n.cfg.Self {
		return true
	}
	p := n.progress(member)
	return p != nil && now.Sub(p.lastActive) <= n.cfg.ElectionTimeout
}

// Step takes a message from another replica. Messages to another identity,
// such as that of a lost data folder, are ignored.
func (n *Node) Step(now time.Time, m Message) {
	if m.To != n.cfg.Self || m.From == n.cfg.Self {
		return
	}
	if m.Term > n.term && !n.handleHigherTerm(now, m) {
		return
	}
	if m.Term < n.term {
		n.rejectStaleTerm(m)
		return
	}
	n.dispatch(now, m)
}

// handleHigherTerm handles the higher term of a message; false ends its handling.
func (n *Node) handleHigherTerm(now time.Time, m Message) bool {
	switch {
	case m.Kind == KindVote || m.Kind == KindPreVote:
		if !m.Transfer && n.hasRecentLeader(now) {
			return false
		}
		if m.Kind == KindPreVote {
			n.handlePreVote(m)
			return false
		}
		n.becomeFollower(now, m.Term, Member{})
	case m.Kind == KindPreVoteResponse && !m.Reject:
		n.handlePreVoteResponse(now, m)
		return false
	case m.Kind.fromLeader():
		n.becomeFollower(now, m.Term, m.From)
	default:
		n.becomeFollower(now, m.Term, Member{})
	}
	return true
}

// hasRecentLeader tells whether a leader is known to be at work, so that no
// election is due.
func (n *Node) hasRecentLeader(now time.Time) bool {
	if n.role == RoleLeader {
		return true
	}
	return !n.leader.IsZero() && now.Sub(n.leaderContact) < n.cfg.ElectionTimeout
}

// rejectStaleTerm tells the sender of an earlier term about the present one.
func (n *Node) rejectStaleTerm(m Message) {
	switch {
	case m.Kind.fromLeader():
		n.send(Message{Kind: KindAppendResponse, To: m.From, Reject: true, LogIndex: m.LogIndex})
	case m.Kind == KindPreVote:
		n.send(Message{Kind: KindPreVoteResponse, To: m.From, Reject: true})
	}
}

func (n *Node) dispatch(now time.Time, m Message) {
	if m.Kind.fromLeader() {
		if n.role == RoleLeader {
			return
		}
		n.followLeader(now, m.From)
	}
	switch m.Kind {
	case KindPreVote:
		n.handlePreVote(m)
	case KindVote:
		n.handleVote(now, m)
	case KindPreVoteResponse:
		// A grant names the term after this one: this is a refusal.
	case KindVoteResponse:
		n.handleVoteResponse(now, m)
	case KindAppend:
		n.handleAppend(m)
	case KindHeartbeat:
		n.handleHeartbeat(m)
	case KindSnapshot:
		n.handleSnapshot(m)
	case KindTimeoutNow:
		n.handleTimeoutNow(now, m)
	default:
		n.handleResponse(now, m)
	}
}

// followLeader notes a sign of life from the leader of the present term.
func (n *Node) followLeader(now time.Time, leader Member) {
	if n.role != RoleFollower {
		n.becomeFollower(now, n.term, leader)
	}
	n.leader = leader
	n.leaderContact = now
	n.resetElectionDeadline(now)
}
