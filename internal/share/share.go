// Package share decides which requests are within their client account's
// max-min fair share of the fleet's capacity: accounts that ask for less than an
// even share get what they ask for, and all others get the same amount.
//
// It does no I/O and reads no clock: the current time is an argument.
package share

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// buckets is the number of buckets that the sliding window is divided into.
const buckets = 8

// Use is the amount that an account asked for and the amount admitted within the
// window, in tokens.
type Use struct {
	Account  string
	Asked    float64
	Admitted float64
	// Shed is the part of Asked that routers refused because they were overloaded.
	Shed float64
}

// offered returns the tokens that routers could admit: overloaded ones can't admit what
// they shed.
func (u Use) offered() float64 { return u.Asked - u.Shed }

// Add returns the sum of two uses of an account.
func (u Use) Add(other Use) Use {
	u.Asked += other.Asked
	u.Admitted += other.Admitted
	u.Shed += other.Shed
	return u
}

// Subtract returns the difference of two uses of an account. No value falls below 0.
func (u Use) Subtract(other Use) Use {
	u.Asked = max(u.Asked-other.Asked, 0)
	u.Admitted = max(u.Admitted-other.Admitted, 0)
	u.Shed = max(u.Shed-other.Shed, 0)
	return u
}

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
	// askedRise and offeredRise show tokens asked for, and of these offered, that have not
	// yet added up over the window.
	askedRise, offeredRise rise
}

// totalsMaxAge is how long the totals and the level computed from them are
// reused. The level depends on all accounts, so it is not computed for each
// request.
const totalsMaxAge = 20 * time.Millisecond

// history holds the use of one account, in one bucket for each part of the
// window.
type history struct {
	asked, admitted, shed [buckets]float64
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
		h.asked[h.last%buckets], h.admitted[h.last%buckets], h.shed[h.last%buckets] = 0, 0, 0
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
	return Use{Account: account, Asked: sum(h.asked), Admitted: sum(h.admitted), Shed: sum(h.shed)}
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

const (
	// maxLead is the maximum ratio, among accounts that ask for more than they get,
	// of the tokens admitted beyond the fair level for the account that got most to
	// those of the account that got least.
	maxLead = 1.4
	// servedFraction is the fraction of its asked tokens that an account must
	// get to count as served.
	servedFraction = 0.7
)

// Share is an account's share of the capacity within the window, in tokens.
type Share struct {
	// Level is the fair level: the amount for each account that asks for more
	// than an even share.
	Level float64
	// SpareLevel is the amount up to which the account may exceed its fair level.
	// It is never below Level.
	SpareLevel float64
	Use
	// Chance is the fraction of the account's requests that this router may admit towards
	// Level, from 0 to 1.
	Chance float64
	// levelOpen and spareOpen report whether the request that the share was computed for
	// is among those that may be admitted towards Level and towards SpareLevel.
	levelOpen, spareOpen bool
}

// Raised returns the share with a fair level that is higher by the factor, up to
// SpareLevel: what exceeds the fair level must not add up to more than maxLead.
func (s Share) Raised(factor float64) Share {
	s.Level = min(s.Level*factor, s.SpareLevel)
	s.levelOpen = s.spareOpen
	return s
}

// WithinSpareLevel reports whether another request of the account may be
// admitted on an endpoint that has spare capacity.
func (s Share) WithinSpareLevel() bool {
	return s.WithinLevel() || s.spareOpen && s.Admitted < s.SpareLevel
}

// WithinLevel reports whether another request of the account may be admitted
// within its share. The size of the request is not considered, because the
// largest requests would then be refused most often near the level.
func (s Share) WithinLevel() bool {
	return s.Asked <= s.Level || s.levelOpen && s.Admitted < s.Level
}

// floodFactor is by how much more than its fair level an account must ask for to count
// as one that floods.
const floodFactor = 2.0

// Floods reports whether the account asks for far more than its fair level, so that most
// of its requests must be refused in any case.
func (s Share) Floods() bool { return s.Asked > floodFactor*s.Level }

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
	offered := l.offeredRise.perWindow(now, account, s.offered(), l.window)
	s.Chance = chance(s.Level, s.Admitted, offered, l.window)
	s.levelOpen, s.spareOpen = draw < s.Chance, draw < chance(s.SpareLevel, s.Admitted, offered, l.window)
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
	l.offeredRise.advance(now, l.totals, Use.offered)
	asked := make([]float64, 0, len(l.totals))
	for _, u := range l.totals {
		asked = append(asked, l.askedRise.perWindow(now, u.Account, u.Asked, l.window))
	}
	l.level = fairLevel(asked, capacity)
}

// spareLevel returns the amount up to which the account may exceed the level:
// maxLead times the smallest amount admitted for another account that asks for more
// than the level and is not served.
func spareLevel(total map[string]Use, account string, level float64) float64 {
	least := math.Inf(1)
	for name, u := range total {
		if name != account && u.Asked > level && u.Admitted < servedFraction*u.Asked {
			least = min(least, u.Admitted)
		}
	}
	return max(level, maxLead*least)
}

// fairLevel returns the max-min fair level: the amount up to which each demand is
// met when the capacity is divided so that the smallest allocation is as large
// as possible.
func fairLevel(asked []float64, capacity float64) float64 {
	slices.Sort(asked)
	for i, a := range asked {
		even := capacity / float64(len(asked)-i)
		if a >= even {
			return even
		}
		capacity -= a
	}
	if len(asked) == 0 {
		return capacity
	}
	return asked[len(asked)-1] + capacity
}
