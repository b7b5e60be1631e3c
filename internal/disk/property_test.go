package disk_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"oleanderramp/internal/disk"
	"oleanderramp/internal/raft"
)

// model is the expected content of a store.
type model raft.Stored

func (m model) lastIndex() uint64 { return m.Snapshot.Index + uint64(len(m.Entries)) }

// after returns the model after a Save.
func (m model) after(state raft.HardState, entries []raft.Entry, snapshot *raft.Snapshot) model {
	if snapshot != nil {
		m.Snapshot = *snapshot
		m.Entries = nil
	}
	m.HardState = state
	if len(entries) > 0 {
		kept := entries[0].Index - 1 - m.Snapshot.Index
		m.Entries = append(slices.Clone(m.Entries[:kept]), entries...)
	}
	return m
}

// afterCompaction returns the model with the snapshot and the entries that
// follow it. No entries remain if the log doesn't hold the snapshot's last
// entry.
func (m model) afterCompaction(snapshot raft.Snapshot) model {
	skip := snapshot.Index - m.Snapshot.Index
	if skip > 0 && skip <= uint64(len(m.Entries)) && m.Entries[skip-1].Term == snapshot.Term {
		m.Entries = m.Entries[skip:]
	} else if skip > 0 {
		m.Entries = nil
	}
	m.Snapshot = snapshot
	return m
}

func (m model) String() string {
	entries := make([]string, len(m.Entries))
	for i, e := range m.Entries {
		entries[i] = formatEntry(e)
	}
	return fmt.Sprintf("%v snapshot %d/%d %v %q entries %v",
		m.HardState, m.Snapshot.Index, m.Snapshot.Term, m.Snapshot.Configuration, m.Snapshot.Data, entries)
}

// formatEntry formats the content of an entry. The configuration is a pointer,
// of which %v would print the address.
func formatEntry(e raft.Entry) string {
	configuration := "none"
	if e.Configuration != nil {
		configuration = fmt.Sprintf("%+v", *e.Configuration)
	}
	return fmt.Sprintf("%d/%d %q configuration %s", e.Index, e.Term, e.Command, configuration)
}

// modelTest makes random calls to a store and compares it with its model.
type modelTest struct {
	// choose returns a number from 0 to n-1.
	choose     func(n int) int
	fatalf     func(format string, args ...any)
	ignoreSync bool
	folder     *memoryFolder
	store      *disk.Store
	model      model
	term       uint64
}

func (s *modelTest) open() {
	store, err := disk.Open(s.folder, disk.Options{Host: "a", NewReplica: 7, SegmentBytes: 300})
	if err != nil {
		s.fatalf("open: %v", err)
	}
	s.store = store
}

func (s *modelTest) entries() []raft.Entry {
	var entries []raft.Entry
	first := s.model.lastIndex() + 1
	uncommitted := int(s.model.lastIndex() - max(s.model.HardState.Commit, s.model.Snapshot.Index))
	if uncommitted > 0 && s.choose(4) == 0 {
		first -= uint64(1 + s.choose(uncommitted))
		s.term++
	}
	for i := range s.choose(4) {
		command := make([]byte, s.choose(5)*s.choose(5)*40)
		for j := range command {
			command[j] = byte(j)
		}
		entries = append(entries, raft.Entry{Index: first + uint64(i), Term: s.term, Command: command})
	}
	return entries
}

// save draws a call to Save. It returns the states that a crash during the call
// may leave.
func (s *modelTest) save() (allowed []model, call func() error) {
	var snapshot *raft.Snapshot
	before := s.model
	allowed = append(allowed, before)
	if s.choose(8) == 0 {
		s.term++
		snapshot = &raft.Snapshot{Index: before.lastIndex() + uint64(1+s.choose(3)), Term: s.term, Data: []byte("installed")}
		allowed = append(allowed, before.afterCompaction(*snapshot))
		s.model = before.after(before.HardState, nil, snapshot)
	}
	entries := s.entries()
	state := raft.HardState{Term: s.term, Vote: raft.Member{Host: "b", Replica: 3}, Commit: s.drawCommit(before, entries, snapshot)}
	s.model = before.after(state, entries, snapshot)
	return append(allowed, s.model), func() error { return s.store.Save(state, entries, snapshot) }
}

// drawCommit draws a commit index that is valid with an update.
func (s *modelTest) drawCommit(before model, entries []raft.Entry, snapshot *raft.Snapshot) uint64 {
	last := before.after(before.HardState, entries, snapshot).lastIndex()
	first := max(before.HardState.Commit, before.Snapshot.Index)
	if snapshot != nil {
		first = snapshot.Index
	}
	if len(entries) > 0 {
		last = entries[len(entries)-1].Index
	}
	return first + uint64(s.choose(int(last-first)+1))
}

func (s *modelTest) compact() (allowed []model, call func() error) {
	if len(s.model.Entries) == 0 {
		return []model{s.model}, func() error { return nil }
	}
	applied := int(s.model.HardState.Commit) - int(s.model.Snapshot.Index)
	if applied <= 0 {
		return []model{s.model}, func() error { return nil }
	}
	last := s.model.Entries[s.choose(applied)]
	snapshot := raft.Snapshot{Index: last.Index, Term: last.Term, Data: []byte("compacted")}
	before := s.model
	s.model = before.afterCompaction(snapshot)
	return []model{before, s.model}, func() error { return s.store.Compact(snapshot) }
}

func (s *modelTest) step() {
	draw := s.save
	if s.choose(5) == 0 {
		draw = s.compact
	}
	allowed, call := draw()
	if s.choose(6) == 0 {
		s.injectWriteError()
	}
	err := call()
	for isRetryable(err) && s.choose(4) > 0 {
		if s.choose(2) == 0 {
			s.injectWriteError()
		}
		err = call()
	}
	s.folder.failIn = 0
	if err != nil {
		if !isRetryable(err) && s.store.Save(raft.HardState{}, nil, nil) == nil {
			s.fatalf("a failed store accepted a write")
		}
		s.reopen(allowed)
		return
	}
	if s.choose(6) == 0 {
		s.reopen([]model{s.model})
	}
}

func (s *modelTest) injectWriteError() {
	s.folder.failIn = 1 + s.choose(8)
	s.folder.partial = s.choose(200)
}

func isRetryable(err error) bool {
	var failure *disk.WriteError
	return errors.As(err, &failure) && failure.Retryable()
}

// reopen crashes the host or only kills the process, and opens the folder, which
// must hold one of the allowed states.
func (s *modelTest) reopen(allowed []model) {
	if s.choose(2) == 0 {
		s.folder.kill()
	} else {
		s.folder.crash(s.choose)
	}
	s.open()
	got := model(s.store.Load())
	for _, want := range allowed {
		if got.String() == want.String() {
			s.model = want
			return
		}
	}
	s.fatalf("got %v\nwant one of %v", got, allowed)
}

// run makes 30 calls, with crashes and write errors among them.
func (s *modelTest) run() {
	s.folder = newMemoryFolder()
	s.term = 1
	s.open()
	s.folder.ignoreSync = s.ignoreSync
	for range 30 {
		s.step()
	}
}

// TestCrashesAndDiskFull injects crashes and write errors at random steps. The
// store must keep the effect of each call that returned, and of an interrupted
// call either everything or nothing.
func TestCrashesAndDiskFull(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &modelTest{fatalf: t.Fatalf}
		s.choose = func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		s.run()
	})
}

// TestModelDetectsMissingSync checks that modelTest fails if syncs have no
// effect.
func TestModelDetectsMissingSync(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		if reportsViolation(&modelTest{choose: random.IntN, ignoreSync: true}) {
			return
		}
	}
	t.Fatal("missing syncs were not detected in 100 runs")
}

func reportsViolation(s *modelTest) (violated bool) {
	type violation struct{}
	s.fatalf = func(string, ...any) { panic(violation{}) }
	defer func() {
		switch r := recover(); r.(type) {
		case nil:
		case violation:
			violated = true
		default:
			panic(r)
		}
	}()
	s.run()
	return false
}
