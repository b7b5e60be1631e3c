package ratelimit

import (
	"time"
)

const (
	// ColdWindow is the time over which all routers together keep the bound of a cold
	// endpoint.
	ColdWindow = time.Second
	// permitPeriod is how long a permit rests after its use. It exceeds ColdWindow by the
	// variation of the time from a router's decision to the arrival of the request.
	permitPeriod = ColdWindow + 50*time.Millisecond
	// sparePermits is how many of the permits are not given out. They make up for
	// routers that are out of touch or late, and use permits that others have as well.
	sparePermits = 2
	// noTurnPeriod is when to look again after this router had no permit.
	noTurnPeriod = time.Second
	// fullMean is the fraction of the mean from which on no requests are sent. It is above
	// 1, as with little demand fewer requests than the mean come at times.
	fullMean = 1.25
)

// ColdLimit is how many requests a cold endpoint takes from all routers together.
type ColdLimit struct {
	// PerSecond is the mean; 0 means that the endpoint is never cold.
	PerSecond float64
	// Overrun and Slack bound the requests within any ColdWindow, to PerSecond times
	// Overrun plus Slack.
	Overrun, Slack float64
}

// permits returns the number of permits for the endpoint.
func (l ColdLimit) permits() int {
	return max(int(l.PerSecond*l.Overrun+l.Slack)-sparePermits, 1)
}

// Cold is one router's part of what a cold endpoint takes. The endpoint has a fixed
// number of permits, fewer than the bound; each is held by one router and is good for one
// request within permitPeriod. Thus the bound holds whatever the routers know of each
// other's requests. It is not safe for concurrent use.
type Cold struct {
	limit    ColdLimit
	endpoint uint64
	roster   *Roster
	// since is when this router learned that the endpoint is cold. sent and use count its
	// requests from then on.
	since time.Time
	sent  counter
	use   usage
	// sends are the times of the requests within permitPeriod, also of those sent while
	// the endpoint was warm, in order.
	sends []time.Time
	// held is the number of this router's permits, as of revision. place is its place in
	// the order of the endpoint's holders, size the number of routers.
	held, place, size int
	revision          uint64
}

// NewCold returns the part of the roster's router of what the endpoint takes.
func NewCold(limit ColdLimit, endpoint uint64, roster *Roster) *Cold {
	return &Cold{limit: limit, endpoint: endpoint, roster: roster, size: -1}
}

// SetLimit changes the limit.
func (c *Cold) SetLimit(limit ColdLimit) {
	if limit != c.limit {
		c.limit, c.size = limit, -1
	}
}

// Begin records that the endpoint is cold from now on.
func (c *Cold) Begin(now time.Time) {
	c.since, c.sent, c.use = now, counter{}, usage{}
}

// Record records that this router sends a request, whether the endpoint is cold or not.
func (c *Cold) Record(now time.Time) {
	c.forget(now)
	c.sends = append(c.sends, now)
	c.sent.add(now)
	c.use.add(now)
}

// Sent returns what this router has sent lately to the endpoint while it was cold.
func (c *Cold) Sent(now time.Time) Sent {
	return Sent{Requests: c.sent.count(now), Use: c.use.count(now)}
}

// NextTurn returns when this router may send the endpoint its next request, as far as it
// knows: now or earlier if it may do so now.
func (c *Cold) NextTurn(now time.Time, fleet Fleet) time.Time {
	if !c.roster.settled(now) {
		return now.Add(noTurnPeriod)
	}
	c.updatePermits()
	if c.held == 0 {
		return now.Add(noTurnPeriod)
	}
	c.forget(now)
	next := now
	if in := len(c.sends) - c.held; in >= 0 {
		next = c.sends[in].Add(permitPeriod)
	}
	if first := c.opened(len(c.sends)); first.After(next) {
		next = first
	}
	if earliest := now.Add(fullRetry); next.Before(earliest) && c.used(now, fleet) >= fullMean {
		next = earliest
	}
	return next
}

// opened returns from when on this router's permit with the number may be used. The
// permits open evenly over the first permitPeriod, as requests to the endpoint while it
// was warm are not known.
func (c *Cold) opened(number int) time.Time {
	position := float64(c.place+min(number, c.held-1)*c.size) / float64(c.limit.permits())
	return c.since.Add(time.Duration(position * float64(permitPeriod)))
}

// used returns the fraction of the mean that all routers have sent within Window, or since
// shortly before the endpoint became cold, as far as it is known.
func (c *Cold) used(now time.Time, fleet Fleet) float64 {
	if !fleet.Known {
		return 0
	}
	period := min(Window, now.Sub(c.since)+ColdWindow)
	return float64(c.sent.count(now)+fleet.Others.Requests) / max(c.limit.PerSecond*period.Seconds(), 1)
}

// updatePermits computes how many permits this router holds: with fewer routers than
// permits each holds at least one, otherwise the first in the endpoint's order hold one.
func (c *Cold) updatePermits() {
	if c.size >= 0 && c.revision == c.roster.revision {
		return
	}
	c.revision = c.roster.revision
	c.place, c.size = c.roster.place(c.endpoint)
	permits := c.limit.permits()
	c.held = permits / c.size
	if c.place < permits%c.size {
		c.held++
	}
}

// forget removes the requests that no longer occupy a permit.
func (c *Cold) forget(now time.Time) {
	old := 0
	for old < len(c.sends) && now.Sub(c.sends[old]) >= permitPeriod {
		old++
	}
	c.sends = append(c.sends[:0], c.sends[old:]...)
}
