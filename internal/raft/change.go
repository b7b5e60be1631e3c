package raft

import (
	"fmt"
	"slices"
	"time"
)

// ProposeChange appends a membership change to the leader's log and returns its
// position. The change takes effect as soon as it is appended. Another change is
// refused until this one is committed.
func (n *Node) ProposeChange(now time.Time, change Change) (index, term uint64, err error) {
	if n.role != RoleLeader || !n.transferee.IsZero() {
		return 0, 0, ErrNotLeader
	}
	if n.configurationIndex > n.log.commit || !n.log.matches(n.log.commit, n.term) {
		return 0, 0, ErrChangePending
	}
	next, err := n.configurationAfter(now, change)
	if err != nil {
		return 0, 0, fmt.Errorf("change of %v: %w", change.Member, err)
	}
	index = n.appendEntry(now, Entry{Configuration: &next})
	if change.Kind == PromoteAll {
		n.promoteAllIndex = index
	}
	return index, n.term, nil
}

// Promotion returns the promotion that is due at a leader: that of a learner
// that holds the committed log, or, at a sole voter, that of all such learners
// once they suffice to reach Config.TargetVoters. With TargetVoters, a learner
// is promoted only after the voter that it replaces on its host was removed.
func (n *Node) Promotion(now time.Time) (Change, bool) {
	if n.role != RoleLeader {
		return Change{}, false
	}
	ready := n.readyLearners(now)
	if n.cfg.TargetVoters > 0 {
		ready = filter(ready, func(learner Member) bool { return !n.replacesVoter(learner) })
	}
	switch {
	case len(ready) == 0:
		return Change{}, false
	case n.isSoleVoter() && n.cfg.TargetVoters > 1:
		return Change{Kind: PromoteAll}, 1+len(ready) >= n.cfg.TargetVoters
	default:
		return Change{Kind: Promote, Member: ready[0]}, true
	}
}

func (n *Node) configurationAfter(now time.Time, change Change) (Configuration, error) {
	c := n.configuration
	switch change.Kind {
	case AddLearner:
		if c.Contains(change.Member) || change.Member.Host == "" || change.Member.Replica == 0 {
			return c, ErrInvalidChange
		}
		return c.with(change.Member, false, true), nil
	case Promote:
		if !c.IsLearner(change.Member) {
			return c, ErrInvalidChange
		}
		if !slices.Contains(n.readyLearners(now), change.Member) {
			return c, ErrNotCaughtUp
		}
		return c.with(change.Member, true, false), nil
	case PromoteAll:
		if !n.isSoleVoter() {
			return c, ErrInvalidChange
		}
		ready := n.readyLearners(now)
		for _, learner := range ready {
			c = c.with(learner, true, false)
		}
		if len(ready) == 0 {
			return c, ErrNotCaughtUp
		}
		return c, nil
	case Remove:
		next := c.with(change.Member, false, false)
		if !c.Contains(change.Member) || len(next.Voters) == 0 {
			return c, ErrInvalidChange
		}
		if !n.majorityActive(now, next) {
			return c, ErrNoMajority
		}
		return next, nil
	}
	return c, ErrInvalidChange
}

// replacesVoter reports whether another disk of the learner's host is a voter.
// If both voted, the loss of the one host would cost two votes.
func (n *Node) replacesVoter(learner Member) bool {
	return slices.ContainsFunc(n.configuration.Voters, func(voter Member) bool { return voter.Host == learner.Host })
}

// readyLearners returns the learners that hold the committed log and respond.
func (n *Node) readyLearners(now time.Time) []Member {
	return filter(n.configuration.Learners, func(learner Member) bool {
		return n.caughtUp(learner) && n.isActive(now, learner)
	})
}

// caughtUp reports whether a member holds the whole committed log.
func (n *Node) caughtUp(member Member) bool {
	p := n.progress(member)
	return p != nil && p.match >= n.log.commit
}
