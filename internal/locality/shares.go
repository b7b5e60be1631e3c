package locality

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// proportional is by how much a fraction exceeds its slow part for each millisecond
	// that the zone is worse than the other one, and integral by how much the slow part
	// rises in a second for each millisecond. A queue grows by up to a second in each
	// second of excess demand and is seen up to 0.7 s late, so that a proportional part
	// above 0.002 oscillates.
	proportional = 0.0005
	integral     = 0.00012
	// maxRate is the fastest change of a fraction, per second.
	maxRate = 0.5
	// bandMS is the hysteresis: a fraction neither rises nor falls while the zone is worse
	// than the other one by at most this, in milliseconds.
	bandMS = 15.0
	// maxGainMS bounds the difference between two zones that is acted on, in milliseconds.
	maxGainMS = 1000.0
	// freelyUsed is the fraction of a zone's slots up to which nearly all requests find a
	// free one. fullWait is how long a request waits for a slot in a full zone, as a
	// fraction of the time that a request runs.
	freelyUsed = 0.8
	fullWait   = 0.25
	// maxStep bounds the time that one observation stands for. After a gap, what was seen
	// before it says nothing about the time between.
	maxStep = 500 * time.Millisecond
)

// Zone is what a router knows of the endpoints of one zone.
type Zone struct {
	Place Place
	// Endpoints is the number of endpoints that may get requests.
	Endpoints int
	// WaitMS is the time that a request is expected to wait there, in milliseconds.
	WaitMS float64
}

// Shares holds, for one service, the fraction of the requests that leave the router's zone
// for each other zone. A fraction follows the difference of the expected waiting times,
// less what the traffic costs: slowly enough that routers which hear of each other's
// requests late do not leave and return together.
type Shares struct {
	home   Place
	prices Prices
	at     time.Time
	pairs  map[string]*pair
	// ordered holds the pairs by zone, so that each draw stands for the same zone as long
	// as the fractions stay.
	ordered []*pair
}

// pair is the fraction of the requests that leave for one zone.
type pair struct {
	place     Place
	endpoints int
	// gainMS is by how much the zone is better than the router's own.
	gainMS float64
	// slow is the part of the fraction that changes slowly, from 0 to 1.
	slow float64
	// fraction is from 0 to 1; all fractions together are at most 1.
	fraction float64
}

// NewShares returns shares for a router at home, all 0.
func NewShares(home Place, prices Prices) *Shares {
	return &Shares{home: home, prices: prices, pairs: make(map[string]*pair)}
}

// Observe records the present state of all zones that have endpoints and adapts the
// fractions. A request is taken to move the given number of bytes. It must not be called
// without news of the loads: fractions stay as they are while nothing is heard.
func (s *Shares) Observe(now time.Time, zones []Zone, bytes float64) {
	step := min(now.Sub(s.at), maxStep).Seconds()
	s.at = now
	home := Zone{WaitMS: maxGainMS}
	for _, z := range zones {
		if z.Place == s.home && z.Endpoints > 0 {
			home = z
		}
	}
	s.setGains(home, zones, bytes)
	s.adapt(step)
}

// setGains updates the pairs. A zone without endpoints loses its pair: when it has some
// again, its fraction begins at 0.
func (s *Shares) setGains(home Zone, zones []Zone, bytes float64) {
	previous := s.pairs
	s.pairs = make(map[string]*pair, len(zones))
	for _, z := range zones {
		if z.Place == s.home || z.Endpoints == 0 {
			continue
		}
		p, ok := previous[z.Place.Zone]
		if !ok {
			p = &pair{}
		}
		distance := s.home.DistanceTo(z.Place)
		gain := home.WaitMS - z.WaitMS - RTT(distance) - s.prices.TrafficCost(distance, bytes)
		if gain > 0 {
			gain = max(gain-bandMS, 0)
		}
		p.place, p.endpoints, p.gainMS = z.Place, z.Endpoints, min(max(gain, -maxGainMS), maxGainMS)
		s.pairs[z.Place.Zone] = p
	}
	s.ordered = slices.SortedFunc(maps.Values(s.pairs), func(a, b *pair) int { return cmp.Compare(a.place.Zone, b.place.Zone) })
}

// adapt moves the fractions by what a step in seconds allows. The zones that take part
// share one change by their numbers of endpoints, so that many zones do not add up to a
// faster one.
func (s *Shares) adapt(step float64) {
	endpoints := 0
	for _, p := range s.ordered {
		if p.takesPart() {
			endpoints += p.endpoints
		}
	}
	total := 0.0
	for _, p := range s.ordered {
		if !p.takesPart() {
			continue
		}
		weight := float64(p.endpoints) / float64(endpoints)
		p.slow = min(max(p.slow+integral*p.gainMS*weight*step, 0), 1)
		target := min(max(p.slow+proportional*p.gainMS*weight, 0), 1)
		limit := maxRate * weight * step
		p.fraction += min(max(target-p.fraction, -limit), limit)
		total += p.fraction
	}
	if total <= 1 {
		return
	}
	for _, p := range s.ordered {
		p.fraction, p.slow = p.fraction/total, p.slow/total
	}
}

// takesPart reports whether requests leave for the zone or ought to.
func (p *pair) takesPart() bool { return p.fraction > 0 || p.slow > 0 || p.gainMS > 0 }

// Draw returns the zone for which a request leaves that has drawn a random number in
// [0, 1), or the router's own place.
func (s *Shares) Draw(draw float64) Place {
	for _, p := range s.ordered {
		if draw < p.fraction {
			return p.place
		}
		draw -= p.fraction
	}
	return s.home
}

// Fraction returns the fraction of the requests that leaves for the place.
func (s *Shares) Fraction(place Place) float64 {
	if p, ok := s.pairs[place.Zone]; ok {
		return p.fraction
	}
	return 0
}

// Leaving returns the fraction of the requests that leaves the zone.
func (s *Shares) Leaving() float64 {
	total := 0.0
	for _, p := range s.ordered {
		total += p.fraction
	}
	return total
}

// SlotWait returns how long a request is expected to wait for a slot in a zone of which the
// fraction of the slots is in use and a request runs for runMS, both in milliseconds.
// Routers hear of each other late, so that requests arrive at engines without a free slot
// while others of the zone still have some.
func SlotWait(inUse, runMS float64) float64 {
	excess := max(inUse-freelyUsed, 0) / (1 - freelyUsed)
	return fullWait * runMS * excess * excess
}

// ExpectedWait returns the time that a request is expected to wait in a zone whose
// endpoints have the given waiting times, in milliseconds. Requests go to the endpoints
// with the shorter ones, so that the mean of the lowest third counts. It reorders the slice.
func ExpectedWait(waits []float64) float64 {
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	lowest := waits[:(len(waits)+2)/3]
	sum := 0.0
	for _, w := range lowest {
		sum += w
	}
	return sum / float64(len(lowest))
}
