package site

import (
	"oleanderramp/internal/event"
	"oleanderramp/pkg/routing"
)

// adoptRegions takes in the allowed regions of the routing table that has just come into
// force.
func (r *router) adoptRegions(table *routing.Table) {
	r.restrictedOutside.Store(table.RestrictedOutside(r.settings.Region))
	if err := table.UnknownRegions(r.settings.HasRegion).Err(); err != nil {
		event.RegionsUnknown.Log(r.log, event.Fields{"version": table.Version(), "findings": err.Error()})
	}
}

// reportedRegion returns the region that control hosts are told: they leave out what
// routers of the region rarely need. It is "" if requests may have to be placed in
// other regions although this one has endpoints: the router then needs their loads and
// cached prompt parts as often as those of its own region.
func (r *router) reportedRegion() string {
	if r.restrictedOutside.Load() || r.evacuatedHere.Load() {
		return ""
	}
	return r.settings.Region
}
