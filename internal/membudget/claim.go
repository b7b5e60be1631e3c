package membudget

import (
	"sync/atomic"
	"time"
)

// Claim is the memory that one request or connection holds.
type Claim struct {
	holder *holder
	kind   Kind
	bytes  int64
	// index is the place in Budget.claims.
	index int
	// evictable is true while the claim is held only for what a client has yet to do.
	evictable atomic.Bool
	// evicted and closed are final.
	evicted, closed bool
	// progressNS is when the client last made progress, in Unix nanoseconds.
	progressNS atomic.Int64
	// owner is what the caller of the budget attached.
	owner any
}

// Kind returns what the memory is for.
func (c *Claim) Kind() Kind { return c.kind }

// Holder returns the client's address or account.
func (c *Claim) Holder() string { return c.holder.name }

// Bytes returns the size of the claim.
func (c *Claim) Bytes() int64 { return c.bytes }

// Evicted reports whether the claim was evicted.
func (c *Claim) Evicted() bool { return c.evicted }

// SetEvictable changes whether the claim may be evicted. A claim may be while its
// client sends, and not once its request runs. It may be called without a lock.
func (c *Claim) SetEvictable(evictable bool) { c.evictable.Store(evictable) }

// Progress records that the client has made progress.
func (c *Claim) Progress(now time.Time) { c.progressNS.Store(now.UnixNano()) }

// idle returns the time since the client's last progress.
func (c *Claim) idle(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - c.progressNS.Load())
}

// harm is the product of size and time without progress, by which claims are evicted.
func (c *Claim) harm(now time.Time) float64 {
	return float64(c.bytes) * max(c.idle(now).Seconds(), minIdleSeconds)
}

// minIdleSeconds keeps the size of claims with very recent progress in their order.
const minIdleSeconds = 0.01

// SetOwner attaches what holds the claim, and Owner returns it.
func (c *Claim) SetOwner(owner any) { c.owner = owner }

// Owner returns what SetOwner attached.
func (c *Claim) Owner() any { return c.owner }
