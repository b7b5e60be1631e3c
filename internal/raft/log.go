package raft

import "slices"

// entryLog is the part of the log that is held in memory.
type entryLog struct {
	// baseIndex and baseTerm identify the entry before entries[0].
	baseIndex uint64
	baseTerm  uint64
	// entries[i].Index is baseIndex+1+i.
	entries []Entry
	// snapshot is the latest snapshot; its Index is at least baseIndex.
	snapshot Snapshot
	// stable is the last synced index.
	stable uint64
	// commit is never below snapshot.Index and never decreases.
	commit uint64
	// delivered is the last committed index that was returned in a Ready.
	delivered uint64
	// bytes is the total size of entries.
	bytes int
}

func newEntryLog(stored Stored) entryLog {
	l := entryLog{
		baseIndex: stored.Snapshot.Index,
		baseTerm:  stored.Snapshot.Term,
		entries:   slices.Clone(stored.Entries),
		snapshot:  stored.Snapshot,
	}
	l.stable = l.lastIndex()
	l.delivered = stored.Snapshot.Index
	l.commit = max(stored.Snapshot.Index, min(stored.HardState.Commit, l.lastIndex()))
	for _, e := range l.entries {
		l.bytes += e.size()
	}
	return l
}

func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, or false when the entry isn't in
// memory.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	got, ok := l.term(index)
	return ok && got == term
}

// slice returns the entries from from to to, both inclusive, limited to limit
// bytes but at least one entry. All of them must be in memory.
func (l *entryLog) slice(from, to uint64, limit int) []Entry {
	if from > to {
		return nil
	}
	entries := l.entries[from-l.baseIndex-1 : to-l.baseIndex]
	size := 0
	for i, e := range entries {
		size += e.size()
		if size > limit && i > 0 {
			entries = entries[:i]
			break
		}
	}
	return slices.Clip(entries)
}

func (l *entryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
	for _, e := range entries {
		l.bytes += e.size()
	}
}

// truncate removes all entries after index.
func (l *entryLog) truncate(index uint64) {
	for _, e := range l.entries[index-l.baseIndex:] {
		l.bytes -= e.size()
	}
	// A message may still reference the removed entries.
	l.entries = slices.Clone(l.entries[:index-l.baseIndex])
	l.stable = min(l.stable, index)
}

// compact removes all entries up to and including index.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term, _ := l.term(index)
	for _, e := range l.entries[:index-l.baseIndex] {
		l.bytes -= e.size()
	}
	l.entries = slices.Clone(l.entries[index-l.baseIndex:])
	l.baseIndex = index
	l.baseTerm = term
}

// restore replaces the log with a snapshot.
func (l *entryLog) restore(snapshot Snapshot) {
	*l = entryLog{
		baseIndex: snapshot.Index,
		baseTerm:  snapshot.Term,
		snapshot:  snapshot,
		stable:    snapshot.Index,
		commit:    snapshot.Index,
		delivered: snapshot.Index,
	}
}

// configurationAt returns the membership as of index and the index of the
// entry that set it.
func (l *entryLog) configurationAt(index uint64) (Configuration, uint64) {
	for i := index; i > l.snapshot.Index && i > l.baseIndex; i-- {
		if c := l.entries[i-l.baseIndex-1].Configuration; c != nil {
			return *c, i
		}
	}
	return l.snapshot.Configuration, l.snapshot.Index
}

// firstOfTerm returns the index of the first entry in memory that has the same
// term as the entry at index.
func (l *entryLog) firstOfTerm(index uint64) uint64 {
	term, _ := l.term(index)
	for index > l.baseIndex+1 && l.matches(index-1, term) {
		index--
	}
	return index
}

// upToDate reports whether a log that ends with the given entry is at least as
// up-to-date as this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	lastTerm := l.lastTerm()
	return term > lastTerm || term == lastTerm && index >= l.lastIndex()
}
