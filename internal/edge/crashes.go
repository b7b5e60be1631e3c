package edge

import (
	"sync"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/directory"
	"oleanderramp/internal/event"
	"oleanderramp/internal/quarantine"
)

const (
	// crashWindow is how long after a lost connection the endpoint's crash may
	// show: it accepts no connection, or another start of it answers.
	crashWindow = 10 * time.Second
	// suspectTime and quarantineTime are how long a request is remembered that
	// was running at a crash, and refused when it was so twice.
	suspectTime    = time.Minute
	quarantineTime = time.Minute
	// togetherWithin is how close crashes may be to count as one event: what
	// brings down several endpoints at once is no single request.
	togetherWithin = 2 * time.Second
	// crashNewsFor is how long a suspicion is told to the other routers.
	crashNewsFor = 3 * time.Second
)

// Crasher is a request that was running when an endpoint crashed.
type Crasher struct {
	Digest quarantine.Digest
	// Quarantined requests are refused until then; others are suspects.
	Quarantined bool
	Until       time.Time
}

// crashes finds the requests that crash endpoints. It is safe for concurrent
// use.
type crashes struct {
	log log.Interface

	mu    sync.Mutex
	table *quarantine.Table
	// lost holds the requests whose connections broke, by endpoint.
	lost map[string]*breakage
	news []crashNews
	// counted is when a crash was last counted for a request.
	counted map[quarantine.Digest]time.Time
}

// breakage is what broke at one endpoint of late.
type breakage struct {
	endpoint directory.Entry
	since    time.Time
	digests  []quarantine.Digest
}

type crashNews struct {
	crasher Crasher
	at      time.Time
}

func newCrashes(l log.Interface) *crashes {
	return &crashes{
		log: l, lost: make(map[string]*breakage), counted: make(map[quarantine.Digest]time.Time),
		table: quarantine.New(quarantine.Config{SuspectTime: suspectTime, QuarantineTime: quarantineTime}),
	}
}

// verdict tells how the request is to be treated. Its digest is asked for only
// while any request is suspected.
func (c *crashes) verdict(now time.Time, digest func() quarantine.Digest) quarantine.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Len() == 0 {
		return quarantine.Verdict{}
	}
	return c.table.Mark(now, digest())
}

// answered clears a suspect that got its whole answer.
func (c *crashes) answered(now time.Time, digest func() quarantine.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Len() > 0 {
		c.table.Cleared(now, digest())
	}
}

// broke records that the connection broke on which the endpoint ran the
// request.
func (c *crashes) broke(now time.Time, endpoint directory.Entry, digest quarantine.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.lost[endpoint.ID]
	if b == nil || now.Sub(b.since) >= crashWindow {
		b = &breakage{endpoint: endpoint, since: now}
		c.lost[endpoint.ID] = b
	}
	b.digests = append(b.digests, digest)
}

// unreachable records that the endpoint accepts no connection: what broke
// there of late broke with it.
func (c *crashes) unreachable(now time.Time, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashed(now, id)
}

// update looks for endpoints that have started again.
func (c *crashes) update(now time.Time, entries []directory.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range entries {
		for id, b := range c.lost {
			if b.endpoint.Address == e.Address && e.Started.After(b.endpoint.Started) {
				c.crashed(now, id)
			}
		}
	}
	for id, b := range c.lost {
		if now.Sub(b.since) >= crashWindow {
			delete(c.lost, id)
		}
	}
}

// crashed makes what ran at the endpoint suspect, or quarantines it. c.mu is
// held.
func (c *crashes) crashed(now time.Time, id string) {
	b := c.lost[id]
	if b == nil || now.Sub(b.since) >= crashWindow {
		return
	}
	delete(c.lost, id)
	quarantined := c.table.Crash(now, c.apart(now, b.digests))
	event.EndpointCrashed.Log(c.log, event.Fields{"endpoint": id, "service": b.endpoint.Service, "requests": len(b.digests)})
	for _, digest := range b.digests {
		c.tell(now, Crasher{Digest: digest, Until: now.Add(suspectTime)})
	}
	for _, entry := range quarantined {
		event.RequestQuarantined.Log(c.log, event.Fields{"digest": entry.Digest.String(), "until": entry.Until})
		c.tell(now, Crasher{Digest: entry.Digest, Quarantined: true, Until: entry.Until})
	}
}

// apart returns the requests that were not counted for another crash at the
// same time. c.mu is held.
func (c *crashes) apart(now time.Time, digests []quarantine.Digest) []quarantine.Digest {
	var list []quarantine.Digest
	for _, digest := range digests {
		if last, ok := c.counted[digest]; !ok || now.Sub(last) >= togetherWithin {
			list = append(list, digest)
		}
	}
	for digest, last := range c.counted {
		if now.Sub(last) >= togetherWithin {
			delete(c.counted, digest)
		}
	}
	for _, digest := range list {
		c.counted[digest] = now
	}
	return list
}

// tell adds news for the other routers. c.mu is held.
func (c *crashes) tell(now time.Time, crasher Crasher) {
	c.news = append(c.news, crashNews{crasher: crasher, at: now})
}

// recent returns what the other routers should know.
func (c *crashes) recent(now time.Time) []Crasher {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.news) > 0 && now.Sub(c.news[0].at) >= crashNewsFor {
		c.news = c.news[1:]
	}
	var list []Crasher
	for _, n := range c.news {
		list = append(list, n.crasher)
	}
	return list
}

// adopt takes what other routers have found.
func (c *crashes) adopt(now time.Time, crashers []Crasher) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, crasher := range crashers {
		if !crasher.Quarantined {
			if c.table.AdoptSuspect(now, crasher.Digest) {
				c.counted[crasher.Digest] = now
			}
			continue
		}
		known := c.table.Mark(now, crasher.Digest).Status == quarantine.Quarantined
		if !known && c.table.Adopt(crasher.Digest, crasher.Until) {
			event.RequestQuarantined.Log(c.log, event.Fields{"digest": crasher.Digest.String(), "until": crasher.Until})
		}
	}
}

// Crashers returns the requests that were running at crashes of late, for the
// other routers.
func (f *Forwarder) Crashers(now time.Time) []Crasher { return f.crashes.recent(now) }

// AdoptCrashers takes what other routers have found.
func (f *Forwarder) AdoptCrashers(now time.Time, crashers []Crasher) { f.crashes.adopt(now, crashers) }

// Announced takes the endpoints that there are: one that has started again has
// crashed.
func (f *Forwarder) Announced(now time.Time, entries []directory.Entry) {
	f.crashes.update(now, entries)
}
