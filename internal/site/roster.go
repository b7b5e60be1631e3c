package site

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderramp/internal/ratelimit"
	"oleanderramp/internal/wire"
)

const (
	// rosterMemory is how long a router is in the roster after its last report. It may
	// only be out of touch, and still send requests.
	rosterMemory = time.Minute
	// rosterDelay is how long after its start a control host has no roster: by then the
	// routers and the other control hosts have reported.
	rosterDelay = time.Second
	// rosterReportAge is how old the last report of a router may be to be passed on to
	// the other control hosts.
	rosterReportAge = time.Second
	// rosterCheckPeriod is the interval between two searches for routers to remove.
	rosterCheckPeriod = time.Second
)

// routerID returns the id of the router on the host.
func routerID(host string) uint64 { return xxhash.Sum64String(host) }

// roster is the set of the site's routers as a control host knows it. It is not safe for
// concurrent use.
type roster struct {
	// enabled reports whether the routers need it.
	enabled bool
	started time.Time
	// direct holds when each router last reported to this host, all also those that
	// other control hosts have named.
	direct, all map[uint64]time.Time
	// list is the content of all in order, and digest identifies it, as of checkedAt.
	// changed is set if a router was added since then.
	list      []uint64
	digest    uint64
	checkedAt time.Time
	changed   bool
}

func newRoster(now time.Time, enabled bool) *roster {
	return &roster{enabled: enabled, started: now, direct: make(map[uint64]time.Time), all: make(map[uint64]time.Time)}
}

// record records the routers that a request names or comes from.
func (r *roster) record(now time.Time, request *wire.SyncRequest) {
	switch {
	case !r.enabled:
	case request.GetControl() != nil:
		for _, id := range request.GetRoster() {
			r.add(now, id)
		}
	case request.GetLoad() != nil:
		id := routerID(request.GetSender().GetHost())
		r.direct[id] = now
		r.add(now, id)
	}
}

func (r *roster) add(now time.Time, id uint64) {
	if _, known := r.all[id]; !known {
		r.changed = true
	}
	r.all[id] = now
}

// reported returns the routers that report to this host.
func (r *roster) reported(now time.Time) []uint64 {
	var list []uint64
	for id, at := range r.direct {
		if now.Sub(at) < rosterReportAge {
			list = append(list, id)
		} else {
			delete(r.direct, id)
		}
	}
	return list
}

// answer adds the roster to the response to a router, unless that has it already.
func (r *roster) answer(now time.Time, request *wire.SyncRequest, response *wire.SyncResponse) {
	switch {
	case !r.enabled || request.GetControl() != nil:
		return
	case now.Sub(r.started) < rosterDelay:
		response.RosterDigest = ratelimit.DigestPending
		return
	}
	r.update(now)
	response.RosterDigest = r.digest
	if request.GetRosterDigest() != r.digest {
		response.Roster = r.list
	}
}

// update removes the routers that have not reported for long, and lists the others.
func (r *roster) update(now time.Time) {
	if !r.changed && now.Sub(r.checkedAt) < rosterCheckPeriod {
		return
	}
	r.changed, r.checkedAt = false, now
	list := make([]uint64, 0, len(r.all))
	for id, at := range r.all {
		if now.Sub(at) >= rosterMemory {
			delete(r.all, id)
			continue
		}
		list = append(list, id)
	}
	slices.Sort(list)
	var bytes []byte
	for _, id := range list {
		bytes = binary.LittleEndian.AppendUint64(bytes, id)
	}
	// The lowest digests are reserved.
	r.list, r.digest = list, max(xxhash.Sum64(bytes), ratelimit.DigestPending+1)
}
