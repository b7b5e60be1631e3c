package balance

import (
	"time"

	"oleanderramp/internal/locality"
)

// trafficSmoothing is the weight of a request in the moving averages of the size of the
// requests and of their prompts.
const trafficSmoothing = 0.02

// sourceWorth is what a token counts that a source holds, by its distance: the bytes of
// cached tokens are many times those of a request.
var sourceWorth = [...]float64{locality.SameZone: 1, locality.SameRegion: 0.5, locality.OtherRegion: 0.25}

// placement is where a router is and what its traffic costs.
type placement struct {
	home   locality.Place
	prices locality.Prices
}

// zone is the endpoints of a service in one availability zone.
type zone struct {
	place     locality.Place
	endpoints []*endpoint
}

// serviceZones is what is needed to choose among the zones of a service.
type serviceZones struct {
	// zones is in the order in which their first endpoints were given.
	zones  []*zone
	shares *locality.Shares
	// bytes and promptTokens are the moving averages of what a request moves in both
	// directions and of the length of its prompt.
	bytes        float64
	promptTokens float64
}

// SetPlace enables the choice by zones for a router at home: requests leave its zone by
// what the traffic costs. Without it, only another region has a cost, a constant one. It
// must be called before the first Update.
func (b *Balancer) SetPlace(home locality.Place, prices locality.Prices) {
	b.placement = &placement{home: home, prices: prices}
}

func placeOf(e *endpoint) locality.Place {
	return locality.Place{Zone: e.entry.Zone, Region: e.entry.Region}
}

// updateZones sorts the endpoints of all services by zone. The fractions that leave are
// kept.
func (b *Balancer) updateZones(previous map[string]*service) {
	if b.placement == nil {
		return
	}
	for name, s := range b.services {
		s.serviceZones = serviceZones{shares: locality.NewShares(b.placement.home, b.placement.prices)}
		if old, ok := previous[name]; ok {
			s.serviceZones = old.serviceZones
			s.zones = nil
		}
		byPlace := make(map[locality.Place]*zone)
		for _, e := range s.endpoints {
			z, ok := byPlace[placeOf(e)]
			if !ok {
				z = &zone{place: placeOf(e)}
				byPlace[z.place] = z
				s.zones = append(s.zones, z)
			}
			z.endpoints = append(z.endpoints, e)
		}
	}
}

// LeavingFraction is the fraction of a service's requests that leave for one zone.
type LeavingFraction struct {
	Service  string
	Zone     string
	Fraction float64
}

// LeavingFractions returns the fractions of all services that have endpoints in other
// zones.
func (b *Balancer) LeavingFractions() []LeavingFraction {
	var list []LeavingFraction
	for name, s := range b.services {
		for _, z := range s.zones {
			if b.placement != nil && z.place != b.placement.home {
				list = append(list, LeavingFraction{Service: name, Zone: z.place.Zone, Fraction: s.shares.Fraction(z.place)})
			}
		}
	}
	return list
}

// observeZones adapts the fractions that leave to the present loads.
func (b *Balancer) observeZones(now time.Time) {
	if b.placement == nil {
		return
	}
	for _, s := range b.services {
		zones := make([]locality.Zone, 0, len(s.zones))
		for _, z := range s.zones {
			zones = append(zones, s.stateOf(now, z))
		}
		s.shares.Observe(now, zones, s.bytes)
	}
}

// stateOf returns what is known of the zone.
func (s *service) stateOf(now time.Time, z *zone) locality.Zone {
	waits := make([]float64, 0, len(z.endpoints))
	running, slots := 0, 0
	for _, e := range z.endpoints {
		if e.down(now) || e.evacuated {
			continue
		}
		load := e.load(now)
		waits = append(waits, s.waitMS(e, load))
		running, slots = running+load.Running, slots+max(e.entry.Slots, 1)
	}
	state := locality.Zone{Place: z.place, Endpoints: len(waits), WaitMS: locality.ExpectedWait(waits)}
	if s.engine != nil && slots > 0 {
		state.WaitMS += locality.SlotWait(float64(running)/float64(slots), s.runMS)
	}
	return state
}

// waitMS returns how long an ordinary request waits at the endpoint, in milliseconds: for
// the prompts before it and, if the endpoint has no room for it, for the next one that
// ends.
func (s *service) waitMS(e *endpoint, load Load) float64 {
	wait := s.predict(e, load, 0) - s.predict(e, Load{}, 0)
	if s.engine != nil && !s.fits(e, load, Demand{Prompt: Prompt{Tokens: int(s.promptTokens)}}) {
		wait += s.runMS / float64(max(load.Running, 1))
	}
	return wait
}

// distanceTo returns how far the endpoint is from the router. Without a place, zones are
// not told apart.
func (b *Balancer) distanceTo(e *endpoint) locality.Distance {
	switch {
	case b.placement != nil:
		return b.placement.home.DistanceTo(placeOf(e))
	case e.entry.Region == b.region:
		return locality.SameZone
	default:
		return locality.OtherRegion
	}
}

// fetchSource returns the endpoint from which e fetches the cached parts that it lacks, how
// many tokens it holds after that, and what the traffic costs, in milliseconds.
func (b *Balancer) fetchSource(s *service, holders cacheHolders, e *endpoint) (*endpoint, int, float64) {
	source, tokens := holders.source(e)
	held := holders.tokens[e]
	if b.placement == nil || source == nil || tokens <= held {
		return source, tokens, 0
	}
	fetched := float64(tokens - held)
	cost := b.placement.prices.TrafficCost(placeOf(source).DistanceTo(placeOf(e)), fetched*s.engine.TokenBytes)
	return source, tokens, cost
}

// distanceMS returns the additional round-trip time to the endpoint and what the traffic of
// the request costs, both in milliseconds.
func (b *Balancer) distanceMS(s *service, e *endpoint, d Demand) (rtt, cost float64) {
	distance := b.distanceTo(e)
	switch {
	case b.placement == nil && distance == locality.OtherRegion:
		return crossRegionRTTMS, crossRegionPenaltyMS
	case b.placement == nil:
		return 0, 0
	}
	return locality.RTT(distance), b.placement.prices.TrafficCost(distance, s.trafficBytes(d))
}

// trafficBytes returns what the request moves in both directions.
func (s *service) trafficBytes(d Demand) float64 {
	answer := locality.Answer{Tokens: d.Prompt.Output}
	if s.engine != nil {
		answer.TokensPerEvent = s.engine.TokensPerEvent
	}
	return float64(d.RequestBytes) + answer.Bytes()
}

// endpointsOf returns the endpoints in one zone.
func (s *service) endpointsOf(place locality.Place) []*endpoint {
	for _, z := range s.zones {
		if z.place == place {
			return z.endpoints
		}
	}
	return nil
}

// endpointsAt returns the endpoints at the distance from home.
func (s *service) endpointsAt(home locality.Place, distance locality.Distance) []*endpoint {
	var endpoints []*endpoint
	for _, z := range s.zones {
		if home.DistanceTo(z.place) == distance {
			endpoints = append(endpoints, z.endpoints...)
		}
	}
	return endpoints
}

// most returns an endpoint that has read most of the shared prompt parts; nil if none has
// read any.
func (h *cacheHolders) most() *endpoint {
	if h.best != nil {
		return h.best
	}
	var most *endpoint
	for e, tokens := range h.tokens {
		if most == nil || tokens > h.tokens[most] || tokens == h.tokens[most] && e.hash > most.hash {
			most = e
		}
	}
	return most
}
