package router

import (
	"maps"
	"slices"
	"time"

	"oleanderramp/internal/wire"
)

// schedulerHostCache caches scheduler lookups during one pass.
type schedulerHostCache struct {
	state *dispatchState
	now   time.Time
	// byService is keyed by service and region.
	byService map[[2]string]string
}

func (h *schedulerHostCache) lookup(service, region string) string {
	key := [2]string{service, region}
	host, ok := h.byService[key]
	if !ok {
		host = h.state.schedulerHost(h.now, service, region)
		h.byService[key] = host
	}
	return host
}

// reassignSchedulers moves requests and endpoints to the new scheduler where it
// has changed.
func (s *dispatchState) reassignSchedulers(now time.Time) {
	moved := make(map[string]bool)
	hosts := &schedulerHostCache{state: s, now: now, byService: make(map[[2]string]string)}
	for _, number := range slices.Sorted(maps.Keys(s.waiting)) {
		w := s.waiting[number]
		host := hosts.lookup(w.demand.GetService(), s.cfg.Region)
		if host == w.host {
			continue
		}
		s.sendWithdrawal(now, w.host, w.demand)
		w.host = host
		demand := w.demandWithWait(now)
		s.addToBatch(now, host, func(batch *wire.RouterBatch) { batch.Demands = append(batch.Demands, demand) })
		moved[w.demand.GetService()] = true
	}
	for _, number := range slices.Sorted(maps.Keys(s.running)) {
		r := s.running[number]
		host := hosts.lookup(r.state.GetService(), s.cfg.Region)
		if host == r.host || host == "" {
			continue
		}
		r.host = host
		s.addToBatch(now, host, func(batch *wire.RouterBatch) { batch.Running = append(batch.Running, r.state) })
		moved[r.state.GetService()] = true
	}
	s.reassignEndpoints(now, hosts)
	for key, service := range s.virtualService {
		if moved[key.service] {
			s.addVirtualService(now, hosts.lookup(key.service, s.cfg.Region), key, service)
		}
	}
}

func (s *dispatchState) addVirtualService(now time.Time, host string, key accountKey, virtualService float64) {
	s.addToBatch(now, host, func(batch *wire.RouterBatch) {
		batch.Accounts = append(batch.Accounts,
			&wire.AccountService{Service: key.service, Account: key.account, VirtualService: virtualService})
	})
}

func (s *dispatchState) reassignEndpoints(now time.Time, hosts *schedulerHostCache) {
	for name, announced := range s.endpoints {
		if now.After(announced.expires) {
			delete(s.endpoints, name)
			continue
		}
		host := hosts.lookup(announced.announcement.GetService(), announced.announcement.GetRegion())
		if host == announced.host {
			continue
		}
		announced.host = host
		s.addToBatch(now, host, func(batch *wire.RouterBatch) {
			batch.Announcements = append(batch.Announcements, announced.announcement)
		})
	}
}
