package daemon

import (
	"time"

	"oleanderramp/internal/peer"
	"oleanderramp/internal/scheduling"
	"oleanderramp/internal/wire"
)

// regions sends exchange batches to the schedulers of other regions.
type regions struct {
	members   *members
	self      string
	local     func() *scheduling.Manager
	exchanger *peer.Exchanger
}

// Others returns the other regions that have a live scheduler.
func (r *regions) Others(now time.Time, own string) []string { return r.members.Others(now, own) }

// Send delivers the batch to the host that schedules the service in the region.
// It drops the batch if the region has no live scheduler.
func (r *regions) Send(now time.Time, service, region string, batch *wire.ExchangeBatch) {
	host, ok := r.members.Scheduler(now, service, region)
	switch {
	case !ok:
	case host == r.self:
		r.local().Exchange(batch)
	default:
		r.exchanger.Send(host, batch)
	}
}

// schedulingHandler adapts the scheduling manager to the interface of the peer
// server.
type schedulingHandler struct {
	manager *scheduling.Manager
}

// Join starts a session for a router.
func (s schedulingHandler) Join(first *wire.RouterBatch, send func(*wire.SchedulerBatch) bool) peer.Session {
	return s.manager.Join(first, send)
}

// Exchange processes a batch from another region.
func (s schedulingHandler) Exchange(batch *wire.ExchangeBatch) { s.manager.Exchange(batch) }

// Schedules returns the reports of this daemon's schedulers.
func (s schedulingHandler) Schedules() *wire.SchedulesResponse { return s.manager.Schedules() }
