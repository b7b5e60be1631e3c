package scheduler

import (
	"slices"
	"time"
)

// Decide grants free slots to waiting requests and refuses those that no
// endpoint can serve. It expires leases first. Call it after each batch of
// inputs and on each tick.
func (s *Scheduler) Decide(now time.Time) Decisions {
	var d Decisions
	s.expireLeases(now)
	s.expireLost(now)
	s.expireLoans(now)
	s.initVirtualService()
	s.resendGrants(&d)
	s.refuseUnservable(now, &d)
	s.grantAlone(now, &d)
	s.lendAlone(now)
	for s.grantNext(now, &d) {
		continue
	}
	s.grantBorrowed(now, &d)
	d.Urgent = s.regions.urgent || slices.ContainsFunc(s.regions.list, func(r *region) bool { return s.needsUrgentExchange(now, r) })
	return d
}

// resendGrants repeats the grants of running requests that were enqueued again.
func (s *Scheduler) resendGrants(d *Decisions) {
	for _, run := range s.toResend {
		if run.ended || (run.endpoint == nil && run.loan == nil) {
			continue
		}
		g := run.grant()
		g.Reason = ReasonResent
		d.Grants = append(d.Grants, g)
	}
	s.toResend = nil
}

// grant returns the grant of the slot that the request holds.
func (r *running) grant() Grant {
	if r.loan != nil {
		return Grant{ID: r.id, Account: r.account.name, Endpoint: r.loan.Endpoint, EndpointIncarnation: r.loan.EndpointIncarnation,
			Address: r.loan.Address, Reason: ReasonLoan, Loan: r.loan.Loan.Loan}
	}
	return Grant{ID: r.id, Account: r.account.name, Endpoint: r.endpoint.Endpoint, EndpointIncarnation: r.endpoint.Incarnation,
		Address: r.endpoint.Address}
}

// expireLost frees the slots of lost routers after Config.LostSlotTimeout.
func (s *Scheduler) expireLost(now time.Time) {
	if len(s.lostRunning) == 0 {
		return
	}
	s.lostRunning = slices.DeleteFunc(s.lostRunning, func(run *running) bool {
		if !run.ended && now.Sub(run.lostAt) >= s.cfg.LostSlotTimeout {
			s.endLost(now, run)
		}
		return run.ended
	})
}

// refuseUnservable refuses requests of classes that no live endpoint has been
// able to serve for the grace period.
func (s *Scheduler) refuseUnservable(now time.Time, d *Decisions) {
	for _, c := range slices.Clone(s.classList) {
		if c.checkedAt != s.membership+1 {
			c.checkedAt = s.membership + 1
			c.servable = s.anyLive(now, c)
		}
		if c.servable {
			c.unservableSince = time.Time{}
			continue
		}
		if c.unservableSince.IsZero() {
			c.unservableSince = now
		}
		if now.Sub(c.unservableSince) >= s.grace(s.refusalReason(now, c)) {
			s.refuseClass(now, c, d)
		}
	}
}

// grace returns how long a request waits before it is refused for the reason.
func (s *Scheduler) grace(reason string) time.Duration {
	if reason == ReasonExcluded {
		return s.cfg.ExcludedGrace
	}
	return s.cfg.UnservableGrace
}

// anyLive reports whether a live endpoint accepts the class.
func (s *Scheduler) anyLive(now time.Time, c *class) bool {
	for _, e := range s.endpoints {
		if e.live(now) && c.accepts(e) {
			return true
		}
	}
	return false
}

// refuseClass refuses the requests of the class that have waited for the grace
// period. Later ones may still be granted a borrowed slot.
func (s *Scheduler) refuseClass(now time.Time, c *class, d *Decisions) {
	reason := s.refusalReason(now, c)
	for _, q := range slices.Clone(c.queues) {
		for q.live > 0 && now.Sub(q.head().since) >= s.grace(reason) {
			r := q.head()
			d.Refusals = append(d.Refusals, Refusal{ID: r.ID, Reason: reason, RetryAfter: s.cfg.UnservableGrace})
			s.dequeue(r)
		}
	}
}

// refusalReason returns why no endpoint can serve the class: there is no live
// endpoint, the requests exclude all live endpoints, or those that are not
// excluded lack the model or the adapter.
func (s *Scheduler) refusalReason(now time.Time, c *class) string {
	reason := ReasonNoEndpoint
	for _, e := range s.endpoints {
		switch {
		case !e.live(now):
		case slices.Contains(c.excludedList, e.Endpoint):
			if reason == ReasonNoEndpoint {
				reason = ReasonExcluded
			}
		default:
			reason = ReasonNoModel
		}
	}
	return reason
}

// grantNext grants or lends a slot to the next request in order that a free
// endpoint can serve. It returns false when there is none.
func (s *Scheduler) grantNext(now time.Time, d *Decisions) bool {
	if s.free.size == 0 {
		return false
	}
	for {
		c := s.nextClass()
		remote := s.nextRemote(now, c)
		if remote != nil {
			if s.lend(now, remote) {
				return true
			}
			remote.blockedAt = s.capacity + 1
			continue
		}
		if c == nil {
			return false
		}
		r := c.queues[0].head()
		if older := s.olderRemote(now, r); older != nil && s.lend(now, older) {
			return true
		}
		if r.Alone && c.servable {
			s.deferAlone(now, r, d)
			return true
		}
		if r.Alone {
			c.blockedAt = s.capacity + 1
			continue
		}
		if e, reason := s.place(c, r); e != nil {
			s.grant(now, r, e, reason, d)
			return true
		}
		c.blockedAt = s.capacity + 1
	}
}

// nextClass returns the class whose first request is next in order, among
// those that may find a free endpoint.
func (s *Scheduler) nextClass() *class {
	var best *class
	for _, c := range s.classList {
		if c.blockedAt == s.capacity+1 {
			continue
		}
		if best == nil || c.queues[0].precedes(best.queues[0]) {
			best = c
		}
	}
	return best
}

// place returns the free endpoint for the request and the reason for the
// choice. The endpoint is nil when none accepts the request.
func (s *Scheduler) place(c *class, r *request) (*endpoint, string) {
	if len(r.Prefix) > 0 {
		highest := s.free.lowestLevel() + s.cfg.MaxImbalance
		e := s.prefixes.holder(r.Prefix, func(e *endpoint) bool { return e.level <= highest && c.accepts(e) })
		if e != nil {
			return e, ReasonPrefix
		}
	}
	return s.free.leastLoaded(c.accepts), ReasonLeastLoaded
}

// grant gives the request a slot of the endpoint.
func (s *Scheduler) grant(now time.Time, r *request, e *endpoint, reason string, d *Decisions) {
	run := s.start(now, r)
	run.endpoint = e
	run.endpointName = e.Endpoint
	s.occupy(now, e)
	s.prefixes.addAll(r.Prefix, e)
	g := run.grant()
	g.Reason = reason
	d.Grants = append(d.Grants, g)
}

// start turns a waiting request into a running one and charges its estimate.
func (s *Scheduler) start(now time.Time, r *request) *running {
	a := r.account
	s.maxVirtual = max(s.maxVirtual, a.virtual)
	run := &running{id: r.ID, account: a, kind: r.Kind, hint: r.Estimate, started: now}
	run.charged = a.expectedCost(r.Kind, r.Estimate)
	s.dequeue(r)
	s.running[r.ID] = run
	a.running++
	s.charge(a, run.charged)
	return run
}
