package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Exchange is a message from the scheduler of a service in one region to that
// in another region.
type Exchange struct {
	// Incarnation is that of the sender.
	Incarnation uint64
	// Full reports whether Totals holds all accounts, not only the changed ones.
	Full bool
	// Partial reports whether only Loans and Returned are set.
	Partial bool
	// Virtual is the sender's virtual time.
	Virtual    float64
	Totals     []AccountTotal
	Backlogged []AccountBacklog
	// SeenIncarnation is the incarnation of the receiver to which
	// AccountBacklog.Seen refers.
	SeenIncarnation uint64
	IdleSlots       int
	// Loans are slots that the receiver may grant.
	Loans []Loan
	// Returned are loans that the sender returns.
	Returned []LoanReturn
	// InUse holds the numbers of the loans on which the sender's requests run.
	InUse []uint64
}

// AccountTotal is the cost charged to an account by the sender since its
// incarnation started.
type AccountTotal struct {
	Account string
	Service float64
}

// AccountBacklog is an account with waiting requests at the sender.
type AccountBacklog struct {
	Account string
	Waiting int
	// WaitingAlone counts those of the waiting requests that must run alone and
	// that no endpoint of the sender can serve.
	WaitingAlone   int
	VirtualService float64
	// Seen is the receiver's total that is included in VirtualService.
	Seen       float64
	OldestWait time.Duration
}

// Loan lets the receiver use one slot of an endpoint of the sender.
type Loan struct {
	Loan                uint64
	Account             string
	Endpoint            string
	EndpointIncarnation uint64
	Address             string
	Models, Adapters    []string
	// Alone reports whether the loan is for a request that must run alone:
	// nothing else runs on the endpoint until the loan ends.
	Alone bool
	// ExpiresIn is how long the receiver may wait before it grants the loan.
	ExpiresIn time.Duration
}

// LoanReturn ends a loan.
type LoanReturn struct {
	Loan uint64
	Used bool
}

// Outgoing is an exchange to send to a region.
type Outgoing struct {
	Region   string
	Exchange Exchange
}

// Exchange processes an exchange from the scheduler of another region. In the
// first exchange after a silence of Config.RegionTimeout, or from a new
// incarnation, the service received in the meantime is not charged here, and
// local backlogged accounts are lifted to the sender's virtual time: while
// separated, each region was fair on its own.
func (s *Scheduler) Exchange(now time.Time, from string, x Exchange) {
	if from == s.cfg.Region {
		return
	}
	r := s.regions.get(from)
	r.reachable = true
	s.addBorrowed(now, r, x)
	s.applyReturns(now, r, x.Returned)
	if x.Partial {
		return
	}
	r.schedulers = slices.DeleteFunc(r.schedulers, func(c *remoteScheduler) bool { return now.Sub(c.lastHeard) >= s.cfg.RegionTimeout })
	at := slices.IndexFunc(r.schedulers, func(c *remoteScheduler) bool { return c.incarnation == x.Incarnation })
	if at < 0 {
		s.addRemoteScheduler(r, x)
		at = 0
	}
	c := r.schedulers[at]
	r.schedulers = slices.Insert(slices.Delete(r.schedulers, at, at+1), 0, c)
	r.lastHeard = now
	r.idleSlots = x.IdleSlots
	c.lastHeard = now
	s.applyTotals(c, x)
	s.renewLent(now, r, x.InUse)
	s.replaceBacklog(r, x)
}

// addRemoteScheduler adds the sender of x to the schedulers of the region,
// makes the next exchange sent to the region a full one, and lifts the local
// backlogged accounts to the sender's virtual time.
func (s *Scheduler) addRemoteScheduler(r *region, x Exchange) {
	r.schedulers = slices.Insert(r.schedulers, 0, &remoteScheduler{incarnation: x.Incarnation, totals: make(map[string]float64)})
	r.lastFull = time.Time{}
	if !isFinite(x.Virtual) {
		return
	}
	s.maxVirtual = max(s.maxVirtual, x.Virtual)
	for _, a := range slices.Clone(s.backlog.items) {
		s.lift(a, x.Virtual)
	}
}

// applyTotals charges the service received in the region since its last
// exchange.
func (s *Scheduler) applyTotals(c *remoteScheduler, x Exchange) {
	for _, t := range x.Totals {
		if !isFinite(t.Service) {
			continue
		}
		last, known := c.totals[t.Account]
		if known || c.complete {
			s.advance(s.account(t.Account), t.Service-last)
		}
		c.totals[t.Account] = t.Service
	}
	c.complete = c.complete || x.Full
}

// replaceBacklog replaces the accounts with requests waiting in the region. An
// account that was lifted there is lifted here too, to loanSlack below its
// virtual service there, because some service may not have been exchanged yet.
func (s *Scheduler) replaceBacklog(r *region, x Exchange) {
	r.accounts = r.accounts[:0]
	r.byAccount = make(map[*account]*remoteAccount, len(x.Backlogged))
	r.next = 0
	for _, b := range x.Backlogged {
		if !isFinite(b.VirtualService) || !isFinite(b.Seen) {
			continue
		}
		a := s.account(b.Account)
		if x.SeenIncarnation == s.cfg.Incarnation {
			virtual := b.VirtualService + (a.service-b.Seen)/a.share
			s.lift(a, virtual-s.loanSlack(a))
		}
		o := &remoteAccount{AccountBacklog: b, region: r, account: a}
		r.accounts = append(r.accounts, o)
		r.byAccount[a] = o
	}
	for _, l := range r.lent {
		if l.inUse {
			continue
		}
		if o := r.byAccount[s.account(l.account)]; o != nil {
			if !l.alone {
				o.pendingLoans++
			}
			o.pendingCost += l.cost
		}
	}
	slices.SortFunc(r.accounts, func(a, b *remoteAccount) int {
		return cmp.Or(cmp.Compare(a.projectedVirtual(), b.projectedVirtual()), cmp.Compare(a.Account, b.Account))
	})
}

// loanSlack is the lag in virtual service from which an account of another
// region precedes a local one.
func (s *Scheduler) loanSlack(a *account) float64 {
	return s.cfg.LoanMinLag * s.regions.averageCost * float64(s.totalSlots) / a.share
}

// observeCost adds the actual cost of a request to the average.
func (s *Scheduler) observeCost(cost float64) {
	s.regions.averageCost += learningRate * (cost - s.regions.averageCost)
}

// virtualTime is the virtual service at which a newly backlogged account starts.
func (s *Scheduler) virtualTime(now time.Time) float64 {
	if len(s.backlog.items) > 0 {
		return s.backlog.items[0].virtual
	}
	virtual := s.maxVirtual
	for _, r := range s.regions.list {
		if r.heardWithin(now, s.cfg.RegionTimeout) && len(r.accounts) > 0 {
			virtual = max(virtual, r.accounts[0].account.virtual)
		}
	}
	return virtual
}
