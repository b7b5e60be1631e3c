package scheduler

import (
	"slices"
	"time"
)

// loanBackoff is how long an account that returned a loan unused gets no other.
// After backoffThreshold unused loans in a row the time doubles with each, up
// to maxLoanBackoff, because the account's requests may exclude every endpoint
// that can be lent.
const (
	loanBackoff      = 200 * time.Millisecond
	maxLoanBackoff   = 5 * time.Second
	backoffThreshold = 10
	maxDoublings     = 5
)

// borrowedSlot is a slot borrowed from another region.
type borrowedSlot struct {
	Loan
	region  *region
	expires time.Time
	cost    float64
	used    bool
	// reuseUntil is until when the slot may be granted again.
	reuseUntil time.Time
}

// lentSlot is a slot lent to another region.
type lentSlot struct {
	number   uint64
	account  string
	endpoint *endpoint
	// cost is the expected cost of the request that will run.
	cost    float64
	expires time.Time
	// alone reports whether the whole endpoint is lent for one request.
	alone bool
	// inUse reports whether the borrower has granted the slot; renewed is when
	// it last reported so.
	inUse   bool
	renewed time.Time
}

// applyReturns frees the slots of loans that have ended.
func (s *Scheduler) applyReturns(now time.Time, r *region, returned []LoanReturn) {
	for _, ret := range returned {
		at := slices.IndexFunc(r.lent, func(l *lentSlot) bool { return l.number == ret.Loan })
		if at < 0 {
			continue
		}
		l := r.lent[at]
		r.lent = slices.Delete(r.lent, at, at+1)
		r.recordReturn(now, l.account, ret.Used)
		s.freeLent(now, l)
	}
}

// recordReturn counts the consecutive loans that the account returned unused,
// and sets when it may get the next one.
func (r *region) recordReturn(now time.Time, account string, used bool) {
	if used {
		delete(r.unusedLoans, account)
		return
	}
	r.unusedLoans[account]++
	doublings := min(max(0, r.unusedLoans[account]-backoffThreshold), maxDoublings)
	r.backoff[account] = now.Add(min(loanBackoff<<doublings, maxLoanBackoff))
}

// renewLent extends the loans that the borrower uses.
func (s *Scheduler) renewLent(now time.Time, r *region, inUse []uint64) {
	for _, l := range r.lent {
		if slices.Contains(inUse, l.number) {
			l.inUse = true
			l.renewed = now
			l.expires = now.Add(s.cfg.RegionTimeout + s.cfg.LoanExpiry)
		}
	}
}

// expireLoans frees lent slots that were neither returned nor renewed, and
// returns borrowed slots that were not used in time.
func (s *Scheduler) expireLoans(now time.Time) {
	for _, r := range s.regions.list {
		r.lent = slices.DeleteFunc(r.lent, func(l *lentSlot) bool {
			if now.Before(l.expires) {
				return false
			}
			s.freeLent(now, l)
			return true
		})
	}
	s.regions.borrowed = slices.DeleteFunc(s.regions.borrowed, func(l *borrowedSlot) bool {
		if now.Before(l.expires) {
			return false
		}
		s.returnLoan(l)
		return true
	})
}

// addBorrowed adds the loans of an exchange to the slots that can be granted.
func (s *Scheduler) addBorrowed(now time.Time, r *region, x Exchange) {
	for _, l := range x.Loans {
		s.regions.borrowed = append(s.regions.borrowed, &borrowedSlot{Loan: l, region: r, expires: now.Add(l.ExpiresIn)})
	}
}

// grantBorrowed grants requests on borrowed slots, and returns the slots that
// no request can use.
func (s *Scheduler) grantBorrowed(now time.Time, d *Decisions) {
	for _, l := range s.regions.borrowed {
		q := s.nextForLoan(l)
		if q == nil {
			s.returnLoan(l)
			continue
		}
		if !q.class.unservableSince.IsZero() {
			q.class.unservableSince = now
		}
		run := s.start(now, q.head())
		run.loan = l
		run.endpointName = l.Endpoint
		if !l.used {
			l.used = true
			l.reuseUntil = now.Add(s.cfg.LoanReusePeriod)
		}
		s.regions.borrowedInUse = append(s.regions.borrowedInUse, l)
		d.Grants = append(d.Grants, run.grant())
	}
	s.regions.borrowed = nil
}

// nextForLoan returns the queue whose first request should use the loan: one of
// the loan's account if possible, otherwise the first in order. It returns nil
// when no request can use it.
func (s *Scheduler) nextForLoan(l *borrowedSlot) *queue {
	var best *queue
	for _, q := range s.account(l.Account).queues {
		if q.class.mayBorrow(l) && (best == nil || q.precedes(best)) {
			best = q
		}
	}
	if best != nil {
		return best
	}
	for _, c := range s.classList {
		if c.mayBorrow(l) && (best == nil || c.queues[0].precedes(best)) {
			best = c.queues[0]
		}
	}
	return best
}

// mayBorrow reports whether requests of the class can run on the borrowed slot.
func (c *class) mayBorrow(l *borrowedSlot) bool {
	return c.alone == l.Alone && c.acceptsNamed(l.Endpoint, l.Models, l.Adapters)
}

// endLoanUse returns a borrowed slot whose request has ended, or makes it
// available to the next request. A whole endpoint is returned, because the
// request may have crashed it. A slot is kept only until reuseUntil, and only
// if its region is reachable and the next local account is behind all accounts
// with requests waiting there.
func (s *Scheduler) endLoanUse(now time.Time, l *borrowedSlot) {
	s.stopRenewal(l)
	q := s.nextForLoan(l)
	keep := q != nil && !l.Alone && now.Before(l.reuseUntil) && l.region.reachable && l.region.heardWithin(now, s.cfg.RegionTimeout)
	if keep && l.region.behind(q.account, s.loanSlack(q.account)) {
		s.regions.borrowed = append(s.regions.borrowed, l)
		return
	}
	s.returnLoan(l)
}

// behind reports whether the virtual service of the account is lower, by more
// than slack, than that of all accounts with requests waiting in the region. It
// is true when none waits there.
func (r *region) behind(a *account, slack float64) bool {
	return len(r.accounts) == 0 || a.virtual+slack < r.accounts[0].account.virtual
}

// stopRenewal stops the renewal of a borrowed slot; l may be nil.
func (s *Scheduler) stopRenewal(l *borrowedSlot) {
	if l != nil {
		s.regions.borrowedInUse = slices.DeleteFunc(s.regions.borrowedInUse, func(o *borrowedSlot) bool { return o == l })
	}
}

// returnLoan queues the return of a borrowed slot for the next exchange.
func (s *Scheduler) returnLoan(l *borrowedSlot) {
	l.region.returns = append(l.region.returns, LoanReturn{Loan: l.Loan.Loan, Used: l.used})
	s.regions.urgent = true
}
