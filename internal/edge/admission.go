package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"oleanderramp/internal/balance"
	"oleanderramp/internal/directory"
	"oleanderramp/internal/prefixes"
	"oleanderramp/internal/share"
	"oleanderramp/pkg/routing"
)

const (
	// responseFraction is the fraction of the objective within which an endpoint
	// must be predicted to answer a request within its account's share.
	responseFraction = 0.8
	// spareResponseFraction is the same for requests beyond the share.
	spareResponseFraction = 0.25
	// finishFraction and spareFinishFraction are the fractions of the time left
	// to the caller's deadline within which the whole answer must be predicted,
	// for requests within and beyond the share.
	finishFraction      = 0.6
	spareFinishFraction = 0.3
	// waitFraction is the fraction of the objective for which a request may wait
	// for an endpoint.
	waitFraction = 1.0 / 8
	// retryAfterFraction is the fraction of the objective after which a caller
	// refused for lack of capacity may retry: by then another router may have
	// capacity, or the account may be within its share again, early enough to
	// meet the objective.
	retryAfterFraction = 0.25
	// shortFraction is the fraction of the average tokens per request up to which
	// a request counts as short. shortLevelFactor is the factor by which short
	// requests may exceed the account's levels, because they cost engines little
	// and many callers wait for them.
	shortFraction    = 0.35
	shortLevelFactor = 1.4
	// averageSmoothing is the weight of a request in the average tokens.
	averageSmoothing = 0.01
	// maxFailedPlacements is the number of waiting requests that may fail to be
	// placed before placeWaiting stops.
	maxFailedPlacements = 3
	// minRetryAfter is the minimum Retry-After time.
	minRetryAfter = 50 * time.Millisecond
)

// placementRequest describes a request that needs an endpoint.
type placementRequest struct {
	demand  balance.Demand
	account string
	// objective is the time left of the route's objective.
	objective time.Duration
	// timeLeft is the time left until the deadline.
	timeLeft time.Duration
	// tokens is the amount charged to the account's share; 0 for requests that
	// are not subject to shares.
	tokens float64
	// isRetry is set for attempts after the first, which do not count as new
	// requests.
	isRetry bool
}

// placement is the result of a placementRequest.
type placement struct {
	choice      balance.Choice
	reservation *reservation
	withinShare bool
	share       share.Share
}

// AdmissionController admits requests according to their accounts' shares and
// places them at endpoints. It is safe for concurrent use.
type AdmissionController struct {
	// mu guards all below.
	mu       sync.Mutex
	balancer *balance.Balancer
	ledger   *share.Ledger
	capacity float64
	// averageTokens is the moving average of the tokens charged per request.
	averageTokens float64
	waiting       []*waitingRequest
}

// waitingRequest is a request that waits for an endpoint.
type waitingRequest struct {
	request     placementRequest
	withinShare bool
	placed      chan placement
}

// reservation is the capacity that a request occupies at an endpoint.
type reservation struct {
	admission *AdmissionController
	inner     *balance.Reservation
	// firstEventSeen is true after the first event.
	firstEventSeen bool
}

// NewAdmissionController returns a controller for a router in the region. The
// shares are counted over the window.
func NewAdmissionController(region string, window time.Duration) *AdmissionController {
	return &AdmissionController{balancer: balance.New(region), ledger: share.New(window)}
}

// Update replaces the endpoints and the routing table.
func (a *AdmissionController) Update(now time.Time, entries []directory.Entry, table *routing.Table, window time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.balancer.Update(entries, table)
	a.capacity = table.Limits().TokensPerSecond * window.Seconds()
	a.placeWaiting(now)
}

// RefreshAnnouncements updates the times at which endpoints last announced
// themselves.
func (a *AdmissionController) RefreshAnnouncements(entries []directory.Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.balancer.RefreshAnnouncements(entries)
}

// SetOtherRouters replaces the loads and the use of shares of the other
// routers, and adds the prompt parts that endpoints have read for them.
func (a *AdmissionController) SetOtherRouters(now time.Time, loads map[string]balance.Load, uses []share.Use, read []prefixes.Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.balancer.AddCached(now, read)
	a.balancer.SetOtherLoads(now, loads)
	a.ledger.SetOtherUse(uses)
	a.placeWaiting(now)
}

// OwnState returns the loads and the use of shares of this router, and the
// prompt parts that endpoints have read for it since the last call.
func (a *AdmissionController) OwnState(now time.Time) (map[string]balance.Load, []share.Use, []prefixes.Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.balancer.OwnLoads(), a.ledger.OwnUse(now), a.balancer.TakeNewlyCached()
}

// place reserves an endpoint for the request. If none has capacity, a request
// within its account's share waits for waitFraction of its objective.
func (a *AdmissionController) place(ctx context.Context, w placementRequest) (placement, *failure) {
	now := time.Now()
	a.mu.Lock()
	within, s := a.checkShare(now, w)
	p, ok := placement{choice: balance.Choice{Reason: balance.Busy}}, false
	if within || s.WithinSpareLevel() {
		p, ok = a.tryPlace(now, w, within)
	}
	if ok || !within || p.choice.Reason == balance.NoEndpoint {
		a.mu.Unlock()
		p.share = s
		if !ok {
			return p, refusal(w, p.choice.Reason, within)
		}
		return p, nil
	}
	waiting := &waitingRequest{request: w, withinShare: within, placed: make(chan placement, 1)}
	a.waiting = append(a.waiting, waiting)
	a.mu.Unlock()
	return a.wait(ctx, waiting, s)
}

// beyondShare reports whether an account has used its share.
func (a *AdmissionController) beyondShare(now time.Time, account string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.capacity > 0 && !a.ledger.Share(now, account, a.capacity).WithinLevel()
}

// recordAsked counts tokens that an account asks for and that are not admitted.
func (a *AdmissionController) recordAsked(now time.Time, account string, tokens float64) {
	if tokens == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.RecordAsked(now, account, tokens)
}

// checkShare counts the request and reports whether it is within its account's
// share. a.mu is held.
func (a *AdmissionController) checkShare(now time.Time, w placementRequest) (bool, share.Share) {
	if w.tokens == 0 || a.capacity == 0 {
		return true, share.Share{}
	}
	if !w.isRetry {
		a.ledger.RecordAsked(now, w.account, w.tokens)
	}
	s := a.ledger.Share(now, w.account, a.capacity)
	if a.isShort(w.tokens) {
		s.Level, s.SpareLevel = s.Level*shortLevelFactor, s.SpareLevel*shortLevelFactor
	}
	return w.isRetry || s.WithinLevel(), s
}

// isShort reports whether a request costs little compared with the average, and
// adds it to the average. a.mu is held.
func (a *AdmissionController) isShort(tokens float64) bool {
	if a.averageTokens == 0 {
		a.averageTokens = tokens
	}
	a.averageTokens += averageSmoothing * (tokens - a.averageTokens)
	return tokens <= shortFraction*a.averageTokens
}

// tryPlace chooses an endpoint and reserves capacity there. a.mu is held.
func (a *AdmissionController) tryPlace(now time.Time, w placementRequest, within bool) (placement, bool) {
	limit, finish := responseFraction, finishFraction
	if !within {
		limit, finish = spareResponseFraction, spareFinishFraction
	}
	w.demand.MaxResponseTime, w.demand.SpareOnly = scale(w.objective, limit), !within
	if !w.isRetry {
		w.demand.MaxTotalTime = scale(w.timeLeft, finish)
	}
	choice := a.balancer.Choose(now, w.demand)
	if choice.Reason != "" {
		return placement{choice: choice, withinShare: within}, false
	}
	if w.tokens > 0 && !w.isRetry {
		a.ledger.RecordAdmitted(now, w.account, w.tokens)
	}
	return placement{
		choice: choice, withinShare: within,
		reservation: &reservation{admission: a, inner: a.balancer.Begin(now, w.demand, choice)},
	}, true
}

func scale(d time.Duration, share float64) time.Duration { return time.Duration(float64(d) * share) }

// wait blocks until the request is placed, at most for waitFraction of its
// objective.
func (a *AdmissionController) wait(ctx context.Context, w *waitingRequest, s share.Share) (placement, *failure) {
	timer := time.NewTimer(scale(w.request.objective, waitFraction))
	defer timer.Stop()
	select {
	case p := <-w.placed:
		p.share = s
		return p, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting = slices.DeleteFunc(a.waiting, func(other *waitingRequest) bool { return other == w })
	select {
	case p := <-w.placed:
		p.share = s
		return p, nil
	default:
		return placement{withinShare: w.withinShare, share: s}, refusal(w.request, balance.Busy, w.withinShare)
	}
}

// placeWaiting places the waiting requests that fit now. It stops after
// maxFailedPlacements requests that don't fit, because the ones queued after
// them rarely do. a.mu is held.
func (a *AdmissionController) placeWaiting(now time.Time) {
	failed := 0
	a.waiting = slices.DeleteFunc(a.waiting, func(w *waitingRequest) bool {
		if failed >= maxFailedPlacements {
			return false
		}
		p, ok := a.tryPlace(now, w.request, w.withinShare)
		if !ok {
			failed++
			return false
		}
		w.placed <- p
		return true
	})
}

// events records that count events of the answer were received.
func (t *reservation) events(now time.Time, count int) {
	t.admission.mu.Lock()
	defer t.admission.mu.Unlock()
	t.inner.RecordEvents(now, count)
	if !t.firstEventSeen {
		t.firstEventSeen = true
		t.admission.placeWaiting(now)
	}
}

// end releases the reservation and records the outcome.
func (t *reservation) end(now time.Time, outcome balance.Outcome) {
	t.admission.mu.Lock()
	defer t.admission.mu.Unlock()
	t.inner.End(now, outcome)
	t.admission.placeWaiting(now)
}

func refusal(w placementRequest, reason balance.Reason, within bool) *failure {
	f := &failure{status: 503, outcome: OutcomeNotRun, retryAfter: max(scale(w.objective, retryAfterFraction), minRetryAfter)}
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
