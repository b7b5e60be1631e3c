package scheduling

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oleanderramp/internal/wire"
)

// sendVirtualService sends each router the virtual service of the accounts that
// it was granted slots for, so that a new scheduler can be rebuilt from it.
func (l *loop) sendVirtualService(now time.Time) {
	virtual := make(map[instanceKey]map[string]float64)
	for router, session := range l.sessions {
		accounts := slices.SortedFunc(maps.Keys(session.changedAccounts), func(a, b accountKey) int {
			return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.account, b.account))
		})
		clear(session.changedAccounts)
		for _, a := range accounts {
			service, ok := l.virtualService(now, virtual, instanceKey{service: a.service, region: session.region})[a.account]
			if !ok {
				continue
			}
			batch := l.batch(router)
			batch.Accounts = append(batch.Accounts,
				&wire.AccountService{Service: a.service, Account: a.account, VirtualService: service})
		}
	}
}

// virtualService returns the virtual service of each account of a scheduler.
// cache holds the results of one call of sendVirtualService.
func (l *loop) virtualService(now time.Time, cache map[instanceKey]map[string]float64, k instanceKey) map[string]float64 {
	if known, ok := cache[k]; ok {
		return known
	}
	known := make(map[string]float64)
	if s, ok := l.byKey[k]; ok {
		for _, a := range s.scheduler.Accounts(now) {
			known[a.Account] = a.VirtualService
		}
	}
	cache[k] = known
	return known
}
