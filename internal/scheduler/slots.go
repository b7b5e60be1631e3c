package scheduler

import (
	"slices"
	"time"
)

// running is a request that holds a slot.
type running struct {
	id       RequestID
	account  *account
	kind     string
	hint     float64
	charged  float64
	started  time.Time
	endpoint *endpoint
	// endpointName is set even when the endpoint is unknown to this scheduler.
	endpointName string
	// loan is the borrowed slot, nil for a slot of this region.
	loan *borrowedSlot
	// alone reports whether no other request may run on the endpoint.
	alone bool
	ended bool
	// lostAt is when the router was lost; zero while it is connected.
	lostAt time.Time
}

// updateForeign compares the endpoint's own count with the granted slots. The
// count may be from any moment within Config.ReportLag, so only what exceeds
// the peak of that period is foreign.
func (s *Scheduler) updateForeign(now time.Time, e *endpoint) {
	e.recordPeak(now, s.cfg.ReportLag)
	foreign := max(0, e.Running+e.Queued-max(e.peak, e.previousPeak))
	if foreign > 0 && e.foreign == 0 {
		e.foreignSince = now
	}
	e.foreign = foreign
}

// freeUnreportedSlots frees slots that the endpoint no longer reports as
// running: those of lost routers, and those lent to a scheduler that no longer
// renews them.
func (s *Scheduler) freeUnreportedSlots(now time.Time, e *endpoint) {
	unreported := e.inUse - e.Running - e.Queued
	for _, run := range s.lostRunning {
		if unreported <= 0 {
			return
		}
		if run.endpoint != e || run.ended || now.Sub(run.lostAt) < s.cfg.ReportLag {
			continue
		}
		unreported--
		s.endLost(now, run)
	}
	for _, r := range s.regions.list {
		r.lent = slices.DeleteFunc(r.lent, func(l *lentSlot) bool {
			if unreported <= 0 || l.endpoint != e || !l.inUse || now.Sub(l.renewed) < s.cfg.ReportLag {
				return false
			}
			unreported--
			s.freeLent(now, l)
			return true
		})
	}
}

// endLost ends a lost request without a completion. Its charge is not refunded.
func (s *Scheduler) endLost(now time.Time, run *running) {
	delete(s.running, run.id)
	s.completed.add(now, run.id)
	run.ended = true
	run.account.running--
	s.freeRunningSlot(now, run)
}

// occupy marks one more slot of the endpoint as in use.
func (s *Scheduler) occupy(now time.Time, e *endpoint) {
	e.recordPeak(now, s.cfg.ReportLag)
	e.inUse++
	e.recordPeak(now, s.cfg.ReportLag)
	s.refresh(now, e)
}

// freeRunningSlot frees the slot of a request that has ended.
func (s *Scheduler) freeRunningSlot(now time.Time, run *running) {
	if run.loan != nil {
		s.endLoanUse(now, run.loan)
	}
	if run.endpoint == nil {
		return
	}
	if run.alone {
		run.endpoint.exclusive = false
	}
	s.freeSlot(now, run.endpoint)
}

// freeSlot marks one slot of the endpoint as free again.
func (s *Scheduler) freeSlot(now time.Time, e *endpoint) {
	e.recordPeak(now, s.cfg.ReportLag)
	e.inUse--
	s.refresh(now, e)
}
