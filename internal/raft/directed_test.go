package raft_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/raft"
)

// newDirectedSimulation returns a simulation in which only the test decides what
// happens. Messages hold one entry.
func newDirectedSimulation(fault raft.Fault, voters, hosts int) *simulation {
	s := newSimulation(seeded(1), fault, voters, hosts)
	s.messageBytes = 1
	for _, p := range s.peers {
		s.start(p)
	}
	return s
}

// elect makes p the leader with the vote of q, and drops the messages that p
// sends as leader.
func (s *simulation) elect(t testing.TB, p, q *simPeer) {
	t.Helper()
	for range 20 {
		s.now = s.now.Add(2 * electionTimeout)
		p.node.Tick(s.now)
		s.processReady(p, crashNever)
		for len(s.network) > 0 && p.node.Status(s.now).Role != raft.RoleLeader {
			s.deliverOneBetween(p, q)
		}
		s.network = nil
		if p.node.Status(s.now).Role == raft.RoleLeader {
			return
		}
	}
	t.Fatalf("%v was not elected", p.member)
}

// deliverOneBetween delivers the oldest message if it is between p and q, and
// drops it otherwise.
func (s *simulation) deliverOneBetween(p, q *simPeer) {
	m := s.network[0]
	s.network = s.network[1:]
	if m.From == p.member && m.To == q.member || m.From == q.member && m.To == p.member {
		s.deliverMessage(m, crashNever)
	}
}

// runConnected runs the given peers for a number of heartbeat intervals. It
// delivers the messages between them and drops all others.
func (s *simulation) runConnected(heartbeats int, peers ...*simPeer) {
	connected := make(map[raft.Member]bool)
	for _, p := range peers {
		connected[p.member] = true
	}
	for range heartbeats {
		s.now = s.now.Add(heartbeatInterval)
		for _, p := range peers {
			p.node.Tick(s.now)
			s.processReady(p, crashNever)
		}
		for len(s.network) > 0 {
			m := s.network[0]
			s.network = s.network[1:]
			if connected[m.From] && connected[m.To] {
				s.deliverMessage(m, crashNever)
			}
		}
	}
}

// TestEarlierTermEntryIsNotCommittedByCounting replays the case in which an entry
// of an earlier term is held by a majority and is overwritten nevertheless.
func TestEarlierTermEntryIsNotCommittedByCounting(t *testing.T) {
	tests := []struct {
		fault raft.Fault
		want  string
	}{
		{"", ""},
		{raft.CommitEarlierTerm, "leader c.* lacks the committed entry 2"},
	}
	for _, test := range tests {
		t.Run("fault "+string(test.fault), func(t *testing.T) {
			s := newDirectedSimulation(test.fault, 3, 3)
			a, b, c := s.peers[0], s.peers[1], s.peers[2]
			s.elect(t, a, b)
			s.crash(a)
			s.elect(t, c, b)
			s.crash(c)
			s.start(a)
			s.elect(t, a, b)
			// The follower gets the entry of the earlier term, but not the next one.
			a.node.Tick(s.now.Add(heartbeatInterval))
			s.processReady(a, crashNever)
			for len(s.network) > 0 && len(b.stored.Entries) < 2 {
				s.deliverOneBetween(a, b)
			}
			for _, m := range s.network {
				if m.Kind == raft.KindAppendResponse {
					s.deliverMessage(m, crashNever)
				}
			}
			s.network = nil
			s.crash(a)
			s.start(c)
			s.elect(t, c, b)
			qt.Assert(t, s.violation, qt.Matches, test.want)
		})
	}
}

// TestPartitionedReplicaDoesNotDisruptLeader checks that a replica that was
// partitioned for a long time neither raises the term nor deposes the leader
// when it reconnects.
func TestPartitionedReplicaDoesNotDisruptLeader(t *testing.T) {
	s := newDirectedSimulation("", 3, 3)
	a, b, c := s.peers[0], s.peers[1], s.peers[2]
	s.elect(t, a, b)
	s.runConnected(10, a, b)
	term := a.node.Status(s.now).Term
	for range 100 {
		s.now = s.now.Add(heartbeatInterval)
		c.node.Tick(s.now)
		s.processReady(c, crashNever)
		s.network = nil
		s.runConnected(1, a, b)
	}
	s.runConnected(10, a, b, c)
	qt.Assert(t, a.node.Status(s.now).Role, qt.Equals, raft.RoleLeader)
	qt.Assert(t, a.node.Status(s.now).Term, qt.Equals, term)
	qt.Assert(t, c.node.Status(s.now).Leader, qt.Equals, a.member)
}

// TestLeaderWithoutMajorityStepsDown checks that a leader without contact to a
// majority for an election timeout refuses commands and reads.
func TestLeaderWithoutMajorityStepsDown(t *testing.T) {
	s := newDirectedSimulation("", 3, 3)
	a, b := s.peers[0], s.peers[1]
	s.elect(t, a, b)
	s.runConnected(10, a, b)
	s.runConnected(int(electionTimeout/heartbeatInterval)+1, a)
	qt.Assert(t, a.node.Status(s.now).Role, qt.Equals, raft.RoleFollower)
	_, _, err := a.node.Propose(s.now, []byte("1"))
	qt.Assert(t, err, qt.ErrorIs, raft.ErrNotLeader)
	qt.Assert(t, a.node.ReadIndex(s.now, 1), qt.ErrorIs, raft.ErrNotLeader)
}

// TestHostWithLostDiskIgnoresOldIdentity checks that a host that lost its disk
// responds to no message that was sent to its earlier identity.
func TestHostWithLostDiskIgnoresOldIdentity(t *testing.T) {
	s := newDirectedSimulation("", 3, 3)
	a, b, c := s.peers[0], s.peers[1], s.peers[2]
	s.crash(c)
	s.newIdentity(c)
	s.start(c)
	s.crash(b)
	for range 10 {
		s.runConnected(10, a, c)
	}
	qt.Assert(t, a.node.Status(s.now).Role, qt.Equals, raft.RolePreCandidate)
	qt.Assert(t, c.node.Status(s.now).Term, qt.Equals, uint64(0))
}

// TestLearnerPromotionRequiresCommittedLog checks the order of a repair: a
// learner is added, promoted once it holds the committed log and responds, and
// only then is the old voter removed.
func TestLearnerPromotionRequiresCommittedLog(t *testing.T) {
	s := newDirectedSimulation("", 1, 2)
	a, b := s.peers[0], s.peers[1]
	s.runConnected(10, a)
	add := raft.Change{Kind: raft.AddLearner, Member: b.member}
	promote := raft.Change{Kind: raft.Promote, Member: b.member}
	_, _, err := a.node.ProposeChange(s.now, promote)
	qt.Assert(t, err, qt.ErrorIs, raft.ErrInvalidChange)
	_, _, err = a.node.ProposeChange(s.now, add)
	qt.Assert(t, err, qt.IsNil)
	_, _, err = a.node.ProposeChange(s.now, promote)
	qt.Assert(t, err, qt.ErrorIs, raft.ErrChangePending)
	s.runConnected(2, a)
	_, _, err = a.node.ProposeChange(s.now, promote)
	qt.Assert(t, err, qt.ErrorIs, raft.ErrNotCaughtUp)
	s.runConnected(10, a, b)
	s.runConnected(10, a)
	_, _, err = a.node.ProposeChange(s.now, promote)
	qt.Assert(t, err, qt.ErrorIs, raft.ErrNotCaughtUp, qt.Commentf("a learner that does not respond"))
	s.runConnected(10, a, b)
	_, _, err = a.node.ProposeChange(s.now, promote)
	qt.Assert(t, err, qt.IsNil)
	s.runConnected(10, a, b)
	qt.Assert(t, b.node.Status(s.now).Members, qt.HasLen, 2)
	_, _, err = a.node.ProposeChange(s.now, raft.Change{Kind: raft.Remove, Member: a.member})
	qt.Assert(t, err, qt.IsNil)
	s.runConnected(30, a, b)
	qt.Assert(t, b.node.Status(s.now).Role, qt.Equals, raft.RoleLeader)
	_, _, err = b.node.ProposeChange(s.now, raft.Change{Kind: raft.Remove, Member: b.member})
	qt.Assert(t, err, qt.ErrorIs, raft.ErrInvalidChange)
}

// TestRestartedLeaderCommitsItsOwnRemoval checks that a restarted leader whose
// removal is only in its own log is elected again and leads until the removal is
// committed. Without it, no leader could be elected.
func TestRestartedLeaderCommitsItsOwnRemoval(t *testing.T) {
	s := newDirectedSimulation("", 2, 2)
	a, b := s.peers[0], s.peers[1]
	s.elect(t, a, b)
	s.runConnected(10, a, b)
	_, _, err := a.node.ProposeChange(s.now, raft.Change{Kind: raft.Remove, Member: a.member})
	qt.Assert(t, err, qt.IsNil)
	s.processReady(a, crashNever)
	s.network = nil
	s.crash(a)
	s.start(a)
	s.converge()
	s.runConnected(20, a, b)
	qt.Assert(t, s.violation, qt.Equals, "")
	qt.Assert(t, b.node.Status(s.now).Role, qt.Equals, raft.RoleLeader)
	qt.Assert(t, b.node.Status(s.now).Members, qt.HasLen, 1)
}

// TestRemovalRequiresActiveMajority checks that, with one of three voters down,
// only that one can be removed, and that the status reports how many more
// failures are tolerated.
func TestRemovalRequiresActiveMajority(t *testing.T) {
	s := newDirectedSimulation("", 3, 3)
	a, b, c := s.peers[0], s.peers[1], s.peers[2]
	s.elect(t, a, b)
	s.runConnected(10, a, b, c)
	qt.Assert(t, a.node.Status(s.now).ToleratedFailures(), qt.Equals, 1)
	s.runConnected(10, a, b)
	qt.Assert(t, a.node.Status(s.now).ToleratedFailures(), qt.Equals, 0)
	_, _, err := a.node.ProposeChange(s.now, raft.Change{Kind: raft.Remove, Member: b.member})
	qt.Assert(t, err, qt.ErrorIs, raft.ErrNoMajority)
	_, _, err = a.node.ProposeChange(s.now, raft.Change{Kind: raft.Remove, Member: c.member})
	qt.Assert(t, err, qt.IsNil)
	s.runConnected(10, a, b)
	qt.Assert(t, a.node.Status(s.now).Members, qt.HasLen, 2)
	qt.Assert(t, a.node.Status(s.now).ToleratedFailures(), qt.Equals, 0)
}

// TestPromoteAllIsSyncedBeforeSending crashes a sole voter before it has synced
// the entry that makes it one of three voters. The others must not hold that
// entry: they would form a majority with it, while the first continues as a sole
// voter.
func TestPromoteAllIsSyncedBeforeSending(t *testing.T) {
	tests := []struct {
		name  string
		crash crashPoint
		want  int
	}{
		{"crash before the sync", crashBeforeSave, 1},
		{"no crash", crashNever, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newDirectedSimulation("", 1, 3)
			a, b, c := s.peers[0], s.peers[1], s.peers[2]
			s.runConnected(5, a, b, c)
			for _, p := range []*simPeer{b, c} {
				_, _, err := a.node.ProposeChange(s.now, raft.Change{Kind: raft.AddLearner, Member: p.member})
				qt.Assert(t, err, qt.IsNil)
				s.runConnected(5, a, b, c)
			}
			_, _, err := a.node.ProposeChange(s.now, raft.Change{Kind: raft.PromoteAll})
			qt.Assert(t, err, qt.IsNil)
			s.processReady(a, test.crash)
			for len(s.network) > 0 {
				s.deliverMessage(s.removeMessage(0), crashNever)
			}
			for _, p := range s.peers {
				got := len(configurationOf(p).Voters)
				qt.Check(t, got, qt.Equals, test.want, qt.Commentf("%v", p.member))
			}
			qt.Check(t, s.violation, qt.Equals, "")
		})
	}
}

// TestFollowersLearnCommitsImmediately checks that followers learn of a commit
// before the next heartbeat, because the leader may have failed by then.
func TestFollowersLearnCommitsImmediately(t *testing.T) {
	s := newDirectedSimulation("", 3, 3)
	a, b, c := s.peers[0], s.peers[1], s.peers[2]
	s.elect(t, a, b)
	s.runConnected(5, a, b, c)
	index, _, err := a.node.Propose(s.now, []byte("42"))
	qt.Assert(t, err, qt.IsNil)
	s.processReady(a, crashNever)
	for len(s.network) > 0 {
		s.deliverMessage(s.removeMessage(0), crashNever)
	}
	for _, p := range s.peers {
		qt.Check(t, p.node.Status(s.now).Commit, qt.Equals, index, qt.Commentf("%v", p.member))
	}
	qt.Check(t, s.violation, qt.Equals, "")
}
