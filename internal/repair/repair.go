// Package repair selects the next membership change of a quorum, so that the
// quorum grows to all control hosts and replaces members whose disk or host is
// lost, without intervention by an operator.
//
// The package has no state and performs no I/O.
package repair

import (
	"maps"
	"slices"
	"time"

	"oleanderramp/internal/raft"
)

const (
	// learnerTimeout is how long a learner may be silent before it is removed.
	learnerTimeout = 5 * time.Second
	// voterTimeout is how long a voter may be silent before it is removed from a
	// quorum that is large enough without it.
	voterTimeout = 10 * time.Second
	// replacedVoterTimeout applies instead if the silent voter keeps the quorum from
	// tolerating as many further failures as it must: another host has taken its
	// place, and it may be gone for good. Longer pauses than this are rare.
	replacedVoterTimeout = 2 * time.Second
)

// Host is a control host as the leader sees it.
type Host struct {
	// Replica identifies the host's current data folder; 0 when unknown.
	Replica uint64
	Alive   bool
	// Draining is set while the host is shutting down.
	Draining bool
	// SilentFor is the time since the last contact with the host. A host may be silent
	// for a while and still count as alive.
	SilentFor time.Duration
}

// View is the leader's view of the quorum and the control hosts.
type View struct {
	// Self is the leader.
	Self    raft.Member
	Members []raft.MemberStatus
	// Hosts holds the known control hosts, by name.
	Hosts map[string]Host
	// Tolerated is how many hosts may fail at the same time.
	Tolerated int
}

// MinVoters returns the minimum number of voters that tolerates the given number
// of failures. With fewer, no majority would remain after them.
func MinVoters(tolerated int) int { return 2*tolerated + 1 }

// Next returns the next membership change, or false when none is needed. New
// members are added before old ones are removed, so that the quorum doesn't
// shrink below the size that it needs.
func Next(v View) (raft.Change, bool) {
	for _, host := range slices.Sorted(maps.Keys(v.Hosts)) {
		h := v.Hosts[host]
		member := raft.Member{Host: host, Replica: h.Replica}
		if h.Alive && !h.Draining && h.Replica != 0 && !v.contains(member) {
			return raft.Change{Kind: raft.AddLearner, Member: member}, true
		}
	}
	for _, m := range v.Members {
		if m.Member != v.Self && v.removable(m) {
			return raft.Change{Kind: raft.Remove, Member: m.Member}, true
		}
	}
	return raft.Change{}, false
}

func (v View) contains(member raft.Member) bool {
	if member == v.Self {
		return true
	}
	for _, m := range v.Members {
		if m.Member == member {
			return true
		}
	}
	return false
}

// removable reports whether a member is lost and its vote is not needed.
func (v View) removable(m raft.MemberStatus) bool {
	h, heard := v.Hosts[m.Member.Host]
	if m.Member.Host == v.Self.Host || heard && h.Alive && h.Replica != m.Member.Replica {
		// The member's data folder is lost: its host uses another one.
		return !m.Voter || v.hasReplacement(m.Member)
	}
	if !heard {
		return false
	}
	if !m.Voter {
		return h.SilentFor >= learnerTimeout
	}
	if v.liveVotersWithout(m.Member) < MinVoters(v.Tolerated) {
		return false
	}
	return h.SilentFor >= voterTimeout || v.weakens(m)
}

// weakens reports whether a voter is likely to be gone, and the quorum would not survive
// as many further failures as it must while that vote counts. The vote of a host that is
// shutting down is removed while the host still runs.
func (v View) weakens(m raft.MemberStatus) bool {
	h := v.Hosts[m.Member.Host]
	silent := !m.Active && h.SilentFor >= replacedVoterTimeout
	if !silent && !h.Draining {
		return false
	}
	majority := v.voters()/2 + 1
	return v.liveVotersWithout(m.Member)-majority < v.Tolerated
}

// hasReplacement reports whether the host of a lost data folder already votes
// with its new one or can be promoted at once, or enough other voters are alive.
// The lost voter goes first: if both voted, the next loss of the host would cost
// two votes.
func (v View) hasReplacement(lost raft.Member) bool {
	current := raft.Member{Host: lost.Host, Replica: v.Hosts[lost.Host].Replica}
	for _, m := range v.Members {
		if m.Member.Host != lost.Host || m.Member == lost {
			continue
		}
		if m.Voter || m.Member == current && m.Active && m.CaughtUp {
			return true
		}
	}
	return v.liveVotersWithout(lost) >= MinVoters(v.Tolerated)
}

// voters returns the number of voters.
func (v View) voters() int {
	count := 0
	for _, m := range v.Members {
		if m.Voter {
			count++
		}
	}
	return count
}

// liveVotersWithout counts the voters, leaving out one, that are alive, respond to the
// leader and still have their data folder. The host of a replica that can't write is
// alive, but the replica doesn't respond. The leader always counts as alive.
func (v View) liveVotersWithout(excluded raft.Member) int {
	count := 0
	for _, m := range v.Members {
		h := v.Hosts[m.Member.Host]
		live := m.Member == v.Self || m.Active && h.Alive && h.Replica == m.Member.Replica
		if m.Voter && live && m.Member != excluded {
			count++
		}
	}
	return count
}
