package ratelimit

import (
	"slices"
	"time"
)

const (
	// missingMemory is how long a router counts after it was last reported. Control hosts
	// report routers that are silent for much longer; a control host that has just
	// started does not know all of them yet.
	missingMemory = 10 * time.Second
	// settleTime is how long a router has no turns after it first got the roster. By
	// then all others know it, and what they sent in its place is older than ColdWindow.
	settleTime = 2 * time.Second
	// contactMaxAge is the silence after which a router counts as out of touch.
	contactMaxAge = 3 * time.Second
)

// The digests that stand for no list.
const (
	// DigestNone is that of a control host that keeps no roster.
	DigestNone uint64 = iota
	// DigestPending is that of a control host that does not know all routers yet.
	DigestPending
)

// Roster is the set of the site's routers as one of them knows it. All routers derive
// from it which of them may use a cold endpoint, without messages about endpoints. It is
// not safe for concurrent use.
type Roster struct {
	self uint64
	// current are the routers last reported, and digest names that list.
	current []uint64
	digest  uint64
	// missing are routers no longer reported, with the time when they last were. They
	// count for missingMemory.
	missing map[uint64]time.Time
	// since is when the first list came, heardAt when the last one did; both are zero
	// before that.
	since, heardAt time.Time
	// revision increases with each change of the set.
	revision uint64
	// absent is set if the control hosts keep no roster.
	absent bool
}

// NewRoster returns an empty roster for the router with the id.
func NewRoster(self uint64) *Roster {
	return &Roster{self: self, missing: make(map[uint64]time.Time)}
}

// Update replaces the reported routers, unless digest, which identifies the list, is that
// of the last one or of none. It is called each time this router hears of the others.
func (r *Roster) Update(now time.Time, digest uint64, ids []uint64) {
	if silence := now.Sub(r.heardAt); !r.heardAt.IsZero() && silence > contactMaxAge {
		// Nothing is known of the time out of touch: it does not age the routers.
		for id, at := range r.missing {
			r.missing[id] = at.Add(silence)
		}
	}
	r.heardAt = now
	r.absent = digest == DigestNone && r.since.IsZero()
	if digest > DigestPending && digest != r.digest && len(ids) > 0 {
		r.replace(now, ids)
		r.digest = digest
	}
	for id, at := range r.missing {
		if now.Sub(at) >= missingMemory {
			delete(r.missing, id)
			r.revision++
		}
	}
}

func (r *Roster) replace(now time.Time, ids []uint64) {
	if r.since.IsZero() {
		r.since = now
	}
	for _, id := range r.current {
		r.missing[id] = now
	}
	r.current = slices.Clone(ids)
	for _, id := range r.current {
		delete(r.missing, id)
	}
	r.revision++
}

// settled reports whether this router has known the roster for settleTime.
func (r *Roster) settled(now time.Time) bool {
	return !r.since.IsZero() && now.Sub(r.since) >= settleTime
}

// Digest returns the digest of the last list.
func (r *Roster) Digest() uint64 { return r.digest }

// Absent reports whether there is no roster to keep limits by, as the control hosts are
// of an older version.
func (r *Roster) Absent() bool { return r.absent }

// InTouch reports whether this router has heard of the others within contactMaxAge.
func (r *Roster) InTouch(now time.Time) bool {
	return !r.heardAt.IsZero() && now.Sub(r.heardAt) < contactMaxAge
}

// place returns this router's place in the order of preference for the endpoint, from 0
// on, and the number of routers. The order is by rendezvous hashing: a router that joins
// or leaves changes the places of the others by at most one.
func (r *Roster) place(endpoint uint64) (place, size int) {
	own := score(r.self, endpoint)
	size = 1
	count := func(id uint64) {
		if id == r.self {
			return
		}
		size++
		if s := score(id, endpoint); s > own || s == own && id > r.self {
			place++
		}
	}
	for _, id := range r.current {
		count(id)
	}
	for id := range r.missing {
		count(id)
	}
	return place, size
}

// score returns the preference of a router for an endpoint.
func score(router, endpoint uint64) uint64 {
	// The finalizer of splitmix64.
	x := router ^ endpoint
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
