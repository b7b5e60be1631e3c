package balance

import (
	"slices"
	"time"
)

// candidates are the endpoints of a service that may run a request, whether or not they
// have capacity now.
type candidates struct {
	endpoints []*endpoint
	// outside is true if the request is kept from the router's own region.
	outside bool
}

// eligible returns the endpoints of the service in the demand's regions whose zones are
// not evacuated.
func (b *Balancer) eligible(s *service, d Demand) candidates {
	if d.Regions == nil && !s.evacuated {
		return candidates{endpoints: s.endpoints}
	}
	c := candidates{endpoints: make([]*endpoint, 0, len(s.endpoints)), outside: true}
	for _, e := range s.endpoints {
		if !e.permits(d) {
			continue
		}
		c.endpoints = append(c.endpoints, e)
		c.outside = c.outside && e.entry.Region != b.region
	}
	return c
}

// permits reports whether neither the demand's regions nor an evacuation keep requests from
// the endpoint.
func (e *endpoint) permits(d Demand) bool {
	return !e.evacuated && (d.Regions == nil || slices.Contains(d.Regions, e.entry.Region))
}

// HasEligible reports whether an endpoint exists that may run the request, whether or not
// it has capacity or can be reached now.
func (b *Balancer) HasEligible(d Demand) bool {
	s := b.services[d.Service]
	return s != nil && slices.ContainsFunc(b.eligible(s, d).endpoints, func(e *endpoint) bool { return d.allows(e.entry) })
}

// SetEvacuated replaces the evacuated zones. Their endpoints get no requests, and no
// cached prompt parts are fetched from them, as the engine that fetches would send them
// a request. The endpoints of a zone whose evacuation ends may have become cold.
func (b *Balancer) SetEvacuated(now time.Time, zones []string) {
	former := b.evacuated
	b.evacuated = make(map[string]bool, len(zones))
	for _, zone := range zones {
		b.evacuated[zone] = true
	}
	for zone := range former {
		if !b.evacuated[zone] {
			b.MarkUnknownTemperature(zone, now)
		}
	}
	for _, s := range b.services {
		s.evacuated = false
		for _, e := range s.endpoints {
			b.markEvacuated(s, e)
		}
	}
}

// markEvacuated sets whether the endpoint of the service is in an evacuated zone.
func (b *Balancer) markEvacuated(s *service, e *endpoint) {
	e.evacuated = b.evacuated[e.entry.Zone]
	s.evacuated = s.evacuated || e.evacuated
}
