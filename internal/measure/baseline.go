package measure

import (
	"slices"
	"time"

	"oleanderramp/internal/scheduler"
)

// schedulerAPI is the part of the scheduler's API that the simulation uses.
type schedulerAPI interface {
	SetShares(now time.Time, shares map[string]int)
	SetRegions(now time.Time, regions []string)
	Announce(now time.Time, a scheduler.Announcement)
	Enqueue(now time.Time, r scheduler.Request)
	Withdraw(now time.Time, id scheduler.RequestID)
	Adopt(now time.Time, r scheduler.Running)
	Complete(now time.Time, c scheduler.Completion)
	Observe(now time.Time, account string, virtualService float64)
	RouterLost(now time.Time, r scheduler.Router)
	Exchange(now time.Time, from string, x scheduler.Exchange)
	Outgoing(now time.Time) []scheduler.Outgoing
	UrgentOutgoing(now time.Time) []scheduler.Outgoing
	Decide(now time.Time) scheduler.Decisions
	Accounts(now time.Time) []scheduler.AccountStatus
}

// baseline is a scheduler for comparison. It grants the slots of one region
// without tracking virtual service across routers: either first come, first
// served, or in rotation over the routers, with fair sharing among the accounts
// of each router only.
type baseline struct {
	perRouter bool
	shares    map[string]int
	endpoints []*baselineEndpoint
	waiting   []scheduler.Request
	granted   map[scheduler.RequestID]*baselineEndpoint
	// service is the estimated cost divided by the share, by router host and
	// account.
	service    map[string]map[string]float64
	routers    []string
	lastRouter int
}

type baselineEndpoint struct {
	scheduler.Announcement
	expires time.Time
	inUse   int
}

func newBaseline(perRouter bool) *baseline {
	return &baseline{
		perRouter: perRouter, granted: make(map[scheduler.RequestID]*baselineEndpoint),
		service: make(map[string]map[string]float64),
	}
}

func (b *baseline) SetShares(_ time.Time, shares map[string]int)   { b.shares = shares }
func (b *baseline) SetRegions(time.Time, []string)                 {}
func (b *baseline) Observe(time.Time, string, float64)             {}
func (b *baseline) Exchange(time.Time, string, scheduler.Exchange) {}
func (b *baseline) Outgoing(time.Time) []scheduler.Outgoing        { return nil }
func (b *baseline) UrgentOutgoing(time.Time) []scheduler.Outgoing  { return nil }
func (b *baseline) Accounts(time.Time) []scheduler.AccountStatus   { return nil }
func (b *baseline) Withdraw(now time.Time, id scheduler.RequestID) {
	b.Complete(now, scheduler.Completion{ID: id})
}
func (b *baseline) find(name string) *baselineEndpoint {
	for _, e := range b.endpoints {
		if e.Endpoint == name {
			return e
		}
	}
	return nil
}

func (b *baseline) Announce(now time.Time, a scheduler.Announcement) {
	e := b.find(a.Endpoint)
	if e == nil {
		e = &baselineEndpoint{}
		b.endpoints = append(b.endpoints, e)
	}
	if a.Incarnation != e.Incarnation {
		e.inUse = 0
		for id, o := range b.granted {
			if o == e {
				delete(b.granted, id)
			}
		}
	}
	e.Announcement = a
	e.expires = now.Add(a.Lease)
}

func (b *baseline) Enqueue(_ time.Time, r scheduler.Request) {
	if b.granted[r.ID] == nil && !slices.ContainsFunc(b.waiting, func(o scheduler.Request) bool { return o.ID == r.ID }) {
		b.waiting = append(b.waiting, r)
	}
}

func (b *baseline) Adopt(_ time.Time, r scheduler.Running) {
	if e := b.find(r.Endpoint); e != nil && b.granted[r.ID] == nil {
		e.inUse++
		b.granted[r.ID] = e
	}
}

func (b *baseline) Complete(_ time.Time, c scheduler.Completion) {
	b.waiting = slices.DeleteFunc(b.waiting, func(r scheduler.Request) bool { return r.ID == c.ID })
	if e := b.granted[c.ID]; e != nil {
		e.inUse--
		delete(b.granted, c.ID)
	}
}

func (b *baseline) RouterLost(_ time.Time, r scheduler.Router) {
	b.waiting = slices.DeleteFunc(b.waiting, func(o scheduler.Request) bool { return o.ID.Router == r })
	for id, e := range b.granted {
		if id.Router == r {
			e.inUse--
			delete(b.granted, id)
		}
	}
}

func (b *baseline) Decide(now time.Time) scheduler.Decisions {
	var d scheduler.Decisions
	for len(b.waiting) > 0 {
		i := 0
		if b.perRouter {
			i = b.nextInRotation()
		}
		r := b.waiting[i]
		e := b.leastLoaded(now, r)
		if e == nil {
			return d
		}
		b.waiting = slices.Delete(b.waiting, i, i+1)
		b.granted[r.ID] = e
		e.inUse++
		b.charge(r)
		d.Grants = append(d.Grants, scheduler.Grant{
			ID: r.ID, Account: r.Account, Endpoint: e.Endpoint, EndpointIncarnation: e.Incarnation, Address: e.Address,
		})
	}
	return d
}

func (b *baseline) leastLoaded(now time.Time, r scheduler.Request) *baselineEndpoint {
	var best *baselineEndpoint
	for _, e := range b.endpoints {
		if !now.Before(e.expires) || e.inUse >= e.Slots || slices.Contains(r.Excluded, e.Endpoint) {
			continue
		}
		if best == nil || e.inUse < best.inUse {
			best = e
		}
	}
	return best
}

// nextInRotation returns the index of the next request in the rotation over the
// routers: of the next router with waiting requests, a request of the account
// with the least service.
func (b *baseline) nextInRotation() int {
	for _, r := range b.waiting {
		if !slices.Contains(b.routers, r.ID.Router.Host) {
			b.routers = append(b.routers, r.ID.Router.Host)
		}
	}
	for range b.routers {
		b.lastRouter = (b.lastRouter + 1) % len(b.routers)
		host := b.routers[b.lastRouter]
		best := -1
		for i, r := range b.waiting {
			if r.ID.Router.Host == host && (best < 0 || b.service[host][r.Account] < b.service[host][b.waiting[best].Account]) {
				best = i
			}
		}
		if best >= 0 {
			return best
		}
	}
	return 0
}

func (b *baseline) charge(r scheduler.Request) {
	host := r.ID.Router.Host
	if b.service[host] == nil {
		b.service[host] = make(map[string]float64)
	}
	b.service[host][r.Account] += r.Estimate / float64(max(1, b.shares[r.Account]))
}
