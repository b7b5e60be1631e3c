package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Outgoing returns an exchange for each other region that can be reached. Call
// it once in each exchange period.
func (s *Scheduler) Outgoing(now time.Time) []Outgoing {
	return s.buildExchanges(now, func(r *region) bool { return r.reachable })
}

// buildExchanges returns an exchange for each region for which include returns
// true.
func (s *Scheduler) buildExchanges(now time.Time, include func(*region) bool) []Outgoing {
	var list []Outgoing
	backlog := s.outgoingBacklog(now)
	for _, r := range s.regions.list {
		if !include(r) {
			continue
		}
		r.lastSent = now
		r.sentIdleSlots = s.free.freeSlots()
		x := Exchange{Incarnation: s.cfg.Incarnation, Virtual: s.virtualTime(now), IdleSlots: s.free.freeSlots()}
		x.Full = r.lastFull.IsZero() || now.Sub(r.lastFull) >= s.cfg.FullExchangePeriod
		if x.Full {
			r.lastFull = now
		}
		x.Backlogged = slices.Clone(backlog)
		x.Totals = s.outgoingTotals(r, x)
		if len(r.schedulers) > 0 {
			x.SeenIncarnation = r.schedulers[0].incarnation
			for i := range x.Backlogged {
				x.Backlogged[i].Seen = r.schedulers[0].totals[x.Backlogged[i].Account]
			}
		}
		for _, l := range s.regions.borrowedInUse {
			if l.region == r {
				x.InUse = append(x.InUse, l.Loan.Loan)
			}
		}
		r.moveLoansAndReturns(&x)
		list = append(list, Outgoing{Region: r.name, Exchange: x})
	}
	s.regions.urgent = false
	return list
}

// needsUrgentExchange reports whether an exchange should be sent to the region
// at once: requests wait here that its idle slots could run, or slots have
// become idle here that could run the requests waiting there.
func (s *Scheduler) needsUrgentExchange(now time.Time, r *region) bool {
	if !r.reachable || !r.heardWithin(now, s.cfg.RegionTimeout) || now.Sub(r.lastSent) < s.cfg.MinUrgentInterval {
		return false
	}
	waiting := len(s.backlog.items) > 0
	return waiting && r.idleSlots > 0 || !waiting && r.sentIdleSlots == 0 && s.free.size > 0 && len(r.accounts) > 0
}

// UrgentOutgoing returns the exchanges that cannot wait for the next period:
// those with new loans and returns, and those that report waiting requests or
// idle slots. Call it when Decisions.Urgent is set.
func (s *Scheduler) UrgentOutgoing(now time.Time) []Outgoing {
	list := s.buildExchanges(now, func(r *region) bool { return s.needsUrgentExchange(now, r) })
	for _, r := range s.regions.list {
		if !r.reachable || len(r.newLoans)+len(r.returns) == 0 {
			continue
		}
		x := Exchange{Incarnation: s.cfg.Incarnation, Partial: true}
		r.moveLoansAndReturns(&x)
		list = append(list, Outgoing{Region: r.name, Exchange: x})
	}
	s.regions.urgent = false
	return list
}

// moveLoansAndReturns moves the unsent loans and returns of the region to x.
func (r *region) moveLoansAndReturns(x *Exchange) {
	x.Loans, r.newLoans = r.newLoans, nil
	x.Returned, r.returns = r.returns, nil
}

// outgoingTotals lists the totals to send to the region, ordered by name: all of
// them in a full exchange, otherwise changed ones: those of the backlogged
// accounts in x and, up to Config.ExchangeAccounts, those with the largest
// changes.
func (s *Scheduler) outgoingTotals(r *region, x Exchange) []AccountTotal {
	var changed []*account
	for _, a := range s.accounts {
		if a.charged && (x.Full || a.service != r.sentTotals[a.name]) {
			changed = append(changed, a)
		}
	}
	if !x.Full && len(changed) > s.cfg.ExchangeAccounts {
		changed = s.largestChanges(r, x, changed)
	}
	slices.SortFunc(changed, func(a, b *account) int { return cmp.Compare(a.name, b.name) })
	list := make([]AccountTotal, len(changed))
	for i, a := range changed {
		r.sentTotals[a.name] = a.service
		list[i] = AccountTotal{Account: a.name, Service: a.service}
	}
	return list
}

// largestChanges returns the backlogged accounts in x, then those with the
// largest changes. A virtual service must not be sent without its total, or the
// receiver would charge the difference twice.
func (s *Scheduler) largestChanges(r *region, x Exchange, changed []*account) []*account {
	needed := make(map[string]bool, len(x.Backlogged))
	for _, b := range x.Backlogged {
		needed[b.Account] = true
	}
	change := func(a *account) float64 {
		if needed[a.name] {
			return math.Inf(1)
		}
		return math.Abs(a.service-r.sentTotals[a.name]) / a.share
	}
	slices.SortFunc(changed, func(a, b *account) int {
		return cmp.Or(cmp.Compare(change(b), change(a)), cmp.Compare(a.name, b.name))
	})
	return changed[:max(s.cfg.ExchangeAccounts, len(needed))]
}

// outgoingBacklog lists the backlogged accounts with the lowest virtual service,
// up to Config.ExchangeAccounts, ordered by name.
func (s *Scheduler) outgoingBacklog(now time.Time) []AccountBacklog {
	var list []AccountBacklog
	lowest := slices.Clone(s.backlog.items)
	slices.SortFunc(lowest, func(a, b *account) int {
		return cmp.Or(cmp.Compare(a.virtual, b.virtual), cmp.Compare(a.name, b.name))
	})
	for _, a := range lowest[:min(len(lowest), s.cfg.ExchangeAccounts)] {
		list = append(list, AccountBacklog{
			Account: a.name, Waiting: a.waiting, WaitingAlone: a.waitingAlone(), VirtualService: a.virtual, OldestWait: a.oldestWait(now),
		})
	}
	slices.SortFunc(list, func(a, b AccountBacklog) int { return cmp.Compare(a.Account, b.Account) })
	return list
}

// oldestWait returns how long the account's oldest request has waited.
func (a *account) oldestWait(now time.Time) time.Duration {
	var oldest time.Duration
	for _, q := range a.queues {
		oldest = max(oldest, now.Sub(q.head().since))
	}
	return oldest
}
