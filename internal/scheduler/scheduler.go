// Package scheduler decides which request of a service runs next in a region,
// and on which endpoint.
//
// A Scheduler is a state machine: its methods take the present time and an
// input, and Decide returns the outputs. It starts no goroutine and reads no
// clock, and it is not safe for concurrent use.
//
// Scheduling is weighted fair queueing: requests are granted in the order of
// their accounts' virtual service, which is the service received divided by the
// account's share. The estimated cost is charged at the grant and corrected at
// the completion. An account that becomes backlogged starts at the current
// virtual time.
package scheduler

import (
	"slices"
	"time"
)

// Scheduler is the state of one service in one region.
type Scheduler struct {
	cfg Config

	accounts map[string]*account
	// shares holds the share of each account; others have defaultShare.
	shares map[string]int
	// observationsPending reports whether Observe was called since the last
	// Decide.
	observationsPending bool
	// backlog orders the accounts with waiting requests by virtual service.
	backlog backlogHeap
	// maxVirtual is the highest virtual service known from a grant, a router or
	// the scheduler of another region.
	maxVirtual float64

	requests  map[RequestID]*request
	running   map[RequestID]*running
	completed recentIDs
	// lostRunning holds the running requests of lost routers, the oldest first.
	lostRunning []*running
	// toResend holds running requests whose grant must be sent again.
	toResend []*running
	// arrivals numbers the requests, to order those of one account.
	arrivals uint64

	classes   map[classKey]*class
	classList []*class

	endpoints map[string]*endpoint
	drained   map[string]bool
	free      loadIndex
	// capacity grows whenever a slot may have become free.
	capacity uint64
	// membership grows whenever the set of live endpoints changes.
	membership uint64
	// totalSlots is the sum of the slots of known endpoints.
	totalSlots int
	// nextExpiry is a lower bound of the lease expiries that are still ahead.
	nextExpiry time.Time
	prefixes   prefixHistory

	// waitingAlone holds the requests with Request.Alone that were next in
	// order but need an empty endpoint, in that order. reserved is the endpoint
	// being emptied for the first of them or, if emptyingForLoan is set, for a
	// request of another region.
	waitingAlone    []*request
	reserved        *endpoint
	emptyingForLoan bool

	regions regions
}

// New returns an empty scheduler.
func New(cfg Config) *Scheduler {
	cfg.Defaults()
	return &Scheduler{
		cfg:       cfg,
		accounts:  make(map[string]*account),
		shares:    make(map[string]int),
		requests:  make(map[RequestID]*request),
		running:   make(map[RequestID]*running),
		classes:   make(map[classKey]*class),
		endpoints: make(map[string]*endpoint),
		drained:   make(map[string]bool),
		prefixes:  newPrefixHistory(cfg.PrefixHistory),
		regions:   newRegions(cfg.Incarnation),
	}
}

// SetShares replaces the shares. An account without one has the share 1.
func (s *Scheduler) SetShares(_ time.Time, shares map[string]int) {
	s.shares = make(map[string]int, len(shares))
	for name, share := range shares {
		s.shares[name] = max(share, 1)
	}
	for name, a := range s.accounts {
		a.share = s.shareOf(name)
	}
}

func (s *Scheduler) shareOf(name string) float64 {
	if share, ok := s.shares[name]; ok {
		return float64(share)
	}
	return defaultShare
}

// Enqueue adds a waiting request. A request that is waiting already is left as
// it is. A request that is running already is granted again on the same
// endpoint, because its router has not received the grant. A request that has
// completed is taken as a new attempt.
func (s *Scheduler) Enqueue(now time.Time, r Request) {
	if _, ok := s.requests[r.ID]; ok {
		return
	}
	if run, ok := s.running[r.ID]; ok {
		s.clearLost(run)
		s.toResend = append(s.toResend, run)
		return
	}
	s.completed.forget(r.ID)
	s.arrivals++
	r.Estimate = validCost(r.Estimate)
	q := &request{Request: r, since: now.Add(-r.Waited), arrival: s.arrivals}
	q.account = s.account(r.Account)
	s.requests[r.ID] = q
	if q.account.waiting == 0 {
		s.lift(q.account, s.virtualTime(now))
	}
	s.classOf(r).add(s, q)
	q.account.waiting++
	s.backlog.update(q.account)
}

// Withdraw removes a waiting request. A request that was granted in the
// meantime has not run: its slot is freed and its charge refunded.
func (s *Scheduler) Withdraw(now time.Time, id RequestID) {
	if r, ok := s.requests[id]; ok {
		s.dequeue(r)
		return
	}
	if run, ok := s.running[id]; ok {
		s.finish(now, run, 0)
	}
}

// Complete ends a granted request and corrects its charge to the actual cost.
// Repeated completions of a request have no effect. An endpoint that crashed
// gets no requests before its next announcement. A completion that names
// another endpoint than the grant belongs to an earlier attempt and is ignored.
func (s *Scheduler) Complete(now time.Time, c Completion) {
	c.Cost = validCost(c.Cost)
	if run, ok := s.running[c.ID]; ok {
		if c.Endpoint == "" || c.Endpoint == run.endpointName {
			s.markSuspect(now, run, c.Crashed)
			s.finish(now, run, c.Cost)
		}
		return
	}
	if s.completed.has(c.ID) {
		return
	}
	if r, ok := s.requests[c.ID]; ok {
		s.dequeue(r)
	}
	s.completed.add(now, c.ID)
	if c.Cost > 0 {
		s.charge(s.account(c.Account), c.Cost)
	}
}

// markSuspect excludes the endpoint from new grants if the request crashed it.
func (s *Scheduler) markSuspect(now time.Time, run *running, crashed bool) {
	if !crashed || run.endpoint == nil || run.endpoint.suspect {
		return
	}
	run.endpoint.suspect = true
	s.membership++
	s.refresh(now, run.endpoint)
}

// Observe raises the virtual service of an account to the value that a router
// last received from a scheduler. It restores the state of a scheduler that has
// been replaced: accounts that no router reports start at the lowest virtual
// service of the backlogged accounts that were reported.
func (s *Scheduler) Observe(_ time.Time, accountName string, virtualService float64) {
	if !isFinite(virtualService) {
		return
	}
	a := s.account(accountName)
	a.virtualKnown = true
	s.observationsPending = true
	s.maxVirtual = max(s.maxVirtual, virtualService)
	s.lift(a, virtualService)
}

// dequeue removes a waiting request.
func (s *Scheduler) dequeue(r *request) {
	delete(s.requests, r.ID)
	r.dequeued = true
	if r.queue != nil {
		r.queue.remove(s, r)
	} else {
		s.waitingAlone = slices.DeleteFunc(s.waitingAlone, func(o *request) bool { return o == r })
		s.unreserve()
	}
	r.account.waiting--
	s.backlog.update(r.account)
}

// finish ends a running request with its actual cost.
func (s *Scheduler) finish(now time.Time, run *running, cost float64) {
	delete(s.running, run.id)
	s.completed.add(now, run.id)
	run.ended = true
	run.account.running--
	s.charge(run.account, cost-run.charged)
	if run.loan != nil {
		run.loan.cost = cost
	}
	if cost > 0 {
		run.account.updateEstimate(run.kind, run.hint, cost)
		s.observeCost(cost)
	}
	s.freeRunningSlot(now, run)
}

// initVirtualService lifts the accounts that became backlogged before Observe
// supplied the virtual time.
func (s *Scheduler) initVirtualService() {
	if !s.observationsPending {
		return
	}
	s.observationsPending = false
	virtual := s.maxVirtual
	for _, a := range s.backlog.items {
		if a.virtualKnown {
			virtual = min(virtual, a.virtual)
		}
	}
	for _, a := range slices.Clone(s.backlog.items) {
		if !a.virtualKnown {
			a.virtualKnown = true
			s.lift(a, virtual)
		}
	}
}
