package raft

import (
	"cmp"
	"fmt"
	"slices"
)

// Member identifies a replica. A replica whose data folder was lost comes back
// with another replica number, and so as another member.
type Member struct {
	// Host is the name of the daemon that runs the replica.
	Host string
	// Replica is a random number made with the data folder; never 0.
	Replica uint64
}

// IsZero tells whether the member is unset.
func (m Member) IsZero() bool { return m == Member{} }

func (m Member) String() string { return fmt.Sprintf("%s/%016x", m.Host, m.Replica) }

func compareMembers(a, b Member) int {
	if c := cmp.Compare(a.Host, b.Host); c != 0 {
		return c
	}
	return cmp.Compare(a.Replica, b.Replica)
}

// Configuration is the membership of the quorum. Voters make up majorities;
// learners only receive the log. Both lists are sorted and disjoint.
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

// IsVoter tells whether m counts for majorities.
func (c Configuration) IsVoter(m Member) bool { return slices.Contains(c.Voters, m) }

// IsLearner tells whether m only receives the log.
func (c Configuration) IsLearner(m Member) bool { return slices.Contains(c.Learners, m) }

// Contains tells whether m is a voter or a learner.
func (c Configuration) Contains(m Member) bool { return c.IsVoter(m) || c.IsLearner(m) }

// Members returns the voters, then the learners.
func (c Configuration) Members() []Member { return slices.Concat(c.Voters, c.Learners) }

// majority returns how many voters decide.
func (c Configuration) majority() int { return len(c.Voters)/2 + 1 }

// with returns a copy of the configuration in which m has the given standing.
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
	// AddLearner lets a new member receive the log.
	AddLearner ChangeKind = iota + 1
	// Promote makes a learner that holds the committed log a voter.
	Promote
	// Remove takes a voter or a learner out.
	Remove
	// PromoteAll makes all learners that hold the committed log voters at once.
	// Only a sole voter may: all later majorities overlap with it alone.
	PromoteAll
)

// Change is a change of one member, or of all learners.
type Change struct {
	Kind ChangeKind
	// Member is unset for PromoteAll.
	Member Member
}
