package site

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/directory"
	"oleanderramp/internal/discovery"
	"oleanderramp/internal/edge"
	"oleanderramp/internal/event"
	"oleanderramp/internal/peer"
	"oleanderramp/internal/wire"
)

// crasherNews is a crasher with its time.
type crasherNews struct {
	crasher edge.Crasher
	at      time.Time
}

// crasherNewsFor is how long a control host passes a crasher on.
const crasherNewsFor = 3 * time.Second

// report is a load with its time.
type report struct {
	load *wire.LoadReport
	at   time.Time
}

// describe returns what this control host says of itself.
func (c *control) describe() *wire.ControlHost {
	return &wire.ControlHost{
		Address: c.settings.PeerAddress(), Incarnation: c.self.GetIncarnation(), Region: c.settings.Region, Zone: c.settings.Zone,
		Replica: c.replica.Self().Replica, Draining: c.draining.Load(),
	}
}

// Exchange answers another daemon.
func (c *control) Exchange(now time.Time, request *wire.SyncRequest) *wire.SyncResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	sender := request.GetSender().GetHost()
	if request.GetControl() != nil {
		heard(c.log, c.hosts, now, request.GetControl(), request.GetHosts())
		c.siblings[sender] = report{load: request.GetLoad(), at: now}
	} else if request.GetLoad() != nil {
		c.reports[sender] = report{load: request.GetLoad(), at: now}
	}
	response := &wire.SyncResponse{
		Responder: c.describe(), Hosts: hostsToWire(c.hosts.Alive(now)),
		DirectoryEpoch: c.self.GetIncarnation(), DirectoryRevision: c.directory.Revision(),
	}
	for _, e := range cachedFromWire(now, request.GetCached()) {
		c.cached.Report(now, e)
	}
	if request.GetControl() == nil {
		c.takeCrashers(now, request.GetCrashers())
	}
	response.Crashers = crashersToWire(now, c.recentCrashers(now))
	since, cachedSince := request.GetDirectoryRevision(), request.GetCacheRevision()
	if request.GetDirectoryEpoch() != c.self.GetIncarnation() {
		since, cachedSince = 0, 0
	}
	// Each control host hears from each other one, so it passes on only what it
	// was told first; a router hears the signs of life from its primary.
	scope, cached := directory.All, c.cached.Since
	switch {
	case request.GetControl() != nil:
		scope, cached = directory.Direct, c.cached.ReportedSince
	case request.GetLoad() == nil:
		scope = directory.Changes
	}
	response.Endpoints = entriesToWire(now, c.directory.Since(since, scope))
	if request.GetLoad() != nil {
		response.CacheRevision, response.Cached = c.cached.Revision(), cachedToWire(now, cached(cachedSince))
	}
	if routing := c.store.Routing(); routing.GetVersion() > 0 {
		response.RoutingVersion = routing.GetVersion()
		if request.GetControl() == nil && routing.GetVersion() > request.GetRoutingVersion() {
			response.RoutingDocument = routing.GetDocument()
		}
	}
	if request.GetLoad() != nil && request.GetControl() == nil {
		response.Load = c.othersLoad(now, sender)
	}
	return response
}

// takeCrashers takes what a router has found, and what another control host
// passes on. c.mu is held.
func (c *control) takeCrashers(now time.Time, list []*wire.Crasher) {
	for _, crasher := range crashersFromWire(now, list) {
		known := slices.ContainsFunc(c.crashers, func(n crasherNews) bool {
			return n.crasher.Digest == crasher.Digest && n.crasher.Quarantined == crasher.Quarantined
		})
		if !known {
			c.crashers = append(c.crashers, crasherNews{crasher: crasher, at: now})
		}
	}
}

// recentCrashers returns what came in of late. c.mu is held.
func (c *control) recentCrashers(now time.Time) []edge.Crasher {
	var list []edge.Crasher
	c.crashers = slices.DeleteFunc(c.crashers, func(n crasherNews) bool { return now.Sub(n.at) >= 2*crasherNewsFor })
	for _, n := range c.crashers {
		if now.Sub(n.at) < crasherNewsFor {
			list = append(list, n.crasher)
		}
	}
	return list
}

// othersLoad sums the load of all routers but one. c.mu is held.
func (c *control) othersLoad(now time.Time, router string) *wire.LoadReport {
	var list []*wire.LoadReport
	for name, r := range c.reports {
		if name != router && now.Sub(r.at) < reportHolds {
			list = append(list, r.load)
		}
	}
	for _, r := range c.siblings {
		if now.Sub(r.at) < siblingHolds {
			list = append(list, r.load)
		}
	}
	return sumReports(list)
}

// ownLoad sums the load of the routers that report here, and forgets those
// that do no more. c.mu is held.
func (c *control) ownLoad(now time.Time) *wire.LoadReport {
	var list []*wire.LoadReport
	for name, r := range c.reports {
		if now.Sub(r.at) >= reportHolds {
			delete(c.reports, name)
			continue
		}
		list = append(list, r.load)
	}
	return sumReports(list)
}

// heard takes a sign of life of a control host, and what hosts it knows.
func heard(l log.Interface, table *discovery.Table, now time.Time, host *wire.ControlHost, hosts []*wire.ControlHost) {
	if table.Heard(now, hostFromWire(host)) {
		event.PeerUp.Log(l, event.Fields{"peer": host.GetAddress(), "incarnation": host.GetIncarnation()})
	}
	for _, h := range hosts {
		table.Mentioned(now, hostFromWire(h))
	}
}

// callSiblings calls each other control host that no call is under way to.
func (c *control) callSiblings(ctx context.Context) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range c.hosts.Targets(now) {
		if c.calling[address] {
			continue
		}
		c.calling[address] = true
		at := c.marks[address]
		request := &wire.SyncRequest{
			Sender: c.self, Control: c.describe(), Hosts: hostsToWire(c.hosts.Alive(now)), Load: c.ownLoad(now),
			DirectoryEpoch: at.epoch, DirectoryRevision: at.revision, CacheRevision: at.cache,
		}
		c.done.Go(func() { c.callSibling(ctx, address, request) })
	}
}

func (c *control) callSibling(ctx context.Context, address string, request *wire.SyncRequest) {
	response, err := peer.Exchange(ctx, c.dialer, address, exchangeTimeout, request)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calling, address)
	if err != nil {
		return
	}
	heard(c.log, c.hosts, now, response.GetResponder(), response.GetHosts())
	for _, e := range response.GetEndpoints() {
		entry := entryFromWire(now, e)
		logChange(c.log, c.directory.Merge(entry), entry, address)
	}
	c.marks[address] = mark{
		epoch: response.GetDirectoryEpoch(), revision: response.GetDirectoryRevision(), cache: response.GetCacheRevision(),
	}
	for _, e := range cachedFromWire(now, response.GetCached()) {
		c.cached.Merge(now, e)
	}
	c.takeCrashers(now, response.GetCrashers())
	c.directory.Forget(now)
	c.cached.DeleteExpired(now)
}
