package raft

import (
	"cmp"
	"fmt"
	"slices"
)

// Member identifies a replica. A replica whose data folder was lost gets a new
// replica number, and so rejoins as a different member.
type Member struct {
	// Host is the name of the daemon that runs the replica.
	Host string
	// Replica is a random number generated when the data folder is created. It
	// is never 0.
	Replica uint64
}

// IsZero reports whether the member is unset.
func (m Member) IsZero() bool { return m == Member{} }

func (m Member) String() string { return fmt.Sprintf("%s/%016x", m.Host, m.Replica) }

func compareMembers(a, b Member) int {
	if c := cmp.Compare(a.Host, b.Host); c != 0 {
		return c
	}
	return cmp.Compare(a.Replica, b.Replica)
}

// Configuration is the membership of the quorum. Voters count toward majorities;
// learners only receive the log. Both lists are sorted, and they are disjoint.
type Configuration struct {
	Voters   []Member
	Learners []Member
}

// NewConfiguration returns a configuration of voters only.
func NewConfiguration(voters []Member) Configuration {
	sorted := slices.Clone(voters)
	slices.SortFunc(sorted, compareMembers)
	return Configuration{Voters: slices.Compact(sorted)}
}

// IsVoter reports whether m counts toward majorities.
func (c Configuration) IsVoter(m Member) bool { return slices.Contains(c.Voters, m) }

// IsLearner reports whether m is a learner.
func (c Configuration) IsLearner(m Member) bool { return slices.Contains(c.Learners, m) }

// Contains reports whether m is a voter or a learner.
func (c Configuration) Contains(m Member) bool { return c.IsVoter(m) || c.IsLearner(m) }

// Members returns the voters, then the learners.
func (c Configuration) Members() []Member { return slices.Concat(c.Voters, c.Learners) }

// majority returns the number of voters in a majority.
func (c Configuration) majority() int { return len(c.Voters)/2 + 1 }

// with returns a copy of the configuration in which m is a voter, a learner, or
// not a member.
func (c Configuration) with(m Member, voter, learner bool) Configuration {
	differs := func(other Member) bool { return other != m }
	next := Configuration{
		Voters:   filter(c.Voters, differs),
		Learners: filter(c.Learners, differs),
	}
	if voter {
		next.Voters = append(next.Voters, m)
	}
	if learner {
		next.Learners = append(next.Learners, m)
	}
	slices.SortFunc(next.Voters, compareMembers)
	slices.SortFunc(next.Learners, compareMembers)
	return next
}

func filter(members []Member, keep func(Member) bool) []Member {
	var kept []Member
	for _, m := range members {
		if keep(m) {
			kept = append(kept, m)
		}
	}
	return kept
}

// ChangeKind is a kind of membership change.
type ChangeKind uint8

// The kinds of membership change.
const (
	// AddLearner adds a new member as a learner.
	AddLearner ChangeKind = iota + 1
	// Promote makes a learner that holds the committed log a voter.
	Promote
	// Remove removes a voter or a learner.
	Remove
	// PromoteAll makes all learners that hold the committed log voters in one
	// change. It is safe only while there is a single voter, which is the whole
	// majority of the old configuration.
	PromoteAll
)

// Change is a change of one member, or of all learners.
type Change struct {
	Kind ChangeKind
	// Member is unset for PromoteAll.
	Member Member
}
