package edge

import (
	"sync"
	"time"

	"oleanderramp/internal/balance"
	"oleanderramp/internal/directory"
	"oleanderramp/internal/prefixes"
	"oleanderramp/internal/share"
	"oleanderramp/internal/speeds"
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
	// priority is that of the account or the route; lower is more urgent.
	priority int
	// draw is a random number of the request in [0, 1).
	draw float64
	// begun is set for attempts after the first and for streams that the caller takes
	// up again. They do not count as new requests.
	begun bool
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
	// mu guards the fields below.
	mu       sync.Mutex
	balancer *balance.Balancer
	ledger   *share.Ledger
	// capacity is the number of tokens that all accounts together may use per
	// share window; 0 means that requests are not subject to shares.
	capacity float64
	// averageTokens is the moving average of the tokens charged per request.
	averageTokens float64
	waiting       []*waitingRequest
	// evacuating is true while a zone is evacuated.
	evacuating bool
	// contention decides what runs next while capacity is scarce; nil for the former rules.
	contention *contentionControl
	// tallies holds what became of each account's requests since they were last logged.
	tallies map[string]*accountTally
	// lag returns how long work waits for this daemon; nil for none.
	lag func() time.Duration
}

// NewAdmissionController returns a controller for a router in the region. The
// shares are counted over the window.
func NewAdmissionController(region string, window time.Duration) *AdmissionController {
	return &AdmissionController{balancer: balance.New(region), ledger: share.New(window), tallies: make(map[string]*accountTally)}
}

// UseSharedSpeeds makes the controller use the speeds that all routers measure.
func (c *AdmissionController) UseSharedSpeeds() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.UseSharedSpeeds()
}

// SetSpeeds records the endpoint speeds that a control host has sent.
func (c *AdmissionController) SetSpeeds(now time.Time, list []speeds.Speed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.SetSpeeds(now, list)
}

// TakeSpeeds returns what this router has measured since the last call.
func (c *AdmissionController) TakeSpeeds() []speeds.Sample {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balancer.TakeSpeeds()
}

// ReportSpeedsAgain makes the next TakeSpeeds return all that this router has measured.
func (c *AdmissionController) ReportSpeedsAgain(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.ReportSpeedsAgain(now)
}

// Update replaces the endpoints and the routing table.
func (c *AdmissionController) Update(now time.Time, entries []directory.Entry, table *routing.Table, window time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.Update(now, entries, table)
	c.capacity = table.Limits().TokensPerSecond * window.Seconds()
	c.rejectStranded(now)
	c.placeWaiting(now)
}

// RefreshAnnouncements updates the times at which endpoints last announced
// themselves.
func (c *AdmissionController) RefreshAnnouncements(entries []directory.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.RefreshAnnouncements(entries)
}

// SetOtherRouters replaces the loads and the use of shares of the other
// routers, and adds the prompt parts that endpoints have read for them. If only is
// not nil, the loads of all other endpoints stay as they are.
func (c *AdmissionController) SetOtherRouters(now time.Time, loads map[string]balance.Load, only map[string]bool, uses []share.Use, cached []prefixes.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.AddCached(now, cached)
	c.balancer.SetOtherLoads(now, loads, only)
	c.ledger.SetOtherUse(uses)
	c.placeWaiting(now)
}

// SetFleet records how many other routers there are, and whether the loads of all of
// them count their recent requests.
func (c *AdmissionController) SetFleet(now time.Time, others int, counted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.SetFleet(now, others, counted)
}

// RateLimitReports returns the rate limits that this router has heard from endpoints
// and that its directory does not have.
func (c *AdmissionController) RateLimitReports() []balance.RateLimitReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balancer.RateLimitReports()
}

// OwnState returns the loads and the use of shares of this router, and the
// prompt parts that endpoints have read for it since the last call.
func (c *AdmissionController) OwnState(now time.Time) (map[string]balance.Load, []share.Use, []prefixes.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balancer.OwnLoads(now), c.ledger.OwnUse(now), c.balancer.TakeNewlyCached()
}

// tryAdmit counts the request and places it if its account's share, or the spare
// capacity, allows it. c.mu is held.
func (c *AdmissionController) tryAdmit(now time.Time, request placementRequest) (placement, bool) {
	within, s := c.checkShare(now, request)
	p, ok := placement{choice: balance.Choice{Reason: balance.Busy}, withinShare: within}, false
	if c.contention != nil {
		request.demand.Room = c.contention.room(now, request, s, within, c.ledger)
	}
	if within || s.WithinSpareLevel() {
		p, ok = c.tryPlace(now, request, within)
	}
	p.share = s
	return p, ok
}

// tryPlace chooses an endpoint and reserves capacity there. c.mu is held.
func (c *AdmissionController) tryPlace(now time.Time, request placementRequest, within bool) (placement, bool) {
	limit, finish := responseFraction, finishFraction
	if !within {
		limit, finish = spareResponseFraction, spareFinishFraction
	}
	request.demand.MaxResponseTime, request.demand.SpareOnly = scale(request.objective, limit), !within
	if !request.begun {
		request.demand.MaxTotalTime = scale(request.timeLeft, finish)
	}
	choice := c.balancer.Choose(now, request.demand)
	if choice.Reason != "" {
		return placement{choice: choice, withinShare: within}, false
	}
	if request.tokens > 0 && !request.begun {
		c.ledger.RecordAdmitted(now, request.account, request.tokens)
		c.tally(request.account).admitted += request.tokens
	}
	return placement{
		choice: choice, withinShare: within,
		reservation: &reservation{admission: c, inner: c.balancer.Begin(now, request.demand, choice)},
	}, true
}

func scale(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}
