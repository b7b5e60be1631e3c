// Package prefixes knows which endpoints have read which shared prompt parts
// of late. Daemons exchange its entries in any order.
//
// It is a pure state machine: the present time is an argument.
package prefixes

import (
	"cmp"
	"slices"
	"time"
)

const (
	// entryTTL is how long a part is remembered after its last use.
	entryTTL = 30 * time.Second
	// minUseAdvance is by how much a later use must be later to be news.
	minUseAdvance = 3 * time.Second
	// maxEntries bounds the entries.
	maxEntries = 50_000
)

// Entry says that an endpoint has read the parts of a prompt up to one.
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
}

type record struct {
	used     time.Time
	revision uint64
	// reported entries did not come from another index.
	reported bool
}

// New returns an empty index.
func New() *Index { return &Index{entries: make(map[entryKey]record)} }

// Report takes an entry from the daemon that sent the request, and returns true
// when it is news.
func (x *Index) Report(now time.Time, e Entry) bool { return x.merge(now, e, true) }

// Merge takes an entry from another index, and returns true when it is news.
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
	return true
}

// DeleteExpired removes what was not used for long.
func (x *Index) DeleteExpired(now time.Time) {
	for key, r := range x.entries {
		if now.Sub(r.used) >= entryTTL {
			delete(x.entries, key)
		}
	}
}

// Revision returns the number of the last change.
func (x *Index) Revision() uint64 { return x.revision }

// Since returns the entries that changed after the revision, in the order of
// their changes.
func (x *Index) Since(revision uint64) []Entry { return x.since(revision, false) }

// ReportedSince is Since without what came from other indexes.
func (x *Index) ReportedSince(revision uint64) []Entry { return x.since(revision, true) }

func (x *Index) since(revision uint64, reported bool) []Entry {
	if revision >= x.revision {
		return nil
	}
	var list []Entry
	for key, r := range x.entries {
		if r.revision > revision && (r.reported || !reported) {
			list = append(list, Entry{Key: key.key, Endpoint: key.endpoint, Used: r.used})
		}
	}
	slices.SortFunc(list, func(a, b Entry) int {
		return cmp.Compare(x.entries[entryKey{a.Key, a.Endpoint}].revision, x.entries[entryKey{b.Key, b.Endpoint}].revision)
	})
	return list
}
