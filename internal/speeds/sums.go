// Package speeds estimates how fast endpoints read prompts and generate events,
// from the measurements of all routers of a site.
//
// Routers report sums of samples. Control hosts keep the sums of each endpoint with
// a decay, exchange them, and return estimates to the routers. The package does no
// I/O and reads no clock: the current time is an argument.
package speeds

import (
	"math"
	"time"
)

const (
	// halfLife is the time after which a sample counts half. At 2 requests a second
	// for each endpoint, about 60 samples count.
	halfLife = 20 * time.Second
	// eventsTTL is how long the event intervals of an endpoint count after the last
	// sample. An interval that a pause of all endpoints has raised can make routers
	// refuse requests, and without requests nothing would correct it.
	eventsTTL = 10 * time.Second
	// maxIntervalMS is the longest event interval that is accepted, in milliseconds.
	maxIntervalMS = 10_000.0
)

// MinRate and MaxRate bound the prefill rates that are accepted, in prompt tokens per
// millisecond. The fastest engines reach 157 x 1.3 = 204.
const (
	MinRate = 1.0
	MaxRate = 1000.0
)

// Sums are the weighted sums of an endpoint's samples.
type Sums struct {
	// PrefillTokens is the number of prompt tokens read in PrefillMS milliseconds.
	PrefillTokens, PrefillMS float64
	// Events is the number of stream events generated in EventsMS milliseconds.
	Events, EventsMS float64
}

// Add returns the sum of both.
func (s Sums) Add(other Sums) Sums {
	return Sums{
		PrefillTokens: s.PrefillTokens + other.PrefillTokens, PrefillMS: s.PrefillMS + other.PrefillMS,
		Events: s.Events + other.Events, EventsMS: s.EventsMS + other.EventsMS,
	}
}

// scale returns the sums with each sample counting by the factor.
func (s Sums) scale(factor float64) Sums {
	return Sums{
		PrefillTokens: s.PrefillTokens * factor, PrefillMS: s.PrefillMS * factor,
		Events: s.Events * factor, EventsMS: s.EventsMS * factor,
	}
}

// valid reports whether the sums can be those of an endpoint. One wrong sum, such as
// NaN, would spoil the averages of the whole service.
func (s Sums) valid() bool {
	for _, v := range []float64{s.PrefillTokens, s.PrefillMS, s.Events, s.EventsMS} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return false
		}
	}
	return s.PrefillTokens >= MinRate*s.PrefillMS && s.PrefillTokens <= MaxRate*s.PrefillMS &&
		s.EventsMS <= maxIntervalMS*s.Events && (s.Events == 0 || s.EventsMS > 0)
}

// Estimate returns the speed that follows from the sums alone, and whether they can be
// those of an endpoint.
func (s Sums) Estimate() (Estimate, bool) { return Combine(Estimate{}, s, 0), s.valid() }

// Sample is what was measured of one start of an endpoint.
type Sample struct {
	Endpoint string
	// Started is when the endpoint started; zero if unknown.
	Started time.Time
	Sums    Sums
}

// Decaying holds sums in which older samples count less.
type Decaying struct {
	sums Sums
	// at is the time as of which the sums are decayed, eventsAt that of the last
	// sample of an event interval.
	at, eventsAt time.Time
}

// Add adds a sample.
func (d *Decaying) Add(now time.Time, s Sums) {
	d.sums, d.at = d.As(now).Add(s), now
	if s.Events > 0 {
		d.eventsAt = now
	}
}

// As returns the sums as of now.
func (d *Decaying) As(now time.Time) Sums {
	sums := d.sums
	if age := now.Sub(d.at); age > 0 {
		sums = sums.scale(math.Exp2(-age.Seconds() / halfLife.Seconds()))
	}
	if now.Sub(d.eventsAt) >= eventsTTL {
		sums.Events, sums.EventsMS = 0, 0
	}
	return sums
}
