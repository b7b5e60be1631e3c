// Package queue implements the admission control of a router: it decides whether
// a request may wait for a grant, and when a refused caller may retry.
//
// A Queue is a state machine that never blocks: the current time is an argument,
// and a request is refused immediately.
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
	// MinRetryAfter and MaxRetryAfter bound Refusal.RetryAfter.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// RateWindow is the time constant of the exponential moving average of the
	// drain rate.
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

// Reason is why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	// ReasonAccountFull means that the client account has too many waiting
	// requests.
	ReasonAccountFull Reason = "account_queue_full"
	// ReasonRouterFull means that the router has too many waiting requests,
	// and that the client account holds at least its part of them.
	ReasonRouterFull Reason = "router_queue_full"
	// ReasonDuplicate means that a request with the same id is waiting.
	ReasonDuplicate Reason = "duplicate_id"
)

// Admission describes a request that was accepted.
type Admission struct {
	// Ahead is the number of requests of the account that are waiting already.
	Ahead int
	// ExpiresAt is the time from which Expire returns the request.
	ExpiresAt time.Time
}

// Refusal describes a request that was refused and has not run.
type Refusal struct {
	Reason Reason
	// RetryAfter is how long the account's queue needs to drain at the rate
	// of its recent grants.
	RetryAfter time.Duration
}

// Queue holds the waiting requests of one router. It is not safe for
// concurrent use.
type Queue struct {
	config Config
	// accounts holds the accounts with waiting requests, and idle accounts until
	// evictIdleAccounts deletes them.
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
	// index is the position in the expiry heap.
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

// Offer adds the request id of a client account to the queue or refuses it. It
// uses the configured timeout and bound per account.
func (q *Queue) Offer(now time.Time, name string, id uint64) (Admission, *Refusal) {
	return q.OfferLimited(now, name, id, Limits{})
}

// Limits overrides the bounds of the Config for one request. Zero fields take
// those of the Config.
type Limits struct {
	// MaxPerAccount bounds the waiting requests of the client account.
	MaxPerAccount int
	// Timeout is how long the request waits before it expires.
	Timeout time.Duration
}

// OfferLimited is like Offer but with the given limits.
//
// An account may hold at most as many places in the queue as are free in total.
// A flood of one account therefore takes half of the places and a flood of n
// accounts n/(n+1) of them, and an account with few requests still finds a free
// place.
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
// of its recent grants, within the configured bounds.
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

// Granted removes a request that was granted a slot, and counts it in the drain
// rate. It returns false when no request with the id is waiting.
func (q *Queue) Granted(now time.Time, id uint64) bool {
	r := q.remove(now, id)
	if r == nil {
		return false
	}
	r.account.grants++
	return true
}

// Withdraw removes a request whose caller has disconnected. It returns false
// when no request with the id is waiting.
func (q *Queue) Withdraw(now time.Time, id uint64) bool {
	return q.remove(now, id) != nil
}

// Expire removes the requests that have expired and returns their ids, the
// longest overdue first.
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

// NextExpiry returns when the next request expires, and false when no request
// is waiting.
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
