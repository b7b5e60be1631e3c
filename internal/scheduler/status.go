package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Accounts returns the state of all known accounts, ordered by name.
func (s *Scheduler) Accounts(_ time.Time) []AccountStatus {
	list := make([]AccountStatus, 0, len(s.accounts))
	for _, name := range sortedKeys(s.accounts) {
		a := s.accounts[name]
		list = append(list, AccountStatus{
			Account: name, Share: int(a.share), VirtualService: a.virtual, Service: a.service,
			Waiting: a.waiting, Running: a.running,
		})
	}
	return list
}

// Endpoints returns the state of all known endpoints, ordered by name.
func (s *Scheduler) Endpoints(now time.Time) []EndpointStatus {
	list := make([]EndpointStatus, 0, len(s.endpoints))
	for _, name := range sortedKeys(s.endpoints) {
		e := s.endpoints[name]
		list = append(list, EndpointStatus{
			Endpoint: name, Incarnation: e.Incarnation, Address: e.Address, Zone: e.Zone,
			Slots: e.Slots, InUse: e.inUse, Foreign: e.foreign,
			Leaving: e.Leaving, Drained: e.drained, LeaseRemaining: max(0, e.expires.Sub(now)),
		})
	}
	return list
}

// sortedKeys returns the keys of m in order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
