package edge

import "time"

// LimitColdEndpoints makes this router, whose id is router, keep the limits of cold
// endpoints, for services that state any.
func (c *AdmissionController) LimitColdEndpoints(router uint64, overrun, slack float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.LimitColdEndpoints(router, overrun, slack)
}

// SetRoster replaces the ids of the site's routers. digest identifies the list; ids are
// ignored if it is that of the last one.
func (c *AdmissionController) SetRoster(now time.Time, digest uint64, ids []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.SetRoster(now, digest, ids)
}

// RosterDigest returns the digest of the last list of routers; 0 if there was none.
func (c *AdmissionController) RosterDigest() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balancer.RosterDigest()
}

// MarkUnknownTemperature records that the endpoints of the zone may have become cold
// before now, such as at the end of an evacuation. Each counts as cold until it has
// announced itself after that.
func (c *AdmissionController) MarkUnknownTemperature(zone string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.MarkUnknownTemperature(zone, now)
}

// ColdEndpoints returns the number of endpoints that count as cold.
func (c *AdmissionController) ColdEndpoints(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balancer.ColdEndpoints(now)
}
