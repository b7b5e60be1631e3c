package scheduler

import (
	"slices"
	"time"
)

// Adopt takes over a running request that another scheduler has granted and
// has charged with the estimate.
func (s *Scheduler) Adopt(now time.Time, r Running) {
	if run, ok := s.running[r.ID]; ok {
		s.clearLost(run)
		return
	}
	if s.completed.has(r.ID) {
		return
	}
	if waiting, ok := s.requests[r.ID]; ok {
		s.dequeue(waiting)
	}
	r.Estimate = validCost(r.Estimate)
	run := &running{id: r.ID, account: s.account(r.Account), hint: r.Estimate, charged: r.Estimate, started: now}
	run.endpoint = s.endpoints[r.Endpoint]
	run.endpointName = r.Endpoint
	s.running[r.ID] = run
	run.account.running++
	if run.endpoint != nil {
		s.occupy(now, run.endpoint)
	}
}

// RouterLost drops the waiting requests of a router. Its running requests hold
// their slots for Config.LostSlotTimeout or until the endpoint reports fewer.
func (s *Scheduler) RouterLost(now time.Time, r Router) {
	var waiting []*request
	for id, q := range s.requests {
		if id.Router == r {
			waiting = append(waiting, q)
		}
	}
	slices.SortFunc(waiting, func(a, b *request) int { return int(a.arrival) - int(b.arrival) })
	for _, q := range waiting {
		s.dequeue(q)
	}
	var lost []*running
	for id, run := range s.running {
		if id.Router == r && run.lostAt.IsZero() {
			run.lostAt = now
			lost = append(lost, run)
			s.stopRenewal(run.loan)
		}
	}
	slices.SortFunc(lost, func(a, b *running) int {
		if c := a.started.Compare(b.started); c != 0 {
			return c
		}
		return int(a.id.Number) - int(b.id.Number)
	})
	s.lostRunning = append(s.lostRunning, lost...)
}

// clearLost marks a running request as no longer lost after its router has
// reconnected.
func (s *Scheduler) clearLost(run *running) {
	if run.lostAt.IsZero() {
		return
	}
	run.lostAt = time.Time{}
	s.lostRunning = slices.DeleteFunc(s.lostRunning, func(o *running) bool { return o == run })
	if run.loan != nil {
		s.regions.borrowedInUse = append(s.regions.borrowedInUse, run.loan)
	}
}
