package edge

import (
	"math"
	"sync"
	"time"
)

const (
	// shedStep is by which fraction the accepted fraction falls with each request that is
	// shed, and rises with each that is placed. An overloaded daemon so reads about one
	// request that it sheds for each that it serves.
	shedStep = 1.0 / 32
	// minAccepted is the smallest accepted fraction.
	minAccepted = 1.0 / 16
	// acceptanceRecovery is the time in which the accepted fraction rises by a factor of e
	// without any request.
	acceptanceRecovery = time.Second
)

// acceptance is the fraction of new connections that a daemon accepts while it sheds
// requests. To read a request only to refuse it takes processor time from those in
// progress, many times as much as to close its connection unread. It is safe for
// concurrent use.
type acceptance struct {
	mu sync.Mutex
	// exponent is the natural logarithm of the fraction; 0 or less.
	exponent float64
	// updatedAt is when exponent was last updated; zero before that.
	updatedAt time.Time
	// due is the number of connections to accept, which grows by the fraction with each
	// that arrives.
	due float64
	// accepted and rejected count the connections since the last call of takeCounts.
	accepted, rejected int
	// unread counts the connections rejected since the last call of takeUnread.
	unread int
}

// recordShed records that a request was read and shed.
func (a *acceptance) recordShed(now time.Time) { a.add(now, -shedStep) }

// recordPlaced records that a request was read and sent to an endpoint.
func (a *acceptance) recordPlaced(now time.Time) { a.add(now, shedStep) }

func (a *acceptance) add(now time.Time, step float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recover(now)
	a.exponent = min(max(a.exponent+step, math.Log(minAccepted)), 0)
}

// recover lets the fraction rise with the time since the last update. a.mu is held.
func (a *acceptance) recover(now time.Time) {
	if !a.updatedAt.IsZero() {
		a.exponent = min(a.exponent+float64(now.Sub(a.updatedAt))/float64(acceptanceRecovery), 0)
	}
	a.updatedAt = now
}

// next reports whether to accept the next connection.
func (a *acceptance) next(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recover(now)
	a.due += math.Exp(a.exponent)
	if a.due < 1 {
		a.recordRejectedLocked()
		return false
	}
	a.due--
	a.accepted++
	return true
}

// recordRejected records that a connection is rejected whatever the fraction.
func (a *acceptance) recordRejected() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordRejectedLocked()
}

func (a *acceptance) recordRejectedLocked() {
	a.rejected++
	a.unread++
}

// takeUnread returns how many connections were rejected since the last call.
func (a *acceptance) takeUnread() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	unread := a.unread
	a.unread = 0
	return unread
}

// takeCounts returns how many connections were accepted and rejected since the last call.
func (a *acceptance) takeCounts() (accepted, rejected int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	accepted, rejected = a.accepted, a.rejected
	a.accepted, a.rejected = 0, 0
	return accepted, rejected
}

// fraction returns the accepted fraction.
func (a *acceptance) fraction(now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recover(now)
	return math.Exp(a.exponent)
}
