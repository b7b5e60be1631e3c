package balance

import (
	"math"
	"time"
)

const (
	// unseenMS is the time, in milliseconds, within which a router has not heard of what the
	// others have sent.
	unseenMS = 400.0
	// UnseenTime is the same as a duration.
	UnseenTime = time.Duration(unseenMS) * time.Millisecond
	// unseenFill is the fraction of an engine's free room that all routers together fill
	// within unseenMS, on average. More of them than the average may choose it.
	unseenFill = 0.5
	// maxChoices is the number of engines among which a request chooses where there is room for
	// all that is sent: so few that the routers spread, and so many that few requests have none.
	maxChoices = 5.0
	// plentyOfRoom is the ratio of all free room to what all routers send within unseenMS from
	// which on a request may choose any engine with 1/openFactor of the mean free room.
	plentyOfRoom = 3.0
	openFactor   = 2.0
	// maxHeadroomFraction bounds the fraction of an engine's memory that small requests leave
	// for larger ones.
	maxHeadroomFraction = 0.25
)

// Flow is what all routers together send to a service per millisecond.
type Flow struct {
	Requests float64
	// Memory is the sum of the tokens that the requests may hold.
	Memory float64
}

// Room bounds what a request may take of an engine, so that there is room for others.
type Room struct {
	// Fill is the fraction of the engine's slots, memory and prefill queue that may be in
	// use with the request, from 0 to 1.
	Fill float64
	// Prompt and Memory are the size of a large request, in tokens: a smaller one runs only
	// where the larger one could, as small ones would otherwise leave no room for it.
	Prompt, Memory int
	// Flow is what all routers send of requests that may take as much of an engine.
	Flow Flow
	// Period is the number of the present UnseenTime, of those that are counted from
	// anywhere.
	Period uint64
	// MaxResponseTime is the shortest that more urgent requests ask for; 0 if there are none.
	MaxResponseTime time.Duration
}

// slots returns how many requests may run.
func (r *Room) slots(slots int) int {
	return max(slots-int(math.Round(float64(slots)*(1-r.Fill))), 1)
}

// queueMS returns how long the prompts queued before the request may take, in milliseconds,
// at an engine that reads at the rate, if it must be answered within the limit: no longer
// than a large request accepts.
func (r *Room) queueMS(rate, limit float64) float64 {
	if urgent := milliseconds(r.MaxResponseTime); urgent > 0 {
		limit = min(limit, urgent)
	}
	large := max(limit-firstEventMS-float64(r.Prompt)/rate, latePromptFraction*limit)
	return r.Fill * min(prefillQueueFraction*limit, large)
}

// freeRoom is what the engines of a service have free, as of the last reports, for requests
// with the same bounds.
type freeRoom struct {
	fill          float64
	large         int
	slots, memory float64
	// engines is the number of those that have room.
	engines int
}

// forgetFree discards what the engines had free before the latest reports.
func (b *Balancer) forgetFree() {
	for _, s := range b.services {
		s.free = s.free[:0]
	}
}

// freeFor returns what the engines have free for requests with the bounds. It is computed
// once for each of the few bounds between two reports.
func (s *service) freeFor(r *Room) freeRoom {
	for _, f := range s.free {
		if f.fill == r.Fill && f.large == r.Memory {
			return f
		}
	}
	f := freeRoom{fill: r.Fill, large: r.Memory}
	for _, e := range s.endpoints {
		slots, memory := s.room(e, r)
		if slots > 0 && memory > 0 && !e.leaving {
			f.slots += float64(slots)
			f.memory += memory
			f.engines++
		}
	}
	s.free = append(s.free, f)
	return f
}

// room returns the slots and the memory that the endpoint has for requests with the bounds;
// no memory if a large request does not fit. What the other routers held counts however old
// their reports are.
func (s *service) room(e *endpoint, r *Room) (slots int, memory float64) {
	running, held := e.own.Running+e.others.Running, float64(e.own.Memory+e.others.Memory)
	slots = r.slots(max(e.entry.Slots, 1)) - running
	total := float64(s.engine.MemoryTokens)
	switch {
	case total == 0:
		return slots, math.Inf(1)
	case running == 0:
		return slots, total - held
	}
	memory = total*memoryFraction*r.Fill - held
	if memory < min(float64(r.Memory), maxHeadroomFraction*total) {
		return slots, 0
	}
	return slots, memory
}

// odds returns the probability with which a request may choose an engine with free room, if
// the engines have total and all routers send flow per millisecond. Routers that saw the
// same free room would otherwise all send there before they hear of each other.
func odds(free, total float64, engines int, flow float64) float64 {
	sent := flow * unseenMS
	if sent <= 0 || math.IsInf(free, 1) {
		return 1
	}
	plenty := total * unseenFill / sent
	choices := openFactor * float64(engines)
	switch {
	case plenty < 1:
		// Of requests with this mean number of choices, the part that has any is plenty.
		choices = min(-math.Log(1-plenty), maxChoices)
	case plenty < plentyOfRoom:
		choices = min(maxChoices*(plentyOfRoom-1)/(plentyOfRoom-plenty), choices)
	}
	return min(choices*free/total, 1)
}

// drawn reports whether the request is among those that may choose the endpoint with the
// given odds at present.
func (r *Room) drawn(e *endpoint, seed uint64, odds float64) bool {
	const bits = 53 // Of a float64 without its exponent.
	hash := mixHash(e.hash ^ mixHash(seed^r.Period))
	return float64(hash>>(64-bits))/(1<<bits) < odds
}

// fitsRoom reports whether the endpoint has a slot and enough memory for the request and
// what it must leave, and the request is among those that may choose it.
func (s *service) fitsRoom(e *endpoint, d Demand) bool {
	slots, memory := s.room(e, d.Room)
	need := float64(d.Prompt.Tokens + d.Prompt.Output)
	if slots <= 0 || need > memory {
		return false
	}
	free := s.freeFor(d.Room)
	return d.Room.drawn(e, d.Seed, min(odds(float64(slots), free.slots, free.engines, d.Room.Flow.Requests), odds(memory, free.memory, free.engines, d.Room.Flow.Memory)))
}

// TooLarge reports whether no engine of the service has the memory for the request.
func (b *Balancer) TooLarge(d Demand) bool {
	s := b.services[d.Service]
	return s != nil && s.engine != nil && s.engine.MemoryTokens > 0 && d.Prompt.Tokens+d.Prompt.Output > s.engine.MemoryTokens
}
