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

// machineState is the applied state: a register and a checksum of all applied
// entries.
type machineState struct {
	index    uint64
	register int
	checksum uint64
}

var crcTable = crc64.MakeTable(crc64.ECMA)

func (s *machineState) apply(e raft.Entry) {
	s.index = e.Index
	s.checksum = crc64.Update(s.checksum, crcTable, fmt.Appendf(nil, "%d %d %q %v", e.Index, e.Term, e.Command, e.Configuration))
	if len(e.Command) > 0 {
		s.register, _ = strconv.Atoi(string(e.Command))
	}
}

func (s *machineState) encode() []byte {
	return fmt.Appendf(nil, "%d %d %d", s.index, s.register, s.checksum)
}

func (s *machineState) decode(b []byte) error {
	_, err := fmt.Sscan(string(b), &s.index, &s.register, &s.checksum)
	return err
}

// simPeer is a simulated host: its current identity, its disk, and its node, if
// one is running.
type simPeer struct {
	member raft.Member
	node   *raft.Node
	stored raft.Stored
	state  machineState
	// lostDisk means that the host has lost a disk.
	lostDisk bool
	// frozen nodes receive neither messages nor ticks.
	frozen bool
	// calls holds the proposals that wait for this node, by index. reads holds the
	// positions in the history of its pending reads, by id.
	calls          map[uint64]call
	reads          map[uint64]int
	confirmedReads []raft.ReadState
}

type call struct {
	term uint64
	// op is the position in the history.
	op int
}

// position identifies a log entry.
type position struct{ index, term uint64 }

// storedEntry identifies a log entry on a member's disk.
type storedEntry struct {
	member raft.Member
	at     position
}

// simulation runs peers over a network that loses, delays, duplicates and
// reorders messages, and checks the invariants of the protocol.
type simulation struct {
	chooser
	fault raft.Fault
	// autoRepair makes leaders change the membership as package repair selects.
	autoRepair bool
	// targetVoters is the nodes' Config.TargetVoters.
	targetVoters int
	// waitForVoters makes clients write only where a host knows of targetVoters voters.
	waitForVoters bool
	// weights holds the weight of each action in this schedule.
	weights     []int
	totalWeight int
	// messageBytes is the nodes' Config.MaxMessageBytes.
	messageBytes int
	now          time.Time
	peers        []*simPeer
	network      []raft.Message
	blockedLinks map[[2]string]bool
	replicas     uint64
	reads        uint64

	leaders   map[uint64]raft.Member
	contents  map[position]string
	committed map[uint64]uint64
	checksums map[uint64]uint64
	history   []porcupine.Operation
	// written maps the position of an entry to its write in the history.
	written map[position]int
	// synced holds every entry that a member ever synced, and installed the
	// index of the last snapshot that a member installed.
	synced    map[storedEntry]bool
	installed map[raft.Member]uint64
	clock     int64
	values    int
	violation string
	// grown means that a membership with targetVoters voters was committed.
	grown bool
	// The counters measure how much a schedule exercised.
	commits, installs, elections, changes, answered, lostDisks int
}

func newSimulation(c chooser, fault raft.Fault, voters, hosts int) *simulation {
	s := &simulation{
		chooser: c, fault: fault, now: time.Unix(0, 0), blockedLinks: make(map[[2]string]bool),
		leaders: make(map[uint64]raft.Member), contents: make(map[position]string),
		committed: make(map[uint64]uint64), checksums: make(map[uint64]uint64),
		written: make(map[position]int),
		synced:  make(map[storedEntry]bool), installed: make(map[raft.Member]uint64),
	}
	s.messageBytes = 20 + 40*s.choose(4)
	for i := range hosts {
		s.peers = append(s.peers, &simPeer{member: raft.Member{Host: string(rune('a' + i))}})
		s.newIdentity(s.peers[i])
	}
	var members []raft.Member
	for _, p := range s.peers[:voters] {
		members = append(members, p.member)
	}
	for i, p := range s.peers {
		if i < voters {
			p.stored = raft.Bootstrap(members)
			s.recordEntries(p.stored.Entries, 0)
			s.synced[storedEntry{p.member, position{1, 1}}] = true
		}
		s.start(p)
	}
	return s
}

func (s *simulation) newIdentity(p *simPeer) {
	s.replicas++
	p.member.Replica = s.replicas
	p.stored = raft.Stored{}
}

func (s *simulation) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

func (s *simulation) start(p *simPeer) {
	stored := p.stored
	stored.Entries = slices.Clone(stored.Entries)
	node, err := raft.New(s.now, raft.Config{
		Self: p.member, ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval,
		MaxMessageBytes: s.messageBytes, MaxInflight: 3, TargetVoters: s.targetVoters, Random: rand.New(rand.NewPCG(p.member.Replica, uint64(s.clock))),
	}, stored)
	if err != nil {
		panic(err)
	}
	node.InjectFault(s.fault)
	p.node = node
	p.state = machineState{}
	p.calls = make(map[uint64]call)
	p.reads = make(map[uint64]int)
	p.confirmedReads = nil
	if stored.Snapshot.Index > 0 {
		s.restore(p, stored.Snapshot)
	}
}

func (s *simulation) crash(p *simPeer) {
	p.node = nil
	p.calls = nil
	p.reads = nil
}

func (s *simulation) restore(p *simPeer, snapshot raft.Snapshot) {
	if err := p.state.decode(snapshot.Data); err != nil {
		s.fail("decode snapshot %d of %v: %v", snapshot.Index, p.member, err)
		return
	}
	s.checkState(p)
}

// crashPoint is the point at which a crash interrupts the processing of a Ready.
type crashPoint int

const (
	crashNever crashPoint = iota
	crashBeforeSave
	crashBeforeSend
	crashBeforeApply
)

// processReady does all work that a node requests.
func (s *simulation) processReady(p *simPeer, crashAt crashPoint) {
	for p.node != nil && s.violation == "" {
		ready := p.node.Ready()
		if ready.Empty() {
			break
		}
		s.send(ready.Messages)
		if crashAt == crashBeforeSave {
			s.crash(p)
			return
		}
		if ready.MustSync {
			s.save(p, ready)
		}
		if crashAt == crashBeforeSend {
			s.crash(p)
			return
		}
		s.send(ready.SyncedMessages)
		if crashAt == crashBeforeApply {
			s.crash(p)
			return
		}
		s.apply(p, ready)
		p.node.Advance(s.now, ready)
	}
	s.checkLeader(p)
}

func (s *simulation) send(messages []raft.Message) {
	for _, m := range messages {
		decoded, err := raft.MessageFromWire(m.Wire())
		if err != nil {
			s.fail("message of %v: %v", m.From, err)
			return
		}
		s.network = append(s.network, decoded)
	}
}

func (s *simulation) save(p *simPeer, ready raft.Ready) {
	if ready.Snapshot != nil {
		p.stored.Snapshot = *ready.Snapshot
		p.stored.Entries = nil
		s.installed[p.member] = ready.Snapshot.Index
	}
	p.stored.HardState = ready.HardState
	defer func() {
		if p.stored.HardState.Commit > p.stored.Snapshot.Index+uint64(len(p.stored.Entries)) {
			s.fail("%v stored a commit index beyond the end of its log", p.member)
		}
	}()
	if len(ready.Entries) == 0 {
		return
	}
	first := ready.Entries[0].Index
	kept := first - 1 - p.stored.Snapshot.Index
	if first <= p.stored.Snapshot.Index || kept > uint64(len(p.stored.Entries)) {
		s.fail("%v stored entry %d after %d entries: gap or overlap with the snapshot", p.member, first, len(p.stored.Entries))
		return
	}
	p.stored.Entries = append(slices.Clone(p.stored.Entries[:kept]), ready.Entries...)
	previous := p.stored.Snapshot.Term
	if kept > 0 {
		previous = p.stored.Entries[kept-1].Term
	}
	s.recordEntries(ready.Entries, previous)
	for _, e := range ready.Entries {
		s.synced[storedEntry{p.member, position{e.Index, e.Term}}] = true
	}
}

func (s *simulation) apply(p *simPeer, ready raft.Ready) {
	if ready.Snapshot != nil {
		s.restore(p, *ready.Snapshot)
		s.installs++
	}
	for _, e := range ready.Committed {
		if e.Index != p.state.index+1 {
			s.fail("%v applied entry %d after entry %d", p.member, e.Index, p.state.index)
			return
		}
		p.state.apply(e)
		s.checkState(p)
		s.checkDurable(p, e)
		if c, ok := p.calls[e.Index]; ok && c.term == e.Term {
			s.history[c.op].Return = s.tick()
			s.answered++
		}
		s.recordCommitted(e)
		delete(p.calls, e.Index)
	}
	p.confirmedReads = append(p.confirmedReads, ready.Reads...)
	waiting := p.confirmedReads[:0]
	for _, r := range p.confirmedReads {
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
	p.confirmedReads = waiting
}

func (s *simulation) tick() int64 {
	s.clock++
	return s.clock
}
