package contention

import (
	"cmp"
	"slices"
	"time"
)

const (
	// drainHalfLife is the time after which a request that was placed after waiting counts
	// half for the rate at which waiting requests are placed.
	drainHalfLife = time.Second
	// minWaiting is the number of requests of a service that may always wait, and
	// maxWaitsPerPlaced by how much more may wait than were placed lately within the time
	// that a request waits.
	minWaiting        = 2
	maxWaitsPerPlaced = 2.0
	// maxFailed is the number of requests of a service that may fail to be placed before the
	// ones after them are not tried.
	maxFailed = 3
)

// Waiting is a request that waits for an endpoint.
type Waiting struct {
	Service string
	Rank    Rank
	// Priority of its route or account; lower is more urgent.
	Priority int
	// Arrived is when it began to wait.
	Arrived time.Time
	// Bound requests need certain endpoints, as those that were sent before do. They keep
	// no others from being placed.
	Bound bool
}

// before reports how two waiting requests are ordered: by rank, then by priority, then by
// arrival. The size does not matter, and neither does how often an account asks.
func (w *Waiting) before(other *Waiting) int {
	return cmp.Or(
		cmp.Compare(w.Rank, other.Rank), cmp.Compare(w.Priority, other.Priority), w.Arrived.Compare(other.Arrived),
	)
}

// Queue holds the requests that wait at a router, in the order in which they are placed. It
// is not safe for concurrent use.
type Queue struct {
	waiting []*Waiting
	drains  map[string]*drain
}

// drain is how many requests of a service were placed after waiting, where older ones count
// less.
type drain struct {
	placed float64
	at     time.Time
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{drains: make(map[string]*drain)} }

// Len returns the number of requests that wait.
func (q *Queue) Len() int { return len(q.waiting) }

// Blocked reports whether a request has to wait without being tried, as enough of its service
// that go before it wait already.
func (q *Queue) Blocked(w *Waiting) bool { return q.ahead(w) >= maxFailed }

// ahead returns the number of waiting requests of the service that go before it.
func (q *Queue) ahead(w *Waiting) int {
	ahead := 0
	for _, other := range q.waiting {
		if other.Service == w.Service && !other.Bound && other.before(w) <= 0 {
			ahead++
		}
	}
	return ahead
}

// InVain reports whether a request is refused at once, as those that go before it will not
// all be placed within the time that it may wait.
func (q *Queue) InVain(now time.Time, w *Waiting, limit time.Duration) bool {
	placed := 0.0
	if d, ok := q.drains[w.Service]; ok {
		placed = d.perSecond(now) * limit.Seconds()
	}
	return float64(q.ahead(w)) >= max(minWaiting, maxWaitsPerPlaced*placed)
}

// Add adds a request that waits.
func (q *Queue) Add(w *Waiting) {
	at, _ := slices.BinarySearchFunc(q.waiting, w, func(other, target *Waiting) int {
		if other.before(target) <= 0 {
			return -1
		}
		return 1
	})
	q.waiting = slices.Insert(q.waiting, at, w)
}

// Remove removes a request that no longer waits.
func (q *Queue) Remove(w *Waiting) {
	q.waiting = slices.DeleteFunc(q.waiting, func(other *Waiting) bool { return other == w })
}

// Place tries the requests in their order and removes those that are placed. Once maxFailed of
// a service are not placed, no later one of the service is tried: they rarely fit either.
func (q *Queue) Place(now time.Time, try func(*Waiting) bool) {
	failed := make(map[string]int)
	q.waiting = slices.DeleteFunc(q.waiting, func(w *Waiting) bool {
		if failed[w.Service] >= maxFailed {
			return false
		}
		if try(w) {
			q.recordPlaced(now, w.Service)
			return true
		}
		if !w.Bound {
			failed[w.Service]++
		}
		return false
	})
}

func (q *Queue) recordPlaced(now time.Time, service string) {
	d, ok := q.drains[service]
	if !ok {
		d = &drain{at: now}
		q.drains[service] = d
	}
	d.placed, d.at = d.decayed(now)+1, now
}
