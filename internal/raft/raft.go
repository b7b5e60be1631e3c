// Package raft implements the Raft replicated log as a deterministic state
// machine that performs no I/O: elections with pre-vote, a leader that steps
// down when it loses contact with a majority, read-index reads, snapshots,
// learners, and single-step membership changes.
//
// The owner of a Node calls Step, Tick, Propose, ReadIndex and ProposeChange
// with the current time. After each call it takes Ready, sends Messages, syncs
// the state to store, sends SyncedMessages, applies Committed, and calls
// Advance. No other method may be called between Ready and Advance.
package raft

import (
	"errors"
	"time"
)

// Errors returned by proposals.
var (
	// ErrNotLeader is returned when the node is not the leader. Nothing was
	// appended.
	ErrNotLeader = errors.New("not the leader")
	// ErrBusy is returned when the uncommitted entries have reached
	// Config.MaxUncommittedBytes.
	ErrBusy = errors.New("too many uncommitted entries")
	// ErrTooLarge is returned when a command exceeds Config.MaxEntryBytes.
	ErrTooLarge = errors.New("command too large")
	// ErrChangePending is returned while an earlier membership change, or the
	// first entry of the leader's term, is not committed.
	ErrChangePending = errors.New("a membership change is not committed yet")
	// ErrNotCaughtUp is returned when a learner doesn't hold the whole
	// committed log, or doesn't respond.
	ErrNotCaughtUp = errors.New("the learner has not caught up with the committed log or does not respond")
	// ErrNoMajority is returned when a removal would leave fewer responding
	// voters than a majority, so that nothing more could be committed.
	ErrNoMajority = errors.New("the responding voters would not form a majority")
	// ErrInvalidChange is returned when a change doesn't apply to the current
	// membership.
	ErrInvalidChange = errors.New("the change does not apply to the current membership")
)

// Role is the role of a node in its current term.
type Role uint8

// The roles of a node.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Node is the Raft state machine of one replica. It is not safe for concurrent
// use.
type Node struct {
	cfg    Config
	faults injectedFaults

	term uint64
	// vote is the candidate that this node voted for in term.
	vote Member
	role Role
	// leader is zero when unknown.
	leader Member
	log    entryLog

	// configuration is the latest one in the log, committed or not.
	configuration      Configuration
	configurationIndex uint64

	// electionDeadline is when a node that isn't the leader starts an election.
	electionDeadline time.Time
	// deadlinesMissed is how many of them have passed since a leader was heard.
	deadlinesMissed int
	// leaderContact is when the last message from the leader arrived.
	leaderContact time.Time
	// granted holds the members that granted their vote in the current election.
	granted map[Member]bool

	// The fields from here to transferDeadline are valid while the node is the
	// leader.
	heartbeatDeadline time.Time
	// members holds every member except self, in the order of the configuration.
	members []*progress
	reads   readQueue
	// uncommitted is the size of the uncommitted entries in bytes.
	uncommitted int
	// promoteAllIndex is the index of the last PromoteAll change of this node; 0
	// for none.
	promoteAllIndex uint64
	// transferee is the member to which leadership is being transferred; zero
	// for none.
	transferee       Member
	transferDeadline time.Time

	incoming incomingSnapshot
	output   output
}

// injectedFaults disables individual rules of the protocol. Tests use it to
// verify that their checks detect the violations. All fields are false
// otherwise.
type injectedFaults struct {
	voteTwice             bool
	commitWithoutMajority bool
	answerBeforeSync      bool
	readWithoutQuorum     bool
	commitEarlierTerm     bool
	voteForShorterLog     bool
}

// New returns a node that resumes from the stored state. The caller must
// restore stored.Snapshot to the applied state.
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
	// After a crash the disk may hold a snapshot without the hard state of the
	// term in which it was received.
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

// isSoleVoter reports whether the node is the only voter.
func (n *Node) isSoleVoter() bool {
	return len(n.configuration.Voters) == 1 && n.configuration.IsVoter(n.cfg.Self)
}

// Tick processes elapsed timeouts. It must be called at least once per
// heartbeat interval.
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

// majorityActive reports whether a majority of the voters of c responded within
// the last election timeout.
func (n *Node) majorityActive(now time.Time, c Configuration) bool {
	active := 0
	for _, voter := range c.Voters {
		if n.isActive(now, voter) {
			active++
		}
	}
	return active >= c.majority()
}

// isActive reports whether a message from the member arrived within the last
// election timeout. It is valid at the leader only.
func (n *Node) isActive(now time.Time, member Member) bool {
	if member == n.cfg.Self {
		return true
	}
	p := n.progress(member)
	return p != nil && now.Sub(p.lastActive) <= n.cfg.ElectionTimeout
}

// Step processes a message from another replica. Messages addressed to another
// identity, such as that of a lost data folder, are ignored.
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

// handleHigherTerm processes a message whose term is higher than the node's. It
// returns false when the message needs no further processing.
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

// hasRecentLeader reports whether the node is the leader, or heard from the
// leader within the election timeout, so that votes are refused.
func (n *Node) hasRecentLeader(now time.Time) bool {
	if n.role == RoleLeader {
		return true
	}
	return !n.leader.IsZero() && now.Sub(n.leaderContact) < n.cfg.ElectionTimeout
}

// rejectStaleTerm informs the sender of a message from an earlier term about
// the current term.
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
		// A granted pre-vote carries the next term and is processed by
		// handleHigherTerm, so this one is a rejection.
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

// followLeader records contact with the leader of the current term.
func (n *Node) followLeader(now time.Time, leader Member) {
	if n.role != RoleFollower {
		n.becomeFollower(now, n.term, leader)
	}
	n.leader = leader
	n.leaderContact, n.deadlinesMissed = now, 0
	n.resetElectionDeadline(now)
}
