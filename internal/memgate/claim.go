package memgate

import (
	"context"
	"sync/atomic"
	"time"

	"oleanderramp/internal/membudget"
)

// Claim is the memory that one request or connection holds. It is safe for concurrent
// use. A nil *Claim has no bound.
type Claim struct {
	gate *Gate
	// claim is guarded by gate.mu, apart from its progress.
	claim *membudget.Claim
	// evict ends the client; nil for a claim that can't be evicted.
	evict   func()
	evicted atomic.Bool
	// group is what a connection belongs to.
	group any
}

// OpenConnection returns the claim of a connection of a group, with what a server keeps
// for each. Its evict function is as that of Open.
func (g *Gate) OpenConnection(holder string, group any, evict func()) *Claim {
	c := g.Open(holder, membudget.Connection, evict)
	if c != nil {
		c.group = group
		c.Take(ConnectionBytes)
	}
	return c
}

// ConnectionBytes is the approximate memory of a connection: the server's two buffers of
// 4 KB, the stacks of its goroutines and a header.
const ConnectionBytes = 24 << 10

// Open returns an empty claim of a holder. evict ends the client if the claim is
// evicted, and must not block; nil for a claim that is never evicted.
func (g *Gate) Open(holder string, kind membudget.Kind, evict func()) *Claim {
	if g == nil {
		return nil
	}
	c := &Claim{gate: g, evict: evict}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	c.claim = g.budget.Open(now, holder, kind)
	c.claim.SetOwner(c)
	c.claim.SetEvictable(evict != nil)
	return c
}

// Grow grows the claim, and waits a short time for memory if there is none.
func (c *Claim) Grow(ctx context.Context, bytes int64) error {
	if c == nil {
		return nil
	}
	w, err := c.gate.grow(c, bytes, true)
	if w != nil {
		err = c.gate.await(ctx, w)
	}
	if err != nil && c.evicted.Load() {
		return ErrEvicted
	}
	return err
}

// TryGrow grows the claim if there is memory now, and reports whether there was.
func (c *Claim) TryGrow(bytes int64) bool {
	if c == nil {
		return true
	}
	_, err := c.gate.grow(c, bytes, false)
	return err == nil
}

// Take grows the claim also if there is no memory.
func (c *Claim) Take(bytes int64) {
	if c == nil {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.budget.Take(c.claim, bytes)
}

// Shrink releases a part of the claim.
func (c *Claim) Shrink(bytes int64) {
	if c == nil {
		return
	}
	now := time.Now()
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.budget.Shrink(c.claim, bytes)
	if len(c.gate.waiting) > 0 {
		c.gate.retryWaiting(now)
	}
}

// Progress records that the client has made progress.
func (c *Claim) Progress(now time.Time) {
	if c != nil {
		c.claim.Progress(now)
	}
}

// SetEvictable changes whether the claim may be evicted.
func (c *Claim) SetEvictable(evictable bool) {
	if c != nil {
		c.claim.SetEvictable(evictable && c.evict != nil)
	}
}

// Evicted reports whether the claim was evicted.
func (c *Claim) Evicted() bool { return c != nil && c.evicted.Load() }

// Close releases the claim. It may be called again.
func (c *Claim) Close() {
	if c == nil {
		return
	}
	now := time.Now()
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.budget.Close(c.claim)
	if len(c.gate.waiting) > 0 {
		c.gate.retryWaiting(now)
	}
}
