package raft

import "time"

// Status is the state of a node.
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
	// ChangePending reports whether a membership change is not committed yet.
	ChangePending bool
}

// MemberStatus is the state of a member.
type MemberStatus struct {
	Member Member
	Voter  bool
	// Match is the last index that the member is known to have synced. Only the
	// leader knows it.
	Match uint64
	// CaughtUp reports whether the member holds the whole committed log. Only
	// the leader knows it.
	CaughtUp bool
	// Active reports whether the member responded within the last election
	// timeout. Only the leader knows it.
	Active bool
}

// ToleratedFailures returns how many voters may fail while a majority remains
// that responds and holds the whole committed log. It is negative when there is
// no such majority. Only the leader knows it.
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

// Role returns the role of the node in its current term.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Leader returns the leader of the current term; zero when unknown.
func (n *Node) Leader() Member { return n.leader }

// Status returns the current status.
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
