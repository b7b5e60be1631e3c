// Package directory knows the endpoints of a site from their announcements.
// Daemons exchange entries in any order and as often as they like: what each
// holds in the end is the same.
//
// It is a pure state machine: the present time is an argument.
package directory

import (
	"cmp"
	"slices"
	"time"
)

const (
	// entryTTL is how long an endpoint that announces nothing is kept.
	entryTTL = 60 * time.Second
	// minRestartSilence is how long an endpoint that tells no time of birth must be
	// silent for a lower sequence number to mean a new start.
	minRestartSilence = 4 * time.Second
	// renewalPeriod is how long a sign of life is no change, well below
	// forgetAfter.
	renewalPeriod = 20 * time.Second
)

// Entry is what an endpoint last announced.
type Entry struct {
	ID      string
	Service string
	// Address is "IP:port".
	Address string
	Zone    string
	Region  string
	// Started is when the endpoint started, by its own clock; zero when unknown.
	Started time.Time
	// Sequence grows with each announcement of one start.
	Sequence uint64
	// Slots is how many requests the endpoint runs at once.
	Slots int
	// Leaving endpoints get no new work. An endpoint does not come back from
	// that within one start.
	Leaving bool
	// LastSeen is when the announcement came in, by the receiver's clock.
	LastSeen time.Time
}

// Directory holds the entries. It is not safe for concurrent use.
type Directory struct {
	entries map[string]*record
	// revision grows with each change of an entry.
	revision uint64
}

type record struct {
	Entry
	revision uint64
	// changed is the revision of the last change that is more than a sign of
	// life, or of the first sign of life after long, which came at spread.
	changed      uint64
	propagatedAt time.Time
	// direct says that the endpoint told this daemon itself.
	direct bool
}

// Scope says which entries are meant.
type Scope int

// The scopes.
const (
	// All entries.
	All Scope = iota
	// Direct entries are changes, and the signs of life that endpoints gave to
	// this daemon itself.
	Direct
	// Changes are entries with more news than a sign of life.
	Changes
)

func (s Scope) includes(r *record, revision uint64) bool {
	return r.changed > revision || r.revision > revision && (s == All || s == Direct && r.direct)
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{entries: make(map[string]*record)}
}

// Change says what an announcement did.
type Change int

// The changes.
const (
	// Stale announcements are older than what is held.
	Stale Change = iota
	// Renewed says that the endpoint is as it was.
	Renewed
	// Joined says that the endpoint is new, or has started again.
	Joined
	// Changed says that the endpoint is there as before, at another address or
	// with other slots.
	Changed
	// Left says that the endpoint gets no new work from now on.
	Left
)

func (c Change) String() string {
	return [...]string{"stale", "renewed", "joined", "changed", "left"}[c]
}

// Announce takes an entry from an endpoint.
func (d *Directory) Announce(e Entry) Change { return d.merge(e, true) }

// Merge takes an entry from another directory.
func (d *Directory) Merge(e Entry) Change { return d.merge(e, false) }

func (d *Directory) merge(e Entry, direct bool) Change {
	held, ok := d.entries[e.ID]
	if !ok || e.isRestartOf(held.Entry) {
		change := Joined
		if e.Leaving {
			change = Left
		}
		d.store(e, direct, change)
		return change
	}
	if e.Started.Before(held.Started) {
		return Stale
	}
	leaves := e.Leaving && !held.Leaving
	if e.Sequence <= held.Sequence && !leaves {
		return Stale
	}
	if e.Sequence < held.Sequence {
		e = held.Entry
	}
	e.Leaving = e.Leaving || leaves || held.Leaving
	change := Renewed
	switch {
	case leaves:
		change = Left
	case e.Address != held.Address || e.Slots != held.Slots || e.Service != held.Service || e.Zone != held.Zone:
		change = Changed
	}
	d.store(e, direct, change)
	return change
}

// isRestartOf tells whether e is of a later start than held.
func (e Entry) isRestartOf(held Entry) bool {
	if e.Started.IsZero() && held.Started.IsZero() {
		return e.Sequence < held.Sequence && e.LastSeen.Sub(held.LastSeen) >= minRestartSilence
	}
	return e.Started.After(held.Started)
}

func (d *Directory) store(e Entry, direct bool, change Change) {
	d.revision++
	r := &record{Entry: e, revision: d.revision, changed: d.revision, propagatedAt: e.LastSeen, direct: direct}
	if held, ok := d.entries[e.ID]; ok && change == Renewed && e.LastSeen.Sub(held.propagatedAt) < renewalPeriod {
		r.changed, r.propagatedAt = held.changed, held.propagatedAt
	}
	d.entries[e.ID] = r
}

// Leave records that the endpoint leaves, as it says by itself. born is zero
// when it did not tell: then the start that is held is meant, and of an
// endpoint that is not known, any until now.
func (d *Directory) Leave(now time.Time, id string, started time.Time) Change {
	held, ok := d.entries[id]
	if !ok {
		if started.IsZero() {
			started = now
		}
		return d.Announce(Entry{ID: id, Started: started, Leaving: true, LastSeen: now})
	}
	if started.IsZero() {
		started = held.Started
	}
	e := held.Entry
	e.Started, e.Leaving, e.LastSeen = started, true, now
	return d.Announce(e)
}

// RemoveExpired removes the entries that were silent for long.
func (d *Directory) RemoveExpired(now time.Time) {
	for id, r := range d.entries {
		if now.Sub(r.LastSeen) >= entryTTL {
			delete(d.entries, id)
		}
	}
}

// Revision returns the number of the last change.
func (d *Directory) Revision() uint64 { return d.revision }

// Since returns the entries of the scope with news after the revision, by id.
func (d *Directory) Since(revision uint64, scope Scope) []Entry {
	var list []Entry
	for _, r := range d.entries {
		if scope.includes(r, revision) {
			list = append(list, r.Entry)
		}
	}
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Usable returns the endpoints that may get new work, by id. Of several at one
// address only the one that started last is there.
func (d *Directory) Usable() []Entry {
	last := make(map[string]Entry, len(d.entries))
	for _, r := range d.entries {
		if r.Address == "" {
			continue
		}
		other, taken := last[r.Address]
		if !taken || r.Started.After(other.Started) || r.Started.Equal(other.Started) && r.LastSeen.After(other.LastSeen) {
			last[r.Address] = r.Entry
		}
	}
	var list []Entry
	for _, e := range last {
		if !e.Leaving {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
