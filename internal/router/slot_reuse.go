package router

import (
	"maps"
	"slices"
	"time"

	"oleanderramp/internal/event"
	"oleanderramp/internal/wire"
)

// slotReuseWindow is how long after the loss of its scheduler a router may
// reuse the slots that it holds for its own waiting requests. It bounds how
// long an endpoint that is drained in the meantime can get new work.
const slotReuseWindow = 2 * time.Second

// reasonSlotReused is the grant reason of a slot assigned without a scheduler.
const reasonSlotReused = "kept_slot"

// reuseSlot assigns the slot of a finished request to a waiting request of this
// router while the scheduler that granted it is unreachable. Otherwise the slot
// would stay idle until another scheduler learns of it.
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

// linkLostRecently reports whether the link to the host is down and was lost
// less than slotReuseWindow ago.
func (s *dispatchState) linkLostRecently(now time.Time, host string) bool {
	l, ok := s.links[host]
	return ok && !l.established && !l.lostAt.IsZero() && now.Sub(l.lostAt) < slotReuseWindow
}

// selectWaitingRequest returns the waiting request that can use the slot and
// whose account has received the least service, the oldest first; nil if there
// is none.
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

// lastVirtualService returns the last known virtual service of the request's
// account.
func (s *dispatchState) lastVirtualService(w *waitingRequest) float64 {
	return s.virtualService[accountKey{service: w.demand.GetService(), account: w.demand.GetAccount()}]
}

// canReuseSlot reports whether a request can take the slot of the finished one:
// it must have the same service, model and adapter, must not have to run alone,
// and must not exclude the endpoint.
func canReuseSlot(demand *wire.Demand, ended *runningRequest) bool {
	return demand.GetService() == ended.state.GetService() && !demand.GetAlone() &&
		demand.GetModel() == ended.demand.GetModel() && demand.GetAdapter() == ended.demand.GetAdapter() &&
		!slices.Contains(demand.GetExcluded(), ended.state.GetEndpoint())
}
