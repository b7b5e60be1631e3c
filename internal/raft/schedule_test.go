package raft_test

import (
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"oleanderramp/internal/raft"
	"oleanderramp/internal/repair"
)

// maxOperations and maxConcurrent limit the length of a history and the
// operations that wait at one node, so that the history can be checked quickly.
const (
	maxOperations = 60
	maxConcurrent = 4
)

// action is a step that can occur in a schedule, with its weight.
type action struct {
	weight int
	run    func(*simulation)
}

var actions = []action{
	{300, (*simulation).deliver},
	{150, (*simulation).advanceTime},
	{60, (*simulation).propose},
	{60, (*simulation).read},
	{20, (*simulation).drop},
	{20, (*simulation).duplicate},
	{15, (*simulation).crashRandom},
	{10, (*simulation).freezeRandom},
	{15, (*simulation).unfreezeRandom},
	{25, (*simulation).restartRandom},
	{6, (*simulation).blockLink},
	{6, (*simulation).isolateHost},
	{8, (*simulation).healNetwork},
	{15, (*simulation).compact},
	{20, (*simulation).change},
	{2, (*simulation).loseDisk},
	{3, (*simulation).transfer},
}

// randomizeWeights makes some actions rarer or more frequent in this schedule,
// so that different schedules emphasize different actions. Message delivery and
// the passing of time are never made rarer.
func (s *simulation) randomizeWeights() {
	factors := []int{0, 1, 1, 4}
	for i, a := range actions {
		factor := factors[s.choose(len(factors))]
		if i < 2 {
			factor = max(factor, 1)
		}
		s.weights = append(s.weights, a.weight*factor)
		s.totalWeight += a.weight * factor
	}
}

// run executes a number of steps, ends all faults, and checks the history.
func (s *simulation) run(steps int) {
	s.randomizeWeights()
	for range steps {
		if s.violation != "" {
			return
		}
		s.step()
	}
	s.converge()
	if s.violation == "" {
		s.checkHistory()
	}
}

func (s *simulation) step() {
	at := s.choose(s.totalWeight)
	for i, weight := range s.weights {
		if at < weight {
			actions[i].run(s)
			return
		}
		at -= weight
	}
}

func (s *simulation) randomPeer() *simPeer { return s.peers[s.choose(len(s.peers))] }

func (s *simulation) randomLeader() *simPeer {
	start := s.choose(len(s.peers))
	for i := range s.peers {
		p := s.peers[(start+i)%len(s.peers)]
		if p.node != nil && p.node.Status(s.now).Role == raft.RoleLeader {
			return p
		}
	}
	return nil
}

func (s *simulation) removeMessage(at int) raft.Message {
	m := s.network[at]
	s.network[at] = s.network[len(s.network)-1]
	s.network = s.network[:len(s.network)-1]
	return m
}

func (s *simulation) deliver() {
	if len(s.network) == 0 {
		s.advanceTime()
		return
	}
	// Delivers the oldest message in most cases, so that the quorum makes progress.
	at := 0
	if s.choose(4) == 0 {
		at = s.choose(len(s.network))
	}
	m := s.network[at]
	s.network = slices.Delete(s.network, at, at+1)
	s.deliverMessage(m, crashNever)
}

// deliverMessage delivers a message to the peer on its host, whatever the peer's
// current identity is.
func (s *simulation) deliverMessage(m raft.Message, crashAt crashPoint) {
	if s.blockedLinks[[2]string{m.From.Host, m.To.Host}] {
		return
	}
	for _, p := range s.peers {
		if p.member.Host == m.To.Host && p.node != nil && !p.frozen {
			p.node.Step(s.now, m)
			s.processReady(p, crashAt)
		}
	}
}

func (s *simulation) drop() {
	if len(s.network) > 0 {
		s.removeMessage(s.choose(len(s.network)))
	}
}

func (s *simulation) duplicate() {
	if len(s.network) > 0 {
		s.network = append(s.network, s.network[s.choose(len(s.network))])
	}
}

// advanceTime advances the clock and ticks a random subset of the nodes.
func (s *simulation) advanceTime() {
	s.now = s.now.Add(time.Duration(1+s.choose(20)) * time.Millisecond)
	for _, p := range s.peers {
		if p.node != nil && !p.frozen && s.choose(4) > 0 {
			p.node.Tick(s.now)
			s.processReady(p, crashNever)
		}
	}
}

func (s *simulation) propose() {
	p := s.randomLeader()
	if p == nil || s.busy(p) || !s.acceptsWrites() {
		return
	}
	s.values++
	input := registerInput{value: s.values}
	command := []byte{byte('0' + s.values/10), byte('0' + s.values%10)}
	index, term, err := p.node.Propose(s.now, command)
	if err != nil {
		return
	}
	op := s.beginOperation(input)
	p.calls[index] = call{term: term, op: op}
	s.written[position{index, term}] = op
	s.processReady(p, crashPoint(s.choose(2)*s.choose(2)*s.choose(2)*(1+s.choose(3))))
}

func (s *simulation) busy(p *simPeer) bool {
	return len(s.history) >= maxOperations || len(p.calls)+len(p.reads) >= maxConcurrent
}

func (s *simulation) beginOperation(input registerInput) int {
	op := len(s.history)
	s.history = append(s.history, porcupine.Operation{
		ClientId: op, Input: input, Call: s.tick(), Output: 0, Return: pendingReturn,
	})
	return op
}

func (s *simulation) read() {
	p := s.randomLeader()
	if p == nil || s.busy(p) {
		return
	}
	s.reads++
	if p.node.ReadIndex(s.now, s.reads) != nil {
		return
	}
	p.reads[s.reads] = s.beginOperation(registerInput{read: true})
	s.processReady(p, crashNever)
}

// crashRandom crashes a node, either when it is idle or while it processes a
// message.
func (s *simulation) crashRandom() {
	if len(s.network) == 0 || s.choose(2) == 0 {
		s.crash(s.randomPeer())
		return
	}
	s.deliverMessage(s.removeMessage(s.choose(len(s.network))), crashPoint(1+s.choose(3)))
}

// freezeRandom suspends a node, which does not detect it. After the suspension,
// client operations can reach the node before its clock advances.
func (s *simulation) freezeRandom() { s.randomPeer().frozen = true }

func (s *simulation) unfreezeRandom() { s.randomPeer().frozen = false }

func (s *simulation) restartRandom() {
	if p := s.randomPeer(); p.node == nil {
		s.start(p)
		s.processReady(p, crashNever)
	}
}

func (s *simulation) blockLink() {
	from, to := s.randomPeer().member.Host, s.randomPeer().member.Host
	s.blockedLinks[[2]string{from, to}] = true
}

func (s *simulation) isolateHost() {
	host := s.randomPeer().member.Host
	for _, p := range s.peers {
		s.blockedLinks[[2]string{host, p.member.Host}] = true
		s.blockedLinks[[2]string{p.member.Host, host}] = true
	}
}

func (s *simulation) healNetwork() { clear(s.blockedLinks) }

func (s *simulation) compact() {
	p := s.randomPeer()
	if p.node == nil || p.state.index <= p.node.Status(s.now).SnapshotIndex {
		return
	}
	snapshot, err := p.node.Compact(p.state.index, p.state.encode(), uint64(s.choose(3)))
	if err != nil {
		s.fail("%v: %v", p.member, err)
		return
	}
	p.stored.Entries = slices.Clone(p.stored.Entries[snapshot.Index-p.stored.Snapshot.Index:])
	p.stored.Snapshot = snapshot
	s.processReady(p, crashNever)
}

// change proposes a membership change toward the current identities of the
// hosts.
func (s *simulation) change() {
	p := s.randomLeader()
	if p == nil {
		return
	}
	next := s.nextChange
	if s.autoRepair {
		next = s.nextRepair
	}
	change, found := next(p)
	if !found {
		return
	}
	if _, _, err := p.node.ProposeChange(s.now, change); err == nil {
		s.processReady(p, crashNever)
	}
}

// nextChange returns a random change: a host is added, promoted or, less often,
// removed, and a member whose disk was lost may be removed.
func (s *simulation) nextChange(leader *simPeer) (raft.Change, bool) {
	current := configurationOf(leader)
	var choices []raft.Change
	for _, p := range s.peers {
		switch {
		case !current.Contains(p.member):
			choices = append(choices, raft.Change{Kind: raft.AddLearner, Member: p.member})
		case current.IsLearner(p.member):
			choices = append(choices, raft.Change{Kind: raft.Promote, Member: p.member})
		case s.choose(4) == 0 && s.intactVoters(current, p) == len(current.Voters)-1:
			choices = append(choices, raft.Change{Kind: raft.Remove, Member: p.member})
		}
	}
	for _, m := range current.Members() {
		if !s.hasIntactDisk(m) {
			choices = append(choices, raft.Change{Kind: raft.Remove, Member: m})
		}
	}
	if len(choices) == 0 {
		return raft.Change{}, false
	}
	return choices[s.choose(len(choices))], true
}

// nextRepair returns either the change that package repair selects for a leader,
// or the promotion of a learner, which every leader attempts.
func (s *simulation) nextRepair(leader *simPeer) (raft.Change, bool) {
	current := configurationOf(leader)
	if len(current.Learners) > 0 && s.choose(2) == 0 {
		return leader.node.Promotion(s.now)
	}
	view := repair.View{Self: leader.member, Hosts: make(map[string]repair.Host), Tolerated: (s.targetVoters - 1) / 2}
	view.Members = leader.node.Status(s.now).Members
	for _, p := range s.peers {
		if p == leader {
			continue
		}
		h := repair.Host{Replica: p.member.Replica, Alive: true}
		if p.node == nil || p.frozen || s.blockedLinks[[2]string{leader.member.Host, p.member.Host}] || s.blockedLinks[[2]string{p.member.Host, leader.member.Host}] {
			h = repair.Host{SilentFor: time.Duration(s.choose(2)) * time.Minute}
		}
		view.Hosts[p.member.Host] = h
	}
	return repair.Next(view)
}

// configurationOf returns the latest membership on a peer's disk.
func configurationOf(p *simPeer) raft.Configuration {
	for _, e := range slices.Backward(p.stored.Entries) {
		if e.Configuration != nil {
			return *e.Configuration
		}
	}
	return p.stored.Snapshot.Configuration
}

// hasIntactDisk reports whether a member's disk was not lost.
func (s *simulation) hasIntactDisk(m raft.Member) bool {
	return slices.ContainsFunc(s.peers, func(p *simPeer) bool { return p.member == m })
}

// intactVoters counts the voters other than p whose disk was not lost.
func (s *simulation) intactVoters(c raft.Configuration, p *simPeer) int {
	count := 0
	for _, m := range c.Voters {
		if s.hasIntactDisk(m) && m != p.member {
			count++
		}
	}
	return count
}

// loseDisk restarts a host with an empty disk, unless a majority would be
// permanently lost in the membership that some host holds.
func (s *simulation) loseDisk() {
	p := s.randomPeer()
	for _, other := range s.peers {
		c := configurationOf(other)
		if s.intactVoters(c, p) < len(c.Voters)/2+1 && len(c.Voters) > 0 {
			return
		}
	}
	s.crash(p)
	s.newIdentity(p)
	p.lostDisk = true
	s.start(p)
}

func (s *simulation) transfer() {
	if p := s.randomLeader(); p != nil {
		p.node.TransferLeadership(s.now)
		s.processReady(p, crashNever)
	}
}

// converge ends all faults and runs the nodes until they agree.
func (s *simulation) converge() {
	s.healNetwork()
	for _, p := range s.peers {
		p.frozen = false
		if p.node == nil {
			s.start(p)
		}
	}
	const rounds = 200
	for range rounds {
		if s.violation != "" {
			return
		}
		s.now = s.now.Add(heartbeatInterval)
		for _, p := range s.peers {
			p.node.Tick(s.now)
			s.processReady(p, crashNever)
		}
		for range 10 {
			batch := s.network
			s.network = nil
			for _, m := range batch {
				s.deliverMessage(m, crashNever)
			}
		}
		if s.converged() {
			return
		}
	}
	s.fail("the nodes did not converge after all faults had ended")
}

// converged reports whether there is a leader and all of its members have
// applied its whole log.
func (s *simulation) converged() bool {
	leader := s.randomLeader()
	if leader == nil {
		return false
	}
	status := leader.node.Status(s.now)
	if status.Commit != status.LastIndex {
		return false
	}
	for _, m := range status.Members {
		for _, p := range s.peers {
			if p.member == m.Member && p.state.index != status.Commit {
				return false
			}
		}
	}
	return true
}
