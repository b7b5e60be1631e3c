package site

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"oleanderramp/internal/discovery"
	"oleanderramp/internal/event"
	"oleanderramp/internal/peer"
	"oleanderramp/internal/wire"
)

// syncCursor is a position in a control host's directory and in its index of
// cached prompt parts.
type syncCursor struct {
	epoch, revision, cache uint64
	// streams is the position in the control host's streams for another control host,
	// and for a router that in its own streams up to which the host has them.
	streams uint64
	// speeds is the position in the control host's speeds, and reportedEpoch the start
	// of the host to which a router has last reported its samples.
	speeds, reportedEpoch uint64
}

// initialFanout is the number of control hosts that a router without a routing
// table calls concurrently. Hundreds of routers may start at once.
const initialFanout = 2

// fetchInitialTable calls initialFanout of the known control hosts concurrently,
// in rounds, until one of them returns a routing table. Each router begins with
// another host.
func (r *router) fetchInitialTable(ctx context.Context) {
	ticker := time.NewTicker(primarySyncPeriod)
	defer ticker.Stop()
	for first := rand.IntN(math.MaxInt32); r.Table() == nil; first += initialFanout {
		r.mu.Lock()
		targets := r.hosts.Targets(time.Now())
		r.mu.Unlock()
		var calls sync.WaitGroup
		for _, host := range inTurn(targets, first, initialFanout) {
			calls.Go(func() { r.syncWith(ctx, host, false, initialSyncTimeout) })
		}
		calls.Wait()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// inTurn returns count elements of the list from the position first on, which
// wraps around; all of them if there are fewer.
func inTurn(list []string, first, count int) []string {
	count = min(count, len(list))
	turn := make([]string, count)
	for i := range turn {
		turn[i] = list[(first+i)%len(list)]
	}
	return turn
}

// syncPrimary calls the primary and reports this router's load to it.
func (r *router) syncPrimary(ctx context.Context) {
	if host := r.choosePrimary(time.Now()); host != "" {
		r.syncWith(ctx, host, true, syncTimeout)
	}
}

// choosePrimary returns the current primary while it is alive, and otherwise
// chooses a new one, the nearest. A nearer host that has been alive for
// primaryReturnDelay replaces the primary.
func (r *router) choosePrimary(now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	alive := slices.DeleteFunc(r.hosts.Alive(now), func(h discovery.Host) bool {
		return h.Draining || now.Sub(r.primaryFailures[h.Address]) < primaryBackoff
	})
	here := placeOf(r.settings)
	best, found := nearest(alive, here)
	if !found {
		r.setPrimary("", 0)
		return ""
	}
	current := slices.IndexFunc(alive, func(h discovery.Host) bool { return h.Address == r.primary })
	switch {
	case current < 0:
		r.setPrimary(best.Address, len(alive))
	case here.distance(best) >= here.distance(alive[current]):
		r.nearerSince = time.Time{}
	case r.nearerSince.IsZero():
		r.nearerSince = now
	case now.Sub(r.nearerSince) >= primaryReturnDelay:
		r.setPrimary(best.Address, len(alive))
	}
	return r.primary
}

// setPrimary changes the primary. The caller holds r.mu.
func (r *router) setPrimary(address string, alive int) {
	r.nearerSince = time.Time{}
	if address == r.primary {
		return
	}
	event.PrimaryChanged.Log(r.log, event.Fields{"before": r.primary, "peer": address, "alive": alive})
	r.primary = address
}

// othersSyncer returns a function that calls the next of the known control
// hosts other than the primary.
func (r *router) othersSyncer() func(context.Context) {
	turn := 0
	return func(ctx context.Context) {
		r.mu.Lock()
		targets := slices.DeleteFunc(r.hosts.Targets(time.Now()), func(address string) bool { return address == r.primary })
		r.mu.Unlock()
		if len(targets) == 0 {
			return
		}
		turn++
		r.syncWith(ctx, inTurn(targets, turn, 1)[0], false, syncTimeout)
	}
}

// syncWith calls one control host and applies its response.
func (r *router) syncWith(ctx context.Context, host string, primary bool, timeout time.Duration) {
	beatAt := r.pauses.beat()
	request := r.syncRequest(time.Now(), host, primary)
	var streamsSent uint64
	if primary {
		streamsSent = r.addStreams(time.Now(), host, request)
	}
	limit, begun := timeout+lagTimeoutFactor*r.lag.value(), time.Now()
	response, err := peer.Exchange(ctx, r.dialer, host, limit, request)
	if err != nil {
		r.recordFailure(ctx, host, err)
		return
	}
	now := time.Now()
	r.lastSync.Store(&now)
	r.applyResponse(now, answeredAt(begun, now, limit), host, response, primary)
	r.pauses.answered(beatAt)
	r.recordStreamsSent(host, request, response, streamsSent)
}

// answeredAt returns the time for which an answer that has arrived now holds. One of a call
// that took longer than the limit may have waited for this process, which was paused: it
// counts as one that arrived at the limit.
func answeredAt(begun, now time.Time, limit time.Duration) time.Time {
	if now.Sub(begun) <= limit {
		return now
	}
	return begun.Add(limit)
}

// recordStreamsSent records which of this router's streams the control host has: none
// of those reported to an earlier start of it.
func (r *router) recordStreamsSent(host string, request *wire.SyncRequest, response *wire.SyncResponse, sent uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cursor := r.cursors[host]
	switch {
	case response.GetDirectoryEpoch() != request.GetDirectoryEpoch():
		cursor.streams = 0
	case sent > 0:
		cursor.streams = sent
	}
	r.cursors[host] = cursor
}

// syncRequest returns the request for one control host. Only the primary gets this
// router's state, and only the primary sends a newer routing table while it
// answers.
func (r *router) syncRequest(now time.Time, host string, primary bool) *wire.SyncRequest {
	request := &wire.SyncRequest{Sender: r.self, RoutingVersion: r.RoutingVersion(), Region: r.reportedRegion()}
	r.mu.Lock()
	defer r.mu.Unlock()
	cursor := r.cursors[host]
	request.DirectoryEpoch, request.DirectoryRevision, request.CacheRevision = cursor.epoch, cursor.revision, cursor.cache
	if !primary {
		request.OmitDocument = r.primaryBringsTable(now)
		return request
	}
	loads, uses, cached := r.admission.OwnState(now)
	request.Load, request.Cached = reportToWire(loads, uses, 1), cachedToWire(now, cached)
	request.Load.CountingRouters = 1
	request.RosterDigest = r.admission.RosterDigest()
	request.RateLimits = rateLimitReportsToWire(now, r.admission.RateLimitReports())
	request.Speeds, request.SpeedRevision = samplesToWire(r.admission.TakeSpeeds()), cursor.speeds
	request.LoadSequence = r.sentLoads.add(request.GetLoad())
	request.Crashers = crashersToWire(now, r.forwarder.RecentCrashers(now))
	request.Parts = partsToWire(now, r.forwarder.PartReports(now))
	return request
}

// addStreams adds the streams that the control host lacks to the request, and returns
// the position up to which it has them then.
func (r *router) addStreams(now time.Time, host string, request *wire.SyncRequest) uint64 {
	r.mu.Lock()
	sent := r.cursors[host].streams
	r.mu.Unlock()
	list, revision := r.forwarder.StreamsSince(now, sent)
	request.Streams = streamsToWire(list)
	return revision
}

// primaryBringsTable reports whether newer routing tables are expected from the
// primary: it answers, and has not left out one that another control host named.
// The caller holds r.mu.
func (r *router) primaryBringsTable(now time.Time) bool {
	answers := now.Sub(r.primaryAnsweredAt) < primarySilence
	behind := r.newestVersion > r.RoutingVersion() && now.Sub(r.newerSince) >= primarySilence
	return answers && !behind
}

// recordFailure records that a control host did not answer.
func (r *router) recordFailure(ctx context.Context, host string, err error) {
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if silence, heard := r.hosts.SinceContact(time.Now(), host); heard && r.primary == host {
		event.PeerDown.Log(r.log, event.Fields{"peer": host, "error": err.Error(), "silence_ms": silence.Milliseconds()})
		r.primary = ""
		r.primaryFailures[host] = time.Now()
	}
}
