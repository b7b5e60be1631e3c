package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Exchange is what the scheduler of one region tells that of another about
// their service.
type Exchange struct {
	// Incarnation is that of the sender.
	Incarnation uint64
	// Full says that Totals holds all accounts, not only the changed ones.
	Full bool
	// Partial says that only Loans and Returned are set.
	Partial bool
	// Virtual is the sender's virtual time.
	Virtual    float64
	Totals     []AccountTotal
	Backlogged []AccountBacklog
	// SeenIncarnation is the receiver that AccountBacklog.Seen is of.
	SeenIncarnation uint64
	IdleSlots       int
	// Loans are slots that the sender lets the receiver grant.
	Loans []Loan
	// Returned are loans that the sender gives back.
	Returned []LoanReturn
	// InUse holds the loans on which the sender's requests run.
	InUse []uint64
}

// AccountTotal is the cost charged by the sender since its incarnation began.
type AccountTotal struct {
	Account string
	Service float64
}

// AccountBacklog is an account with waiting requests at the sender.
type AccountBacklog struct {
	Account        string
	Waiting        int
	VirtualService float64
	// Seen is the receiver's total that VirtualService includes.
	Seen       float64
	OldestWait time.Duration
}

// Loan lets the receiver grant one request on an endpoint of the sender.
type Loan struct {
	Loan                uint64
	Account             string
	Endpoint            string
	EndpointIncarnation uint64
	Address             string
	Models, Adapters    []string
	// ExpiresIn is how long the loan can be granted.
	ExpiresIn time.Duration
}

// LoanReturn ends a loan with the cost of what ran.
type LoanReturn struct {
	Loan uint64
	Used bool
	Cost float64
}

// Outgoing is an exchange to send to a region.
type Outgoing struct {
	Region   string
	Exchange Exchange
}

// region is the state of another region as seen from here.
type region struct {
	name      string
	reachable bool
	// lastHeard is when any scheduler of the region was last lastHeard.
	lastHeard time.Time
	// schedulers holds the schedulers heard lately, the last heard first. There
	// is more than one while the region has two.
	schedulers []*remoteScheduler
	// accounts are the accounts that wait there, the lowest virtual service
	// first; next is the first that may get a loan.
	accounts  []*remoteAccount
	byAccount map[*account]*remoteAccount
	next      int
	// sentTotals holds the totals that were sent.
	sentTotals map[string]float64
	lastSent   time.Time
	lastFull   time.Time
	// idleSlots is the number of slots that the region could lend; sentIdleSlots is
	// what it was told of this region.
	idleSlots, sentIdleSlots int
	// lent holds the loans made to the region, in order of their numbers.
	lent []*lentSlot
	// newLoans and returns wait for the next exchange.
	newLoans []Loan
	returns  []LoanReturn
	// backoff holds, for an account that returned a loan unused, when it may
	// get the next one.
	backoff map[string]time.Time
	// unusedLoans counts, for such an account, the loans in a row that came back
	// unusedLoans.
	unusedLoans map[string]int
}

// remoteScheduler is one scheduler process of another region.
type remoteScheduler struct {
	incarnation uint64
	lastHeard   time.Time
	// complete says that totals holds all accounts that it has charged.
	complete bool
	totals   map[string]float64
}

// remoteAccount is an account that waits at another region.
type remoteAccount struct {
	AccountBacklog
	region  *region
	account *account
	// pendingLoans counts the loans on their way, pending their expected cost.
	pendingLoans int
	pendingCost  float64
	// blockedAt is the capacity at which no endpoint could be lent.
	blockedAt uint64
}

// regions holds the other regions, ordered by name.
type regions struct {
	list     []*region
	urgent   bool
	nextLoan uint64
	// borrowed holds unused loans from other regions.
	borrowed []*borrowedSlot
	// averageCost is the moving average of true costs.
	averageCost   float64
	borrowedInUse []*borrowedSlot
}

func newRegions(incarnation uint64) regions {
	return regions{nextLoan: incarnation<<24 + 1, averageCost: defaultCost}
}

// get returns the region, created when it is new.
func (g *regions) get(name string) *region {
	at, ok := slices.BinarySearchFunc(g.list, name, func(r *region, n string) int { return cmp.Compare(r.name, n) })
	if ok {
		return g.list[at]
	}
	r := &region{name: name, backoff: make(map[string]time.Time), unusedLoans: make(map[string]int), sentTotals: make(map[string]float64)}
	g.list = slices.Insert(g.list, at, r)
	return r
}

// heardWithin tells whether the region has been heard within the timeout.
func (r *region) heardWithin(now time.Time, timeout time.Duration) bool {
	return !r.lastHeard.IsZero() && now.Sub(r.lastHeard) < timeout
}

// SetRegions replaces the set of other regions that can be reached.
func (s *Scheduler) SetRegions(_ time.Time, names []string) {
	for _, r := range s.regions.list {
		r.reachable = false
	}
	for _, name := range names {
		if name != s.cfg.Region {
			s.regions.get(name).reachable = true
		}
	}
}

// Exchange takes in what the scheduler of another region tells. After a
// silence, or from another incarnation, the service received meanwhile isn't
// charged here, and no local account stays behind the sender's virtual time:
// each side has been fair on its own.
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

// addRemoteScheduler begins a new contact with the region.
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

// applyTotals charges what the region has served since its last exchange.
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

// replaceBacklog replaces the accounts that wait at the region. An account that
// was lifted there is lifted here, up to a slack for service that one side has
// not yet heard of.
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
			o.pendingLoans++
			o.pendingCost += l.cost
		}
	}
	slices.SortFunc(r.accounts, func(a, b *remoteAccount) int {
		return cmp.Or(cmp.Compare(a.projectedVirtual(), b.projectedVirtual()), cmp.Compare(a.Account, b.Account))
	})
}

// projectedVirtual is the virtual service with the loans that are on their way.
func (o *remoteAccount) projectedVirtual() float64 {
	return o.account.virtual + o.pendingCost/o.account.share
}

// loanSlack is the lag in virtual service from which an account of another
// region precedes a local one.
func (s *Scheduler) loanSlack(a *account) float64 {
	return s.cfg.LoanMinLag * s.regions.averageCost * float64(s.totalSlots) / a.share
}

// observeCost takes the true cost of a request into the average.
func (s *Scheduler) observeCost(cost float64) {
	s.regions.averageCost += learningRate * (cost - s.regions.averageCost)
}

// virtualTime is where a newly backlogged account starts.
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
