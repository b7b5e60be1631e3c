package scheduler

import "time"

// nextRemote returns the account of another region that should get a loan
// before the first request of local is granted, or nil. local is nil when no
// local request can use a free slot.
func (s *Scheduler) nextRemote(now time.Time, local *class) *remoteAccount {
	var best *remoteAccount
	for _, r := range s.regions.list {
		if !r.reachable || !r.heardWithin(now, s.cfg.RegionTimeout) {
			continue
		}
		o := s.loanCandidate(now, r)
		if o == nil || !s.qualifiesForLoan(o, local) {
			continue
		}
		if best == nil || o.projectedVirtual() < best.projectedVirtual() {
			best = o
		}
	}
	return best
}

// olderRemote returns the remote account of a region in which a request of the
// same account has waited at least Config.LoanAge longer than the local
// request, or nil.
func (s *Scheduler) olderRemote(now time.Time, local *request) *remoteAccount {
	for _, r := range s.regions.list {
		if !r.reachable || !r.heardWithin(now, s.cfg.RegionTimeout) {
			continue
		}
		o := r.byAccount[local.account]
		if o == nil || o.pendingLoans > 0 || o.hasEnoughLoans() || now.Before(r.backoff[o.Account]) {
			continue
		}
		if o.OldestWait-now.Sub(local.since) >= s.cfg.LoanAge {
			return o
		}
	}
	return nil
}

// loanCandidate returns the first account of the region that may get a loan.
// An account may have one pending loan more than it reported waiting requests,
// to allow for requests that have arrived since.
func (s *Scheduler) loanCandidate(now time.Time, r *region) *remoteAccount {
	for r.next < len(r.accounts) && r.accounts[r.next].hasEnoughLoans() {
		r.next++
	}
	for _, o := range r.accounts[r.next:] {
		if o.blockedAt == s.capacity+1 {
			return nil
		}
		if !o.hasEnoughLoans() && !now.Before(r.backoff[o.Account]) {
			return o
		}
	}
	return nil
}

// hasEnoughLoans reports whether the account has more pending loans than waiting
// requests that could use one.
func (o *remoteAccount) hasEnoughLoans() bool {
	usable := o.Waiting - o.WaitingAlone
	return usable <= 0 || o.pendingLoans > usable
}

// qualifiesForLoan reports whether the account is far enough behind the first
// local one or, when local is nil, has waited at least Config.LoanMinWait.
func (s *Scheduler) qualifiesForLoan(o *remoteAccount, local *class) bool {
	if local == nil {
		return o.OldestWait >= s.cfg.LoanMinWait
	}
	return o.projectedVirtual()+s.loanSlack(o.account) < local.queues[0].account.virtual
}

// lend lends a slot of the least loaded endpoint to the account. It returns
// false when no endpoint is free.
func (s *Scheduler) lend(now time.Time, o *remoteAccount) bool {
	e := s.free.leastLoaded(func(*endpoint) bool { return true })
	if e == nil {
		return false
	}
	o.pendingLoans++
	s.lendSlot(now, o, e, false)
	return true
}

// lendSlot lends a slot of the endpoint to the account, or with alone the whole
// endpoint for one request.
func (s *Scheduler) lendSlot(now time.Time, o *remoteAccount, e *endpoint, alone bool) {
	s.regions.nextLoan++
	cost := s.regions.averageCost
	l := &lentSlot{
		number: s.regions.nextLoan, account: o.Account, endpoint: e, cost: cost, alone: alone,
		expires: now.Add(2 * s.cfg.LoanExpiry),
	}
	o.pendingCost += cost
	o.region.lent = append(o.region.lent, l)
	o.region.newLoans = append(o.region.newLoans, Loan{
		Loan: l.number, Account: o.Account, Endpoint: e.Endpoint, EndpointIncarnation: e.Incarnation, Address: e.Address,
		Models: e.Models, Adapters: e.Adapters, Alone: alone, ExpiresIn: s.cfg.LoanExpiry,
	})
	s.regions.urgent = true
	s.occupy(now, e)
}

// freeLent frees the slot of a loan that has ended.
func (s *Scheduler) freeLent(now time.Time, l *lentSlot) {
	if l.alone {
		l.endpoint.exclusive = false
	}
	s.freeSlot(now, l.endpoint)
}
