// Package placement decides which engine loads which model or adapter.
//
// A Placer is a state machine: Decide takes the current time and the state of
// the services, and returns orders. It starts no goroutine, reads no clock, and
// is not safe for concurrent use. Orders are issued only under a fenced Lease,
// within the rate limit of the weight store.
package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// needKey identifies the target of a need.
type needKey struct {
	service string
	target  Target
}

// need records since when a target has needed one more endpoint at every
// decision.
type need struct {
	since time.Time
	// delayReported and withholdingReported are true once the delay or the
	// withholding has been returned by Decide.
	delayReported, withholdingReported bool
}

// orderKey identifies an endpoint and the model or adapter that it was ordered
// to load.
type orderKey struct {
	service  string
	endpoint string
	kind     Kind
	name     string
}

func (o Order) key() orderKey {
	return orderKey{service: o.Service, endpoint: o.Endpoint, kind: o.Kind, name: o.Name}
}

// pendingOrder is an order in progress.
type pendingOrder struct {
	order Order
	since time.Time
}

// Placer is the placement state of the holder of a region's lease.
type Placer struct {
	cfg Config
	// token is the fencing token of the lease under which the fields below were
	// set; a lease with another token resets them.
	token   uint64
	needs   map[needKey]*need
	buckets map[string]*bucket
	// pending holds the orders in progress, oldest first, at most one for each
	// endpoint.
	pending []pendingOrder
	// blocked holds the time from which an endpoint may get an order for the
	// same target again, after one was refused, not sent or not completed in
	// time.
	blocked map[orderKey]time.Time
}

// New returns a Placer without orders in progress.
func New(cfg Config) *Placer {
	cfg.SetDefaults()
	p := &Placer{cfg: cfg}
	p.reset(0)
	return p
}

// reset clears all state, as the actions of a previous holder are unknown.
func (p *Placer) reset(token uint64) {
	p.token = token
	p.needs = make(map[needKey]*need)
	p.buckets = make(map[string]*bucket)
	p.pending = nil
	p.blocked = make(map[orderKey]time.Time)
}

// Decide returns the orders to send immediately, and not after their SendBy. It
// returns none without a lease that lasts until they are sent.
func (p *Placer) Decide(now time.Time, lease Lease, services []Service) Decisions {
	var d Decisions
	if lease.FencingToken() != p.token {
		p.reset(lease.FencingToken())
	}
	p.updatePending(now, services, &d)
	if !lease.CoversSend(now) {
		clear(p.needs)
		return d
	}
	needs := make(map[needKey]*need)
	for _, s := range services {
		b := p.bucket(now, s)
		for _, t := range s.Targets {
			p.evaluateTarget(now, lease, s, t, b, needs, &d)
		}
	}
	p.needs = needs
	return d
}

// OrderFailed reports that the order was refused or is known not to have been
// sent. An order with an unknown outcome stays in progress until its completion
// timeout.
func (p *Placer) OrderFailed(now time.Time, order Order) {
	before := len(p.pending)
	p.pending = slices.DeleteFunc(p.pending, func(o pendingOrder) bool { return o.order == order })
	if len(p.pending) < before {
		p.blocked[order.key()] = now.Add(p.cfg.Cooldown)
	}
}

// updatePending removes the orders that are complete, whose endpoint has
// restarted, or whose completion timeout has passed.
func (p *Placer) updatePending(now time.Time, services []Service, d *Decisions) {
	p.pending = slices.DeleteFunc(p.pending, func(o pendingOrder) bool {
		if e, ok := findEndpoint(services, o.order); ok {
			target := Target{Kind: o.order.Kind, Name: o.order.Name}
			if e.Incarnation != o.order.Incarnation || e.reportsLoaded(target) {
				return true
			}
		}
		if now.Sub(o.since) < p.cfg.CompletionTimeout {
			return false
		}
		d.Incomplete = append(d.Incomplete, o.order)
		p.blocked[o.order.key()] = now.Add(p.cfg.Cooldown)
		return true
	})
	for key, until := range p.blocked {
		if !now.Before(until) {
			delete(p.blocked, key)
		}
	}
}

// reportsLoaded reports whether the endpoint lists the target as loaded.
func (e Endpoint) reportsLoaded(t Target) bool {
	if t.Kind == LoadAdapter {
		return slices.Contains(e.Adapters, t.Name)
	}
	return slices.Contains(e.Models, t.Name)
}

func findEndpoint(services []Service, order Order) (Endpoint, bool) {
	for _, s := range services {
		if s.Name != order.Service {
			continue
		}
		for _, e := range s.Endpoints {
			if e.Name == order.Endpoint {
				return e, true
			}
		}
	}
	return Endpoint{}, false
}

func (p *Placer) bucket(now time.Time, s Service) *bucket {
	b, ok := p.buckets[s.Name]
	if !ok {
		b = &bucket{refilledAt: now}
		p.buckets[s.Name] = b
	}
	b.refill(now, s.OrdersPerMinute)
	return b
}

// evaluateTarget issues at most one order for the target. It adds a need that
// persists to needs; after an order, the need must last for MinNeedDuration
// again.
func (p *Placer) evaluateTarget(now time.Time, lease Lease, s Service, t Target, b *bucket, needs map[needKey]*need, d *Decisions) {
	reason := p.reason(s, t)
	if reason == "" {
		return
	}
	key := needKey{service: s.Name, target: t}
	n, ok := p.needs[key]
	if !ok {
		n = &need{since: now}
	}
	needs[key] = n
	if now.Sub(n.since) < p.cfg.MinNeedDuration {
		return
	}
	e, allowed, found := p.selectEndpoint(now, lease, s, t, reason)
	order := Order{
		Service: s.Name, Endpoint: e.Name, Incarnation: e.Incarnation, Address: e.Address,
		Kind: t.Kind, Name: t.Name, Fence: lease.FencingToken(), Reason: reason,
		SendBy: now.Add(SendTimeout),
	}
	switch {
	case !found:
	case !allowed:
		if !n.withholdingReported {
			n.withholdingReported = true
			d.Withheld = append(d.Withheld, WithheldOrder{Order: order, Until: lease.PreviousHolderExpiry()})
		}
	case !b.take():
		if !n.delayReported {
			n.delayReported = true
			d.Delayed = append(d.Delayed, DelayedOrder{Order: order, For: b.wait(s.OrdersPerMinute)})
		}
	default:
		p.pending = append(p.pending, pendingOrder{order: order, since: now})
		d.Orders = append(d.Orders, order)
		delete(needs, key)
	}
}

// reason returns why one more endpoint must load the target, or an empty
// string.
func (p *Placer) reason(s Service, t Target) string {
	holders, loading, full := 0, 0, true
	for _, e := range s.Endpoints {
		if e.Available && e.hasLoaded(t) {
			holders++
			full = full && !e.hasFreeSlot()
		}
	}
	for _, o := range p.pending {
		e, known := findEndpoint([]Service{s}, o.order)
		if known && e.Available && o.order.Kind == t.Kind && o.order.Name == t.Name {
			loading++
		}
	}
	switch {
	case holders+loading < t.Min:
		return ReasonMinimum
	case t.Max > 0 && holders+loading >= t.Max, loading > 0, !p.hasDemand(s, t):
		return ""
	case holders == 0:
		return ReasonNotLoaded
	case full:
		return ReasonAllFull
	}
	return ""
}

// hasDemand reports whether requests have waited long enough for the target.
func (p *Placer) hasDemand(s Service, t Target) bool {
	return slices.ContainsFunc(s.Demand, func(d Demand) bool {
		return t.matchesDemand(d) && d.Waiting > 0 && d.OldestWait >= p.cfg.MinRequestWait
	})
}

// selectEndpoint returns the least loaded endpoint that may get the order now,
// or else one that may get it later.
func (p *Placer) selectEndpoint(now time.Time, lease Lease, s Service, t Target, reason string) (best Endpoint, allowed, found bool) {
	for _, e := range s.Endpoints {
		if !p.isCandidate(s, t, e) || reason == ReasonAllFull && !e.hasFreeSlot() {
			continue
		}
		allows := lease.allowsOrder(now, e)
		if !found || allows && !allowed || allows == allowed && compareLoad(e, best) < 0 {
			best, allowed, found = e, allows, true
		}
	}
	return best, allowed, found
}

func (p *Placer) isCandidate(s Service, t Target, e Endpoint) bool {
	if !e.Available || e.Slots <= 0 || e.hasLoaded(t) || t.Kind == LoadAdapter && !e.hasModel(t.Model) {
		return false
	}
	key := orderKey{service: s.Name, endpoint: e.Name, kind: t.Kind, name: t.Name}
	if _, blocked := p.blocked[key]; blocked {
		return false
	}
	return !slices.ContainsFunc(p.pending, func(o pendingOrder) bool {
		return o.order.Service == s.Name && o.order.Endpoint == e.Name
	})
}

// compareLoad orders endpoints by the share of their slots in use, then by the
// number of loaded models and adapters, then by name.
func compareLoad(a, b Endpoint) int {
	return cmp.Or(
		cmp.Compare(a.Running*b.Slots, b.Running*a.Slots),
		cmp.Compare(len(a.Models)+len(a.Adapters), len(b.Models)+len(b.Adapters)),
		strings.Compare(a.Name, b.Name),
	)
}
