package raft

import "time"

// Status tells where a node stands.
type Status struct {
	Self   Member
	Role   Role
	Term   uint64
	Leader Member
	Commit uint64
	// LastIndex is the index of the last entry of the log.
	LastIndex     uint64
	SnapshotIndex uint64
	// LogBytes is the size of the entries in memory.
	LogBytes int
	Members  []MemberStatus
	// ChangePending says that a membership change is not committed yet.
	ChangePending bool
}

// MemberStatus tells where a member stands.
type MemberStatus struct {
	Member Member
	Voter  bool
	// Match is the last index that the member is known to have synced. Known
	// to the leader only.
	Match uint64
	// CaughtUp says that the member holds the whole committed log. Known to
	// the leader only.
	CaughtUp bool
	// Active says that the member was heard within an election timeout. Known
	// to the leader only.
	Active bool
}

// ToleratedFailures returns how many voters may be lost so that a majority is left that
// answers and holds the whole committed log. It is negative while there is
// none, and known to the leader only.
func (s Status) ToleratedFailures() int {
	voters, healthy := 0, 0
	for _, m := range s.Members {
		if !m.Voter {
			continue
		}
		voters++
		if m.Active && m.CaughtUp {
			healthy++
		}
	}
	return healthy - (voters/2 + 1)
}

// Role returns the part that the node plays in its term.
func (n *Node) Role() Role { return n.role }

// Term returns the present term.
func (n *Node) Term() uint64 { return n.term }

// Leader returns the leader of the term; zero when unknown.
func (n *Node) Leader() Member { return n.leader }

// Status returns the present status.
func (n *Node) Status(now time.Time) Status {
	s := Status{
		Self:          n.cfg.Self,
		Role:          n.role,
		Term:          n.term,
		Leader:        n.leader,
		Commit:        n.log.commit,
		LastIndex:     n.log.lastIndex(),
		SnapshotIndex: n.log.snapshot.Index,
		LogBytes:      n.log.bytes,
		ChangePending: n.configurationIndex > n.log.commit,
	}
	for _, member := range n.configuration.Members() {
		s.Members = append(s.Members, n.memberStatus(now, member))
	}
	return s
}

func (n *Node) memberStatus(now time.Time, member Member) MemberStatus {
	s := MemberStatus{Member: member, Voter: n.configuration.IsVoter(member)}
	if member == n.cfg.Self {
		s.Match = n.log.stable
		s.CaughtUp = n.role == RoleLeader
		s.Active = true
	} else if p := n.progress(member); p != nil {
		s.Match = p.match
		s.CaughtUp = p.match >= n.log.commit
		s.Active = n.isActive(now, member)
	}
	return s
}
