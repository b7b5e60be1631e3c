// Package prefixes indexes which endpoints have recently read which shared
// prompt parts. Daemons exchange the entries; their order does not matter.
//
// The package does no I/O and reads no clock: the current time is an argument.
package prefixes

import (
	"cmp"
	"slices"
	"time"
)

const (
	// entryTTL is how long an entry is kept after the part's last use.
	entryTTL = 30 * time.Second
	// minUseAdvance is the minimum time between two recorded uses of a part.
	// Uses in between change nothing.
	minUseAdvance = 3 * time.Second
	// maxEntries bounds the number of entries in an index.
	maxEntries = 50_000
)

// Entry records that an endpoint has read a prompt part and all parts before it.
type Entry struct {
	// Key is the hash of the part and of all parts before it.
	Key      uint64
	Endpoint string
	Used     time.Time
}

type entryKey struct {
	key      uint64
	endpoint string
}

// Index holds the entries. It is not safe for concurrent use.
type Index struct {
	entries  map[entryKey]record
	revision uint64
	// changes holds the changes in ascending order of their revisions. A change
	// whose entry has changed again or is gone stays in it until the next
	// compaction.
	changes []change
}

// change is one change of an entry.
type change struct {
	revision uint64
	key      entryKey
}

type record struct {
	used     time.Time
	revision uint64
	// reported is set for entries added by Report rather than Merge.
	reported bool
}

// New returns an empty index.
func New() *Index { return &Index{entries: make(map[entryKey]record)} }

// Report adds an entry from the daemon that sent the request, and reports
// whether the index changed.
func (x *Index) Report(now time.Time, e Entry) bool { return x.merge(now, e, true) }

// Merge adds an entry from another index, and reports whether the index changed.
func (x *Index) Merge(now time.Time, e Entry) bool { return x.merge(now, e, false) }

func (x *Index) merge(now time.Time, e Entry, reported bool) bool {
	key := entryKey{key: e.Key, endpoint: e.Endpoint}
	held, ok := x.entries[key]
	if now.Sub(e.Used) >= entryTTL || ok && e.Used.Sub(held.used) < minUseAdvance {
		return false
	}
	if !ok && len(x.entries) >= maxEntries {
		return false
	}
	x.revision++
	x.entries[key] = record{used: e.Used, revision: x.revision, reported: reported}
	x.changes = append(x.changes, change{revision: x.revision, key: key})
	if len(x.changes) > 2*len(x.entries)+minCompaction {
		x.compact()
	}
	return true
}

// minCompaction is the number of outdated changes that a small index keeps.
const minCompaction = 1024

// compact removes the outdated changes.
func (x *Index) compact() {
	x.changes = slices.DeleteFunc(x.changes, func(c change) bool { return x.entries[c.key].revision != c.revision })
}

// DeleteExpired removes the entries that were not used for entryTTL.
func (x *Index) DeleteExpired(now time.Time) {
	for key, r := range x.entries {
		if now.Sub(r.used) >= entryTTL {
			delete(x.entries, key)
		}
	}
}

// Revision returns the number of the last change.
func (x *Index) Revision() uint64 { return x.revision }

// Since returns the entries that changed after the revision, ordered by their
// last change.
func (x *Index) Since(revision uint64) []Entry { return x.since(revision, false) }

// ReportedSince is like Since but omits entries from other indexes.
func (x *Index) ReportedSince(revision uint64) []Entry { return x.since(revision, true) }

// since reads only the changes after the revision, because each router asks
// several times a second.
func (x *Index) since(revision uint64, reported bool) []Entry {
	first, _ := slices.BinarySearchFunc(x.changes, revision+1, func(c change, revision uint64) int { return cmp.Compare(c.revision, revision) })
	var list []Entry
	for _, c := range x.changes[first:] {
		r := x.entries[c.key]
		if r.revision == c.revision && (r.reported || !reported) {
			list = append(list, Entry{Key: c.key.key, Endpoint: c.key.endpoint, Used: r.used})
		}
	}
	return list
}
