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

// region is the state that this scheduler keeps about another region.
type region struct {
	name      string
	reachable bool
	// lastHeard is when the last exchange of any scheduler of the region
	// arrived.
	lastHeard time.Time
	// schedulers holds the schedulers from which an exchange that is not partial
	// arrived within Config.RegionTimeout, that of the latest exchange first.
	// There can be two while one replaces the other.
	schedulers []*remoteScheduler
	// accounts holds the accounts with requests waiting there, the lowest
	// projected virtual service first; next is the first that may get a loan.
	accounts  []*remoteAccount
	byAccount map[*account]*remoteAccount
	next      int
	// sentTotals holds the totals last sent to the region.
	sentTotals map[string]float64
	lastSent   time.Time
	lastFull   time.Time
	// idleSlots is the number of slots that the region could lend;
	// sentIdleSlots is the number last sent to it for this region.
	idleSlots, sentIdleSlots int
	// lent holds the slots lent to the region, in order of their numbers.
	lent []*lentSlot
	// newLoans and returns are sent in the next exchange.
	newLoans []Loan
	returns  []LoanReturn
	// backoff holds, for an account that returned a loan unused, when it may
	// get the next one.
	backoff map[string]time.Time
	// unusedLoans counts, for such an account, the consecutive loans that were
	// returned unused.
	unusedLoans map[string]int
}

// remoteScheduler is one scheduler process of another region.
type remoteScheduler struct {
	incarnation uint64
	lastHeard   time.Time
	// complete reports whether totals holds all accounts that it has charged.
	complete bool
	totals   map[string]float64
}

// remoteAccount is an account with requests waiting in another region.
type remoteAccount struct {
	AccountBacklog
	region  *region
	account *account
	// pendingLoans counts the loans that the region does not use yet,
	// pendingCost is their expected cost.
	pendingLoans int
	pendingCost  float64
	// blockedAt is one more than Scheduler.capacity at the time when no slot
	// could be lent, 0 when that has not happened.
	blockedAt uint64
}

// regions holds the other regions, ordered by name.
type regions struct {
	list     []*region
	urgent   bool
	nextLoan uint64
	// borrowed holds the slots of other regions that can be granted.
	borrowed []*borrowedSlot
	// averageCost is the moving average of actual costs.
	averageCost float64
	// borrowedInUse holds the slots of other regions on which requests run. They
	// are renewed in each exchange with their region.
	borrowedInUse []*borrowedSlot
}

func newRegions(incarnation uint64) regions {
	return regions{nextLoan: incarnation<<24 + 1, averageCost: defaultCost}
}

// get returns the named region and creates it if necessary.
func (g *regions) get(name string) *region {
	at, ok := slices.BinarySearchFunc(g.list, name, func(r *region, n string) int { return cmp.Compare(r.name, n) })
	if ok {
		return g.list[at]
	}
	r := &region{name: name, backoff: make(map[string]time.Time), unusedLoans: make(map[string]int), sentTotals: make(map[string]float64)}
	g.list = slices.Insert(g.list, at, r)
	return r
}

// heardWithin reports whether an exchange from the region has arrived within
// the timeout.
func (r *region) heardWithin(now time.Time, timeout time.Duration) bool {
	return !r.lastHeard.IsZero() && now.Sub(r.lastHeard) < timeout
}

// SetRegions replaces the set of reachable regions.
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

// projectedVirtual is the virtual service plus the expected cost of the pending
// loans.
func (o *remoteAccount) projectedVirtual() float64 {
	return o.account.virtual + o.pendingCost/o.account.share
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
