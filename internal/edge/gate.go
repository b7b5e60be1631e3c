package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"oleanderramp/internal/balance"
	"oleanderramp/internal/directory"
	"oleanderramp/internal/prefixes"
	"oleanderramp/internal/share"
	"oleanderramp/pkg/routing"
)

const (
	// withinLimit is the part of the objective in which an endpoint must be
	// predicted to answer a request within its account's share.
	withinLimit = 0.8
	// beyondLimit is the same for requests beyond the share.
	beyondLimit = 0.25
	// finishWithin and finishBeyond are the parts of the caller's time in
	// which a whole answer must be predicted.
	finishWithin = 0.6
	finishBeyond = 0.3
	// holdPart is the part of the objective for which a request may wait for
	// an endpoint.
	holdPart = 1.0 / 8
	// againPart is the part of the objective after which a caller that was
	// refused for want of room may come back: another router may have room, or
	// the account a share again, in time for the objective.
	againPart = 0.25
	// shortPart is the part of a usual request's tokens up to which a request
	// is short, and shortBonus by how much such requests may exceed the
	// account's levels: they cost engines little, and many callers wait for
	// them.
	shortPart  = 0.35
	shortBonus = 1.4
	// usualSmoothing is the weight of a request in the usual tokens.
	usualSmoothing = 0.01
	// maxTries bounds the waiting requests that are tried in vain at once.
	maxTries = 3
	// leastRetryAfter is the least time to come back after.
	leastRetryAfter = 50 * time.Millisecond
)

// wish is a request that needs an endpoint.
type wish struct {
	demand  balance.Demand
	account string
	// objective is what is left of it now.
	objective time.Duration
	// patience is what is left of the caller's time now.
	patience time.Duration
	// tokens is what the request costs of its account's share; 0 for requests
	// that no share bounds.
	tokens float64
	// again is set for further attempts, which are no new request.
	again bool
}

// placement is the answer to a wish.
type placement struct {
	choice balance.Choice
	ticket *ticket
	within bool
	share  share.Share
}

// Gate places requests at endpoints. It is safe for concurrent use.
type Gate struct {
	// mu guards all below.
	mu       sync.Mutex
	balancer *balance.Balancer
	ledger   *share.Ledger
	capacity float64
	// usual is the moving average of the tokens that requests cost.
	usual   float64
	waiting []*waiter
}

// waiter is a wish that found no endpoint yet.
type waiter struct {
	wish   wish
	within bool
	placed chan placement
}

// ticket is a place at an endpoint.
type ticket struct {
	gate  *Gate
	inner *balance.Ticket
	// begun is true after the first event.
	begun bool
}

// NewGate returns a gate for a router in the region. The shares are counted
// over the window.
func NewGate(region string, window time.Duration) *Gate {
	return &Gate{balancer: balance.New(region), ledger: share.New(window)}
}

// Update sets the endpoints and the routing table.
func (g *Gate) Update(now time.Time, entries []directory.Entry, table *routing.Table, window time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.Update(entries, table)
	g.capacity = table.Limits().TokensPerSecond * window.Seconds()
	g.placeWaiting(now)
}

// Renew takes that endpoints have announced themselves without any change.
func (g *Gate) Renew(entries []directory.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.Renew(entries)
}

// SetOthers takes the work and the use of shares of the other routers, and
// what endpoints have read for them.
func (g *Gate) SetOthers(now time.Time, loads map[string]balance.Load, uses []share.Use, read []prefixes.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.SetCached(now, read)
	g.balancer.SetOthers(now, loads)
	g.ledger.SetOthers(uses)
	g.placeWaiting(now)
}

// Own returns the work and the use of shares of this router, and what
// endpoints have read for it since the last call.
func (g *Gate) Own(now time.Time) (map[string]balance.Load, []share.Use, []prefixes.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.Own(), g.ledger.Own(now), g.balancer.TakeRead()
}

// place finds an endpoint, or waits a little for one.
func (g *Gate) place(ctx context.Context, w wish) (placement, *failure) {
	now := time.Now()
	g.mu.Lock()
	within, s := g.claim(now, w)
	p, ok := placement{choice: balance.Choice{Reason: balance.Busy}}, false
	if within || s.Spare() {
		p, ok = g.try(now, w, within)
	}
	if ok || !within || p.choice.Reason == balance.NoEndpoint {
		g.mu.Unlock()
		p.share = s
		if !ok {
			return p, refusal(w, p.choice.Reason, within)
		}
		return p, nil
	}
	waiting := &waiter{wish: w, within: within, placed: make(chan placement, 1)}
	g.waiting = append(g.waiting, waiting)
	g.mu.Unlock()
	return g.wait(ctx, waiting, s)
}

// beyond tells whether an account has used its share.
func (g *Gate) beyond(now time.Time, account string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.capacity > 0 && !g.ledger.Share(now, account, g.capacity).Within()
}

// asked counts what an account asks for and does not get.
func (g *Gate) asked(now time.Time, account string, tokens float64) {
	if tokens == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Ask(now, account, tokens)
}

// claim counts the request and tells whether it is within its account's share.
func (g *Gate) claim(now time.Time, w wish) (bool, share.Share) {
	if w.tokens == 0 || g.capacity == 0 {
		return true, share.Share{}
	}
	if !w.again {
		g.ledger.Ask(now, w.account, w.tokens)
	}
	s := g.ledger.Share(now, w.account, g.capacity)
	if g.short(w.tokens) {
		s.Level, s.SpareLevel = s.Level*shortBonus, s.SpareLevel*shortBonus
	}
	return w.again || s.Within(), s
}

// short tells whether a request costs little against the usual one, and counts
// it. g.mu is held.
func (g *Gate) short(tokens float64) bool {
	if g.usual == 0 {
		g.usual = tokens
	}
	g.usual += usualSmoothing * (tokens - g.usual)
	return tokens <= shortPart*g.usual
}

// try chooses an endpoint and takes a place there.
func (g *Gate) try(now time.Time, w wish, within bool) (placement, bool) {
	limit, finish := withinLimit, finishWithin
	if !within {
		limit, finish = beyondLimit, finishBeyond
	}
	w.demand.Within, w.demand.Spare = part(w.objective, limit), !within
	if !w.again {
		w.demand.Finish = part(w.patience, finish)
	}
	choice := g.balancer.Choose(now, w.demand)
	if choice.Reason != "" {
		return placement{choice: choice, within: within}, false
	}
	if w.tokens > 0 && !w.again {
		g.ledger.Admit(now, w.account, w.tokens)
	}
	return placement{
		choice: choice, within: within,
		ticket: &ticket{gate: g, inner: g.balancer.Begin(now, w.demand, choice)},
	}, true
}

func part(d time.Duration, share float64) time.Duration { return time.Duration(float64(d) * share) }

// wait holds the request until an endpoint has room, for a part of its
// objective.
func (g *Gate) wait(ctx context.Context, w *waiter, s share.Share) (placement, *failure) {
	timer := time.NewTimer(part(w.wish.objective, holdPart))
	defer timer.Stop()
	select {
	case p := <-w.placed:
		p.share = s
		return p, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = slices.DeleteFunc(g.waiting, func(other *waiter) bool { return other == w })
	select {
	case p := <-w.placed:
		p.share = s
		return p, nil
	default:
		return placement{within: w.within, share: s}, refusal(w.wish, balance.Busy, w.within)
	}
}

// placeWaiting places what waits and fits by now. It stops at a few that don't
// fit: those behind them rarely do.
func (g *Gate) placeWaiting(now time.Time) {
	failed := 0
	g.waiting = slices.DeleteFunc(g.waiting, func(w *waiter) bool {
		if failed >= maxTries {
			return false
		}
		p, ok := g.try(now, w.wish, w.within)
		if !ok {
			failed++
			return false
		}
		w.placed <- p
		return true
	})
}

// events records that events of an answer came.
func (t *ticket) events(now time.Time, count int) {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.inner.Events(now, count)
	if !t.begun {
		t.begun = true
		t.gate.placeWaiting(now)
	}
}

// end gives the place back.
func (t *ticket) end(now time.Time, outcome balance.Outcome) {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.inner.End(now, outcome)
	t.gate.placeWaiting(now)
}

func refusal(w wish, reason balance.Reason, within bool) *failure {
	f := &failure{status: 503, outcome: OutcomeNotRun, retryAfter: max(part(w.objective, againPart), leastRetryAfter)}
	switch {
	case reason == balance.NoEndpoint:
		f.code, f.message = CodeNoEndpoint, "no endpoint can be reached"
	case within:
		f.code, f.message = CodeBusy, "no endpoint can answer in time"
	default:
		f.code, f.message = CodeBeyondShare, "the client account has used its share"
	}
	return f
}
