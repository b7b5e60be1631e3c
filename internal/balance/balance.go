// Package balance chooses the endpoint that a request runs on, and says when
// none can answer it in time. It predicts from what this router has sent, from
// what the other routers say they have sent, and from how long answers took.
//
// It is a pure state machine: the present time is an argument.
package balance

import (
	"time"

	"oleanderramp/internal/directory"
	"oleanderramp/internal/prefixes"
	"oleanderramp/pkg/routing"
)

const (
	// startRate is the prompt tokens that an engine is taken to read in a
	// millisecond before it was measured.
	startRate = 40.0
	minRate   = 4.0
	maxRate   = 200.0
	// rateSampleTokens is the least work that says something about the rate.
	rateSampleTokens = 2000
	// smoothing is the weight of a new sample in a moving average.
	smoothing = 0.1
	// firstEventMS is what an engine takes for a first event without any
	// prompt, in milliseconds.
	firstEventMS = 25.0
	// farMS is what the way to another region and back takes, in milliseconds,
	// and farPenaltyMS weighs the price of the traffic.
	farMS        = 40.0
	farPenaltyMS = 80.0
	// startWorkMS is the time of a plain service's answer before it was
	// measured, in milliseconds.
	startWorkMS = 20.0
	// startStayMS is how long an engine runs a request before it was measured,
	// in milliseconds.
	startStayMS = 1500.0
	// failurePenaltyMS weighs the share of failed answers, in milliseconds.
	failurePenaltyMS = 2000.0
	// failureSmoothing is the weight of a new outcome in the share of failed
	// answers.
	failureSmoothing = 0.2
	// fetchSetupMS is what a fetch of cached prompt parts takes besides the
	// transfer, fetchPenaltyMS weighs its price, in milliseconds.
	fetchSetupMS   = 10.0
	fetchPenaltyMS = 20.0
	// homeShare is how much of the shared parts the home is taken to have read
	// already, for another router.
	homeShare = 0.8
	// lateShare is the part of the objective that a prompt may wait which can't
	// meet it anyway.
	lateShare = 0.3
	// queueShare is the part of the time for the first event for which a request
	// may wait for the prompts before it. Without it small requests fill the
	// engines up to where large ones no longer fit.
	queueShare = 0.45
	// spareShare is how much of an engine's slots may be in use where spare
	// requests run.
	spareShare = 0.5
	// paceSmoothing is the weight of a new sample in the average pace.
	paceSmoothing = 0.02
	// memoryShare is how much of an engine's memory requests may fill.
	memoryShare = 0.9
	// plainQueue is how many requests per slot of a plain service may be
	// under way.
	plainQueue = 2.0
	// downFor is how long an endpoint that could not be reached gets nothing,
	// unless it announces itself.
	downFor = 5 * time.Second
	// downLeast is how long it gets nothing in any case.
	downLeast = 300 * time.Millisecond
	// loadHolds is how long what other routers have said counts.
	loadHolds = 2 * time.Second
)

// Part is a piece of a prompt that other prompts may begin with as well.
type Part struct {
	ID     string
	Tokens int
}

// Prompt says how much work a request is for an engine.
type Prompt struct {
	// Tokens is the length of the prompt, Output the most that is generated.
	Tokens int
	Output int
	// Parts are the pieces of the prompt in order; the last is the request's
	// own.
	Parts []Part
}

// Demand asks for an endpoint.
type Demand struct {
	Service string
	Prompt  Prompt
	// Within is the time in which the first event or the answer must come,
	// Finish that in which the whole answer must; 0 for no bound.
	Within time.Duration
	Finish time.Duration
	// Spare requests run only where there is room for more to come.
	Spare bool
	// Excluded endpoints are not asked again.
	Excluded []string
}

// Load is the work under way at an endpoint.
type Load struct {
	Running int
	// Prefill are the prompt tokens that are yet to be read.
	Prefill int
	// Memory is the tokens that the requests may hold.
	Memory int
}

// Plus returns the sum of both.
func (l Load) Plus(other Load) Load {
	return Load{Running: l.Running + other.Running, Prefill: l.Prefill + other.Prefill, Memory: l.Memory + other.Memory}
}

// Reason says why no endpoint was chosen.
type Reason string

// The reasons.
const (
	NoEndpoint Reason = "no_endpoint"
	Busy       Reason = "busy"
)

// Choice is an endpoint for a request, or the reason why there is none.
type Choice struct {
	Endpoint directory.Entry
	// Predicted is the time until the first event or the answer.
	Predicted time.Duration
	// Uncached are the prompt tokens that the endpoint must read.
	Uncached int
	// Source is another endpoint that has read more of the prompt; its ID is
	// empty when there is none.
	Source directory.Entry
	// Load is what was known to be under way there.
	Load   Load
	Reason Reason
	// chain is the prompt's.
	chain []link
}

// Balancer holds what is known of the endpoints. It is not safe for concurrent
// use.
type Balancer struct {
	region    string
	endpoints map[string]*endpoint
	services  map[string]*service
	// read are the prompt parts read since they were last taken.
	read []prefixes.Entry
}

// service is a group of endpoints.
type service struct {
	engine    *routing.Engine
	endpoints []*endpoint
	// workMS is the moving average of a plain answer's time.
	workMS float64
	// stayMS is the moving average of the time that requests run at engines.
	stayMS float64
}

// endpoint is what is known of one endpoint.
type endpoint struct {
	entry directory.Entry
	own   Load
	// others is the work of the other routers, as of othersAt.
	others   Load
	othersAt time.Time
	// rate is the measured prompt tokens per millisecond.
	rate float64
	// failures is the moving share of failed answers.
	failures float64
	// failedAt and downUntil are set while the endpoint gets nothing.
	failedAt  time.Time
	downUntil time.Time
	// paceMS is the moving average of the time between two events of a stream;
	// 0 before it was measured.
	paceMS float64
	cache  cache
}

// New returns a balancer without endpoints for a router in the region.
func New(region string) *Balancer {
	return &Balancer{region: region, endpoints: make(map[string]*endpoint), services: make(map[string]*service)}
}

// Update sets the endpoints that may get work.
func (b *Balancer) Update(entries []directory.Entry, table *routing.Table) {
	before, services := b.endpoints, b.services
	b.endpoints, b.services = make(map[string]*endpoint, len(entries)), make(map[string]*service)
	for _, entry := range entries {
		e, ok := before[entry.ID]
		if !ok || !e.entry.Started.Equal(entry.Started) {
			e = &endpoint{rate: startRate, cache: make(cache)}
		}
		e.entry = entry
		b.endpoints[entry.ID] = e
		s, ok := b.services[entry.Service]
		if !ok {
			s = &service{workMS: startWorkMS, stayMS: startStayMS}
			if old, known := services[entry.Service]; known {
				s.workMS, s.stayMS = old.workMS, old.stayMS
			}
			if described := table.Service(entry.Service); described != nil {
				s.engine = described.Engine
			}
			b.services[entry.Service] = s
		}
		s.endpoints = append(s.endpoints, e)
	}
}

// Renew takes when endpoints have last announced themselves.
func (b *Balancer) Renew(entries []directory.Entry) {
	for _, entry := range entries {
		if e, ok := b.endpoints[entry.ID]; ok && e.entry.Started.Equal(entry.Started) {
			e.entry.LastSeen = entry.LastSeen
		}
	}
}

// SetOthers replaces the work of the other routers.
func (b *Balancer) SetOthers(now time.Time, loads map[string]Load) {
	for id, e := range b.endpoints {
		e.others, e.othersAt = loads[id], now
	}
}

// Own returns the work of this router, without endpoints that have none.
func (b *Balancer) Own() map[string]Load {
	loads := make(map[string]Load)
	for id, e := range b.endpoints {
		if e.own != (Load{}) {
			loads[id] = e.own
		}
	}
	return loads
}

// maxRead bounds the parts that wait to be told.
const maxRead = 4096

// TakeRead returns the shared prompt parts that endpoints have read for this
// router since the last call.
func (b *Balancer) TakeRead() []prefixes.Entry {
	read := b.read
	b.read = nil
	return read
}

// SetCached takes what endpoints have read for other routers.
func (b *Balancer) SetCached(now time.Time, entries []prefixes.Entry) {
	for _, entry := range entries {
		if e, ok := b.endpoints[entry.Endpoint]; ok {
			e.cache.use(now, entry.Used, entry.Key)
		}
	}
}

func (e *endpoint) load(now time.Time) Load {
	if now.Sub(e.othersAt) >= loadHolds {
		return e.own
	}
	return e.own.Plus(e.others)
}

// down tells whether the endpoint gets nothing for now.
func (e *endpoint) down(now time.Time) bool {
	if !now.Before(e.downUntil) {
		return false
	}
	announced := e.entry.LastSeen.After(e.failedAt)
	return !announced || now.Sub(e.failedAt) < downLeast
}
