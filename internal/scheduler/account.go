package scheduler

import (
	"container/heap"
	"math"
)

const (
	defaultShare = 1
	// defaultCost is charged when neither a hint nor past costs are known.
	defaultCost = 1
	// learningRate is the weight of the latest sample in moving averages.
	learningRate = 0.1
)

// account is the state of one client account.
type account struct {
	name  string
	share float64
	// virtual is the service received fleet-wide divided by the share.
	virtual float64
	// service is the cost charged by this scheduler since it started.
	service float64
	// charged reports whether this scheduler has charged the account.
	charged bool
	// virtualKnown reports whether virtual is comparable with that of other
	// accounts.
	virtualKnown bool
	waiting      int
	running      int
	// position is the index in the backlog heap plus one, 0 when absent.
	position int
	// queues holds the account's queues that aren't empty.
	queues    []*queue
	estimates map[string]*estimate
}

// estimate holds moving averages of the actual cost and the hint of one kind of
// request. Their ratio corrects the hints of later requests.
type estimate struct {
	cost, hint float64
}

// maxCost bounds costs and hints, so that a wrong one cannot block an account
// permanently or make the virtual time useless.
const maxCost = 1e9

// validCost returns cost limited to maxCost, or 0 when it is negative or NaN.
func validCost(cost float64) float64 {
	if math.IsNaN(cost) || cost < 0 {
		return 0
	}
	return min(cost, maxCost)
}

// isFinite reports whether x is neither NaN nor infinite.
func isFinite(x float64) bool {
	return !math.IsNaN(x) && !math.IsInf(x, 0)
}

// updateEstimate adds the actual cost of a completed request to the averages.
func (a *account) updateEstimate(kind string, hint, cost float64) {
	if hint <= 0 {
		hint = defaultCost
	}
	e, ok := a.estimates[kind]
	if !ok {
		if a.estimates == nil {
			a.estimates = make(map[string]*estimate)
		}
		a.estimates[kind] = &estimate{cost: cost, hint: hint}
		return
	}
	e.cost += learningRate * (cost - e.cost)
	e.hint += learningRate * (hint - e.hint)
}

// expectedCost returns the expected cost of a request with the hint.
func (a *account) expectedCost(kind string, hint float64) float64 {
	if hint <= 0 {
		hint = defaultCost
	}
	if e, ok := a.estimates[kind]; ok {
		return hint * e.cost / e.hint
	}
	return hint
}

// account returns the named account and creates it if necessary.
func (s *Scheduler) account(name string) *account {
	a, ok := s.accounts[name]
	if !ok {
		a = &account{name: name, share: s.shareOf(name)}
		s.accounts[name] = a
	}
	return a
}

// charge adds cost, which may be negative, to the account.
func (s *Scheduler) charge(a *account, cost float64) {
	if cost == 0 {
		return
	}
	a.service += cost
	a.charged = true
	a.virtualKnown = true
	s.advance(a, cost)
}

// advance adds cost to the virtual service and updates the heaps.
func (s *Scheduler) advance(a *account, cost float64) {
	a.virtual += cost / a.share
	s.reorder(a)
}

// lift raises the virtual service to at least virtual.
func (s *Scheduler) lift(a *account, virtual float64) {
	if a.virtual >= virtual {
		return
	}
	a.virtual = virtual
	s.reorder(a)
}

func (s *Scheduler) reorder(a *account) {
	s.backlog.update(a)
	for _, q := range a.queues {
		heap.Fix(&q.class.queues, q.position)
	}
}

// backlogHeap orders accounts with waiting requests by virtual service.
type backlogHeap struct {
	items []*account
}

// update adds the account to the heap, moves it or removes it, depending on
// whether it has waiting requests.
func (h *backlogHeap) update(a *account) {
	switch {
	case a.waiting > 0 && a.position == 0:
		heap.Push(h, a)
	case a.waiting > 0:
		heap.Fix(h, a.position-1)
	case a.position > 0:
		heap.Remove(h, a.position-1)
	}
}

func (h *backlogHeap) Len() int { return len(h.items) }

func (h *backlogHeap) Less(i, j int) bool { return before(h.items[i], h.items[j]) }

func (h *backlogHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].position = i + 1
	h.items[j].position = j + 1
}

func (h *backlogHeap) Push(x any) {
	a := x.(*account)
	h.items = append(h.items, a)
	a.position = len(h.items)
}

func (h *backlogHeap) Pop() any {
	last := len(h.items) - 1
	a := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	a.position = 0
	return a
}

// before orders accounts by virtual service, then by name.
func before(a, b *account) bool {
	if a.virtual != b.virtual {
		return a.virtual < b.virtual
	}
	return a.name < b.name
}
