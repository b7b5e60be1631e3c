// Package memgate applies the decisions of package membudget to the connections and
// requests of a process: it locks the budget, lets claims wait, and closes those that
// are evicted.
package memgate

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/membudget"
)

// Errors of claims. Neither says anything about the request, which did not run.
var (
	// ErrNoMemory is returned for a claim that the budget has no room for.
	ErrNoMemory = errors.New("the memory for clients is in use")
	// ErrEvicted is returned for a claim that was evicted for others.
	ErrEvicted = errors.New("the client held memory without progress while others needed it")
)

const (
	// maxWait is how long a claim waits for memory. It is short, as a request that
	// can't be served is rejected at once.
	maxWait = 250 * time.Millisecond
	// maxWaiting is the maximum number of waiting claims.
	maxWaiting = 1024
	// discardPerSecond and discardBurst bound the bytes that are read only to be
	// discarded.
	discardPerSecond = 4 << 20
	discardBurst     = 64 << 20
	// logPeriod is the interval between two log lines of the same kind.
	logPeriod = time.Second
)

// Gate is the memory budget of a process. It is safe for concurrent use. A nil *Gate
// has no bound.
type Gate struct {
	log  log.Interface
	stop context.CancelFunc
	done sync.WaitGroup
	// ended counts the clients that were rejected or closed, by reason.
	ended [reasons]atomic.Int64

	// mu guards the fields below.
	mu      sync.Mutex
	budget  *membudget.Budget
	discard *membudget.Allowance
	// waiting holds the claims that wait, longest first.
	waiting []*waiter
	// loggedAt is when each reason was last logged, and unlogged how many ends there
	// were since then.
	loggedAt [reasons]time.Time
	unlogged [reasons]int64
}

// waiter is a claim that waits to grow.
type waiter struct {
	claim *Claim
	bytes int64
	// done gets the result; it has room for it.
	done chan error
}

// New returns a gate without claims.
func New(cfg membudget.Config, l log.Interface) *Gate {
	return &Gate{log: l, budget: membudget.New(cfg), discard: membudget.NewAllowance(discardPerSecond, discardBurst)}
}

// Held returns the memory of the claims of a kind.
func (g *Gate) Held(kind membudget.Kind) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Held(kind)
}

// Bytes returns the size of the budget.
func (g *Gate) Bytes() int64 { return g.budget.Bytes() }

// AllowDiscard reports whether so many bytes may be read only to be discarded.
func (g *Gate) AllowDiscard(bytes int64) bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.discard.Spend(time.Now(), bytes)
}

// EvictConnections ends up to count connections of a group that make no progress, and
// returns how many there were.
func (g *Gate) EvictConnections(group any, count int) int {
	if g == nil {
		return 0
	}
	g.mu.Lock()
	evicted := g.budget.EvictConnections(time.Now(), count, func(c *membudget.Claim) bool { return c.Owner().(*Claim).group == group })
	ends := g.takeEnds(evicted)
	g.mu.Unlock()
	g.endAll(ends)
	return len(ends)
}

// takeEnds returns the claims of this package for those evicted. g.mu is held.
func (g *Gate) takeEnds(evicted []*membudget.Claim) []*Claim {
	var ends []*Claim
	for _, claim := range evicted {
		ends = append(ends, claim.Owner().(*Claim))
	}
	return ends
}

// endAll ends evicted claims. g.mu is not held, as the ends may take other locks.
func (g *Gate) endAll(evicted []*Claim) {
	for _, claim := range evicted {
		claim.evicted.Store(true)
		claim.evict()
		g.Ended(Evicted, claim.claim.Holder(), claim.claim.Kind())
	}
}

// grow grows a claim at once, or returns a waiter for it.
func (g *Gate) grow(c *Claim, bytes int64, wait bool) (*waiter, error) {
	g.mu.Lock()
	decision := g.budget.Grow(time.Now(), c.claim, bytes)
	var w *waiter
	var err error
	switch {
	case decision.Verdict == membudget.Granted:
	case decision.Verdict == membudget.Wait && wait && len(g.waiting) < maxWaiting:
		w = &waiter{claim: c, bytes: bytes, done: make(chan error, 1)}
		c.claim.SetEvictable(false) // It is not the client that makes no progress.
		g.waiting = append(g.waiting, w)
	default:
		err = ErrNoMemory
	}
	ends := g.takeEnds(decision.Evict)
	g.mu.Unlock()
	g.endAll(ends)
	return w, err
}

// retryWaiting grows the waiting claims for which there is memory now. g.mu is held.
func (g *Gate) retryWaiting(now time.Time) {
	remaining := g.waiting[:0]
	for _, w := range g.waiting {
		// A decision with evictions is not taken here: those that were needed when the
		// claim began to wait were made then.
		if !g.budget.Fits(w.claim.claim, w.bytes) {
			remaining = append(remaining, w)
			continue
		}
		g.budget.Grow(now, w.claim.claim, w.bytes)
		w.claim.claim.Progress(now)
		w.claim.claim.SetEvictable(w.claim.evict != nil)
		w.done <- nil
	}
	clear(g.waiting[len(remaining):])
	g.waiting = remaining
}

// await waits until the claim has grown.
func (g *Gate) await(ctx context.Context, w *waiter) error {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case err := <-w.done: // It has grown just now.
		return err
	default:
	}
	for i, other := range g.waiting {
		if other == w {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			break
		}
	}
	return ErrNoMemory
}
