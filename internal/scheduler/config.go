package scheduler

import (
	"time"
)

// Config holds the identity and the tunable parameters of a scheduler. New
// replaces zero parameters by their defaults.
type Config struct {
	Service, Region string
	// Incarnation grows with each start of the scheduler's process.
	Incarnation uint64
	// UnservableGrace is how long a request waits for a live endpoint that
	// can serve it before it is refused.
	UnservableGrace time.Duration
	// ExcludedGrace replaces UnservableGrace for a request that has excluded
	// all suitable live endpoints. It is shorter because only a loan can help
	// such a request, and a loan arrives sooner than an endpoint.
	ExcludedGrace time.Duration
	// ReportLag is the maximum age of an endpoint's counts on arrival.
	ReportLag time.Duration
	// LostSlotTimeout is how long the slots of a lost router stay in use when
	// no endpoint report shows them free.
	LostSlotTimeout time.Duration
	// SplitDelay is how long foreign requests must be seen on an endpoint
	// before its slots are divided with another scheduler.
	SplitDelay time.Duration
	// RegionTimeout is how long another region may be silent before it counts
	// as unreachable.
	RegionTimeout time.Duration
	// LoanExpiry is how long an unused loan is valid.
	LoanExpiry time.Duration
	// LoanMinWait is how long a request must have waited in another region
	// before it is lent an idle slot.
	LoanMinWait time.Duration
	// LoanReusePeriod is how long after its first grant a borrowed slot may be
	// granted to further requests.
	LoanReusePeriod time.Duration
	// LoanAge is how much longer a request of another region must have waited
	// to precede a local one of the same account.
	LoanAge time.Duration
	// LoanMinLag is how far the virtual service of an account of another
	// region must be behind that of a local account for a slot to be lent to it
	// first. The unit is the cost of running one average request on every slot.
	LoanMinLag float64
	// MinUrgentInterval is the minimum time between an urgent exchange with a
	// region and the exchange before it.
	MinUrgentInterval time.Duration
	// FullExchangePeriod is the period of exchanges that repeat all totals.
	FullExchangePeriod time.Duration
	// ExchangeAccounts bounds the backlogged accounts in an exchange, and the
	// totals in an exchange that is not full.
	ExchangeAccounts int
	// MaxImbalance is the number of load levels, out of loadLevels, by which an
	// endpoint that holds the prefix may exceed the least loaded one.
	MaxImbalance int
	// PrefixHistory bounds the number of remembered prefix hashes.
	PrefixHistory int
}

// Defaults sets the parameters that are zero.
func (c *Config) Defaults() {
	setDefault(&c.UnservableGrace, 5*time.Second)
	setDefault(&c.ExcludedGrace, time.Second)
	setDefault(&c.ReportLag, time.Second)
	setDefault(&c.LostSlotTimeout, 30*time.Second)
	setDefault(&c.SplitDelay, 3*time.Second)
	setDefault(&c.RegionTimeout, 3*time.Second)
	setDefault(&c.LoanExpiry, 700*time.Millisecond)
	setDefault(&c.LoanMinWait, 20*time.Millisecond)
	setDefault(&c.LoanReusePeriod, 2*time.Second)
	setDefault(&c.LoanAge, 5*time.Second)
	setDefault(&c.LoanMinLag, 0.25)
	setDefault(&c.MinUrgentInterval, 20*time.Millisecond)
	setDefault(&c.FullExchangePeriod, time.Minute)
	setDefault(&c.ExchangeAccounts, 24)
	setDefault(&c.MaxImbalance, 4)
	setDefault(&c.PrefixHistory, 1<<15)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
