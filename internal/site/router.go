package site

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/directory"
	"oleanderramp/internal/discovery"
	"oleanderramp/internal/edge"
	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/event"
	"oleanderramp/internal/peer"
	"oleanderramp/internal/settings"
	"oleanderramp/internal/telemetry"
	"oleanderramp/internal/wire"
	"oleanderramp/pkg/routing"
)

const (
	// primaryPeriod is the time between two calls to the control host that a
	// router reports its load to.
	primaryPeriod = 100 * time.Millisecond
	// primaryRest is how long a control host that did not answer as the primary
	// is not chosen again; it is called by turns meanwhile.
	primaryRest = 3 * time.Second
	// othersPeriod is the time between two calls to the others, by turns.
	othersPeriod = 250 * time.Millisecond
	// exchangeTimeout bounds one call, findTimeout one of a router that has no
	// routing table yet: a host that is only starting does not answer, and a
	// new try does better than a long wait.
	exchangeTimeout = 600 * time.Millisecond
	findTimeout     = 150 * time.Millisecond
	// lagTimeouts is by how many times this daemon's lag a call may take
	// longer: its answer waits for the processor as well.
	lagTimeouts = 20
	// budgetPart is the part of the fleet's retry budget that is used: windows
	// slide, and routers come and go.
	budgetPart = 0.5
	// endpointDialTimeout bounds a new connection to an endpoint.
	endpointDialTimeout = 500 * time.Millisecond
	// endpointIdle is how long an unused connection to an endpoint is kept.
	endpointIdle = 4 * time.Second
	// endpointKeepAlive is how long a connection to an endpoint is silent
	// before it is probed.
	endpointKeepAlive = time.Second
	// reservedDescriptors are kept for all but requests, which need so many
	// each: one to the caller, one to the endpoint, and one that is unused.
	reservedDescriptors   = 800
	descriptorsPerRequest = 4
	// maxIdleConnections bounds the unused connections to one endpoint.
	maxIdleConnections = 4
	// maxAnswerBytes bounds an endpoint's answer.
	maxAnswerBytes = 64 << 20
)

// router is what a daemon with the role router runs.
type router struct {
	settings  *settings.Site
	adapter   Adapter
	log       log.Interface
	self      *wire.Process
	dialer    *peer.Dialer
	gate      *edge.Gate
	client    *endpoint.Client
	forwarder *edge.Forwarder
	// open are the callers' connections.
	open     *connections
	draining atomic.Bool
	table    atomic.Pointer[routing.Table]
	// synced is when a control host last answered, in nanoseconds of Unix
	// time.
	synced atomic.Int64
	lag    lagMeter
	stop   context.CancelFunc
	done   sync.WaitGroup

	// mu guards what follows.
	mu        sync.Mutex
	hosts     *discovery.Table
	directory *directory.Directory
	// marks says up to where this router holds each control host's directory.
	marks map[string]mark
	// primary is the control host that gets this router's load.
	primary string
	// failed is when a primary last did not answer.
	failed map[string]time.Time
	// routers is how many routers there are besides this one.
	routers int
}

// mark is a place in a control host's directory, and in its index of cached
// prompt parts.
type mark struct {
	epoch, revision, cache uint64
}

func newRouter(d *Daemon) *router {
	ctx, cancel := context.WithCancel(context.Background())
	r := &router{
		settings: d.settings, adapter: d.adapter, log: d.log, self: d.self, dialer: d.dialer, stop: cancel,
		gate:  edge.NewGate(d.settings.Region, d.settings.ShareWindow()),
		hosts: discovery.New(d.settings.PeerAddress(), d.settings.SeedAddresses()), directory: directory.New(),
		marks: make(map[string]mark), failed: make(map[string]time.Time),
		client: endpoint.NewClient(endpoint.ClientConfig{
			DialTimeout: endpointDialTimeout, IdleTimeout: endpointIdle, MaxIdle: maxIdleConnections, Headers: d.adapter.Headers(), KeepAlive: endpointKeepAlive,
		}),
	}
	r.open = newConnections(d.settings.MaxConnections, func() time.Duration {
		if table := r.Table(); table != nil {
			return table.Limits().IdleTimeout
		}
		return 0
	})
	r.forwarder = edge.New(edge.Config{
		Crowded: r.open.crowded, Lag: r.lag.value, Unsynced: r.Unsynced, MaxActive: max(d.settings.MaxDescriptors-reservedDescriptors, 0) / descriptorsPerRequest,
		Codec: d.adapter, Endpoints: r.client, Tables: r, Gate: r.gate, Log: d.log,
		Metrics: telemetry.NewRequestMetrics(d.registry), MaxAnswerBytes: maxAnswerBytes,
	})
	r.setBudget()
	telemetry.Router(d.registry, r)
	r.done.Go(func() { r.lag.run(ctx) })
	r.done.Go(func() {
		r.findTable(ctx)
		r.every(ctx, primaryPeriod, r.syncPrimary)
	})
	r.done.Go(func() { r.every(ctx, othersPeriod, r.syncNext()) })
	return r
}

// every calls work in a fixed period until the context ends.
func (r *router) every(ctx context.Context, period time.Duration, work func(context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		work(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Table returns the routing table in force, or nil.
func (r *router) Table() *routing.Table { return r.table.Load() }

// ready returns an empty string, or the reason why this router takes no
// requests.
func (r *router) ready() string {
	switch {
	case r.draining.Load():
		return "the daemon is shutting down"
	case r.Table() == nil:
		return "no routing table is known yet"
	case r.forwarder.Overloaded():
		return "the daemon has too much to do"
	default:
		return ""
	}
}

// RoutingVersion returns the version in force; 0 for none.
func (r *router) RoutingVersion() uint64 {
	if table := r.Table(); table != nil {
		return table.Version()
	}
	return 0
}

// Lag returns how long what this process has to do waits for the processor.
func (r *router) Lag() time.Duration { return r.lag.value() }

// Endpoints returns how many endpoints may get requests.
func (r *router) Endpoints() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.directory.Usable())
}

// Active returns the number of requests under way.
func (r *router) Active() int { return r.forwarder.Active() }

// Unsynced returns how long no control host has answered.
func (r *router) Unsynced() time.Duration { return time.Since(time.Unix(0, r.synced.Load())) }

func (r *router) drain() {
	r.draining.Store(true)
	r.forwarder.Drain()
}

func (r *router) setSeeds(seeds []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts.SetSeeds(seeds)
}

// findTable asks all known control hosts at once until one of them has a
// routing table.
func (r *router) findTable(ctx context.Context) {
	ticker := time.NewTicker(primaryPeriod)
	defer ticker.Stop()
	for r.Table() == nil {
		r.mu.Lock()
		targets := r.hosts.Targets(time.Now())
		r.mu.Unlock()
		var calls sync.WaitGroup
		for _, host := range targets {
			calls.Go(func() { r.exchange(ctx, host, false, findTimeout) })
		}
		calls.Wait()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// syncPrimary calls the control host that gets this router's load.
func (r *router) syncPrimary(ctx context.Context) {
	if host := r.choosePrimary(time.Now()); host != "" {
		r.exchange(ctx, host, true, exchangeTimeout)
	}
}

// choosePrimary keeps the primary while it is alive, and else takes a near one.
func (r *router) choosePrimary(now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	alive := slices.DeleteFunc(r.hosts.Alive(now), func(h discovery.Host) bool {
		return h.Draining || now.Sub(r.failed[h.Address]) < primaryRest
	})
	if slices.ContainsFunc(alive, func(h discovery.Host) bool { return h.Address == r.primary }) {
		return r.primary
	}
	before := r.primary
	r.primary = nearest(alive, r.settings.Region)
	if r.primary != before {
		event.PrimaryChanged.Log(r.log, event.Fields{"before": before, "peer": r.primary, "alive": len(alive)})
	}
	return r.primary
}

// nearest returns a host of the same region, else any: the same one for all
// routers of the region, which so know of each other's load soonest.
func nearest(alive []discovery.Host, region string) string {
	for _, h := range alive {
		if h.Region == region {
			return h.Address
		}
	}
	if len(alive) > 0 {
		return alive[0].Address
	}
	return ""
}

// syncNext returns a function that calls the known control hosts by turns.
func (r *router) syncNext() func(context.Context) {
	turn := 0
	return func(ctx context.Context) {
		r.mu.Lock()
		targets := slices.DeleteFunc(r.hosts.Targets(time.Now()), func(address string) bool { return address == r.primary })
		r.mu.Unlock()
		if len(targets) == 0 {
			return
		}
		turn++
		r.exchange(ctx, targets[turn%len(targets)], false, exchangeTimeout)
	}
}

// exchange calls one control host and takes in what it knows.
func (r *router) exchange(ctx context.Context, host string, primary bool, timeout time.Duration) {
	request := &wire.SyncRequest{Sender: r.self}
	if primary {
		now := time.Now()
		loads, uses, read := r.gate.Own(now)
		request.Load, request.Cached = reportToWire(loads, uses, 1), cachedToWire(now, read)
		request.Crashers = crashersToWire(now, r.forwarder.Crashers(now))
	}
	if table := r.Table(); table != nil {
		request.RoutingVersion = table.Version()
	}
	r.mu.Lock()
	at := r.marks[host]
	r.mu.Unlock()
	request.DirectoryEpoch, request.DirectoryRevision, request.CacheRevision = at.epoch, at.revision, at.cache
	response, err := peer.Exchange(ctx, r.dialer, host, timeout+lagTimeouts*r.lag.value(), request)
	if err != nil {
		r.lost(ctx, host, err)
		return
	}
	r.synced.Store(time.Now().UnixNano())
	r.take(time.Now(), host, response, primary)
}

// lost records that a control host did not answer.
func (r *router) lost(ctx context.Context, host string, err error) {
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if silence, heard := r.hosts.Silence(time.Now(), host); heard && r.primary == host {
		event.PeerDown.Log(r.log, event.Fields{"peer": host, "error": err.Error(), "silence_ms": silence.Milliseconds()})
		r.primary = ""
		r.failed[host] = time.Now()
	}
}

// take takes in a control host's answer.
func (r *router) take(now time.Time, host string, response *wire.SyncResponse, primary bool) {
	r.mu.Lock()
	if r.hosts.Heard(now, hostFromWire(response.GetResponder())) {
		event.PeerUp.Log(r.log, event.Fields{"peer": host, "incarnation": response.GetResponder().GetIncarnation()})
	}
	for _, h := range response.GetHosts() {
		r.hosts.Mentioned(now, hostFromWire(h))
	}
	changed := false
	for _, e := range response.GetEndpoints() {
		entry := entryFromWire(now, e)
		change := r.directory.Merge(entry)
		logChange(r.log, change, entry, host)
		changed = changed || change != directory.Stale
	}
	r.directory.Forget(now)
	r.marks[host] = mark{epoch: response.GetDirectoryEpoch(), revision: response.GetDirectoryRevision(), cache: r.marks[host].cache}
	if primary {
		r.marks[host] = mark{epoch: response.GetDirectoryEpoch(), revision: response.GetDirectoryRevision(), cache: response.GetCacheRevision()}
	}
	usable := r.directory.Usable()
	if primary {
		r.routers = int(response.GetLoad().GetRouters())
	}
	r.mu.Unlock()

	r.forwarder.AdoptCrashers(now, crashersFromWire(now, response.GetCrashers()))
	if changed {
		r.forwarder.Announced(now, usable)
	}
	newTable := r.adopt(response, host)
	if table := r.Table(); table != nil && (changed || newTable) {
		r.gate.Update(now, usable, table, r.settings.ShareWindow())
	}
	if primary {
		loads, uses := reportFromWire(response.GetLoad())
		r.gate.SetOthers(now, loads, uses, cachedFromWire(now, response.GetCached()))
		r.setBudget()
	}
}

// setBudget takes this router's part of the fleet's retry budget.
func (r *router) setBudget() {
	r.mu.Lock()
	routers := r.routers + 1
	r.mu.Unlock()
	retries := r.settings.Retries
	r.forwarder.SetRetryBudget(retries.Ratio*budgetPart, retries.Slack*budgetPart/float64(routers))
}

// adopt puts a newer routing table in force. A router never goes back.
func (r *router) adopt(response *wire.SyncResponse, host string) bool {
	current := r.Table()
	known := current != nil && response.GetRoutingVersion() <= current.Version()
	if known || len(response.GetRoutingDocument()) == 0 {
		return false
	}
	document, err := decompress(response.GetRoutingDocument())
	var table *routing.Table
	if err == nil {
		table, err = r.adapter.Routing(document)
	}
	if err != nil {
		event.RoutingUnreadable.Log(r.log, event.Fields{"version": response.GetRoutingVersion(), "peer": host, "error": err.Error()})
		return false
	}
	for {
		if current != nil && table.Version() <= current.Version() {
			return false
		}
		if r.table.CompareAndSwap(current, table) {
			break
		}
		current = r.table.Load()
	}
	before := uint64(0)
	if current != nil {
		before = current.Version()
	}
	event.RoutingInForce.Log(r.log, event.Fields{"version": table.Version(), "before": before, "routes": table.Len(), "peer": host})
	return true
}

// logChange logs what became of an endpoint.
func logChange(l log.Interface, change directory.Change, e directory.Entry, source string) {
	fields := event.Fields{
		"endpoint": e.ID, "service": e.Service, "address": e.Address, "zone": e.Zone, "sequence": e.Sequence, "source": source,
	}
	switch change {
	case directory.Joined:
		event.EndpointAnnounced.Log(l, fields)
	case directory.Left:
		event.EndpointLeft.Log(l, fields)
	}
}

// Close ends the calls to the control hosts and to the endpoints.
func (r *router) Close() error {
	r.stop()
	r.done.Wait()
	r.client.Close()
	return nil
}
