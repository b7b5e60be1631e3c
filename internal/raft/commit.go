package raft

import (
	"slices"
	"time"
)

func (n *Node) commitTo(index uint64) {
	n.log.commit = max(n.log.commit, index)
}

// advanceCommit commits the entries that a majority holds, provided that the
// last of them is of the current term.
func (n *Node) advanceCommit(now time.Time) {
	index := n.majorityMatch()
	if index <= n.log.commit {
		return
	}
	if !n.log.matches(index, n.term) && !n.faults.commitEarlierTerm {
		return
	}
	n.commitAsLeader(now, index)
}

func (n *Node) commitAsLeader(now time.Time, index uint64) {
	for _, e := range n.log.slice(n.log.commit+1, index, maxInt) {
		n.uncommitted = max(0, n.uncommitted-e.size())
	}
	n.commitTo(index)
	n.startDeferredReads()
	if index == n.log.lastIndex() {
		// No further append is due that would carry the commit index. If the
		// leader failed now, the followers would learn of the commit only after
		// an election.
		n.broadcastCommit()
	}
	if n.configurationIndex <= index && !n.configuration.IsVoter(n.cfg.Self) {
		n.broadcastCommit()
		n.becomeFollower(now, n.term, Member{})
	}
}

const maxInt = int(^uint(0) >> 1)

// majorityMatch returns the highest index that a majority of voters has synced.
func (n *Node) majorityMatch() uint64 {
	var matches []uint64
	for _, voter := range n.configuration.Voters {
		if voter == n.cfg.Self {
			matches = append(matches, n.log.stable)
		} else if p := n.progress(voter); p != nil {
			matches = append(matches, p.match)
		}
	}
	slices.Sort(matches)
	if n.faults.commitWithoutMajority {
		return matches[len(matches)-1]
	}
	return matches[len(matches)-n.configuration.majority()]
}

// broadcastCommit sends the commit index to members that have been sent all
// entries.
func (n *Node) broadcastCommit() {
	for _, p := range n.members {
		if !p.probing && !p.sendingSnapshot() && p.next > n.log.lastIndex() {
			n.sendAppend(p)
		}
	}
}
