// Package directory holds the endpoints of a site as they announce themselves.
// Daemons exchange entries in any order and any number of times, and converge
// on the same content.
//
// It is a pure state machine: the present time is an argument.
package directory

import (
	"cmp"
	"slices"
	"time"

	"oleanderramp/internal/ratelimit"
)

const (
	// entryTTL is how long an endpoint is kept after its last announcement.
	entryTTL = 60 * time.Second
	// minRestartSilence applies to endpoints that announce no start time: a
	// lower sequence number counts as a restart only after this long without
	// announcements.
	minRestartSilence = 4 * time.Second
	// renewalPeriod is the interval at which a renewal counts as a change, so
	// that it reaches directories that receive only changes. It is well below
	// entryTTL, after which those would remove the entry.
	renewalPeriod = 20 * time.Second
)

// Directory holds the endpoints of a site. It is not safe for concurrent use.
type Directory struct {
	entries map[string]*record
	// former holds the versions of entries that were replaced.
	former map[Version]formerVersion
	// revision increases with each change of an entry.
	revision uint64
}

type record struct {
	Entry
	revision uint64
	// changed is the revision of the last change other than a renewal, or of
	// the last renewal that counted as a change, whichever is later.
	// propagatedAt is the time of that change.
	changed      uint64
	propagatedAt time.Time
	// direct reports whether the endpoint announced this entry to this daemon.
	direct bool
}

// Scope selects entries by the kind of update.
type Scope int

// The scopes.
const (
	// All selects every updated entry.
	All Scope = iota
	// Direct selects changes, and renewals that endpoints announced to this
	// daemon.
	Direct
	// Changes selects entries that changed other than by a renewal, and those
	// whose renewal counts as a change.
	Changes
)

func (s Scope) includes(r *record, revision uint64) bool {
	return r.changed > revision || r.revision > revision && (s == All || s == Direct && r.direct)
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{entries: make(map[string]*record), former: make(map[Version]formerVersion)}
}

// Change is the effect of an announcement.
type Change int

// The changes.
const (
	// Stale means that the announcement is not newer than the stored entry.
	Stale Change = iota
	// Renewed means that only the sequence number and the time of the
	// announcement changed.
	Renewed
	// Joined means that the endpoint is new or has restarted.
	Joined
	// Changed means that the address, service, zone, software or number of slots
	// of a known endpoint changed.
	Changed
	// Left means that the endpoint gets no new work from now on.
	Left
	// Limited means that the endpoint stated another rate limit.
	Limited
	// TurnedCold means that the endpoint has become cold, or is cold for longer than was
	// known.
	TurnedCold
)

func (c Change) String() string {
	return [...]string{"stale", "renewed", "joined", "changed", "left", "limited", "turned cold"}[c]
}

// Announce applies an announcement received from the endpoint itself.
func (d *Directory) Announce(e Entry) Change { return d.merge(e, true) }

// Merge applies an entry received from another directory.
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
	limit := held.RateLimit.merge(e.RateLimit)
	limited := ratelimit.Differ(limit.PerSecond, held.RateLimit.PerSecond)
	cold := e.Sequence >= held.Sequence && e.coldLongerThan(held.Entry)
	if e.Sequence <= held.Sequence && !leaves && !limited && !cold {
		return Stale
	}
	if e.Sequence < held.Sequence {
		e = held.Entry
	}
	e.mergeCold(held.Entry)
	e.Leaving = e.Leaving || leaves || held.Leaving
	e.RateLimit = limit
	if e.Software == "" {
		// Daemons of an older version do not pass it on.
		e.Software = held.Software
	}
	change := firstChange(leaves, limited, cold, e.describesOther(held.Entry))
	d.store(e, direct, change)
	return change
}

// firstChange returns the most important of the changes that an announcement brings.
func firstChange(leaves, limited, cold, other bool) Change {
	switch {
	case leaves:
		return Left
	case limited:
		return Limited
	case cold:
		return TurnedCold
	case other:
		return Changed
	default:
		return Renewed
	}
}

func (d *Directory) store(e Entry, direct bool, change Change) {
	d.revision++
	if e.FirstSeen.IsZero() {
		e.FirstSeen = e.LastSeen
	}
	r := &record{Entry: e, revision: d.revision, changed: d.revision, propagatedAt: e.LastSeen, direct: direct}
	if held, ok := d.entries[e.ID]; ok {
		d.recordReplaced(e.LastSeen, held.Entry, e)
		if change == Renewed && e.LastSeen.Sub(held.propagatedAt) < renewalPeriod {
			r.changed, r.propagatedAt = held.changed, held.propagatedAt
		}
	}
	d.entries[e.ID] = r
}

// Started returns when the endpoint started, as far as is known; zero otherwise.
func (d *Directory) Started(id string) time.Time {
	if held, ok := d.entries[id]; ok {
		return held.Started
	}
	return time.Time{}
}

// Leave records that the endpoint has announced its departure. started is the
// start that ends; if it is zero, the known start is meant, or for an unknown
// endpoint any start up to now.
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

// RemoveExpired removes the entries without an announcement within entryTTL.
func (d *Directory) RemoveExpired(now time.Time) {
	for id, r := range d.entries {
		if now.Sub(r.LastSeen) >= entryTTL {
			delete(d.entries, id)
		}
	}
	d.removeExpiredVersions(now)
}

// Revision returns the revision of the last change.
func (d *Directory) Revision() uint64 { return d.revision }

// Since returns the entries of the scope that were updated after the revision,
// sorted by ID.
func (d *Directory) Since(revision uint64, scope Scope) []Entry {
	return d.SinceOf(revision, scope, nil)
}

// SinceOf is like Since, but of the endpoints that are not in ids it returns
// changes alone, without renewals. A nil map stands for all endpoints.
func (d *Directory) SinceOf(revision uint64, scope Scope, ids map[string]bool) []Entry {
	var list []Entry
	for id, r := range d.entries {
		of := scope
		if ids != nil && !ids[id] {
			of = Changes
		}
		if of.includes(r, revision) {
			list = append(list, r.Entry)
		}
	}
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Usable returns the endpoints that may get new work, sorted by ID. If several
// have the same address, only the one that started last is considered.
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
