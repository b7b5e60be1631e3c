package raft

import "time"

// resetElectionDeadline sets a new random deadline between one and two election
// timeouts from now.
func (n *Node) resetElectionDeadline(now time.Time) {
	jitter := time.Duration(n.cfg.Random.Int64N(int64(n.cfg.ElectionTimeout)))
	n.electionDeadline = now.Add(n.cfg.ElectionTimeout + jitter)
}

func (n *Node) becomeFollower(now time.Time, term uint64, leader Member) {
	if term > n.term {
		n.term = term
		n.vote = Member{}
	}
	n.role = RoleFollower
	n.leader = leader
	n.members = nil
	n.granted = nil
	n.reads = readQueue{}
	n.transferee = Member{}
	n.resetElectionDeadline(now)
}

// Resign makes a leader a follower that knows no leader.
func (n *Node) Resign(now time.Time) {
	if n.role == RoleLeader {
		n.becomeFollower(now, n.term, Member{})
	}
}

// learnerPatience is the number of election deadlines that pass without a leader before a
// learner campaigns: any voter that can be elected is to come first.
const learnerPatience = 3

// startPreVote asks the voters whether they would grant their vote, without
// starting a new term.
func (n *Node) startPreVote(now time.Time) {
	n.resetElectionDeadline(now)
	n.leader = Member{}
	n.deadlinesMissed++
	if !n.canCampaign() {
		return
	}
	n.role = RolePreCandidate
	n.granted = map[Member]bool{n.cfg.Self: true}
	if n.majorityGranted() {
		n.startElection(now, false)
		return
	}
	n.requestVotes(KindPreVote, n.term+1, false)
}

// canCampaign reports whether the node is a voter, or remains one until the
// change that removes it is committed. It may be the only one that holds that
// change. A learner campaigns if no leader is elected for long: it may hold a newer log
// than any voter, and then refuses its vote to one that needs it. It is elected by the
// voters alone, and steps down once its log is committed.
func (n *Node) canCampaign() bool {
	if n.configuration.IsVoter(n.cfg.Self) {
		return true
	}
	if n.configuration.IsLearner(n.cfg.Self) && n.deadlinesMissed > learnerPatience {
		return true
	}
	if n.configurationIndex <= n.log.commit {
		return false
	}
	committed, _ := n.log.configurationAt(n.log.commit)
	return committed.IsVoter(n.cfg.Self)
}

// startElection requests votes in a new term.
func (n *Node) startElection(now time.Time, transfer bool) {
	n.resetElectionDeadline(now)
	n.role = RoleCandidate
	n.leader = Member{}
	n.term++
	n.vote = n.cfg.Self
	n.granted = map[Member]bool{n.cfg.Self: true}
	if n.majorityGranted() {
		n.becomeLeader(now)
		return
	}
	n.requestVotes(KindVote, n.term, transfer)
}

func (n *Node) requestVotes(kind Kind, term uint64, transfer bool) {
	for _, voter := range n.configuration.Voters {
		if voter == n.cfg.Self {
			continue
		}
		n.sendInTerm(term, Message{
			Kind:     kind,
			To:       voter,
			LogIndex: n.log.lastIndex(),
			LogTerm:  n.log.lastTerm(),
			Transfer: transfer,
		})
	}
}

func (n *Node) majorityGranted() bool {
	count := 0
	for _, voter := range n.configuration.Voters {
		if n.granted[voter] {
			count++
		}
	}
	return count >= n.configuration.majority()
}

// handlePreVote grants a pre-vote if the node could vote for the candidate in
// the given term. It changes neither the term nor the vote.
func (n *Node) handlePreVote(m Message) {
	canVote := m.Term > n.term || n.vote == m.From || n.vote.IsZero() && n.leader.IsZero()
	if canVote && n.logAllowsVote(m) {
		n.sendInTerm(m.Term, Message{Kind: KindPreVoteResponse, To: m.From})
		return
	}
	n.send(Message{Kind: KindPreVoteResponse, To: m.From, Reject: true})
}

func (n *Node) logAllowsVote(m Message) bool {
	return n.faults.voteForShorterLog || n.log.upToDate(m.LogIndex, m.LogTerm)
}

func (n *Node) handlePreVoteResponse(now time.Time, m Message) {
	if n.role != RolePreCandidate || m.Term != n.term+1 {
		return
	}
	n.granted[m.From] = true
	if n.majorityGranted() {
		n.startElection(now, false)
	}
}

func (n *Node) handleVote(now time.Time, m Message) {
	canVote := n.vote == m.From || n.vote.IsZero() && n.leader.IsZero()
	if n.faults.voteTwice {
		canVote = true
	}
	granted := canVote && n.logAllowsVote(m)
	if granted {
		n.vote = m.From
		n.resetElectionDeadline(now)
	}
	n.send(Message{Kind: KindVoteResponse, To: m.From, Reject: !granted})
}

func (n *Node) handleVoteResponse(now time.Time, m Message) {
	if n.role != RoleCandidate || m.Reject {
		return
	}
	n.granted[m.From] = true
	if n.majorityGranted() {
		n.becomeLeader(now)
	}
}

func (n *Node) becomeLeader(now time.Time) {
	n.role = RoleLeader
	n.leader = n.cfg.Self
	n.granted = nil
	n.reads = readQueue{}
	n.incoming = incomingSnapshot{}
	n.members = nil
	n.uncommitted = 0
	n.updateMembers(now)
	n.appendEntry(now, Entry{})
	n.heartbeatDeadline = now.Add(n.cfg.HeartbeatInterval)
}

// TransferLeadership asks a voter that holds the whole log to take over. It
// returns false when there is none.
func (n *Node) TransferLeadership(now time.Time) bool {
	if n.role != RoleLeader {
		return false
	}
	for _, p := range n.members {
		if n.configuration.IsVoter(p.member) && p.match == n.log.lastIndex() {
			n.transferee = p.member
			n.transferDeadline = now.Add(n.cfg.ElectionTimeout)
			n.send(Message{Kind: KindTimeoutNow, To: p.member})
			return true
		}
	}
	return false
}

func (n *Node) handleTimeoutNow(now time.Time, m Message) {
	if m.From == n.leader && n.configuration.IsVoter(n.cfg.Self) {
		n.startElection(now, true)
	}
}
