package state

import (
	"cmp"
	"maps"
	"slices"

	"oleanderramp/internal/wire"
)

const (
	// departureTTLMS is how long a departure is kept. Daemons forget an endpoint a minute
	// after its last announcement, which may itself be delayed.
	departureTTLMS = 120_000
	// maxDepartures bounds the departures. A full table leaves out the oldest.
	maxDepartures = 16_384
	// maxEndpointBytes bounds the ID of an endpoint, as announcements do.
	maxEndpointBytes = 512
)

// departureTable holds the latest departures of endpoints.
type departureTable struct {
	// byEndpoint holds the departure of the latest start of each endpoint that left.
	byEndpoint map[string]*wire.RecordedDeparture
	// revision increases with each departure.
	revision uint64
}

func newDepartureTable() *departureTable {
	return &departureTable{byEndpoint: make(map[string]*wire.RecordedDeparture)}
}

// recordDeparture records a departure, unless that of the same or a later start is known.
func (m *Machine) recordDeparture(command *wire.RecordDeparture) *wire.Result {
	t := m.departures
	endpoint, started := command.GetEndpoint(), command.GetStartedMs()
	if !isValidText(endpoint, maxEndpointBytes) || started <= 0 {
		return errorResult(CodeBadCommand, "a departure needs an endpoint and its start")
	}
	t.removeExpired(m.clock.nowMS)
	if t.has(endpoint, started) {
		return &wire.Result{}
	}
	if len(t.byEndpoint) >= maxDepartures {
		delete(t.byEndpoint, t.sorted()[0].GetEndpoint())
	}
	t.revision++
	t.byEndpoint[endpoint] = &wire.RecordedDeparture{Endpoint: endpoint, StartedMs: started, Revision: t.revision, AtMs: m.clock.nowMS}
	m.revision++
	return &wire.Result{}
}

func (t *departureTable) has(endpoint string, startedMS int64) bool {
	known, ok := t.byEndpoint[endpoint]
	return ok && known.GetStartedMs() >= startedMS
}

func (t *departureTable) removeExpired(nowMS int64) {
	maps.DeleteFunc(t.byEndpoint, func(_ string, d *wire.RecordedDeparture) bool { return nowMS-d.GetAtMs() >= departureTTLMS })
}

// sorted returns the departures in the order in which they were recorded.
func (t *departureTable) sorted() []*wire.RecordedDeparture {
	return slices.SortedFunc(maps.Values(t.byEndpoint), func(a, b *wire.RecordedDeparture) int {
		return cmp.Compare(a.GetRevision(), b.GetRevision())
	})
}

// HasDeparture reports whether the departure of the endpoint is recorded, with this start,
// in Unix milliseconds, or a later one.
func (m *Machine) HasDeparture(endpoint string, startedMS int64) bool {
	return m.departures.has(endpoint, startedMS)
}

// DeparturesSince returns the departures that were recorded after the revision, in order.
func (m *Machine) DeparturesSince(revision uint64) []*wire.RecordedDeparture {
	if m.departures.revision <= revision {
		return nil
	}
	return slices.DeleteFunc(m.departures.sorted(), func(d *wire.RecordedDeparture) bool { return d.GetRevision() <= revision })
}

// snapshot returns the table for a snapshot, or nil if there was never a departure.
func (t *departureTable) snapshot() *wire.DepartureState {
	if t.revision == 0 {
		return nil
	}
	return &wire.DepartureState{Revision: t.revision, Departures: t.sorted()}
}

// restore replaces the table with that of a snapshot, which is nil in snapshots of former
// versions.
func (t *departureTable) restore(snapshot *wire.DepartureState) {
	t.revision = snapshot.GetRevision()
	for _, d := range snapshot.GetDepartures() {
		t.byEndpoint[d.GetEndpoint()] = d
	}
}
