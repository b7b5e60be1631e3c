package site

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/balance"
	"oleanderramp/internal/directory"
	"oleanderramp/internal/discovery"
	"oleanderramp/internal/edge"
	"oleanderramp/internal/event"
	"oleanderramp/internal/peer"
	"oleanderramp/internal/prefixes"
	"oleanderramp/internal/wire"
)

// crasherReport is a crashing request and when it was reported.
type crasherReport struct {
	crasher edge.Crasher
	at      time.Time
}

// crasherReportTTL is how long a control host passes a crashing request on.
const crasherReportTTL = 3 * time.Second

// describe returns the description of this control host that it sends to
// others.
func (c *control) describe() *wire.ControlHost {
	return &wire.ControlHost{
		Address: c.settings.PeerAddress(), Incarnation: c.self.GetIncarnation(), Region: c.settings.Region, Zone: c.settings.Zone,
		Replica: c.replica.Self().Replica, Draining: c.draining.Load(),
		Evacuations: true, SoftwareRecords: true,
	}
}

// Exchange answers the sync call of another daemon.
func (c *control) Exchange(now time.Time, request *wire.SyncRequest) *wire.SyncResponse {
	if wantsFirstTable(request) && c.store.Routing() != nil {
		c.tables.await(now)
		now = time.Now()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record(now, request)
	c.roster.record(now, request)
	response := &wire.SyncResponse{
		Responder: c.describe(), Hosts: hostsToWire(c.hosts.Alive(now)),
		DirectoryEpoch: c.self.GetIncarnation(), DirectoryRevision: c.directory.Revision(),
		Crashers: crashersToWire(now, c.recentCrashers(now)), Parts: partsToWire(now, c.parts.Reports(now, crasherReportTTL)),
	}
	c.addUpdates(now, request, response)
	c.addStreams(now, request, response)
	c.addSpeeds(now, request, response)
	c.addRouting(request, response)
	c.addEvacuation(request, response) // After the routing table, so that it is no older than that.
	c.roster.answer(now, request, response)
	if request.GetLoad() == nil || request.GetControl() != nil {
		return response
	}
	router := request.GetSender().GetHost()
	if request.GetLoadSequence() == 0 {
		response.Load = c.loads.others(now, router)
	} else {
		total := c.loads.totalFor(now, router, request.GetRegion(), c.firstChoice(now, request.GetRegion()))
		response.TotalLoad, response.LoadSequence, response.LoadPartial = total.encoded, total.sequence, total.partial
	}
	return response
}

// record records what the sender reports. The caller holds c.mu.
func (c *control) record(now time.Time, request *wire.SyncRequest) {
	sender := request.GetSender().GetHost()
	if request.GetControl() != nil {
		recordContact(c.log, c.hosts, now, request.GetControl(), request.GetHosts())
		c.recordVersion(request.GetControl())
		c.loads.reportPeer(now, sender, request.GetLoad())
	} else {
		c.addCrashers(now, request.GetCrashers())
		c.addPartReports(now, request.GetParts())
		c.addRateLimits(now, sender, request.GetRateLimits())
		c.reportSpeeds(now, request.GetSpeeds())
		for _, s := range streamsFromWire(request.GetStreams()) {
			c.streams.Report(now, s)
		}
		if request.GetLoad() != nil {
			c.loads.reportRouter(now, sender, request.GetLoad(), request.GetLoadSequence())
		}
	}
	for _, e := range cachedFromWire(now, request.GetCached()) {
		c.cached.Report(now, e)
	}
}

// addUpdates adds the endpoints and cached prompt parts that the sender lacks.
// All control hosts exchange updates with each other, so each sends the others
// only what it received from endpoints and routers itself. A router gets renewals
// only from its primary. The caller holds c.mu.
func (c *control) addUpdates(now time.Time, request *wire.SyncRequest, response *wire.SyncResponse) {
	since, cachedSince := request.GetDirectoryRevision(), request.GetCacheRevision()
	if request.GetDirectoryEpoch() != c.self.GetIncarnation() {
		since, cachedSince = 0, 0
	}
	scope, cached := directory.All, c.cached.Since
	switch {
	case request.GetControl() != nil:
		scope, cached = directory.Direct, c.cached.ReportedSince
	case request.GetLoad() == nil:
		scope = directory.Changes
	}
	var ids map[string]bool
	if request.GetControl() == nil && request.GetRegion() != "" {
		ids = c.firstChoice(now, request.GetRegion())
	}
	response.Endpoints = entriesToWire(now, c.directory.SinceOf(since, scope, ids))
	if request.GetLoad() == nil {
		return
	}
	parts := cached(cachedSince)
	if ids != nil {
		parts = slices.DeleteFunc(parts, func(e prefixes.Entry) bool { return !ids[e.Endpoint] })
	}
	response.CacheRevision, response.Cached = c.cached.Revision(), cachedToWire(now, parts)
}

// addStreams adds the streams that another control host lacks, and the former software
// versions of endpoints: those that this host has seen itself to another one, and all to a
// router. The caller holds c.mu.
func (c *control) addStreams(now time.Time, request *wire.SyncRequest, response *wire.SyncResponse) {
	if request.GetControl() == nil {
		response.Streams = versionsToWire(c.directory.Former(now, false))
		return
	}
	since := request.GetStreamRevision()
	if request.GetDirectoryEpoch() != c.self.GetIncarnation() {
		since = 0
	}
	list, revision := c.streams.Since(now, since, maxSyncedStreams)
	response.Streams, response.StreamRevision = streamsToWire(list), revision
	response.Streams = append(response.Streams, versionsToWire(c.directory.Former(now, true))...)
}

// firstChoicePeriod is how long the endpoints that a region's routers choose first
// are reused.
const firstChoicePeriod = time.Second

// regionEndpoints are the endpoints that a region's routers choose first, as of
// a time.
type regionEndpoints struct {
	ids map[string]bool
	at  time.Time
}

// firstChoice returns the endpoints that routers of the region choose first. The
// caller holds c.mu.
func (c *control) firstChoice(now time.Time, region string) map[string]bool {
	known, ok := c.firstChoices[region]
	if !ok || now.Sub(known.at) >= firstChoicePeriod {
		known = regionEndpoints{ids: balance.FirstChoice(c.directory.Usable(), region), at: now}
		c.firstChoices[region] = known
	}
	return known.ids
}

// addRouting adds the version of the routing table in force, and the table
// itself for a router that has an older one and does not get it elsewhere. A router
// without one gets only one that is known to be the latest, unless there is none.
func (c *control) addRouting(request *wire.SyncRequest, response *wire.SyncResponse) {
	table := c.store.Routing()
	response.RoutingVersion = table.GetVersion()
	newer := table.GetVersion() > request.GetRoutingVersion()
	if newer && request.GetControl() == nil && !request.GetOmitDocument() && !c.withholdsTable(request, table.GetVersion()) {
		response.RoutingDocument = table.GetDocument()
	}
}

// addCrashers records the crashing requests that a router has found or another
// control host passes on. The caller holds c.mu.
func (c *control) addCrashers(now time.Time, list []*wire.Crasher) {
	for _, crasher := range crashersFromWire(now, list) {
		known := slices.ContainsFunc(c.crashers, func(report crasherReport) bool {
			return report.crasher.Digest == crasher.Digest && report.crasher.Quarantined == crasher.Quarantined
		})
		if !known {
			c.crashers = append(c.crashers, crasherReport{crasher: crasher, at: now})
		}
	}
}

// addPartReports records evidence about prompt parts that a router has found or
// another control host passes on. The caller holds c.mu.
func (c *control) addPartReports(now time.Time, list []*wire.PartReport) {
	for _, report := range partsFromWire(now, list) {
		c.parts.Add(now, report)
	}
}

// addRateLimits records the rate limits that endpoints have stated to a router. The
// caller holds c.mu.
func (c *control) addRateLimits(now time.Time, router string, list []*wire.RateLimitReport) {
	for _, report := range list {
		var started time.Time
		if report.GetBornMs() != 0 {
			started = time.UnixMilli(report.GetBornMs())
		}
		limit := rateLimitFromWire(now, report.GetLimit())
		change := c.directory.SetRateLimit(report.GetEndpoint(), started, limit)
		logEndpointChange(c.log, change, directory.Entry{ID: report.GetEndpoint(), RateLimit: limit}, router)
	}
}

// recentCrashers returns the crashing requests reported within
// crasherReportTTL. Reports are deleted after twice that time only, so that one
// that another control host still passes on is not recorded again. The caller
// holds c.mu.
func (c *control) recentCrashers(now time.Time) []edge.Crasher {
	var list []edge.Crasher
	c.crashers = slices.DeleteFunc(c.crashers, func(report crasherReport) bool { return now.Sub(report.at) >= 2*crasherReportTTL })
	for _, report := range c.crashers {
		if now.Sub(report.at) < crasherReportTTL {
			list = append(list, report.crasher)
		}
	}
	return list
}

// recordContact records direct contact with a control host, and adds the hosts
// that it has reported as candidates.
func recordContact(l log.Interface, table *discovery.Table, now time.Time, host *wire.ControlHost, hosts []*wire.ControlHost) {
	if table.MarkAlive(now, hostFromWire(host)) {
		event.PeerUp.Log(l, event.Fields{"peer": host.GetAddress(), "incarnation": host.GetIncarnation()})
	}
	for _, h := range hosts {
		table.AddCandidate(now, hostFromWire(h))
	}
}

// syncPeers calls each other control host to which no call is in progress.
func (c *control) syncPeers(ctx context.Context) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	load, routers := c.loads.own(now), c.roster.reported(now)
	for _, address := range c.hosts.Targets(now) {
		if c.inFlight[address] {
			continue
		}
		c.inFlight[address] = true
		cursor := c.cursors[address]
		request := &wire.SyncRequest{
			Sender: c.self, Control: c.describe(), Hosts: hostsToWire(c.hosts.Alive(now)), Load: load,
			DirectoryEpoch: cursor.epoch, DirectoryRevision: cursor.revision, CacheRevision: cursor.cache,
			StreamRevision: cursor.streams, SpeedRevision: cursor.speeds, Roster: routers,
		}
		c.done.Go(func() { c.syncPeer(ctx, address, request) })
	}
}

func (c *control) syncPeer(ctx context.Context, address string, request *wire.SyncRequest) {
	response, err := peer.Exchange(ctx, c.dialer, address, syncTimeout, request)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inFlight, address)
	if err != nil {
		return
	}
	recordContact(c.log, c.hosts, now, response.GetResponder(), response.GetHosts())
	c.recordVersion(response.GetResponder())
	for _, entry := range entriesFromWire(c.log, now, response.GetEndpoints(), address) {
		logEndpointChange(c.log, c.directory.Merge(entry), entry, address)
	}
	c.markSynced()
	c.cursors[address] = syncCursor{
		epoch: response.GetDirectoryEpoch(), revision: response.GetDirectoryRevision(), cache: response.GetCacheRevision(),
		streams: response.GetStreamRevision(), speeds: response.GetSpeedRevision(),
	}
	c.mergeSpeeds(now, response)
	for _, s := range streamsFromWire(response.GetStreams()) {
		c.streams.Merge(now, s)
	}
	addFormerVersions(now, c.directory, response.GetStreams())
	for _, e := range cachedFromWire(now, response.GetCached()) {
		c.cached.Merge(now, e)
	}
	c.addCrashers(now, response.GetCrashers())
	c.addPartReports(now, response.GetParts())
	c.directory.RemoveExpired(now)
	c.cached.DeleteExpired(now)
}
