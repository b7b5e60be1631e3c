package edge

import (
	"cmp"
	"slices"
	"time"

	"oleanderramp/internal/event"
	"oleanderramp/internal/share"
)

// maxTallies is the number of accounts that a daemon logs per period.
const maxTallies = 3

// accountTally counts what became of an account's requests at this daemon within a
// period, in tokens.
type accountTally struct {
	account string
	// unread is an estimate, for connections that were rejected.
	asked, unread, shed, beyondShare, busy, admitted float64
}

// refused returns the tokens of all requests that were not admitted.
func (t *accountTally) refused() float64 { return t.unread + t.shed + t.beyondShare + t.busy }

// tally returns the account's tally. c.mu is held.
func (c *AdmissionController) tally(account string) *accountTally {
	t, ok := c.tallies[account]
	if !ok {
		t = &accountTally{account: account}
		c.tallies[account] = t
	}
	return t
}

// tallyRefusal counts a request that was refused for the account's share, or for lack of
// an endpoint with capacity. c.mu is held.
func (c *AdmissionController) tallyRefusal(now time.Time, request placementRequest, within bool) {
	switch {
	case request.tokens == 0 || request.begun:
	case within:
		c.ledger.RecordUnplaced(now, request.account, request.tokens)
		c.tally(request.account).busy += request.tokens
	default:
		c.tally(request.account).beyondShare += request.tokens
	}
}

// sharedTally is a tally with the account's share at the end of the period.
type sharedTally struct {
	accountTally
	share share.Share
}

// takeTallies returns the tallies of the accounts of which most was refused since the last
// call, and begins new ones.
func (c *AdmissionController) takeTallies(now time.Time) []sharedTally {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []sharedTally
	for account, t := range c.tallies {
		if t.refused() > 0 {
			list = append(list, sharedTally{accountTally: *t, share: c.ledger.Share(now, account, c.capacity, 0)})
		}
	}
	clear(c.tallies)
	slices.SortFunc(list, func(a, b sharedTally) int {
		return cmp.Or(cmp.Compare(b.refused(), a.refused()), cmp.Compare(a.account, b.account))
	})
	return list[:min(len(list), maxTallies)]
}

// LogAccounts logs what became of the requests of the accounts of which this daemon has
// refused most since the last call.
func (f *Forwarder) LogAccounts(now time.Time) {
	f.logScarcity(now)
	accepted, rejected := f.acceptance.takeCounts()
	for _, t := range f.cfg.Admission.takeTallies(now) {
		fields := shareFields(t.share)
		fields["account"], fields["here_asked"], fields["here_unread"], fields["here_shed"] = t.account, int(t.asked), int(t.unread), int(t.shed)
		fields["here_beyond_share"], fields["here_busy"], fields["here_admitted"] = int(t.beyondShare), int(t.busy), int(t.admitted)
		fields["accepted_fraction"], fields["lag_ms"], fields["standing_lag_ms"] =
			f.acceptance.fraction(now), f.cfg.Lag().Milliseconds(), f.cfg.StandingLag().Milliseconds()
		fields["chance"], fields["connections"], fields["connections_rejected"] = t.share.Chance, accepted, rejected
		event.AccountRefused.Log(f.cfg.Log, fields)
	}
}
