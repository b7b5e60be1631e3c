package edge

import (
	"context"
	"slices"
	"time"

	"oleanderramp/internal/balance"
	"oleanderramp/internal/contention"
	"oleanderramp/internal/share"
)

const (
	// waitFraction is the fraction of the objective for which a request may wait
	// for an endpoint.
	waitFraction = 1.0 / 8
	// retryAfterFraction is the fraction of the objective after which a caller
	// refused for lack of capacity may retry: by then another router may have
	// capacity, or the account may be within its share again, early enough to
	// meet the objective.
	retryAfterFraction = 0.25
	// maxFailedPlacements is the number of waiting requests that may fail to be
	// placed before placeWaiting stops.
	maxFailedPlacements = 3
	// minRetryAfter is the minimum Retry-After time.
	minRetryAfter = 50 * time.Millisecond
)

// waitingRequest is a request that waits for an endpoint.
type waitingRequest struct {
	request     placementRequest
	withinShare bool
	placed      chan placement
	// until is when the request stops waiting.
	until time.Time
	// turn places waiting requests when an endpoint may be chosen that its rate limit
	// prevents before; nil if there was none. AdmissionController.mu guards it until the
	// request is placed.
	turn    *time.Timer
	arrived time.Time
	// entry is its place in the queue of contentionControl; nil for the former rules.
	entry *contention.Waiting
}

// place reserves an endpoint for the request. If none has capacity, a request
// within its account's share waits for waitFraction of its objective.
func (c *AdmissionController) place(ctx context.Context, request placementRequest) (placement, *failure) {
	now := time.Now()
	c.mu.Lock()
	if c.contention != nil {
		return c.placeContending(ctx, now, request)
	}
	p, ok := c.tryAdmit(now, request)
	if ok || !p.withinShare || p.choice.Reason == balance.NoEndpoint {
		if !ok {
			c.tallyRefusal(now, request, p.withinShare)
		}
		c.mu.Unlock()
		if !ok {
			return p, refusal(request, p.choice.Reason, p.withinShare)
		}
		return p, nil
	}
	waiting := &waitingRequest{
		request: request, withinShare: p.withinShare, placed: make(chan placement, 1), arrived: now, until: now.Add(scale(request.objective, waitFraction)),
	}
	c.waiting = append(c.waiting, waiting)
	c.scheduleTurn(now, waiting, p.choice.NextTurn)
	c.mu.Unlock()
	return c.wait(ctx, waiting, p.share)
}

// placeNow reserves an endpoint for the request if one has capacity. Otherwise it returns
// the reason why none was chosen.
func (c *AdmissionController) placeNow(now time.Time, request placementRequest) (placement, balance.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, _ := c.tryAdmit(now, request)
	return p, p.choice.Reason
}

// wait blocks until the request is placed, at most for waitFraction of its
// objective.
func (c *AdmissionController) wait(ctx context.Context, w *waitingRequest, s share.Share) (placement, *failure) {
	timer := time.NewTimer(time.Until(w.until))
	defer timer.Stop()
	defer w.stopTurn()
	select {
	case p := <-w.placed:
		return w.result(p, s)
	case <-timer.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = slices.DeleteFunc(c.waiting, func(other *waitingRequest) bool { return other == w })
	if c.contention != nil {
		c.contention.remove(w)
	}
	select {
	case p := <-w.placed:
		return w.result(p, s)
	default:
		now := time.Now()
		c.tallyRefusal(now, w.request, w.withinShare)
		p := placement{choice: balance.Choice{Reason: balance.Busy}, withinShare: w.withinShare, share: s}
		return p, c.refuse(w.request, p, now.Sub(w.arrived))
	}
}

// result returns the placement that has ended the wait, or the refusal if there is no
// endpoint left.
func (w *waitingRequest) result(p placement, s share.Share) (placement, *failure) {
	p.share = s
	if p.choice.Reason != "" {
		return p, refusal(w.request, p.choice.Reason, p.withinShare)
	}
	return p, nil
}

// placeWaiting places the waiting requests that fit now. It stops after
// maxFailedPlacements requests that don't fit, because the ones queued after
// them rarely do. c.mu is held.
func (c *AdmissionController) placeWaiting(now time.Time) {
	if c.contention != nil {
		c.contention.queue.Place(now, func(entry *contention.Waiting) bool {
			ok := c.placeOne(now, c.contention.requests[entry])
			if ok {
				delete(c.contention.requests, entry)
			}
			return ok
		})
		return
	}
	failed := 0
	c.waiting = slices.DeleteFunc(c.waiting, func(w *waitingRequest) bool {
		if failed >= maxFailedPlacements {
			return false
		}
		if !c.placeOne(now, w) {
			failed++
			return false
		}
		return true
	})
}

// scheduleTurn makes the waiting requests be placed at the time, unless that is zero or
// after the waiting time of this one. c.mu is held.
func (c *AdmissionController) scheduleTurn(now time.Time, w *waitingRequest, turn time.Time) {
	switch {
	case turn.IsZero() || !turn.Before(w.until):
	case w.turn == nil:
		w.turn = time.AfterFunc(turn.Sub(now), c.placeAtTurn)
	default:
		w.turn.Reset(turn.Sub(now))
	}
}

// stopTurn ends what scheduleTurn began, once the request no longer waits.
func (w *waitingRequest) stopTurn() {
	if w.turn != nil {
		w.turn.Stop()
	}
}

// placeOne places a waiting request if it fits now. c.mu is held.
func (c *AdmissionController) placeOne(now time.Time, w *waitingRequest) bool {
	if w.request.demand.Room != nil {
		w.request.demand.Room.Period = period(now)
	}
	p, ok := c.tryPlace(now, w.request, w.withinShare)
	if !ok {
		c.scheduleTurn(now, w, p.choice.NextTurn)
		return false
	}
	w.placed <- p
	return true
}

// placeAtTurn places the waiting requests that fit when the turn of this router at an
// endpoint with a rate limit begins.
func (c *AdmissionController) placeAtTurn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.placeWaiting(time.Now())
}

// refusal returns the failure of a request for which no endpoint was reserved.
func refusal(request placementRequest, reason balance.Reason, within bool) *failure {
	f := &failure{status: 503, outcome: OutcomeNotRun, retryAfter: max(scale(request.objective, retryAfterFraction), minRetryAfter)}
	switch {
	case reason == balance.NoEndpoint:
		f.code, f.message = CodeNoEndpoint, "no endpoint can be reached"
	case within:
		f.code, f.message = CodeBusy, "no endpoint can answer in time"
	default:
		f.code, f.message = CodeBeyondShare, "the client account has used its share"
	}
	return f
}
