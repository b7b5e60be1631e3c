package scheduler

import "time"

// recentPeriod is the minimum time for which completed requests are remembered.
const recentPeriod = 5 * time.Second

// recentIDs holds the ids of requests that have completed within the last one
// to two periods.
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
