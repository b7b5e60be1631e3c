package share

import (
	"cmp"
	"slices"
	"time"
)

const (
	// buckets is the number of buckets that the sliding window is divided into.
	buckets = 8
	// recentBuckets is the number of full buckets, beside the newest one, over which the
	// fraction of requests that find an endpoint is measured.
	recentBuckets = 1
)

// Ledger tracks how many tokens each account asks for and how many are admitted,
// at this router and at the others. It is not safe for concurrent use.
type Ledger struct {
	window time.Duration
	// startedAt is the first time that was recorded, from which buckets are
	// counted: the time of day may jump, elapsed time does not.
	startedAt time.Time
	own       map[string]*history
	others    map[string]Use
	// totals holds the use of each account at all routers as of totalsAt. level
	// is the fair level computed from it for levelCapacity.
	totals        map[string]Use
	totalsAt      time.Time
	level         float64
	levelCapacity float64
	// followEndpoints is set if the level follows what endpoints are seen to take, which
	// scarcity holds.
	followEndpoints bool
	scarcity        scarcity
	// askedRise and readableRise show tokens asked for, and of these not shed, that have
	// not yet added up over the window.
	askedRise, readableRise rise
}

// totalsMaxAge is how long the totals and the level computed from them are
// reused. The level depends on all accounts, so it is not computed for each
// request.
const totalsMaxAge = 20 * time.Millisecond

// history holds the use of one account, in one bucket for each part of the
// window.
type history struct {
	asked, admitted, shed, unplaced [buckets]float64
	// last is the number of the newest bucket.
	last int64
}

// New returns an empty ledger with a sliding window.
func New(window time.Duration) *Ledger {
	return &Ledger{window: window, own: make(map[string]*history), others: make(map[string]Use)}
}

func (l *Ledger) bucket(now time.Time) int64 {
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	return int64(now.Sub(l.startedAt) / (l.window / buckets))
}

// advance empties the buckets that have left the window.
func (h *history) advance(bucket int64) {
	if bucket-h.last >= buckets {
		*h = history{last: bucket}
		return
	}
	for h.last < bucket {
		h.last++
		h.asked[h.last%buckets], h.admitted[h.last%buckets] = 0, 0
		h.shed[h.last%buckets], h.unplaced[h.last%buckets] = 0, 0
	}
}

func (l *Ledger) history(now time.Time, account string) *history {
	h, ok := l.own[account]
	if !ok {
		h = &history{last: l.bucket(now)}
		l.own[account] = h
	}
	h.advance(l.bucket(now))
	return h
}

// RecordAsked adds tokens that the account asks for.
func (l *Ledger) RecordAsked(now time.Time, account string, tokens float64) {
	h := l.history(now, account)
	h.asked[h.last%buckets] += tokens
}

// RecordShed adds tokens that the account asked for and that this router refused
// because it is overloaded.
func (l *Ledger) RecordShed(now time.Time, account string, tokens float64) {
	h := l.history(now, account)
	h.shed[h.last%buckets] += tokens
}

// RecordAdmitted adds tokens of a request that was admitted for the account.
func (l *Ledger) RecordAdmitted(now time.Time, account string, tokens float64) {
	h := l.history(now, account)
	h.admitted[h.last%buckets] += tokens
}

// RecordUnplaced adds tokens of a request that was within the account's share and for
// which no endpoint was found.
func (l *Ledger) RecordUnplaced(now time.Time, account string, tokens float64) {
	h := l.history(now, account)
	h.unplaced[h.last%buckets] += tokens
}

// OwnUse returns the use at this router, ordered by account, without accounts
// that had none within the window.
func (l *Ledger) OwnUse(now time.Time) []Use {
	var uses []Use
	for account := range l.own {
		h := l.history(now, account)
		u := h.use(account)
		if u.Asked == 0 && u.Admitted == 0 {
			delete(l.own, account)
			continue
		}
		uses = append(uses, u)
	}
	slices.SortFunc(uses, func(a, b Use) int { return cmp.Compare(a.Account, b.Account) })
	return uses
}

// use returns the sums within the window.
func (h *history) use(account string) Use {
	u := Use{Account: account, Asked: sum(h.asked), Admitted: sum(h.admitted), Shed: sum(h.shed)}
	for i := h.last; i >= max(h.last-recentBuckets, 0); i-- {
		u.Placed += h.admitted[i%buckets]
		u.Unplaced += h.unplaced[i%buckets]
	}
	return u
}

func sum(values [buckets]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// SetOtherUse replaces the use at all other routers.
func (l *Ledger) SetOtherUse(uses []Use) {
	clear(l.others)
	for _, u := range uses {
		l.others[u.Account] = u
	}
	l.totals = nil
}

// Share returns the account's share of the capacity, which is the number of
// tokens that all engines can process within the window. draw is a random number in
// [0, 1) of the request that the share is for.
func (l *Ledger) Share(now time.Time, account string, capacity, draw float64) Share {
	if l.totals == nil || now.Sub(l.totalsAt) >= totalsMaxAge || capacity != l.levelCapacity {
		l.updateTotals(now, capacity)
	}
	s := Share{Level: l.level, SpareLevel: spareLevel(l.totals, account, l.level), Use: l.others[account]}
	s.Account = account
	s.Use = s.Add(l.history(now, account).use(account))
	s.asking = s.Asked
	if l.followEndpoints {
		s.asking = max(s.Asked, l.askedRise.perWindow(now, account, s.Asked, l.window)/riseDoubt)
	}
	offered := l.readableRise.perWindow(now, account, s.readable(), l.window)
	s.Chance = chance(s.Level, s.Admitted, offered, s.placed(), l.window)
	s.levelOpen, s.spareOpen = draw < s.Chance, draw < chance(s.SpareLevel, s.Admitted, offered, s.placed(), l.window)
	return s
}

// updateTotals sums the use of each account over all routers and computes the
// fair level.
func (l *Ledger) updateTotals(now time.Time, capacity float64) {
	l.totals, l.totalsAt, l.levelCapacity = make(map[string]Use, len(l.others)+len(l.own)), now, capacity
	for name, u := range l.others {
		l.totals[name] = u
	}
	for _, u := range l.OwnUse(now) {
		l.totals[u.Account] = u.Add(l.totals[u.Account])
	}
	l.askedRise.advance(now, l.totals, func(u Use) float64 { return u.Asked })
	l.readableRise.advance(now, l.totals, Use.readable)
	asked := make([]float64, 0, len(l.totals))
	rising := make(map[string]float64, len(l.totals))
	for name, u := range l.totals {
		rising[name] = l.askedRise.perWindow(now, name, u.Asked, l.window)
		asked = append(asked, rising[name])
	}
	l.scarcity = newScarcity(capacity, l.totals, l.window)
	if l.followEndpoints {
		capacity = l.scarcity.reachable
	}
	l.level = fairLevel(asked, capacity)
	var below Use
	for name, u := range l.totals {
		asking := max(u.Asked, rising[name]/riseDoubt)
		l.scarcity.within += min(asking, l.level) / l.window.Seconds()
		if asking <= l.level {
			below = below.Add(u)
			l.scarcity.below += asking / l.window.Seconds()
		}
	}
	l.scarcity.lack = below.unplacedFraction()
}
