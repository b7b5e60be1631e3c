package speeds

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// recordTTL is how long the sums of an endpoint are kept after the last sample.
	// By then a sample counts a 64th.
	recordTTL = 6 * halfLife
	// maxRecords bounds the number of endpoints in an index.
	maxRecords = 4096
	// refreshPeriod is how often the estimates are computed.
	refreshPeriod = 200 * time.Millisecond
)

// Endpoint names an endpoint of a service.
type Endpoint struct {
	ID      string
	Service string
	// Started is when the endpoint started; zero if unknown.
	Started time.Time
}

// Speed is the estimate for one start of an endpoint.
type Speed struct {
	Endpoint string
	Started  time.Time
	Estimate Estimate
}

// Change is a considerable change of an endpoint's speed.
type Change struct {
	Endpoint, Service string
	// Factor is the prefill rate relative to the average of the service, and Before
	// what it was at the last Change.
	Factor, Before float64
	Estimate       Estimate
}

// notableChange is the change of the factor from which on there is a Change.
const notableChange = 0.25

// Index holds the sums of all endpoints as a control host knows them, and the
// estimates that follow. It is not safe for concurrent use.
type Index struct {
	records  map[string]*record
	revision uint64
	// estimates holds the records with an estimate, by ascending revision of it.
	estimates   []*record
	refreshedAt time.Time
}

// record holds the sums of one start of an endpoint.
type record struct {
	id      string
	started time.Time
	// direct are the sums that routers have reported to this control host.
	direct         Decaying
	directRevision uint64
	// peers are those that were reported to other control hosts, by the incarnation
	// of the host. Each host states its own sums as a whole, so that repetitions and
	// lost messages change nothing.
	peers map[uint64]*Decaying
	// estimate is the one that routers get, revision its last change.
	estimate Estimate
	revision uint64
	// factor is that of the last Change.
	factor float64
}

// NewIndex returns an empty index.
func NewIndex() *Index { return &Index{records: make(map[string]*record)} }

// Report adds what a router has measured since its last report.
func (x *Index) Report(now time.Time, s Sample) {
	if r := x.record(s); r != nil {
		r.direct.Add(now, s.Sums)
		x.revision++
		r.directRevision = x.revision
	}
}

// Merge replaces the sums that routers have reported to another control host, which
// runs under the incarnation.
func (x *Index) Merge(now time.Time, incarnation uint64, s Sample) {
	if r := x.record(s); r != nil {
		sums := &Decaying{}
		sums.Add(now, s.Sums)
		r.peers[incarnation] = sums
	}
}

// record returns the record for the sample; nil if it is not valid, or of a former
// start of the endpoint. A restarted endpoint gets a new record.
func (x *Index) record(s Sample) *record {
	if !s.Sums.valid() {
		return nil
	}
	r, ok := x.records[s.Endpoint]
	switch {
	case !ok && len(x.records) >= maxRecords, ok && s.Started.Before(r.started):
		return nil
	case !ok || s.Started.After(r.started):
		r = &record{id: s.Endpoint, started: s.Started, peers: make(map[uint64]*Decaying), factor: 1}
		x.records[s.Endpoint] = r
	}
	return r
}

// DirectSince returns the sums reported to this control host of the endpoints for
// which there were new ones after the revision, and the present revision.
func (x *Index) DirectSince(now time.Time, revision uint64) ([]Sample, uint64) {
	var list []Sample
	for _, r := range x.records {
		if r.directRevision > revision {
			list = append(list, Sample{Endpoint: r.id, Started: r.started, Sums: r.direct.As(now)})
		}
	}
	return list, x.revision
}

// Since returns the estimates that changed after the revision, and the present
// revision.
func (x *Index) Since(revision uint64) ([]Speed, uint64) {
	first, _ := slices.BinarySearchFunc(x.estimates, revision+1, func(r *record, revision uint64) int { return cmp.Compare(r.revision, revision) })
	var list []Speed
	for _, r := range x.estimates[first:] {
		list = append(list, Speed{Endpoint: r.id, Started: r.started, Estimate: r.estimate})
	}
	return list, x.revision
}

// RefreshDue reports whether the estimates are to be computed again.
func (x *Index) RefreshDue(now time.Time) bool { return now.Sub(x.refreshedAt) >= refreshPeriod }

// Refresh computes the estimates of the endpoints, and removes the records of former
// starts and those that have expired. It returns the considerable changes.
func (x *Index) Refresh(now time.Time, endpoints []Endpoint) []Change {
	x.refreshedAt = now
	records, sums := make(map[string][]*record), make(map[string][]Sums)
	for _, e := range endpoints {
		r, ok := x.records[e.ID]
		switch {
		case ok && e.Started.After(r.started):
			delete(x.records, e.ID)
		case ok && e.Started.Equal(r.started):
			records[e.Service] = append(records[e.Service], r)
			sums[e.Service] = append(sums[e.Service], r.total(now))
		}
	}
	var changes []Change
	for service, list := range records {
		average := Average(sums[service])
		for i, r := range list {
			estimate := Combine(average, sums[service][i], 1)
			if sums[service][i].Events == 0 {
				estimate.IntervalMS = 0 // Tells routers that there are no recent samples.
			}
			if estimate.differs(r.estimate) {
				x.revision++
				r.estimate, r.revision = estimate, x.revision
			}
			if change, ok := r.change(service, average); ok {
				changes = append(changes, change)
			}
		}
	}
	x.sortEstimates(now)
	return changes
}

// change returns the change of the endpoint's speed if it is considerable.
func (r *record) change(service string, average Estimate) (Change, bool) {
	if average.Rate == 0 {
		return Change{}, false
	}
	c := Change{Endpoint: r.id, Service: service, Factor: r.estimate.Rate / average.Rate, Before: r.factor, Estimate: r.estimate}
	if math.Abs(c.Factor-c.Before) < notableChange {
		return Change{}, false
	}
	r.factor = c.Factor
	return c, true
}

// sortEstimates removes the records that have expired and sorts the others.
func (x *Index) sortEstimates(now time.Time) {
	x.estimates = x.estimates[:0]
	for id, r := range x.records {
		switch {
		case r.expired(now):
			delete(x.records, id)
		case r.revision > 0:
			x.estimates = append(x.estimates, r)
		}
	}
	slices.SortFunc(x.estimates, func(a, b *record) int { return cmp.Compare(a.revision, b.revision) })
}

// total returns the sums over all control hosts.
func (r *record) total(now time.Time) Sums {
	total := r.direct.As(now)
	for _, p := range r.peers {
		total = total.Add(p.As(now))
	}
	return total
}

// expired removes the sums of other control hosts that have expired, and reports
// whether none are left.
func (r *record) expired(now time.Time) bool {
	for incarnation, p := range r.peers {
		if now.Sub(p.at) >= recordTTL {
			delete(r.peers, incarnation)
		}
	}
	return len(r.peers) == 0 && now.Sub(r.direct.at) >= recordTTL
}
