// Package queue decides whether a router takes a request to wait for a grant,
// and when a refused caller may come back.
//
// It is a pure state machine: the present time is an argument, and nothing
// waits inside it. A refusal is immediate.
package queue

import (
	"container/heap"
	"time"
)

// Defaults of Config.
const (
	defaultMaxPerAccount = 1000
	defaultMaxTotal      = 10_000
	defaultTimeout       = 60 * time.Second
	defaultMinRetryAfter = time.Second
	defaultMaxRetryAfter = 120 * time.Second
	defaultRateWindow    = 10 * time.Second
)

// Config bounds a Queue. Zero fields take their defaults.
type Config struct {
	// MaxPerAccount bounds the waiting requests of one client account.
	MaxPerAccount int
	// MaxTotal bounds the waiting requests of all client accounts.
	MaxTotal int
	// Timeout is how long a request waits before it expires.
	Timeout time.Duration
	// MinRetryAfter and MaxRetryAfter bound what a refused caller is told.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// RateWindow is the time constant of the moving drain rate.
	RateWindow time.Duration
}

// Defaults fills the fields that are unset.
func (c *Config) Defaults() {
	setDefault(&c.MaxPerAccount, defaultMaxPerAccount)
	setDefault(&c.MaxTotal, defaultMaxTotal)
	setDefault(&c.Timeout, defaultTimeout)
	setDefault(&c.MinRetryAfter, defaultMinRetryAfter)
	setDefault(&c.MaxRetryAfter, defaultMaxRetryAfter)
	setDefault(&c.RateWindow, defaultRateWindow)
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Reason says why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	// ReasonAccountFull means that the client account has too many waiting
	// requests.
	ReasonAccountFull Reason = "account_queue_full"
	// ReasonRouterFull means that the router has too many waiting requests,
	// and that the client account holds its part of them.
	ReasonRouterFull Reason = "router_queue_full"
	// ReasonDuplicate means that the id waits already.
	ReasonDuplicate Reason = "duplicate_id"
)

// Admission tells of a request that now waits.
type Admission struct {
	// Ahead is the number of the account's requests that wait before it.
	Ahead int
	// ExpiresAt is when Expire will return it.
	ExpiresAt time.Time
}

// Refusal tells that a request does not wait, and has not run.
type Refusal struct {
	Reason Reason
	// RetryAfter is how long the account's queue needs to drain at the rate
	// of its latest grants.
	RetryAfter time.Duration
}

// Queue holds the waiting requests of one router. It is not safe for
// concurrent use.
type Queue struct {
	config Config
	// accounts holds an entry for each account that waits or did so lately.
	accounts map[string]*account
	// requests holds exactly the entries of expiry.
	requests  map[uint64]*request
	expiry    expiryHeap
	lastSweep time.Time
}

type request struct {
	id        uint64
	account   *account
	expiresAt time.Time
	// index is the place in the heap.
	index int
}

// New returns an empty Queue.
func New(config Config) *Queue {
	config.Defaults()
	return &Queue{
		config:   config,
		accounts: make(map[string]*account),
		requests: make(map[uint64]*request),
	}
}

// Offer takes the request id of a client account into the queue, or refuses
// it at once. It uses the configured timeout and bound per account.
func (q *Queue) Offer(now time.Time, name string, id uint64) (Admission, *Refusal) {
	return q.OfferLimited(now, name, id, Limits{})
}

// Limits are the bounds that hold for one request; zero fields take those of
// the Config.
type Limits struct {
	// MaxPerAccount bounds the waiting requests of the client account.
	MaxPerAccount int
	// Timeout is how long the request waits before it expires.
	Timeout time.Duration
}

// OfferLimited is Offer with bounds of its own.
//
// An account may hold at most as many places as are free in total. So a flood
// of one account takes half the places, one of n accounts n/(n+1) of them,
// and an account with few requests still finds a free one.
func (q *Queue) OfferLimited(now time.Time, name string, id uint64, limits Limits) (Admission, *Refusal) {
	if limits.MaxPerAccount == 0 {
		limits.MaxPerAccount = q.config.MaxPerAccount
	}
	if limits.Timeout == 0 {
		limits.Timeout = q.config.Timeout
	}
	a := q.account(now, name)
	a.advance(now, q.config.RateWindow)
	if reason := q.refusal(a, id, limits); reason != "" {
		return Admission{}, &Refusal{Reason: reason, RetryAfter: q.retryAfter(a)}
	}
	r := &request{id: id, account: a, expiresAt: now.Add(limits.Timeout)}
	q.requests[id] = r
	heap.Push(&q.expiry, r)
	a.waiting++
	return Admission{Ahead: a.waiting - 1, ExpiresAt: r.expiresAt}, nil
}

func (q *Queue) refusal(a *account, id uint64, limits Limits) Reason {
	free := q.config.MaxTotal - len(q.requests)
	switch {
	case q.requests[id] != nil:
		return ReasonDuplicate
	case a.waiting >= limits.MaxPerAccount:
		return ReasonAccountFull
	case a.waiting >= free:
		return ReasonRouterFull
	}
	return ""
}

// RetryAfter returns how long the account's waiting requests need at the rate
// of its latest grants, within the configured bounds.
func (q *Queue) RetryAfter(now time.Time, name string) time.Duration {
	a := q.accounts[name]
	if a == nil {
		return q.config.MinRetryAfter
	}
	a.advance(now, q.config.RateWindow)
	return q.retryAfter(a)
}

func (q *Queue) retryAfter(a *account) time.Duration {
	wait := a.drainTime(q.config.RateWindow, q.config.MaxRetryAfter)
	return min(max(wait, q.config.MinRetryAfter), q.config.MaxRetryAfter)
}

// Granted takes a request out that got its slot, and counts it in the drain
// rate. It returns false when the id does not wait.
func (q *Queue) Granted(now time.Time, id uint64) bool {
	r := q.remove(now, id)
	if r == nil {
		return false
	}
	r.account.grants++
	return true
}

// Withdraw takes a request out whose caller is gone. It returns false when
// the id does not wait.
func (q *Queue) Withdraw(now time.Time, id uint64) bool {
	return q.remove(now, id) != nil
}

// Expire takes out the requests whose time to wait has passed, and returns
// their ids, the longest overdue first.
func (q *Queue) Expire(now time.Time) []uint64 {
	var ids []uint64
	for len(q.expiry) > 0 && !q.expiry[0].expiresAt.After(now) {
		id := q.expiry[0].id
		q.remove(now, id)
		ids = append(ids, id)
	}
	q.evictIdleAccounts(now)
	return ids
}

// NextExpiry returns when the next request expires, and false when none
// waits.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.expiry) == 0 {
		return time.Time{}, false
	}
	return q.expiry[0].expiresAt, true
}

// Waiting returns the number of the account's waiting requests.
func (q *Queue) Waiting(name string) int {
	if a := q.accounts[name]; a != nil {
		return a.waiting
	}
	return 0
}

// Total returns the number of waiting requests.
func (q *Queue) Total() int { return len(q.requests) }

// Counts returns the number of waiting requests of each account that has any.
func (q *Queue) Counts() []Count {
	var counts []Count
	for name, a := range q.accounts {
		if a.waiting > 0 {
			counts = append(counts, Count{Account: name, Waiting: a.waiting})
		}
	}
	sortCounts(counts)
	return counts
}

func (q *Queue) remove(now time.Time, id uint64) *request {
	r := q.requests[id]
	if r == nil {
		return nil
	}
	r.account.advance(now, q.config.RateWindow)
	delete(q.requests, id)
	heap.Remove(&q.expiry, r.index)
	r.account.waiting--
	return r
}
