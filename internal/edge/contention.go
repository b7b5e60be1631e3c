package edge

import (
	"context"
	"math"
	"time"

	"oleanderramp/internal/balance"
	"oleanderramp/internal/contention"
	"oleanderramp/internal/event"
	"oleanderramp/internal/share"
)

// contentionControl is what an AdmissionController needs to decide what runs next while
// capacity is scarce. The controller's mu guards it.
type contentionControl struct {
	window time.Duration
	sizes  *contention.Sizes
	queue  *contention.Queue
	// requests holds the request of each entry of the queue.
	requests map[*contention.Waiting]*waitingRequest
	// inVain is the number of requests that were refused without waiting as they would have
	// waited in vain, since it was last logged.
	inVain int
}

// EnableContention makes the controller decide by rank, priority and size what runs next
// while capacity is scarce. It must be called before requests are placed. The window is that
// of the shares.
func (c *AdmissionController) EnableContention(window time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.FollowEndpoints()
	c.contention = &contentionControl{
		window: window, sizes: contention.NewSizes(), queue: contention.NewQueue(),
		requests: make(map[*contention.Waiting]*waitingRequest),
	}
}

// rank returns the rank of a request. One that has begun goes on before others.
func rank(request placementRequest, s share.Share, within bool) contention.Rank {
	if request.begun || request.tokens == 0 {
		return contention.BelowShare
	}
	return contention.RankOf(s, within)
}

// room returns what the request may take of an engine, and records its size.
func (c *contentionControl) room(now time.Time, request placementRequest, s share.Share, within bool, ledger *share.Ledger) *balance.Room {
	rank := rank(request, s, within)
	room := &balance.Room{Fill: rank.Fill(ledger.Unplaced(), ledger.Lack()), Period: period(now)}
	if request.begun {
		return room
	}
	service, prompt := request.demand.Service, request.demand.Prompt
	size := contention.Size{Prompt: prompt.Tokens, Memory: prompt.Tokens + prompt.Output}
	c.sizes.Record(now, service, size, request.tokens, request.priority, scale(request.objective, responseFraction))
	large := c.sizes.Large(service)
	room.Prompt, room.Memory = large.Prompt, large.Memory
	below, demand := ledger.Demand()
	if rank == contention.BelowShare {
		demand = below
	}
	requests, memory := c.sizes.Flow(now, service, demand)
	room.Flow = balance.Flow{Requests: requests / msPerSecond, Memory: memory / msPerSecond}
	room.MaxResponseTime = c.sizes.UrgentLimit(now, service, request.priority)
	return room
}

const msPerSecond = 1000

// period returns the number of the present balance.UnseenTime.
func period(now time.Time) uint64 { return uint64(now.UnixNano() / int64(balance.UnseenTime)) }

func (c *contentionControl) add(w *waitingRequest) {
	c.requests[w.entry] = w
	c.queue.Add(w.entry)
}

func (c *contentionControl) remove(w *waitingRequest) {
	delete(c.requests, w.entry)
	c.queue.Remove(w.entry)
}

// placeContending is place while contention is enabled. c.mu is held; it is released before
// the method returns.
func (c *AdmissionController) placeContending(ctx context.Context, now time.Time, request placementRequest) (placement, *failure) {
	within, s := c.checkShare(now, request)
	request.demand.Room = c.contention.room(now, request, s, within, c.ledger)
	entry := &contention.Waiting{
		Service: request.demand.Service, Rank: rank(request, s, within), Priority: request.priority, Arrived: now, Bound: request.begun,
	}
	p, ok := c.tryContending(now, request, entry, s)
	p.share = s
	// Instances of services without engines answer within milliseconds, so that waits are short.
	inVain := !ok && within && request.tokens > 0 && !request.begun && p.choice.Reason == balance.Busy && c.contention.queue.InVain(now, entry, scale(request.objective, waitFraction))
	if inVain {
		c.contention.inVain++
	}
	if ok || inVain || !within || p.choice.Reason == balance.NoEndpoint {
		defer c.mu.Unlock()
		if ok {
			return p, nil
		}
		c.tallyRefusal(now, request, within)
		return p, c.refuse(request, p, 0)
	}
	waiting := &waitingRequest{
		request: request, withinShare: within, placed: make(chan placement, 1), arrived: now, entry: entry,
		until: now.Add(scale(request.objective, waitFraction)),
	}
	c.contention.add(waiting)
	c.scheduleTurn(now, waiting, p.choice.NextTurn)
	c.mu.Unlock()
	return c.wait(ctx, waiting, s)
}

// tryContending places the request if its share allows it, it fits and no waiting request
// goes before it. c.mu is held.
func (c *AdmissionController) tryContending(now time.Time, request placementRequest, entry *contention.Waiting, s share.Share) (placement, bool) {
	within := entry.Rank != contention.Spare
	p := placement{choice: balance.Choice{Reason: balance.Busy}, withinShare: within}
	switch {
	case c.balancer.TooLarge(request.demand):
		p.choice.Reason = balance.NoEndpoint
		return p, false
	case !within && !s.WithinSpareLevel(), c.contention.queue.Blocked(entry):
		return p, false
	}
	return c.tryPlace(now, request, within)
}

// refuse returns the failure of a request for which no endpoint was reserved after it had
// waited for the given time. c.mu is held.
func (c *AdmissionController) refuse(request placementRequest, p placement, waited time.Duration) *failure {
	failed := refusal(request, p.choice.Reason, p.withinShare)
	if c.contention == nil || request.tokens == 0 || p.choice.Reason == balance.NoEndpoint {
		return failed
	}
	chance := p.share.Chance
	if p.share.AsksWithinShare() {
		chance = 1
	}
	// The draw decided that the request is refused, so that only its lower digits are random.
	const lowerDigits = 1 << 20
	_, draw := math.Modf(request.draw * lowerDigits)
	failed.retryAfter = contention.RetryAfter(contention.Refused{
		Chance: chance, Steady: p.share.Steady(), Placed: p.share.PlacedFraction(), Window: c.contention.window,
		ObjectiveLeft: request.objective - waited, DeadlineLeft: request.timeLeft - waited, Draw: draw,
	})
	return failed
}

// logScarcity logs what this daemon knows of the capacity while some requests find no
// endpoint.
func (f *Forwarder) logScarcity(now time.Time) {
	if fields := f.cfg.Admission.scarcityFields(now); fields != nil {
		event.CapacityScarce.Log(f.cfg.Log, fields)
	}
}

// scarcityFields returns the fields of CapacityScarce; nil if contention is not enabled or
// all requests within their shares were placed.
func (c *AdmissionController) scarcityFields(now time.Time) event.Fields {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.contention == nil {
		return nil
	}
	inVain := c.contention.inVain
	c.contention.inVain = 0
	if c.ledger.Unplaced() == 0 && inVain == 0 {
		return nil
	}
	s := c.ledger.Share(now, "", c.capacity, 0)
	return event.Fields{
		"unplaced": c.ledger.Unplaced(), "lack": c.ledger.Lack(), "capacity_tokens": int(c.capacity), "reachable_tokens": int(c.ledger.Reachable()),
		"share_tokens": int(s.Level), "waiting": c.contention.queue.Len(), "in_vain": inVain,
	}
}
