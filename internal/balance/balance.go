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
	// initialRate is the prompt tokens that an engine is taken to read in a
	// millisecond before it was measured.
	initialRate = 40.0
	minRate     = 4.0
	maxRate     = 200.0
	// rateSampleTokens is the least work that says something about the rate.
	rateSampleTokens = 2000
	// smoothing is the weight of a new sample in a moving average.
	smoothing = 0.1
	// firstEventMS is what an engine takes for a first event without any
	// prompt, in milliseconds.
	firstEventMS = 25.0
	// crossRegionRTTMS is what the way to another region and back takes, in milliseconds,
	// and farPenaltyMS weighs the price of the traffic.
	crossRegionRTTMS     = 40.0
	crossRegionPenaltyMS = 80.0
	// initialAnswerMS is the time of a plain service's answer before it was
	// measured, in milliseconds.
	initialAnswerMS = 20.0
	// initialRunMS is how long an engine runs a request before it was measured,
	// in milliseconds.
	initialRunMS = 1500.0
	// failurePenaltyMS weighs the share of failed answers, in milliseconds.
	failurePenaltyMS = 2000.0
	// failureSmoothing is the weight of a new outcome in the share of failed
	// answers.
	failureSmoothing = 0.2
	// fetchSetupMS is what a fetch of cached prompt parts takes besides the
	// transfer, fetchPenaltyMS weighs its price, in milliseconds.
	fetchSetupMS   = 10.0
	fetchPenaltyMS = 20.0
	// preferredCachedFraction is how much of the shared parts the home is taken to have read
	// already, for another router.
	preferredCachedFraction = 0.8
	// latePromptFraction is the part of the objective that a prompt may wait which can't
	// meet it anyway.
	latePromptFraction = 0.3
	// prefillQueueFraction is the part of the time for the first event for which a request
	// may wait for the prompts before it. Without it small requests fill the
	// engines up to where large ones no longer fit.
	prefillQueueFraction = 0.45
	// spareSlotFraction is how much of an engine's slots may be in use where spare
	// requests run.
	spareSlotFraction = 0.5
	// slowSmoothing is the weight of a new sample in the average pace.
	slowSmoothing = 0.02
	// memoryFraction is how much of an engine's memory requests may fill.
	memoryFraction = 0.9
	// plainRequestsPerSlot is how many requests per slot of a plain service may be
	// under way.
	plainRequestsPerSlot = 2.0
	// maxDownTime is how long an endpoint that could not be reached gets nothing,
	// unless it announces itself.
	maxDownTime = 5 * time.Second
	// minDownTime is how long it gets nothing in any case.
	minDownTime = 300 * time.Millisecond
	// otherLoadsMaxAge is how long what other routers have said counts.
	otherLoadsMaxAge = 2 * time.Second
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
	// MaxResponseTime is the time in which the first event or the answer must come,
	// Finish that in which the whole answer must; 0 for no bound.
	MaxResponseTime time.Duration
	MaxTotalTime    time.Duration
	// SpareOnly requests run only where there is room for more to come.
	SpareOnly bool
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

// Add returns the sum of both.
func (l Load) Add(other Load) Load {
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
	// newlyCached are the prompt parts newlyCached since they were last taken.
	newlyCached []prefixes.Entry
}

// service is a group of endpoints.
type service struct {
	engine    *routing.Engine
	endpoints []*endpoint
	// answerMS is the moving average of a plain answer's time.
	answerMS float64
	// runMS is the moving average of the time that requests run at engines.
	runMS float64
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
	// eventIntervalMS is the moving average of the time between two events of a stream;
	// 0 before it was measured.
	eventIntervalMS float64
	cache           cache
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
		if !ok || !e.entry.Born.Equal(entry.Born) {
			e = &endpoint{rate: initialRate, cache: make(cache)}
		}
		e.entry = entry
		b.endpoints[entry.ID] = e
		s, ok := b.services[entry.Service]
		if !ok {
			s = &service{answerMS: initialAnswerMS, runMS: initialRunMS}
			if old, known := services[entry.Service]; known {
				s.answerMS, s.runMS = old.answerMS, old.runMS
			}
			if described := table.Service(entry.Service); described != nil {
				s.engine = described.Engine
			}
			b.services[entry.Service] = s
		}
		s.endpoints = append(s.endpoints, e)
	}
}

// RefreshAnnouncements takes when endpoints have last announced themselves.
func (b *Balancer) RefreshAnnouncements(entries []directory.Entry) {
	for _, entry := range entries {
		if e, ok := b.endpoints[entry.ID]; ok && e.entry.Born.Equal(entry.Born) {
			e.entry.Heard = entry.Heard
		}
	}
}

// SetOtherLoads replaces the work of the other routers.
func (b *Balancer) SetOtherLoads(now time.Time, loads map[string]Load) {
	for id, e := range b.endpoints {
		e.others, e.othersAt = loads[id], now
	}
}

// OwnLoads returns the work of this router, without endpoints that have none.
func (b *Balancer) OwnLoads() map[string]Load {
	loads := make(map[string]Load)
	for id, e := range b.endpoints {
		if e.own != (Load{}) {
			loads[id] = e.own
		}
	}
	return loads
}

// maxNewlyCached bounds the parts that wait to be told.
const maxNewlyCached = 4096

// TakeNewlyCached returns the shared prompt parts that endpoints have read for this
// router since the last call.
func (b *Balancer) TakeNewlyCached() []prefixes.Entry {
	read := b.newlyCached
	b.newlyCached = nil
	return read
}

// AddCached takes what endpoints have read for other routers.
func (b *Balancer) AddCached(now time.Time, entries []prefixes.Entry) {
	for _, entry := range entries {
		if e, ok := b.endpoints[entry.Endpoint]; ok {
			e.cache.touch(now, entry.Used, entry.Key)
		}
	}
}

func (e *endpoint) load(now time.Time) Load {
	if now.Sub(e.othersAt) >= otherLoadsMaxAge {
		return e.own
	}
	return e.own.Add(e.others)
}

// down tells whether the endpoint gets nothing for now.
func (e *endpoint) down(now time.Time) bool {
	if !now.Before(e.downUntil) {
		return false
	}
	announced := e.entry.Heard.After(e.failedAt)
	return !announced || now.Sub(e.failedAt) < minDownTime
}
