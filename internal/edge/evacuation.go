package edge

import (
	"slices"
	"time"

	"oleanderramp/internal/balance"
)

// SetEvacuated replaces the evacuated zones, whose endpoints get no further requests.
// Waiting requests are placed elsewhere, and rejected at once if there is no other
// endpoint that may run them.
func (c *AdmissionController) SetEvacuated(now time.Time, zones []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuating = len(zones) > 0
	c.balancer.SetEvacuated(now, zones)
	c.rejectStranded(now)
	c.placeWaiting(now)
}

// rejectStranded rejects the waiting requests for which evacuations leave no endpoint.
// c.mu is held.
func (c *AdmissionController) rejectStranded(now time.Time) {
	if !c.evacuating {
		return
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(w *waitingRequest) bool {
		if c.balancer.HasEligible(w.request.demand) {
			return false
		}
		c.tallyRefusal(now, w.request, w.withinShare)
		w.placed <- placement{choice: balance.Choice{Reason: balance.NoEndpoint}, withinShare: w.withinShare}
		return true
	})
}
