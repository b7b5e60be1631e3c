package measure

import (
	"slices"
	"strconv"
	"time"

	"oleanderramp/internal/scheduler"
	"oleanderramp/internal/wire"
)

// node is a simulated scheduler host of a region.
type node struct {
	fleet       *fleet
	host        string
	region      string
	incarnation uint64
	sched       schedulerAPI
	up, frozen  bool
	// pending holds the inputs received while the node was frozen.
	pending         []func()
	decisionPending bool
	lastDecision    time.Time
}

func (f *fleet) addNode(region string) *node {
	n := &node{fleet: f, host: "s" + strconv.Itoa(len(f.nodes)), region: region, incarnation: uint64(len(f.nodes) + 1), up: true}
	f.nodes = append(f.nodes, n)
	n.sched = f.newScheduler(n)
	n.sched.SetShares(f.clock.now, f.shares())
	f.setRegions()
	first := time.Duration(f.random.Int64N(int64(exchangePeriod)))
	f.clock.every(first, exchangePeriod, func() { n.ifRunning(n.exchange) })
	f.clock.every(accountsPeriod, accountsPeriod, func() { n.ifRunning(n.sendAccounts) })
	f.clock.every(localDelay, 10*decidePeriod, func() { n.ifRunning(n.decide) })
	return n
}

func (f *fleet) newScheduler(n *node) schedulerAPI {
	if f.policy != PolicyFair {
		return newBaseline(f.policy == PolicyPerRouter)
	}
	return scheduler.New(scheduler.Config{Service: f.workload.Service, Region: n.region, Incarnation: n.incarnation})
}

// activeNode returns the node that routers of the region connect to: the newest
// one that is up and not frozen.
func (f *fleet) activeNode(region string) *node {
	for _, n := range slices.Backward(f.nodes) {
		if n.region == region && n.up && !n.frozen {
			return n
		}
	}
	return nil
}

// setRegions updates the set of reachable regions at each node.
func (f *fleet) setRegions() {
	for _, n := range f.nodes {
		var names []string
		for _, r := range f.workload.Regions {
			if r.Name != n.region && f.reachable(r.Name, n.region) {
				names = append(names, r.Name)
			}
		}
		n.sched.SetRegions(f.clock.now, names)
	}
}

func (n *node) ifRunning(act func()) {
	if n.up && !n.frozen {
		act()
	}
}

// receive processes an input now or, if the node is frozen, when it resumes. A
// node that is down discards it.
func (n *node) receive(input func()) {
	switch {
	case !n.up:
	case n.frozen:
		n.pending = append(n.pending, input)
	default:
		input()
		n.scheduleDecision()
	}
}

func (n *node) resume() {
	n.frozen = false
	pending := n.pending
	n.pending = nil
	for _, input := range pending {
		input()
	}
	n.scheduleDecision()
}

// scheduleDecision schedules a call of decide, at least decidePeriod after the
// last one.
func (n *node) scheduleDecision() {
	if n.decisionPending {
		return
	}
	n.decisionPending = true
	n.fleet.clock.after(max(0, n.lastDecision.Add(decidePeriod).Sub(n.fleet.clock.now)), func() {
		n.decisionPending = false
		n.ifRunning(n.decide)
	})
}

// applyBatch passes the contents of a router's batch to the scheduler.
func (n *node) applyBatch(r *router, name scheduler.Router, b *wire.RouterBatch) {
	now := n.fleet.clock.now
	for _, a := range b.Accounts {
		n.sched.Observe(now, a.Account, a.VirtualService)
	}
	for _, m := range b.Running {
		n.sched.Adopt(now, scheduler.Running{
			ID: scheduler.RequestID{Router: name, Number: m.Request}, Account: m.Account, Endpoint: m.Endpoint, Estimate: m.Estimate,
		})
	}
	for _, c := range b.Completions {
		n.sched.Complete(now, scheduler.Completion{
			ID: scheduler.RequestID{Router: name, Number: c.Request}, Account: c.Account, Endpoint: c.Endpoint, Cost: c.Cost,
			Crashed: c.Crashed,
		})
	}
	for _, d := range b.Demands {
		n.sched.Enqueue(now, scheduler.Request{
			ID: scheduler.RequestID{Router: name, Number: d.Request}, Account: d.Account, Kind: d.Kind, Estimate: d.Estimate,
			Waited: time.Duration(d.WaitedMs) * time.Millisecond, Excluded: d.Excluded,
		})
	}
}

// decide runs the scheduler and sends the urgent exchanges, the refusals and the
// grants, the latter in one batch for each router.
func (n *node) decide() {
	n.lastDecision = n.fleet.clock.now
	d := n.sched.Decide(n.fleet.clock.now)
	if d.Urgent {
		n.sendExchanges(n.sched.UrgentOutgoing(n.fleet.clock.now))
	}
	for _, refusal := range d.Refusals {
		for _, r := range n.fleet.routers {
			if r.schedulerNode == n && r.identity() == refusal.ID.Router {
				n.sendToRouter(r, func() { r.handleRefusal(refusal.ID) })
			}
		}
	}
	for _, r := range n.fleet.routers {
		var grants []scheduler.Grant
		for _, g := range d.Grants {
			if g.ID.Router == r.identity() {
				grants = append(grants, g)
			}
		}
		if r.schedulerNode != n || len(grants) == 0 {
			continue
		}
		n.fleet.traffic.grants(n, r, grants)
		n.sendToRouter(r, func() {
			for _, g := range grants {
				r.handleGrant(g)
			}
		})
	}
}

// sendToRouter runs act after the network delay to the router, unless the
// router's connection has changed by then.
func (n *node) sendToRouter(r *router, act func()) {
	connection := r.connection
	n.fleet.clock.after(n.fleet.delay(n.region, r.region), func() {
		if r.connection == connection {
			act()
		}
	})
}

// sendAccounts sends the virtual service of the accounts to the routers.
func (n *node) sendAccounts() {
	accounts := n.sched.Accounts(n.fleet.clock.now)
	for _, r := range n.fleet.routers {
		if r.schedulerNode != n || len(accounts) == 0 {
			continue
		}
		n.fleet.traffic.accounts(n, r, accounts)
		n.sendToRouter(r, func() {
			for _, a := range accounts {
				if _, ok := r.virtualService[a.Account]; !ok {
					r.virtualServiceOrder = append(r.virtualServiceOrder, a.Account)
				}
				r.virtualService[a.Account] = a.VirtualService
			}
		})
	}
}

// exchange sends the periodic exchanges to the other regions.
func (n *node) exchange() {
	n.sendExchanges(n.sched.Outgoing(n.fleet.clock.now))
}

func (n *node) sendExchanges(list []scheduler.Outgoing) {
	for _, out := range list {
		to := n.fleet.activeNode(out.Region)
		if to == nil || !n.fleet.reachable(n.region, out.Region) {
			continue
		}
		n.fleet.traffic.exchange(n, to, out.Exchange)
		n.fleet.clock.after(n.fleet.delay(n.region, to.region), func() {
			if n.fleet.reachable(n.region, to.region) {
				to.receive(func() { to.sched.Exchange(n.fleet.clock.now, n.region, out.Exchange) })
			}
		})
	}
}
