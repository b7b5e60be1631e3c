// Package repair decides which change of its members a quorum makes next, so
// that it grows to all control hosts, and replaces those whose disk or host is
// lost, without an order.
//
// It is pure: it holds no state.
package repair

import (
	"maps"
	"slices"
	"time"

	"oleanderramp/internal/raft"
)

const (
	// learnerTimeout is how long a learner may be silent.
	learnerTimeout = 5 * time.Second
	// voterTimeout is how long a voter may be silent while the quorum is
	// large enough without it.
	voterTimeout = 10 * time.Second
)

// Host is a control host as the leader sees it.
type Host struct {
	// Replica identifies the data folder that the host has now; 0 for unknown.
	Replica uint64
	Alive   bool
	// Draining hosts are shutting down.
	Draining bool
	// SilentFor is how long the host has given no sign of life.
	SilentFor time.Duration
}

// View is what the leader knows.
type View struct {
	// Self is the leader.
	Self    raft.Member
	Members []raft.MemberStatus
	// Hosts are the control hosts that were heard of, by name.
	Hosts map[string]Host
	// MinVoters is the least number of voters: below, the loss of as many hosts
	// as must be borne would leave no majority.
	MinVoters int
}

// MinVoters returns the least number of voters that bears the loss of so many.
func MinVoters(tolerated int) int { return 2*tolerated + 1 }

// Next returns the change to make; false when the members are as they should
// be. New members come before old ones go, so that the quorum never gets
// smaller than it must be.
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

// removable tells whether a member is lost and not needed.
func (v View) removable(m raft.MemberStatus) bool {
	h, heard := v.Hosts[m.Member.Host]
	if m.Member.Host == v.Self.Host || heard && h.Alive && h.Replica != m.Member.Replica {
		// Its data folder is gone: another one answers for the host.
		return !m.Voter || v.hasReplacement(m.Member)
	}
	if !heard {
		return false
	}
	if !m.Voter {
		return h.SilentFor >= learnerTimeout
	}
	return h.SilentFor >= voterTimeout && v.liveVoters() >= v.MinVoters
}

// hasReplacement tells whether the host of a lost data folder votes with its new
// one, or enough others do.
func (v View) hasReplacement(lost raft.Member) bool {
	for _, m := range v.Members {
		if m.Voter && m.Member.Host == lost.Host && m.Member != lost {
			return true
		}
	}
	return v.liveVoters() >= v.MinVoters
}

// liveVoters counts the voters whose data folder is there.
func (v View) liveVoters() int {
	count := 0
	for _, m := range v.Members {
		h := v.Hosts[m.Member.Host]
		if m.Voter && (m.Member == v.Self || h.Alive && h.Replica == m.Member.Replica) {
			count++
		}
	}
	return count
}
