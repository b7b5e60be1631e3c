// Package ratelimit divides the rate limit of an endpoint among the routers that send
// it requests. Each router decides alone, from what it last heard of the others, so
// that all of them together keep the limit.
//
// It is a pure state machine: the present time is an argument.
package ratelimit

import (
	"math"
	"time"
)

const (
	// Window is the time over which all routers together keep the limit.
	Window = 4 * time.Second
	// minTurn and maxTurn bound how long a router may use a turn to send one request.
	// Without a bound, all routers would have one left after a quiet time, and could
	// use them at once.
	minTurn = 500 * time.Millisecond
	maxTurn = 4 * minTurn
	// evenFraction is the fraction of the limit that all routers share evenly. The
	// rest follows use, as routers mostly send to endpoints near them and their
	// callers are not spread evenly.
	evenFraction = 0.5
	// fullUse is the fraction of the limit from which on use counts as a fraction of
	// all requests, and below which as one of fullUse. News of the others is late: many
	// routers that begin to send at the same time must not each take themselves for the
	// only one.
	fullUse = 0.4
	// fullRetry is when to look again after the routers have sent all that the limit
	// allows within Window.
	fullRetry = 100 * time.Millisecond
)

// minDifference is the fraction of a limit by which another one must differ to be told
// to other daemons: an endpoint may state a slightly different one in each answer.
const minDifference = 0.1

// Differ reports whether two limits, of which 0 stands for none, are so different that
// other daemons need to know.
func Differ(a, b float64) bool {
	return (a == 0) != (b == 0) || math.Abs(a-b) > minDifference*max(a, b)
}

// Fleet is what a router knows of the others.
type Fleet struct {
	// Routers is the number of routers, including this one; at least 1.
	Routers int
	// Others is the sum of what the other routers sent.
	Others Sent
	// Known reports whether Others is known.
	Known bool
}

// Sent is what routers have sent to an endpoint lately.
type Sent struct {
	// Requests is the number of requests within Window.
	Requests int
	// Use is the same, but with requests that count less the longer ago they were
	// sent, which makes it steadier.
	Use float64
}

// Add returns the sum of both.
func (s Sent) Add(other Sent) Sent {
	return Sent{Requests: s.Requests + other.Requests, Use: s.Use + other.Use}
}

// Subtract returns the difference of both. No value falls below 0.
func (s Sent) Subtract(other Sent) Sent {
	return Sent{Requests: max(s.Requests-other.Requests, 0), Use: max(s.Use-other.Use, 0)}
}

// Limiter is one router's part of an endpoint's limit. It gives the router turns at
// regular intervals, each for one request. It is not safe for concurrent use.
type Limiter struct {
	// perSecond is the limit of all routers together.
	perSecond float64
	fleet     Fleet
	// period is the time between two turns, and next when the next one begins.
	period time.Duration
	next   time.Time
	// boost changes the turns while the limit is not used to the full.
	boost boost
	// sent and use count this router's requests, as in Sent.
	sent counter
	use  usage
}

// New returns a limiter for an endpoint that takes perSecond requests a second from
// all routers. phase is uniform in [0, 1): it keeps the turns of the routers from
// coinciding.
func New(now time.Time, perSecond float64, fleet Fleet, phase float64) *Limiter {
	l := &Limiter{perSecond: perSecond, fleet: fleet, boost: newBoost()}
	l.period = l.turnPeriod(now)
	l.next = now.Add(time.Duration(phase * float64(l.period)))
	return l
}

// PerSecond returns the limit of all routers together.
func (l *Limiter) PerSecond() float64 { return l.perSecond }

// SetPerSecond changes the limit.
func (l *Limiter) SetPerSecond(now time.Time, perSecond float64) {
	l.perSecond = perSecond
	l.setPeriod(now)
}

// SetFleet changes what the router knows of the others.
func (l *Limiter) SetFleet(now time.Time, fleet Fleet) {
	l.fleet = fleet
	l.boost.update(now, l.mode(), l.used(now))
	l.setPeriod(now)
}

// Sent returns what this router has sent lately.
func (l *Limiter) Sent(now time.Time) Sent {
	return Sent{Requests: l.sent.count(now), Use: l.use.count(now)}
}

// Allows reports whether this router may send a request now.
func (l *Limiter) Allows(now time.Time) bool { return !now.Before(l.NextTurn(now)) }

// NextTurn returns when this router may send its next request, as far as it knows: now
// or earlier if it may do so now.
func (l *Limiter) NextTurn(now time.Time) time.Time {
	l.skipUnused(now)
	next := l.next
	if earliest := now.Add(fullRetry); l.used(now) >= l.mode().full && next.Before(earliest) {
		next = earliest
	}
	if next.After(now) {
		l.boost.neededAt = now
	}
	return next
}

// used returns the fraction of what the limit allows within Window that all routers have
// sent, as far as it is known.
func (l *Limiter) used(now time.Time) float64 {
	if !l.fleet.Known {
		return 0
	}
	return float64(l.sent.count(now)+l.fleet.Others.Requests) / max(l.perSecond*Window.Seconds(), 1)
}

// Record records that this router sends a request.
func (l *Limiter) Record(now time.Time) {
	l.skipUnused(now)
	l.sent.add(now)
	l.use.add(now)
	l.next = l.next.Add(l.period)
	l.setPeriod(now)
}

// skipUnused removes the turns that have passed unused.
func (l *Limiter) skipUnused(now time.Time) {
	if over := now.Sub(l.next) - l.boost.turn(); over > 0 {
		l.next = l.next.Add(time.Duration(math.Ceil(float64(over)/float64(l.period))) * l.period)
	}
}

// setPeriod computes the time between turns. The time to a turn that is still to come
// changes in proportion.
func (l *Limiter) setPeriod(now time.Time) {
	period := l.turnPeriod(now)
	if left := l.next.Sub(now); left > 0 {
		l.next = now.Add(time.Duration(float64(left) / float64(l.period) * float64(period)))
	}
	l.period = period
}

// turnPeriod returns the time between two turns of this router.
func (l *Limiter) turnPeriod(now time.Time) time.Duration {
	part := 1 / float64(max(l.fleet.Routers, 1))
	if own := l.use.count(now); l.fleet.Known {
		total := max(own+l.fleet.Others.Use, fullUse*l.perSecond*Window.Seconds())
		part = evenFraction*part + (1-evenFraction)*own/total
	}
	rate := l.perSecond * l.mode().turns * l.boost.rate()
	return time.Duration(float64(time.Second) / (rate * part))
}
