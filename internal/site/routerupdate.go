package site

import (
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/balance"
	"oleanderramp/internal/directory"
	"oleanderramp/internal/event"
	"oleanderramp/internal/wire"
	"oleanderramp/pkg/routing"
)

// applyResponse applies a control host's response, of the time asOf. What is only useful
// while it is new is left out if that is earlier than now.
func (r *router) applyResponse(now, asOf time.Time, host string, response *wire.SyncResponse, primary bool) {
	// This comes first: a router with a routing table is ready for callers.
	r.adoptEvacuation(now, response.GetEvacuation(), host)
	newTable := r.adoptTable(response, host)
	r.mu.Lock()
	recordContact(r.log, r.hosts, now, response.GetResponder(), response.GetHosts())
	formerVersions := addFormerVersions(now, r.directory, response.GetStreams())
	changed, renewed := r.mergeEndpoints(asOf, host, response.GetEndpoints())
	r.updateVersions(now, changed || formerVersions)
	if r.newestVersion <= r.RoutingVersion() {
		r.newerSince = now
	}
	r.newestVersion = max(r.newestVersion, response.GetRoutingVersion())
	cursor := r.cursors[host]
	if cursor.epoch != response.GetDirectoryEpoch() {
		// Positions within an earlier start of the host mean nothing.
		cursor.cache, cursor.speeds = 0, 0
	}
	cursor.epoch, cursor.revision = response.GetDirectoryEpoch(), response.GetDirectoryRevision()
	var others routerLoad
	var loadErr error
	if primary {
		cursor.cache, cursor.speeds = response.GetCacheRevision(), response.GetSpeedRevision()
		r.primaryAnsweredAt = now
		if others, loadErr = r.sentLoads.othersLoad(response); loadErr == nil {
			r.otherRouters = others.routers
		}
	}
	formerEpoch := cursor.reportedEpoch
	if primary {
		cursor.reportedEpoch = cursor.epoch
	}
	r.cursors[host] = cursor
	// This is done under the lock so that an older state cannot overwrite a
	// newer one.
	if changed {
		r.firstChoice = balance.FirstChoice(r.directory.Usable(), r.settings.Region)
	}
	var only map[string]bool
	if response.GetLoadPartial() {
		only = r.firstChoice
	}
	if table := r.Table(); table != nil && (changed || newTable) {
		usable := r.directory.Usable()
		r.forwarder.UpdateEndpoints(now, usable)
		r.admission.Update(now, usable, table, r.settings.ShareWindow())
	}
	r.admission.RefreshAnnouncements(renewed)
	if primary {
		r.applySpeeds(now, formerEpoch, response)
	}
	r.mu.Unlock()

	r.forwarder.MergeCrashers(now, crashersFromWire(now, response.GetCrashers()))
	r.forwarder.MergePartReports(now, partsFromWire(now, response.GetParts()))
	switch {
	case loadErr != nil:
		event.LoadUnreadable.Log(r.log, event.Fields{"peer": host, "error": loadErr.Error()})
	case primary && !asOf.Before(now):
		r.admission.SetFleet(now, others.routers, others.counting >= others.routers)
		r.admission.SetRoster(now, response.GetRosterDigest(), response.GetRoster())
		r.admission.SetOtherRouters(now, others.endpoints, only, others.accounts, cachedFromWire(now, response.GetCached()))
		r.updateRetryBudget()
	}
}

// mergeEndpoints adds the endpoints that a control host has sent to the directory. It
// reports whether any has changed, and returns those that have only announced
// themselves again. The caller holds r.mu.
func (r *router) mergeEndpoints(now time.Time, host string, endpoints []*wire.EndpointEntry) (changed bool, renewed []directory.Entry) {
	for _, entry := range entriesFromWire(r.log, now, endpoints, host) {
		change := r.directory.Merge(entry)
		logEndpointChange(r.log, change, entry, host)
		switch change {
		case directory.Stale:
		case directory.Renewed:
			renewed = append(renewed, entry)
		default:
			changed = true
		}
	}
	r.directory.RemoveExpired(now)
	return changed, renewed
}

// updateVersions records the software versions of the endpoints if any has changed, and
// otherwise every versionsPeriod. The caller holds r.mu.
func (r *router) updateVersions(now time.Time, changed bool) {
	if changed || now.Sub(r.versionsAt) >= versionsPeriod {
		r.versionsAt = now
		r.forwarder.UpdateVersions(now, softwareVersions(now, r.directory))
	}
}

// adoptTable puts the routing table of the response in force if it is newer,
// and reports whether it did. A router never returns to an older version.
func (r *router) adoptTable(response *wire.SyncResponse, host string) bool {
	current := r.Table()
	known := current != nil && response.GetRoutingVersion() <= current.Version()
	if known || len(response.GetRoutingDocument()) == 0 {
		return false
	}
	document, err := decompress(response.GetRoutingDocument())
	var table *routing.Table
	if err == nil {
		table, err = r.adapter.Routing(document)
	}
	if err != nil {
		event.RoutingUnreadable.Log(r.log, event.Fields{"version": response.GetRoutingVersion(), "peer": host, "error": err.Error()})
		return false
	}
	for {
		if current != nil && table.Version() <= current.Version() {
			return false
		}
		if r.table.CompareAndSwap(current, table) {
			break
		}
		current = r.table.Load()
	}
	previousVersion := uint64(0)
	if current != nil {
		previousVersion = current.Version()
	}
	event.RoutingInForce.Log(r.log, event.Fields{"version": table.Version(), "before": previousVersion, "routes": table.Len(), "peer": host})
	r.adoptRegions(table)
	return true
}

// logEndpointChange logs that an endpoint has joined or left, or has stated another
// rate limit or become cold.
func logEndpointChange(l log.Interface, change directory.Change, e directory.Entry, source string) {
	fields := event.Fields{
		"endpoint": e.ID, "service": e.Service, "address": e.Address, "zone": e.Zone, "software": e.Software, "sequence": e.Sequence, "source": source,
	}
	switch change {
	case directory.Joined:
		event.EndpointAnnounced.Log(l, fields)
	case directory.Left:
		event.EndpointLeft.Log(l, fields)
	case directory.TurnedCold:
		event.EndpointCold.Log(l, event.Fields{"endpoint": e.ID, "service": e.Service, "cold_ms": e.ColdFor.Milliseconds(), "source": source})
	case directory.Limited:
		event.EndpointRateLimit.Log(l, event.Fields{"endpoint": e.ID, "service": e.Service, "limit_per_s": e.RateLimit.PerSecond, "source": source})
	}
}
