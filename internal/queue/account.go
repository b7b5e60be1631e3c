package queue

import (
	"math"
	"slices"
	"strings"
	"time"
)

// idleWindows is the number of rate windows after which an account without
// waiting requests is deleted.
const idleWindows = 8

// Count is the number of an account's waiting requests.
type Count struct {
	Account string
	Waiting int
}

func sortCounts(counts []Count) {
	slices.SortFunc(counts, func(a, b Count) int { return strings.Compare(a.Account, b.Account) })
}

// account is the queue's state of one client account.
type account struct {
	waiting int
	// updated is the time to which the two decayed sums refer.
	updated time.Time
	// grants is the exponentially decayed number of grants.
	grants float64
	// backloggedSeconds is the exponentially decayed time, in seconds, during
	// which requests waited.
	backloggedSeconds float64
}

func (q *Queue) account(now time.Time, name string) *account {
	a := q.accounts[name]
	if a == nil {
		a = &account{updated: now}
		q.accounts[name] = a
	}
	return a
}

// advance decays the sums up to now. Time in which no request waited is not
// counted, because the rate is that of a backlogged account.
func (a *account) advance(now time.Time, window time.Duration) {
	elapsed := now.Sub(a.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	decay := math.Exp(-elapsed / window.Seconds())
	a.grants *= decay
	a.backloggedSeconds *= decay
	if a.waiting > 0 {
		a.backloggedSeconds += window.Seconds() * (1 - decay)
	}
	a.updated = now
}

// drainTime returns how long the waiting requests need at the rate of the recent
// grants, at most limit. If no rate is known yet, it returns the window.
func (a *account) drainTime(window, limit time.Duration) time.Duration {
	const leastSeconds = 0.001
	if a.backloggedSeconds < leastSeconds {
		return min(window, limit)
	}
	if a.grants*limit.Seconds() <= float64(a.waiting)*a.backloggedSeconds {
		return limit
	}
	seconds := float64(a.waiting) * a.backloggedSeconds / a.grants
	return time.Duration(seconds * float64(time.Second))
}

// evictIdleAccounts deletes the accounts that have had no waiting requests for
// idleWindows rate windows. It does so at most once per rate window.
func (q *Queue) evictIdleAccounts(now time.Time) {
	if now.Sub(q.lastSweep) < q.config.RateWindow {
		return
	}
	q.lastSweep = now
	for name, a := range q.accounts {
		if a.waiting == 0 && now.Sub(a.updated) > idleWindows*q.config.RateWindow {
			delete(q.accounts, name)
		}
	}
}
