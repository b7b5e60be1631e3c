// Package membudget decides how a process divides the memory that clients can make
// it hold: which claims are granted, which wait, which are refused, and which are
// evicted for others.
//
// Its state machines use no lock, clock or I/O. Claim.Progress and Claim.SetEvictable
// alone are safe for concurrent use.
package membudget

import (
	"cmp"
	"slices"
	"time"
)

// Kind is what the memory of a claim is for.
type Kind int

// The kinds of claims.
const (
	// Connection claims hold what the server keeps for each connection.
	Connection Kind = iota
	// Header claims hold request headers beyond what a Connection claim covers.
	Header
	// Body claims hold request bodies.
	Body
	// Answer claims hold answers that the client has not read yet.
	Answer
	// Document claims hold decoded documents.
	Document
	kinds
)

var kindNames = [kinds]string{"connection", "header", "body", "answer", "document"}

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Connection, Header, Body, Answer, Document} }

// Verdict is the decision on a claim that is to grow.
type Verdict int

// The verdicts.
const (
	// Granted claims have grown.
	Granted Verdict = iota
	// Wait claims have not grown, and may ask again once memory is released. What
	// their client sends stays unread in the socket.
	Wait
	// Refused claims have not grown, and shall be closed.
	Refused
)

// Decision is the verdict on a claim, and the claims that shall be closed for it.
type Decision struct {
	Verdict Verdict
	Evict   []*Claim
}

// Config holds the bounds of a budget.
type Config struct {
	// Bytes is the memory for all claims together.
	Bytes int64
	// SmallBytes is the size up to which a claim may use the reserved part of the
	// budget, so that a few large claims can't keep out all others.
	SmallBytes int64
	// StallTime is the time without progress after which a claim may be evicted.
	StallTime time.Duration
}

const (
	// reservedFraction is the part of the budget that only small claims may use.
	reservedFraction = 0.25
	// muchFraction is the part of the budget from which on a holder holds much, and
	// littleFraction the part up to which a holder holds little.
	muchFraction   = 0.5
	littleFraction = 0.125
)

// Budget is the memory that clients can make a process hold.
type Budget struct {
	cfg Config
	// held is the memory of all claims, by kind; total is their sum.
	held  [kinds]int64
	total int64
	// highest is the highest total since it was last taken.
	highest int64
	// evicting is the memory of the evicted claims that are not closed yet.
	evicting int64
	// holders holds the sum of the claims of each holder that has one.
	holders map[string]*holder
	// claims holds the open claims; a claim's index is its place.
	claims []*Claim
}

// holder is a client with claims.
type holder struct {
	name   string
	bytes  int64
	claims int
}

// New returns a budget without claims.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, holders: make(map[string]*holder)}
}

// Held returns the memory of the claims of a kind.
func (b *Budget) Held(kind Kind) int64 { return b.held[kind] }

// Total returns the memory of all claims.
func (b *Budget) Total() int64 { return b.total }

// TakeHighest returns the highest total since the last call.
func (b *Budget) TakeHighest() int64 {
	highest := b.highest
	b.highest = b.total
	return highest
}

// Bytes returns the bound on Total. Connection claims may exceed it.
func (b *Budget) Bytes() int64 { return b.cfg.Bytes }

// Open adds an empty claim of a holder, which is a client's address or account.
func (b *Budget) Open(now time.Time, name string, kind Kind) *Claim {
	h := b.holders[name]
	if h == nil {
		h = &holder{name: name}
		b.holders[name] = h
	}
	h.claims++
	c := &Claim{holder: h, kind: kind, index: len(b.claims)}
	c.Progress(now)
	b.claims = append(b.claims, c)
	return c
}

// Close removes a claim and releases its memory. It may be called again.
func (b *Budget) Close(c *Claim) {
	if c.closed {
		return
	}
	if c.evicted {
		b.evicting -= c.bytes
	}
	b.add(c, -c.bytes)
	c.closed = true
	last := b.claims[len(b.claims)-1]
	b.claims[c.index], last.index = last, c.index
	b.claims[len(b.claims)-1] = nil
	b.claims = b.claims[:len(b.claims)-1]
	if c.holder.claims--; c.holder.claims == 0 {
		delete(b.holders, c.holder.name)
	}
}

// Shrink releases a part of a claim.
func (b *Budget) Shrink(c *Claim, bytes int64) {
	if c.closed {
		return
	}
	bytes = min(bytes, c.bytes)
	if c.evicted {
		b.evicting -= bytes
	}
	b.add(c, -bytes)
}

// Take grows a claim without a decision. It is for memory that is in use anyway.
func (b *Budget) Take(c *Claim, bytes int64) {
	if !c.closed {
		b.add(c, bytes)
		if c.evicted {
			b.evicting += bytes
		}
	}
}

func (b *Budget) add(c *Claim, bytes int64) {
	c.bytes += bytes
	c.holder.bytes += bytes
	b.held[c.kind] += bytes
	b.total += bytes
	b.highest = max(b.highest, b.total)
}

// limit returns the bound on Total if a claim grows.
func (b *Budget) limit(c *Claim, bytes int64) int64 {
	if c.bytes+bytes <= b.cfg.SmallBytes {
		return b.cfg.Bytes
	}
	return b.cfg.Bytes - int64(reservedFraction*float64(b.cfg.Bytes))
}

// Fits reports whether there is memory for a claim to grow.
func (b *Budget) Fits(c *Claim, bytes int64) bool {
	return !c.evicted && !c.closed && b.total+bytes <= b.limit(c, bytes)
}

// Grow decides whether a claim grows.
func (b *Budget) Grow(now time.Time, c *Claim, bytes int64) Decision {
	if c.evicted || c.closed {
		return Decision{Verdict: Refused}
	}
	limit := b.limit(c, bytes)
	if b.total+bytes <= limit {
		b.add(c, bytes)
		return Decision{}
	}
	if c.bytes+bytes > limit {
		return Decision{Verdict: Refused} // It would not fit without any other claim.
	}
	missing := b.total + bytes - b.evicting - limit
	evict, freed := b.victims(now, c, missing)
	if freed < missing && c.bytes+bytes > b.cfg.SmallBytes && b.holdsMuch(c.holder) && len(b.holders) > 1 {
		return Decision{Verdict: Refused}
	}
	for _, victim := range evict {
		victim.evicted = true
		b.evicting += victim.bytes
	}
	return Decision{Verdict: Wait, Evict: evict}
}

func (b *Budget) holdsMuch(h *holder) bool {
	return float64(h.bytes) >= muchFraction*float64(b.cfg.Bytes)
}

func (b *Budget) holdsLittle(h *holder) bool {
	return float64(h.bytes) <= littleFraction*float64(b.cfg.Bytes)
}

// victims returns claims whose memory together is missing, and how much that is. It
// returns fewer if there are no more that may be evicted for c.
func (b *Budget) victims(now time.Time, c *Claim, missing int64) (evict []*Claim, freed int64) {
	if missing <= 0 {
		return nil, 0
	}
	var candidates []*Claim
	for _, other := range b.claims {
		if other != c && b.mayEvict(now, other, c) {
			candidates = append(candidates, other)
		}
	}
	slices.SortFunc(candidates, func(x, y *Claim) int { return cmp.Compare(y.harm(now), x.harm(now)) })
	for _, candidate := range candidates {
		if freed >= missing {
			break
		}
		evict = append(evict, candidate)
		freed += candidate.bytes
	}
	return evict, freed
}

// mayEvict reports whether a claim may be evicted for another one: one that makes no
// progress, or any of a holder that holds much for one of a holder that holds little.
func (b *Budget) mayEvict(now time.Time, victim, c *Claim) bool {
	if !victim.evictable.Load() || victim.evicted || victim.bytes == 0 || victim.kind == Connection {
		return false
	}
	if victim.idle(now) >= b.cfg.StallTime {
		return true
	}
	return victim.holder != c.holder && b.holdsMuch(victim.holder) && b.holdsLittle(c.holder)
}

// EvictConnections evicts up to count of the connection claims that are among and make
// no progress, of the holders with the most memory first.
func (b *Budget) EvictConnections(now time.Time, count int, among func(*Claim) bool) []*Claim {
	var candidates []*Claim
	for _, c := range b.claims {
		if c.kind == Connection && c.evictable.Load() && !c.evicted && c.idle(now) >= b.cfg.StallTime && among(c) {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(x, y *Claim) int {
		return cmp.Or(cmp.Compare(y.holder.bytes, x.holder.bytes), cmp.Compare(y.idle(now), x.idle(now)))
	})
	evict := candidates[:min(count, len(candidates))]
	for _, c := range evict {
		c.evicted = true
		b.evicting += c.bytes
	}
	return evict
}
