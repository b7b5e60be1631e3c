package scheduler

import (
	"cmp"
	"slices"
	"time"
)

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

// projectedVirtual is the virtual service plus the expected cost of the pending
// loans.
func (o *remoteAccount) projectedVirtual() float64 {
	return o.account.virtual + o.pendingCost/o.account.share
}
