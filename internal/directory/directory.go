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
	// forgetAfter is how long an endpoint that announces nothing is kept.
	forgetAfter = 60 * time.Second
	// rebornAfter is how long an endpoint that tells no time of birth must be
	// silent for a lower sequence number to mean a new start.
	rebornAfter = 4 * time.Second
	// spreadAfter is how long a sign of life is no change, well below
	// forgetAfter.
	spreadAfter = 20 * time.Second
)

// Entry is what an endpoint last announced.
type Entry struct {
	ID      string
	Service string
	// Address is "IP:port".
	Address string
	Zone    string
	Region  string
	// Born is when the endpoint started, by its own clock; zero when unknown.
	Born time.Time
	// Sequence grows with each announcement of one start.
	Sequence uint64
	// Slots is how many requests the endpoint runs at once.
	Slots int
	// Leaving endpoints get no new work. An endpoint does not come back from
	// that within one start.
	Leaving bool
	// Heard is when the announcement came in, by the receiver's clock.
	Heard time.Time
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
	changed uint64
	spread  time.Time
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

func (s Scope) holds(r *record, revision uint64) bool {
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
	if !ok || e.newStart(held.Entry) {
		change := Joined
		if e.Leaving {
			change = Left
		}
		d.store(e, direct, change)
		return change
	}
	if e.Born.Before(held.Born) {
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

// newStart tells whether e is of a later start than held.
func (e Entry) newStart(held Entry) bool {
	if e.Born.IsZero() && held.Born.IsZero() {
		return e.Sequence < held.Sequence && e.Heard.Sub(held.Heard) >= rebornAfter
	}
	return e.Born.After(held.Born)
}

func (d *Directory) store(e Entry, direct bool, change Change) {
	d.revision++
	r := &record{Entry: e, revision: d.revision, changed: d.revision, spread: e.Heard, direct: direct}
	if held, ok := d.entries[e.ID]; ok && change == Renewed && e.Heard.Sub(held.spread) < spreadAfter {
		r.changed, r.spread = held.changed, held.spread
	}
	d.entries[e.ID] = r
}

// Leave records that the endpoint leaves, as it says by itself. born is zero
// when it did not tell: then the start that is held is meant, and of an
// endpoint that is not known, any until now.
func (d *Directory) Leave(now time.Time, id string, born time.Time) Change {
	held, ok := d.entries[id]
	if !ok {
		if born.IsZero() {
			born = now
		}
		return d.Announce(Entry{ID: id, Born: born, Leaving: true, Heard: now})
	}
	if born.IsZero() {
		born = held.Born
	}
	e := held.Entry
	e.Born, e.Leaving, e.Heard = born, true, now
	return d.Announce(e)
}

// Forget removes the entries that were silent for long.
func (d *Directory) Forget(now time.Time) {
	for id, r := range d.entries {
		if now.Sub(r.Heard) >= forgetAfter {
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
		if scope.holds(r, revision) {
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
		if !taken || r.Born.After(other.Born) || r.Born.Equal(other.Born) && r.Heard.After(other.Heard) {
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
