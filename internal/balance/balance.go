// Package balance chooses the endpoint that a request runs on, and reports when
// no endpoint can answer it in time. It predicts response times from the load
// that this router and the other routers have sent and from measured latencies.
//
// It does no I/O and reads no clock: the current time is an argument.
package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderramp/internal/directory"
	"oleanderramp/internal/prefixes"
	"oleanderramp/internal/ratelimit"
	"oleanderramp/internal/speeds"
	"oleanderramp/pkg/routing"
)

const (
	// initialRate is the assumed prefill rate of an engine, in prompt tokens per
	// millisecond, until it has been measured. Measured samples are limited to
	// the range from minRate to maxRate.
	initialRate = 40.0
	minRate     = 4.0
	maxRate     = 200.0
	// rateSampleTokens is the smallest prefill that is used as a rate sample.
	rateSampleTokens = 2000
	// smoothing is the weight of a new sample in a moving average.
	smoothing = 0.1
	// firstEventMS is the time that an engine needs for the first event of an
	// answer to an empty prompt, in milliseconds.
	firstEventMS = 25.0
	// crossRegionRTTMS is the round-trip time to another region, in milliseconds.
	// crossRegionPenaltyMS is the cost of the traffic between regions, expressed
	// in milliseconds.
	crossRegionRTTMS     = 40.0
	crossRegionPenaltyMS = 80.0
	// initialAnswerMS is the assumed answer time of a service without engines,
	// in milliseconds, until it has been measured.
	initialAnswerMS = 20.0
	// initialRunMS is the assumed time that an engine runs a request, in
	// milliseconds, until it has been measured.
	initialRunMS = 1500.0
	// failurePenaltyMS is the cost of an endpoint whose answers all fail,
	// expressed in milliseconds.
	failurePenaltyMS = 2000.0
	// failureSmoothing is the weight of a new outcome in the moving failure
	// rate.
	failureSmoothing = 0.2
	// fetchSetupMS is the time that a fetch of cached prompt parts takes in
	// addition to the transfer, in milliseconds. fetchPenaltyMS is the cost of
	// the fetch, expressed in milliseconds.
	fetchSetupMS   = 10.0
	fetchPenaltyMS = 20.0
	// preferredCachedFraction is the fraction of the shared prompt parts that
	// the preferred endpoint is assumed to have read for another router.
	preferredCachedFraction = 0.8
	// latePromptFraction is the fraction of the objective for which a prompt may
	// wait that could not meet the objective even on an idle engine.
	latePromptFraction = 0.3
	// prefillQueueFraction is the fraction of the maximum response time that a
	// request may spend waiting for the prompts queued before it. Without this
	// bound, small requests fill the engines until large ones no longer fit.
	prefillQueueFraction = 0.45
	// spareSlotFraction is the fraction of an engine's slots that may be in use
	// for the engine to accept a SpareOnly request.
	spareSlotFraction = 0.5
	// slowSmoothing is the weight of a new sample in the moving averages of the
	// event interval and of the run time at engines.
	slowSmoothing = 0.02
	// memoryFraction is the fraction of an engine's memory that requests may
	// fill.
	memoryFraction = 0.9
	// plainRequestsPerSlot is the maximum number of requests in flight per slot
	// of a service without engines.
	plainRequestsPerSlot = 2.0
	// maxDownTime is how long an unreachable endpoint gets no requests, unless
	// it announces itself earlier.
	maxDownTime = 5 * time.Second
	// minDownTime is how long an unreachable endpoint gets no requests even if
	// it announces itself, and how long an endpoint that declined a request gets
	// none.
	minDownTime = 300 * time.Millisecond
	// otherLoadsMaxAge is how long the loads reported by other routers are used.
	otherLoadsMaxAge = 2 * time.Second
)

// Balancer tracks the load, performance and cached prompt parts of the
// endpoints. It is not safe for concurrent use.
type Balancer struct {
	region    string
	endpoints map[string]*endpoint
	services  map[string]*service
	// newlyCached holds the prompt parts read since the last call of
	// TakeNewlyCached.
	newlyCached  []prefixes.Entry
	fleet        fleet
	sharedSpeeds bool
	// heardSpeeds holds the estimates of control hosts, by endpoint ID.
	heardSpeeds map[string]speeds.Speed
	// evacuated holds the evacuated zones.
	evacuated map[string]bool
	cold      coldLimits
	// placement is nil if the choice is not made by zones.
	placement *placement
}

// service is a group of endpoints.
type service struct {
	engine    *routing.Engine
	endpoints []*endpoint
	// answerMS is the moving average of the answer time of a service without
	// engines, in milliseconds.
	answerMS float64
	// runMS is the moving average of the time that requests run at engines, in
	// milliseconds.
	runMS float64
	speed serviceSpeed
	// evacuated is true if the zone of one of the endpoints is evacuated.
	evacuated bool
	serviceZones
	free []freeRoom
}

// endpoint is the state kept for one endpoint.
type endpoint struct {
	entry directory.Entry
	// hash is the hash of the ID. score is the endpoint's place in the order of
	// preference that is being computed.
	hash, score uint64
	own         Load
	// others is the load of the other routers, as of othersAt.
	others   Load
	othersAt time.Time
	// rate is the moving average of the prefill rate, in prompt tokens per
	// millisecond, while speeds are not shared.
	rate float64
	// failures is the moving failure rate, from 0 to 1.
	failures float64
	// failedAt is when the endpoint was last unreachable or declined a request.
	// It gets no requests until downUntil, unless it announces itself earlier.
	failedAt  time.Time
	downUntil time.Time
	// leaving is set once the endpoint has said that it leaves, and pausedUntil until
	// when it said that it wants no requests. Announcements do not change either.
	leaving     bool
	pausedUntil time.Time
	// rateLimit is what the endpoint last stated, to this or another router. limiter
	// is nil if it has no limit.
	rateLimit directory.RateLimit
	limiter   *ratelimit.Limiter
	// cold is nil if the endpoint is never cold. isCold reports whether it counted as
	// cold at last, coldStart is how long it is cold after its start, and unknownSince
	// when it may have become cold without news of that.
	cold         *ratelimit.Cold
	isCold       bool
	coldStart    time.Duration
	unknownSince time.Time
	// eventIntervalMS is the moving average of the time between two events of a
	// stream, in milliseconds; 0 until it has been measured.
	eventIntervalMS float64
	speed           endpointSpeed
	cache           cache
	// evacuated is true while the endpoint's zone is evacuated.
	evacuated bool
}

// New returns a balancer without endpoints for a router in the region.
func New(region string) *Balancer {
	return &Balancer{
		region: region, endpoints: make(map[string]*endpoint), services: make(map[string]*service),
	}
}

// Update replaces the set of endpoints. State is kept for endpoints that have
// not restarted.
func (b *Balancer) Update(now time.Time, entries []directory.Entry, table *routing.Table) {
	previous, previousServices := b.endpoints, b.services
	b.endpoints, b.services = make(map[string]*endpoint, len(entries)), make(map[string]*service)
	for _, entry := range entries {
		e, ok := previous[entry.ID]
		if !ok || !e.entry.Started.Equal(entry.Started) {
			e = &endpoint{hash: xxhash.Sum64String(entry.ID), rate: initialRate, cache: make(cache)}
		}
		e.entry = entry
		if entry.RateLimit.Supersedes(e.rateLimit) {
			b.setRateLimit(now, e, entry.RateLimit)
		}
		b.endpoints[entry.ID] = e
		s, ok := b.services[entry.Service]
		if !ok {
			s = &service{answerMS: initialAnswerMS, runMS: initialRunMS}
			if old, known := previousServices[entry.Service]; known {
				s.answerMS, s.runMS, s.speed = old.answerMS, old.runMS, old.speed
			}
			if definition := table.Service(entry.Service); definition != nil {
				s.engine = definition.Engine
			}
			b.services[entry.Service] = s
		}
		s.endpoints = append(s.endpoints, e)
		b.markEvacuated(s, e)
		b.limitCold(e, table.Service(entry.Service))
		b.updateTemperature(now, e)
	}
	if b.sharedSpeeds {
		b.applySpeeds(now)
		b.forgetSpeeds()
	}
	b.updateZones(previousServices)
}

// RefreshAnnouncements updates the times at which endpoints last announced
// themselves, and when they stop being cold.
func (b *Balancer) RefreshAnnouncements(entries []directory.Entry) {
	for _, entry := range entries {
		if e, ok := b.endpoints[entry.ID]; ok && e.entry.Started.Equal(entry.Started) {
			e.entry.LastSeen, e.entry.ColdFor = entry.LastSeen, entry.ColdFor
		}
	}
}

// SetOtherLoads replaces the load of the other routers, by endpoint ID. If only is
// not nil, the loads of all other endpoints stay as they are.
func (b *Balancer) SetOtherLoads(now time.Time, loads map[string]Load, only map[string]bool) {
	for id, e := range b.endpoints {
		if only == nil || only[id] {
			e.others, e.othersAt = loads[id], now
		}
	}
	b.observeZones(now)
	b.forgetFree()
}

// OwnLoads returns the load of this router by endpoint ID, without endpoints
// that have none.
func (b *Balancer) OwnLoads(now time.Time) map[string]Load {
	loads := make(map[string]Load)
	for id, e := range b.endpoints {
		load := e.own
		load.Recent = e.recentlySent(now)
		if load != (Load{}) {
			loads[id] = load
		}
	}
	return loads
}

// maxNewlyCached bounds the entries kept for TakeNewlyCached.
const maxNewlyCached = 4096

// TakeNewlyCached returns the shared prompt parts that endpoints have read for
// this router since the last call.
func (b *Balancer) TakeNewlyCached() []prefixes.Entry {
	read := b.newlyCached
	b.newlyCached = nil
	return read
}

// AddCached records prompt parts that endpoints have read for other routers.
func (b *Balancer) AddCached(now time.Time, entries []prefixes.Entry) {
	for _, entry := range entries {
		if e, ok := b.endpoints[entry.Endpoint]; ok {
			e.cache.touch(now, entry.Used, entry.Key)
		}
	}
}

// load returns the load of this router and, unless their report is too old, of
// the other routers.
func (e *endpoint) load(now time.Time) Load {
	if now.Sub(e.othersAt) >= otherLoadsMaxAge {
		return e.own
	}
	return e.own.Add(e.others)
}

// down reports whether the endpoint currently gets no requests.
func (e *endpoint) down(now time.Time) bool {
	if e.leaving || now.Before(e.pausedUntil) {
		return true
	}
	if !now.Before(e.downUntil) {
		return false
	}
	announced := e.entry.LastSeen.After(e.failedAt)
	return !announced || now.Sub(e.failedAt) < minDownTime
}
