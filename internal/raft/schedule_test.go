package raft_test

import (
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"oleanderramp/internal/raft"
	"oleanderramp/internal/repair"
)

// maxOperations and maxConcurrent bound a history and the operations that wait
// at one node, so that it can be checked fast.
const (
	maxOperations = 60
	maxConcurrent = 4
)

// action is something that can happen in a schedule, with its weight.
type action struct {
	weight int
	run    func(*simulation)
}

var actions = []action{
	{300, (*simulation).deliver},
	{150, (*simulation).passTime},
	{60, (*simulation).propose},
	{60, (*simulation).read},
	{20, (*simulation).drop},
	{20, (*simulation).duplicate},
	{15, (*simulation).crashSome},
	{10, (*simulation).freezeSome},
	{15, (*simulation).thawSome},
	{25, (*simulation).restartSome},
	{6, (*simulation).cutLink},
	{6, (*simulation).cutHost},
	{8, (*simulation).heal},
	{15, (*simulation).compact},
	{20, (*simulation).change},
	{2, (*simulation).loseDisk},
	{3, (*simulation).transfer},
}

// drawWeights makes some actions rarer or more frequent in this schedule, so
// that schedules differ in kind.
func (s *simulation) drawWeights() {
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

// run lets a number of things happen, then checks the history.
func (s *simulation) run(steps int) {
	s.drawWeights()
	for range steps {
		if s.violation != "" {
			return
		}
		s.step()
	}
	s.settle()
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

func (s *simulation) pick() *place { return s.places[s.choose(len(s.places))] }

func (s *simulation) leader() *place {
	start := s.choose(len(s.places))
	for i := range s.places {
		p := s.places[(start+i)%len(s.places)]
		if p.node != nil && p.node.Status(s.now).Role == raft.RoleLeader {
			return p
		}
	}
	return nil
}

func (s *simulation) take(at int) raft.Message {
	m := s.network[at]
	s.network[at] = s.network[len(s.network)-1]
	s.network = s.network[:len(s.network)-1]
	return m
}

func (s *simulation) deliver() {
	if len(s.network) == 0 {
		s.passTime()
		return
	}
	// Mostly the oldest, so that progress is made.
	at := 0
	if s.choose(4) == 0 {
		at = s.choose(len(s.network))
	}
	m := s.network[at]
	s.network = slices.Delete(s.network, at, at+1)
	s.hand(m, stopNever)
}

// hand gives a message to the place of its host, whatever its identity is now.
func (s *simulation) hand(m raft.Message, stop stops) {
	if s.cut[[2]string{m.From.Host, m.To.Host}] {
		return
	}
	for _, p := range s.places {
		if p.member.Host == m.To.Host && p.node != nil && !p.frozen {
			p.node.Step(s.now, m)
			s.work(p, stop)
		}
	}
}

func (s *simulation) drop() {
	if len(s.network) > 0 {
		s.take(s.choose(len(s.network)))
	}
}

func (s *simulation) duplicate() {
	if len(s.network) > 0 {
		s.network = append(s.network, s.network[s.choose(len(s.network))])
	}
}

// passTime lets time pass, which some nodes don't notice.
func (s *simulation) passTime() {
	s.now = s.now.Add(time.Duration(1+s.choose(20)) * time.Millisecond)
	for _, p := range s.places {
		if p.node != nil && !p.frozen && s.choose(4) > 0 {
			p.node.Tick(s.now)
			s.work(p, stopNever)
		}
	}
}

func (s *simulation) propose() {
	p := s.leader()
	if p == nil || s.busy(p) {
		return
	}
	s.values++
	input := registerInput{value: s.values}
	command := []byte{byte('0' + s.values/10), byte('0' + s.values%10)}
	index, term, err := p.node.Propose(s.now, command)
	if err != nil {
		return
	}
	op := s.begin(input)
	p.calls[index] = call{term: term, op: op}
	s.written[position{index, term}] = op
	s.work(p, stops(s.choose(2)*s.choose(2)*s.choose(2)*(1+s.choose(3))))
}

func (s *simulation) busy(p *place) bool {
	return len(s.history) >= maxOperations || len(p.calls)+len(p.reads) >= maxConcurrent
}

func (s *simulation) begin(input registerInput) int {
	op := len(s.history)
	s.history = append(s.history, porcupine.Operation{
		ClientId: op, Input: input, Call: s.tick(), Output: 0, Return: pending,
	})
	return op
}

func (s *simulation) read() {
	p := s.leader()
	if p == nil || s.busy(p) {
		return
	}
	s.reads++
	if p.node.ReadIndex(s.now, s.reads) != nil {
		return
	}
	p.reads[s.reads] = s.begin(registerInput{read: true})
	s.work(p, stopNever)
}

// crashSome stops a node, alone or in the middle of its work on a message.
func (s *simulation) crashSome() {
	if len(s.network) == 0 || s.choose(2) == 0 {
		s.crash(s.pick())
		return
	}
	s.hand(s.take(s.choose(len(s.network))), stops(1+s.choose(3)))
}

// freezeSome stops a node without its noticing. What its clients ask for is
// done before it learns the time.
func (s *simulation) freezeSome() { s.pick().frozen = true }

func (s *simulation) thawSome() { s.pick().frozen = false }

func (s *simulation) restartSome() {
	if p := s.pick(); p.node == nil {
		s.start(p)
		s.work(p, stopNever)
	}
}

func (s *simulation) cutLink() {
	from, to := s.pick().member.Host, s.pick().member.Host
	s.cut[[2]string{from, to}] = true
}

func (s *simulation) cutHost() {
	host := s.pick().member.Host
	for _, p := range s.places {
		s.cut[[2]string{host, p.member.Host}] = true
		s.cut[[2]string{p.member.Host, host}] = true
	}
}

func (s *simulation) heal() { clear(s.cut) }

func (s *simulation) compact() {
	p := s.pick()
	if p.node == nil || p.state.index <= p.node.Status(s.now).Snapshot {
		return
	}
	snapshot, err := p.node.Compact(p.state.index, p.state.encode(), uint64(s.choose(3)))
	if err != nil {
		s.fail("%v: %v", p.member, err)
		return
	}
	p.stored.Entries = slices.Clone(p.stored.Entries[snapshot.Index-p.stored.Snapshot.Index:])
	p.stored.Snapshot = snapshot
	s.work(p, stopNever)
}

// change brings the membership nearer to the hosts' present identities.
func (s *simulation) change() {
	p := s.leader()
	if p == nil {
		return
	}
	next := s.nextChange
	if s.repairs {
		next = s.nextRepair
	}
	change, found := next(p)
	if !found {
		return
	}
	if _, _, err := p.node.ProposeChange(s.now, change); err == nil {
		s.work(p, stopNever)
	}
}

func (s *simulation) nextChange(leader *place) (raft.Change, bool) {
	present := configurationOf(leader)
	var choices []raft.Change
	for _, p := range s.places {
		switch {
		case !present.Contains(p.member):
			choices = append(choices, raft.Change{Kind: raft.AddLearner, Member: p.member})
		case present.IsLearner(p.member):
			choices = append(choices, raft.Change{Kind: raft.Promote, Member: p.member})
		case s.choose(4) == 0 && s.alive(present, p) == len(present.Voters)-1:
			choices = append(choices, raft.Change{Kind: raft.Remove, Member: p.member})
		}
	}
	for _, m := range present.Members() {
		if !s.isPresent(m) {
			choices = append(choices, raft.Change{Kind: raft.Remove, Member: m})
		}
	}
	if len(choices) == 0 {
		return raft.Change{}, false
	}
	return choices[s.choose(len(choices))], true
}

// nextRepair is the change that a site's leader makes by itself, or the
// promotion of a learner, which each leader tries.
func (s *simulation) nextRepair(leader *place) (raft.Change, bool) {
	present := configurationOf(leader)
	if len(present.Learners) > 0 && s.choose(2) == 0 {
		return leader.node.Promotion(s.now)
	}
	view := repair.View{Self: leader.member, Hosts: make(map[string]repair.Host), Target: repair.Target(toleratedLosses)}
	for _, m := range present.Members() {
		view.Members = append(view.Members, raft.MemberStatus{Member: m, Voter: present.IsVoter(m)})
	}
	for _, p := range s.places {
		if p == leader {
			continue
		}
		h := repair.Host{Replica: p.member.Replica, Alive: true}
		if p.node == nil || p.frozen || s.cut[[2]string{leader.member.Host, p.member.Host}] || s.cut[[2]string{p.member.Host, leader.member.Host}] {
			h = repair.Host{Silence: time.Duration(s.choose(2)) * time.Minute}
		}
		view.Hosts[p.member.Host] = h
	}
	return repair.Next(view)
}

// configurationOf returns the last membership on a place's disk.
func configurationOf(p *place) raft.Configuration {
	for _, e := range slices.Backward(p.stored.Entries) {
		if e.Configuration != nil {
			return *e.Configuration
		}
	}
	return p.stored.Snapshot.Configuration
}

// isPresent tells whether a member's disk was not lost.
func (s *simulation) isPresent(m raft.Member) bool {
	return slices.ContainsFunc(s.places, func(p *place) bool { return p.member == m })
}

// alive counts the voters whose disk was not lost, without that of p.
func (s *simulation) alive(c raft.Configuration, p *place) int {
	count := 0
	for _, m := range c.Voters {
		if s.isPresent(m) && m != p.member {
			count++
		}
	}
	return count
}

// loseDisk makes a host come back empty, unless a majority would be gone for
// good in the membership that any host holds.
func (s *simulation) loseDisk() {
	p := s.pick()
	for _, other := range s.places {
		c := configurationOf(other)
		if s.alive(c, p) < len(c.Voters)/2+1 && len(c.Voters) > 0 {
			return
		}
	}
	s.crash(p)
	s.newIdentity(p)
	s.start(p)
}

func (s *simulation) transfer() {
	if p := s.leader(); p != nil {
		p.node.TransferLeadership(s.now)
		s.work(p, stopNever)
	}
}

// settle ends all faults and lets the nodes agree, as far as they can.
func (s *simulation) settle() {
	s.heal()
	for _, p := range s.places {
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
		for _, p := range s.places {
			p.node.Tick(s.now)
			s.work(p, stopNever)
		}
		for range 10 {
			batch := s.network
			s.network = nil
			for _, m := range batch {
				s.hand(m, stopNever)
			}
		}
		if s.settled() {
			return
		}
	}
	s.fail("no agreement after all faults have ended")
}

// settled tells whether a leader is known and all of its members have applied
// all.
func (s *simulation) settled() bool {
	leader := s.leader()
	if leader == nil {
		return false
	}
	status := leader.node.Status(s.now)
	if status.Commit != status.Last {
		return false
	}
	for _, m := range status.Members {
		for _, p := range s.places {
			if p.member == m.Member && p.state.index != status.Commit {
				return false
			}
		}
	}
	return true
}
