package site

import (
	"github.com/cespare/xxhash/v2"

	"oleanderramp/internal/discovery"
	"oleanderramp/internal/settings"
)

// place is where a daemon runs.
type place struct{ region, zone string }

func placeOf(s *settings.Site) place { return place{region: s.Region, zone: s.Zone} }

// distance returns 0 for a host of the same availability zone, 1 for one of the
// same region, and 2 for any other.
func (p place) distance(h discovery.Host) int {
	switch {
	case h.Region != p.region:
		return 2
	case h.Zone != p.zone:
		return 1
	default:
		return 0
	}
}

// nearest returns the nearest host; false if there is none. All daemons of a zone
// choose the same one, so that routers learn of each other's load with the least
// delay. Of hosts in other regions, different zones prefer different ones, so that
// one host does not get all routers of a region whose hosts are down.
func nearest(hosts []discovery.Host, from place) (discovery.Host, bool) {
	var best discovery.Host
	found := false
	for _, h := range hosts {
		if !found || from.prefers(h, best) {
			best, found = h, true
		}
	}
	return best, found
}

// prefers reports whether h is preferred to other.
func (p place) prefers(h, other discovery.Host) bool {
	a, b := p.distance(h), p.distance(other)
	if a != b || a < 2 {
		return a < b
	}
	return xxhash.Sum64String(p.zone+h.Address) > xxhash.Sum64String(p.zone+other.Address)
}
