package edge

import (
	"slices"

	"oleanderramp/pkg/routing"
)

// setRegions sets the allowed regions by the routing table and its route of the request.
func (t *task) setRegions(table *routing.Table, route *routing.Route) {
	t.regions, t.regionsVersion = table.AllowedRegions(route, t.keyAccount), table.Version()
}

// allowsRegion reports whether the request may be served in the region.
func (t *task) allowsRegion(region string) bool {
	return t.regions == nil || slices.Contains(t.regions, region)
}

// refreshRegions sets the allowed regions by the routing table in force, and reports
// whether that is another one than before. A request may wait or be retried while a
// newer table comes into force. If that has no route for the request, the former regions
// remain.
func (f *Forwarder) refreshRegions(t *task) bool {
	table := f.cfg.Tables.Table()
	if table == nil || table.Version() == t.regionsVersion {
		return false
	}
	t.regionsVersion = table.Version()
	if route := table.Match(t.request.Host, t.request.Path); route != nil {
		t.setRegions(table, route)
	}
	return true
}
