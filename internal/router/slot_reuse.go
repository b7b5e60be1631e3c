package router

import (
	"maps"
	"slices"
	"time"

	"oleanderramp/internal/event"
	"oleanderramp/internal/wire"
)

// slotReuseWindow is how long after the loss of its scheduler a router may use the
// slots that it holds for further requests of its own. It bounds how long an
// endpoint that leaves meanwhile can get new work.
const slotReuseWindow = 2 * time.Second

// reasonSlotReused is the reason of a placement without a scheduler.
const reasonSlotReused = "kept_slot"

// reuseSlot gives the slot of a request that has ended to a waiting one of this
// router, while the scheduler that granted it is out of reach: the slot would
// stay idle until another scheduler knows of it.
func (s *dispatchState) reuseSlot(now time.Time, ended *runningRequest) {
	if !s.linkLostRecently(now, ended.host) {
		return
	}
	next := s.selectWaitingRequest(ended)
	if next == nil {
		return
	}
	grant := &wire.Grant{
		Request: next.demand.GetRequest(), Service: ended.grant.GetService(), Endpoint: ended.grant.GetEndpoint(),
		EndpointIncarnation: ended.grant.GetEndpointIncarnation(), Address: ended.grant.GetAddress(), Reason: reasonSlotReused,
	}
	event.SlotKept.Log(s.cfg.Log, event.Fields{
		"service": grant.GetService(), "endpoint": grant.GetEndpoint(), "account": next.demand.GetAccount(),
		"number": grant.GetRequest(), "peer": ended.host,
	})
	s.startRequest(next, grant, ended.host)
}

// linkLostRecently tells whether the link to the host is down, and was up until
// keepSlotFor ago.
func (s *dispatchState) linkLostRecently(now time.Time, host string) bool {
	l, ok := s.links[host]
	return ok && !l.established && !l.lostAt.IsZero() && now.Sub(l.lostAt) < slotReuseWindow
}

// selectWaitingRequest returns the waiting request that the slot suits and whose account
// has received the least, the oldest first; nil when there is none.
func (s *dispatchState) selectWaitingRequest(ended *runningRequest) *waitingRequest {
	var best *waitingRequest
	for _, number := range slices.Sorted(maps.Keys(s.waiting)) {
		w := s.waiting[number]
		if !canReuseSlot(w.demand, ended) {
			continue
		}
		if best == nil || s.lastVirtualService(w) < s.lastVirtualService(best) {
			best = w
		}
	}
	return best
}

// lastVirtualService returns the virtual service of the request's account as last told.
func (s *dispatchState) lastVirtualService(w *waitingRequest) float64 {
	return s.virtualService[accountKey{service: w.demand.GetService(), account: w.demand.GetAccount()}]
}

// canReuseSlot tells whether a request may take the slot of the one that has ended.
func canReuseSlot(demand *wire.Demand, ended *runningRequest) bool {
	return demand.GetService() == ended.state.GetService() && !demand.GetAlone() &&
		demand.GetModel() == ended.demand.GetModel() && demand.GetAdapter() == ended.demand.GetAdapter() &&
		!slices.Contains(demand.GetExcluded(), ended.state.GetEndpoint())
}
