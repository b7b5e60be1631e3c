package scheduler

import (
	"slices"
	"time"
)

// deferAlone moves a request that is next in order to those that wait for an
// empty endpoint.
func (s *Scheduler) deferAlone(now time.Time, r *request, d *Decisions) {
	r.dequeued = true
	r.queue.remove(s, r)
	r.dequeued = false
	s.waitingAlone = append(s.waitingAlone, r)
	s.grantAlone(now, d)
}

// grantAlone grants empty endpoints to requests that must run alone. If the
// first of them finds none, it reserves an endpoint and lets it empty.
func (s *Scheduler) grantAlone(now time.Time, d *Decisions) {
	for i := 0; i < len(s.waitingAlone); {
		r := s.waitingAlone[i]
		e := s.emptyFor(r.requirements())
		if e == nil && s.refuseAlone(now, r, d) {
			continue
		}
		if e == nil {
			if i == 0 {
				s.reserve(now, r.requirements())
			}
			i++
			continue
		}
		if e == s.reserved {
			s.reserved = nil
		}
		e.exclusive = true
		s.grant(now, r, e, ReasonAlone, d)
		s.running[r.ID].alone = true
	}
	s.unreserve()
}

// refuseAlone refuses a request that no live endpoint can serve and that has
// waited for Config.UnservableGrace. It reports whether it did.
func (s *Scheduler) refuseAlone(now time.Time, r *request, d *Decisions) bool {
	c := r.requirements()
	if now.Sub(r.since) < s.cfg.UnservableGrace || s.anyLive(now, c) {
		return false
	}
	d.Refusals = append(d.Refusals, Refusal{ID: r.ID, Reason: s.refusalReason(now, c), RetryAfter: s.cfg.UnservableGrace})
	s.dequeue(r)
	return true
}

// requirements returns a class with the requirements of the request.
func (r *request) requirements() *class {
	return &class{classKey: classKey{model: r.Model, adapter: r.Adapter}, excludedList: r.Excluded}
}

// emptyFor returns an endpoint on which nothing runs and that accepts the
// class, or nil.
func (s *Scheduler) emptyFor(c *class) *endpoint {
	if e := s.reserved; e != nil && e.inUse == 0 && e.foreign == 0 && c.accepts(e) {
		return e
	}
	for _, e := range s.free.levels[0] {
		if e.inUse == 0 && e.foreign == 0 && c.accepts(e) {
			return e
		}
	}
	return nil
}

// reserve chooses the endpoint with the fewest slots in use and excludes it from
// other grants, so that it becomes empty.
func (s *Scheduler) reserve(now time.Time, c *class) {
	if s.reserved != nil && c.accepts(s.reserved) {
		return
	}
	if old := s.reserved; old != nil {
		s.reserved = nil
		s.refresh(now, old)
	}
	for _, name := range sortedKeys(s.endpoints) {
		e := s.endpoints[name]
		if !e.live(now) || e.exclusive || !c.accepts(e) {
			continue
		}
		if s.reserved == nil || e.inUse < s.reserved.inUse {
			s.reserved = e
		}
	}
	if s.reserved != nil {
		s.free.remove(s.reserved)
	}
}

// unreserve makes the reserved endpoint available again when no request waits
// for it.
func (s *Scheduler) unreserve() {
	if s.reserved == nil || len(s.waitingAlone) > 0 || s.emptyingForLoan {
		return
	}
	e := s.reserved
	s.reserved = nil
	if e.inUse < e.Slots-e.foreign {
		s.free.add(e)
		s.capacity++
	}
}

// lendAlone lends an empty endpoint to a region in which a request must run
// alone and that has no endpoint for it. If none is empty, it reserves one and
// lets it empty. The region's own requests that must run alone come first.
func (s *Scheduler) lendAlone(now time.Time) {
	o := s.nextRemoteAlone(now)
	if o == nil || len(s.waitingAlone) > 0 {
		s.emptyingForLoan = false
		s.unreserve()
		return
	}
	anyRequest := &class{}
	e := s.emptyFor(anyRequest)
	if e == nil {
		s.emptyingForLoan = true
		s.reserve(now, anyRequest)
		return
	}
	s.emptyingForLoan = false
	if e == s.reserved {
		s.reserved = nil
	}
	o.Waiting--
	o.WaitingAlone--
	e.exclusive = true
	s.lendSlot(now, o, e, true)
}

// nextRemoteAlone returns the account of another region that should get an
// empty endpoint, or nil. A region gets one at a time, and an account only if it
// is not ahead of the local ones by more than the slack of loans.
func (s *Scheduler) nextRemoteAlone(now time.Time) *remoteAccount {
	for _, r := range s.regions.list {
		if !r.reachable || !r.heardWithin(now, s.cfg.RegionTimeout) || r.holdsEmptyEndpoint() {
			continue
		}
		for _, o := range r.accounts {
			if o.WaitingAlone > 0 && !now.Before(r.backoff[o.Account]) && s.inOrder(o) {
				return o
			}
		}
	}
	return nil
}

// holdsEmptyEndpoint reports whether a whole endpoint is lent to the region.
func (r *region) holdsEmptyEndpoint() bool {
	return slices.ContainsFunc(r.lent, func(l *lentSlot) bool { return l.alone })
}

// inOrder reports whether the account is at most the slack of loans ahead of the
// first local account.
func (s *Scheduler) inOrder(o *remoteAccount) bool {
	if len(s.backlog.items) == 0 {
		return true
	}
	return o.projectedVirtual() <= s.backlog.items[0].virtual+s.loanSlack(o.account)
}

// waitingAlone counts the account's requests that must run alone and that no
// local endpoint can serve.
func (a *account) waitingAlone() int {
	count := 0
	for _, q := range a.queues {
		if c := q.class; c.alone && c.checkedAt != 0 && !c.servable {
			count += q.live
		}
	}
	return count
}
