package edge

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/directory"
	"oleanderramp/internal/event"
	"oleanderramp/internal/quarantine"
)

const (
	// crashWindow is how long after a lost connection the endpoint's crash may be
	// detected: it accepts no connection, or a restarted instance announces
	// itself.
	crashWindow = 10 * time.Second
	// suspectTime is how long a request that was running at a crash stays a
	// suspect. quarantineTime is how long it is refused after a second crash.
	suspectTime    = time.Minute
	quarantineTime = time.Minute
	// simultaneousWindow is the time within which crashes count as one event,
	// because a failure of several endpoints at once is not caused by a single
	// request.
	simultaneousWindow = 2 * time.Second
	// maxProbeDelay bounds the time after a quarantine of a prompt part that routers
	// wait before they send a probe, each another time.
	maxProbeDelay = 30 * time.Second
	// crashReportMaxAge is how long a crash is reported to the other routers.
	crashReportMaxAge = 3 * time.Second
)

// Crasher is a request that was running when an endpoint crashed.
type Crasher struct {
	Digest quarantine.Digest
	// Quarantined reports whether the request is refused until Until. If not, it
	// is a suspect until then.
	Quarantined bool
	Until       time.Time
}

// crashTracker finds the requests that crash endpoints. It is safe for concurrent
// use.
type crashTracker struct {
	log log.Interface

	mu    sync.Mutex
	table *quarantine.Table
	// parts finds the prompt parts that crash endpoints.
	parts *quarantine.Parts
	// lost holds the requests whose connections were lost, by endpoint ID.
	lost    map[string]*lostConnections
	reports []crashReport
	// counted is when a crash was last counted for a request.
	counted map[quarantine.Digest]time.Time
}

// lostConnections holds the requests whose connections to one endpoint were
// lost recently.
type lostConnections struct {
	endpoint directory.Entry
	since    time.Time
	runs     []endpointRun
}

// crashReport is a report for the other routers and when it was added.
type crashReport struct {
	crasher Crasher
	at      time.Time
}

func newCrashTracker(l log.Interface) *crashTracker {
	return &crashTracker{
		log: l, lost: make(map[string]*lostConnections), counted: make(map[quarantine.Digest]time.Time),
		table: quarantine.New(quarantine.Config{SuspectTime: suspectTime, QuarantineTime: quarantineTime}),
		parts: NewParts(rand.N(maxProbeDelay)),
	}
}

// verdict returns how to handle the request. The digest is computed only while
// any request is suspected.
func (c *crashTracker) verdict(now time.Time, digest func() quarantine.Digest) quarantine.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Len() == 0 {
		return quarantine.Verdict{}
	}
	return c.table.StatusOf(now, digest())
}

// recordAnswered clears a suspect that was answered, and its prompt parts. The run is
// computed only while anything is suspected.
func (c *crashTracker) recordAnswered(now time.Time, run func() endpointRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Len() == 0 && c.parts.Len() == 0 {
		return
	}
	answered := run()
	c.table.ClearSuspect(now, answered.digest)
	c.recordPartsAnswered(now, answered.parts)
}

// recordLostConnection records that the connection was lost on which the
// endpoint ran the request.
func (c *crashTracker) recordLostConnection(now time.Time, endpoint directory.Entry, run endpointRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost := c.lost[endpoint.ID]
	if lost == nil || now.Sub(lost.since) >= crashWindow {
		lost = &lostConnections{endpoint: endpoint, since: now}
		c.lost[endpoint.ID] = lost
	}
	lost.runs = append(lost.runs, run)
}

// recordUnreachable records that the endpoint accepts no connection, so that
// connections to it lost recently are attributed to a crash.
func (c *crashTracker) recordUnreachable(now time.Time, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordCrash(now, id)
}

// detectRestarts records a crash of each endpoint that has restarted.
func (c *crashTracker) detectRestarts(now time.Time, entries []directory.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range entries {
		for id, lost := range c.lost {
			if lost.endpoint.Address == e.Address && e.Started.After(lost.endpoint.Started) {
				c.recordCrash(now, id)
			}
		}
	}
	for id, lost := range c.lost {
		if now.Sub(lost.since) >= crashWindow {
			delete(c.lost, id)
		}
	}
}

// recordCrash makes the requests that ran on the endpoint suspects, or
// quarantines them. c.mu is held.
func (c *crashTracker) recordCrash(now time.Time, id string) {
	lost := c.lost[id]
	if lost == nil || now.Sub(lost.since) >= crashWindow {
		return
	}
	delete(c.lost, id)
	digests := make([]quarantine.Digest, len(lost.runs))
	for i, run := range lost.runs {
		digests[i] = run.digest
	}
	quarantined := c.table.RecordCrash(now, c.excludeRecent(now, digests))
	event.EndpointCrashed.Log(c.log, event.Fields{"endpoint": id, "service": lost.endpoint.Service, "requests": len(digests)})
	for _, digest := range digests {
		c.addReport(now, Crasher{Digest: digest, Until: now.Add(suspectTime)})
	}
	c.recordPartCrash(now, lost)
	for _, entry := range quarantined {
		event.RequestQuarantined.Log(c.log, event.Fields{"digest": entry.Digest.String(), "until": entry.Until})
		c.addReport(now, Crasher{Digest: entry.Digest, Quarantined: true, Until: entry.Until})
	}
}

// excludeRecent returns the digests for which no other crash was counted within
// simultaneousWindow. c.mu is held.
func (c *crashTracker) excludeRecent(now time.Time, digests []quarantine.Digest) []quarantine.Digest {
	var list []quarantine.Digest
	for _, digest := range digests {
		if last, ok := c.counted[digest]; !ok || now.Sub(last) >= simultaneousWindow {
			list = append(list, digest)
		}
	}
	for digest, last := range c.counted {
		if now.Sub(last) >= simultaneousWindow {
			delete(c.counted, digest)
		}
	}
	for _, digest := range list {
		c.counted[digest] = now
	}
	return list
}

// addReport adds a report for the other routers. c.mu is held.
func (c *crashTracker) addReport(now time.Time, crasher Crasher) {
	c.reports = append(c.reports, crashReport{crasher: crasher, at: now})
}

// recentReports returns the reports for the other routers.
func (c *crashTracker) recentReports(now time.Time) []Crasher {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.reports) > 0 && now.Sub(c.reports[0].at) >= crashReportMaxAge {
		c.reports = c.reports[1:]
	}
	var list []Crasher
	for _, report := range c.reports {
		list = append(list, report.crasher)
	}
	return list
}

// mergeReports merges reports of other routers.
func (c *crashTracker) mergeReports(now time.Time, crashers []Crasher) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, crasher := range crashers {
		if !crasher.Quarantined {
			if c.table.MergeSuspect(now, crasher.Digest) {
				c.counted[crasher.Digest] = now
			}
			continue
		}
		known := c.table.StatusOf(now, crasher.Digest).Status == quarantine.Quarantined
		if !known && c.table.MergeQuarantined(now, crasher.Digest, crasher.Until) {
			event.RequestQuarantined.Log(c.log, event.Fields{"digest": crasher.Digest.String(), "until": crasher.Until})
		}
	}
}

// RecentCrashers returns the requests that were running during recent crashes,
// for the other routers.
func (f *Forwarder) RecentCrashers(now time.Time) []Crasher { return f.crashes.recentReports(now) }

// MergeCrashers merges reports of other routers.
func (f *Forwarder) MergeCrashers(now time.Time, crashers []Crasher) {
	f.crashes.mergeReports(now, crashers)
}

// UpdateEndpoints sets the known endpoints. An endpoint that has restarted is
// treated as crashed.
func (f *Forwarder) UpdateEndpoints(now time.Time, entries []directory.Entry) {
	f.crashes.detectRestarts(now, entries)
}
