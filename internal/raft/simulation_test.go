package raft_test

import (
	"fmt"
	"hash/crc64"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/anishathalye/porcupine"

	"oleanderramp/internal/raft"
)

const (
	electionTimeout   = 100 * time.Millisecond
	heartbeatInterval = 20 * time.Millisecond
)

// chooser decides what happens next in a schedule.
type chooser interface {
	// choose returns a number from 0 to n-1.
	choose(n int) int
}

type seededChooser struct{ *rand.Rand }

func (c seededChooser) choose(n int) int { return c.IntN(n) }

func seeded(seed uint64) chooser { return seededChooser{rand.New(rand.NewPCG(seed, 2))} }

// machineState is the applied state: a register and a checksum of all that was
// applied.
type machineState struct {
	index    uint64
	register int
	chain    uint64
}

var table = crc64.MakeTable(crc64.ECMA)

func (s *machineState) apply(e raft.Entry) {
	s.index = e.Index
	s.chain = crc64.Update(s.chain, table, fmt.Appendf(nil, "%d %d %q %v", e.Index, e.Term, e.Command, e.Configuration))
	if len(e.Command) > 0 {
		s.register, _ = strconv.Atoi(string(e.Command))
	}
}

func (s *machineState) encode() []byte {
	return fmt.Appendf(nil, "%d %d %d", s.index, s.register, s.chain)
}

func (s *machineState) decode(b []byte) error {
	_, err := fmt.Sscan(string(b), &s.index, &s.register, &s.chain)
	return err
}

// place is a host: its present identity, its disk, and the running node.
type place struct {
	member raft.Member
	node   *raft.Node
	stored raft.Stored
	state  machineState
	// frozen nodes get neither messages nor the time.
	frozen bool
	// calls and reads wait for this node, by index and by id.
	calls map[uint64]call
	reads map[uint64]int
	ready []raft.ReadState
}

type call struct {
	term uint64
	// op is the position in the history.
	op int
}

// position identifies an entry.
type position struct{ index, term uint64 }

// held is an entry on a member's disk.
type held struct {
	member raft.Member
	at     position
}

// simulation runs places over a network that loses, delays, repeats and
// reorders, and checks what must always hold.
type simulation struct {
	chooser
	variant raft.Variant
	// repairs says that the membership is changed as a site's leader does.
	repairs bool
	// firstVoters is the nodes' Config.FirstVoters.
	firstVoters int
	// weights are those of the actions in this schedule.
	weights     []int
	totalWeight int
	// messageBytes is the nodes' Config.MaxMessageBytes.
	messageBytes int
	now          time.Time
	places       []*place
	network      []raft.Message
	cut          map[[2]string]bool
	replicas     uint64
	reads        uint64

	leaders   map[uint64]raft.Member
	contents  map[position]string
	committed map[uint64]uint64
	chains    map[uint64]uint64
	history   []porcupine.Operation
	// written holds the writes in the history.
	written map[position]int
	// saved holds who ever synced an entry, and installed up to where a
	// snapshot held them.
	saved     map[held]bool
	installed map[raft.Member]uint64
	clock     int64
	values    int
	violation string
	// counts tells how much a schedule exercised.
	commits, installs, elections, changes, answered int
}

func newSimulation(c chooser, variant raft.Variant, voters, hosts int) *simulation {
	s := &simulation{
		chooser: c, variant: variant, now: time.Unix(0, 0), cut: make(map[[2]string]bool),
		leaders: make(map[uint64]raft.Member), contents: make(map[position]string),
		committed: make(map[uint64]uint64), chains: make(map[uint64]uint64),
		written: make(map[position]int),
		saved:   make(map[held]bool), installed: make(map[raft.Member]uint64),
	}
	s.messageBytes = 20 + 40*s.choose(4)
	for i := range hosts {
		s.places = append(s.places, &place{member: raft.Member{Host: string(rune('a' + i))}})
		s.newIdentity(s.places[i])
	}
	var members []raft.Member
	for _, p := range s.places[:voters] {
		members = append(members, p.member)
	}
	for i, p := range s.places {
		if i < voters {
			p.stored = raft.Bootstrap(members)
			s.noteEntries(p.stored.Entries, 0)
			s.saved[held{p.member, position{1, 1}}] = true
		}
		s.start(p)
	}
	return s
}

func (s *simulation) newIdentity(p *place) {
	s.replicas++
	p.member.Replica = s.replicas
	p.stored = raft.Stored{}
}

func (s *simulation) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

func (s *simulation) start(p *place) {
	stored := p.stored
	stored.Entries = slices.Clone(stored.Entries)
	node, err := raft.New(s.now, raft.Config{
		Self: p.member, ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval,
		MaxMessageBytes: s.messageBytes, MaxInflight: 3, FirstVoters: s.firstVoters, Random: rand.New(rand.NewPCG(p.member.Replica, uint64(s.clock))),
	}, stored)
	if err != nil {
		panic(err)
	}
	node.Break(s.variant)
	p.node = node
	p.state = machineState{}
	p.calls = make(map[uint64]call)
	p.reads = make(map[uint64]int)
	p.ready = nil
	if stored.Snapshot.Index > 0 {
		s.restore(p, stored.Snapshot)
	}
}

func (s *simulation) crash(p *place) {
	p.node = nil
	p.calls = nil
	p.reads = nil
}

func (s *simulation) restore(p *place, snapshot raft.Snapshot) {
	if err := p.state.decode(snapshot.Data); err != nil {
		s.fail("snapshot %d of %v can't be read: %v", snapshot.Index, p.member, err)
		return
	}
	s.checkState(p)
}

// stops says where a crash interrupts the handling of a Ready.
type stops int

const (
	stopNever stops = iota
	stopBeforeSave
	stopBeforeSend
	stopBeforeApply
)

// work handles all that a node asks for.
func (s *simulation) work(p *place, stop stops) {
	for p.node != nil && s.violation == "" {
		ready := p.node.Ready()
		if ready.Empty() {
			break
		}
		s.send(ready.Messages)
		if stop == stopBeforeSave {
			s.crash(p)
			return
		}
		if ready.MustSync {
			s.save(p, ready)
		}
		if stop == stopBeforeSend {
			s.crash(p)
			return
		}
		s.send(ready.SyncedMessages)
		if stop == stopBeforeApply {
			s.crash(p)
			return
		}
		s.apply(p, ready)
		p.node.Advance(ready)
	}
	s.checkLeader(p)
}

func (s *simulation) send(messages []raft.Message) {
	for _, m := range messages {
		through, err := raft.MessageFromWire(m.Wire())
		if err != nil {
			s.fail("message of %v: %v", m.From, err)
			return
		}
		s.network = append(s.network, through)
	}
}

func (s *simulation) save(p *place, ready raft.Ready) {
	if ready.Snapshot != nil {
		p.stored.Snapshot = *ready.Snapshot
		p.stored.Entries = nil
		s.installed[p.member] = ready.Snapshot.Index
	}
	p.stored.HardState = ready.HardState
	defer func() {
		if p.stored.HardState.Commit > p.stored.Snapshot.Index+uint64(len(p.stored.Entries)) {
			s.fail("%v stores a commit index beyond its log", p.member)
		}
	}()
	if len(ready.Entries) == 0 {
		return
	}
	first := ready.Entries[0].Index
	kept := first - 1 - p.stored.Snapshot.Index
	if first <= p.stored.Snapshot.Index || kept > uint64(len(p.stored.Entries)) {
		s.fail("%v stores entry %d after %d entries", p.member, first, len(p.stored.Entries))
		return
	}
	p.stored.Entries = append(slices.Clone(p.stored.Entries[:kept]), ready.Entries...)
	previous := p.stored.Snapshot.Term
	if kept > 0 {
		previous = p.stored.Entries[kept-1].Term
	}
	s.noteEntries(ready.Entries, previous)
	for _, e := range ready.Entries {
		s.saved[held{p.member, position{e.Index, e.Term}}] = true
	}
}

func (s *simulation) apply(p *place, ready raft.Ready) {
	if ready.Snapshot != nil {
		s.restore(p, *ready.Snapshot)
		s.installs++
	}
	for _, e := range ready.Committed {
		if e.Index != p.state.index+1 {
			s.fail("%v applies %d after %d", p.member, e.Index, p.state.index)
			return
		}
		p.state.apply(e)
		s.checkState(p)
		s.checkDurable(p, e)
		if c, ok := p.calls[e.Index]; ok && c.term == e.Term {
			s.history[c.op].Return = s.tick()
			s.answered++
		}
		s.noteCommitted(e)
		delete(p.calls, e.Index)
	}
	p.ready = append(p.ready, ready.Reads...)
	waiting := p.ready[:0]
	for _, r := range p.ready {
		op, known := p.reads[r.ID]
		if r.Index > p.state.index {
			waiting = append(waiting, r)
		} else if known {
			s.history[op].Output = p.state.register
			s.history[op].Return = s.tick()
			s.answered++
			delete(p.reads, r.ID)
		}
	}
	p.ready = waiting
}

func (s *simulation) tick() int64 {
	s.clock++
	return s.clock
}
