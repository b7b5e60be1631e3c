package scheduler

import (
	"slices"
	"time"
)

// endpoint is one incarnation of an endpoint.
type endpoint struct {
	Announcement
	// expires is the end of the lease; zero after a departure.
	expires time.Time
	drained bool
	// replaced reports whether a higher incarnation has replaced this one.
	replaced bool
	// inUse counts the requests granted here and the slots on loan.
	inUse int
	// peak and previousPeak are the highest inUse in the current and in the
	// previous window of Config.ReportLag.
	peak, previousPeak int
	windowStart        time.Time
	// foreign counts the running requests that this scheduler did not grant.
	foreign      int
	foreignSince time.Time
	// suspect reports whether the endpoint has crashed since its last
	// announcement.
	suspect bool
	// exclusive reports whether a request runs alone on this endpoint.
	exclusive bool
	// level and position locate the endpoint in the load index; position is
	// -1 when the endpoint is not in it.
	level, position int
}

// Announce processes an endpoint's announcement and renews its lease. A higher
// incarnation replaces the older one and frees its slots. An announcement with
// an older incarnation, or with an old sequence number, is ignored.
func (s *Scheduler) Announce(now time.Time, a Announcement) {
	e, ok := s.endpoints[a.Endpoint]
	switch {
	case ok && a.Incarnation < e.Incarnation:
		return
	case ok && a.Incarnation == e.Incarnation && a.Sequence <= e.Sequence:
		return
	case !ok || a.Incarnation > e.Incarnation:
		e = s.replaceEndpoint(now, e, a)
	}
	wasLive := e.live(now)
	changed := !wasLive || e.Leaving != a.Leaving || !slices.Equal(e.Models, a.Models) || !slices.Equal(e.Adapters, a.Adapters)
	s.totalSlots += a.Slots - e.Slots
	e.Announcement = a
	e.suspect = false
	e.expires = now.Add(a.Lease)
	if s.nextExpiry.IsZero() || e.expires.Before(s.nextExpiry) {
		s.nextExpiry = e.expires
	}
	if changed {
		s.membership++
		s.capacity++
	}
	s.prefixes.addAll(a.Cached, e)
	s.freeUnreportedSlots(now, e)
	s.updateForeign(now, e)
	s.refresh(now, e)
}

// replaceEndpoint adds a new incarnation in place of old, which may be nil.
func (s *Scheduler) replaceEndpoint(now time.Time, old *endpoint, a Announcement) *endpoint {
	e := &endpoint{Announcement: a, drained: s.drained[a.Endpoint], position: -1, windowStart: now}
	s.endpoints[a.Endpoint] = e
	if old != nil {
		s.totalSlots -= old.Slots
		old.replaced = true
		s.refresh(now, old)
		return e
	}
	s.totalSlots += a.Slots
	for _, run := range s.running {
		if run.endpoint == nil && run.loan == nil && run.endpointName == a.Endpoint {
			run.endpoint = e
			e.inUse++
		}
	}
	e.peak = e.inUse
	return e
}

// Depart ends the lease of the endpoint if it still has the incarnation.
func (s *Scheduler) Depart(now time.Time, name string, incarnation uint64) {
	e, ok := s.endpoints[name]
	if !ok || e.Incarnation != incarnation {
		return
	}
	e.expires = time.Time{}
	s.membership++
	s.refresh(now, e)
}

// SetDrained replaces the set of endpoints that operators have drained.
func (s *Scheduler) SetDrained(now time.Time, names []string) {
	s.drained = make(map[string]bool, len(names))
	for _, name := range names {
		s.drained[name] = true
	}
	s.membership++
	for _, name := range sortedKeys(s.endpoints) {
		e := s.endpoints[name]
		e.drained = s.drained[name]
		s.refresh(now, e)
	}
}

// live reports whether the endpoint may get new requests.
func (e *endpoint) live(now time.Time) bool {
	return !e.replaced && !e.suspect && !e.drained && !e.Leaving && now.Before(e.expires)
}

// allowed returns how many requests of this scheduler may run on the endpoint.
// After splitAfter with foreign requests it is at least half of the slots.
func (e *endpoint) allowed(now time.Time, splitAfter time.Duration) int {
	if e.foreign == 0 {
		return e.Slots
	}
	left := e.Slots - e.foreign
	if now.Sub(e.foreignSince) >= splitAfter {
		left = max(left, (e.Slots+1)/2)
	}
	return max(left, 0)
}

// recordPeak updates the highest inUse of the last one to two windows.
func (e *endpoint) recordPeak(now time.Time, window time.Duration) {
	if passed := now.Sub(e.windowStart); passed >= window {
		e.previousPeak = e.peak
		if passed >= 2*window {
			e.previousPeak = e.inUse
		}
		e.peak = e.inUse
		e.windowStart = now
	}
	e.peak = max(e.peak, e.inUse)
}

// refresh updates the endpoint's place in the load index, or removes it from
// the index when it has no free slot.
func (s *Scheduler) refresh(now time.Time, e *endpoint) {
	wasFree := e.position >= 0
	s.free.remove(e)
	if e == s.reserved && !e.live(now) {
		s.reserved = nil
	}
	if !e.live(now) || e.exclusive || e == s.reserved {
		return
	}
	if e.inUse < e.allowed(now, s.cfg.SplitDelay) {
		s.free.add(e)
		if !wasFree {
			s.capacity++
		}
	}
}

// expireLeases removes endpoints whose lease has expired from the load index,
// and deletes those that expired more than Config.LostSlotTimeout ago and have
// no slot in use.
func (s *Scheduler) expireLeases(now time.Time) {
	if s.nextExpiry.IsZero() || now.Before(s.nextExpiry) {
		return
	}
	s.nextExpiry = time.Time{}
	s.membership++
	for _, name := range sortedKeys(s.endpoints) {
		e := s.endpoints[name]
		if now.Before(e.expires) {
			if s.nextExpiry.IsZero() || e.expires.Before(s.nextExpiry) {
				s.nextExpiry = e.expires
			}
			continue
		}
		if e.position >= 0 || e == s.reserved {
			s.refresh(now, e)
		}
		if e.inUse == 0 && now.Sub(e.expires) > s.cfg.LostSlotTimeout {
			e.replaced = true
			s.totalSlots -= e.Slots
			delete(s.endpoints, name)
		}
	}
}
