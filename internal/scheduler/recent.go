package scheduler

import "time"

// recentPeriod is how long completed requests are remembered at least.
const recentPeriod = 5 * time.Second

// recentIDs remembers requests that have completed, for one to two periods.
type recentIDs struct {
	current, previous map[RequestID]struct{}
	rotatedAt         time.Time
}

func (r *recentIDs) add(now time.Time, id RequestID) {
	if r.current == nil || now.Sub(r.rotatedAt) >= recentPeriod {
		r.previous = r.current
		r.current = make(map[RequestID]struct{})
		r.rotatedAt = now
	}
	r.current[id] = struct{}{}
}

func (r *recentIDs) has(id RequestID) bool {
	if _, ok := r.current[id]; ok {
		return true
	}
	_, ok := r.previous[id]
	return ok
}

func (r *recentIDs) forget(id RequestID) {
	delete(r.current, id)
	delete(r.previous, id)
}
