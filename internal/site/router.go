package site

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/directory"
	"oleanderramp/internal/discovery"
	"oleanderramp/internal/edge"
	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/httpserver"
	"oleanderramp/internal/locality"
	"oleanderramp/internal/memgate"
	"oleanderramp/internal/peer"
	"oleanderramp/internal/settings"
	"oleanderramp/internal/telemetry"
	"oleanderramp/internal/uptime"
	"oleanderramp/internal/wire"
	"oleanderramp/pkg/routing"
)

const (
	// primarySyncPeriod is the interval between two calls to the primary, the
	// control host that a router reports its load to.
	primarySyncPeriod = 100 * time.Millisecond
	// primaryBackoff is how long a control host that failed as the primary is
	// not chosen again. Meanwhile it is called in turn with the others.
	primaryBackoff = 3 * time.Second
	// primaryReturnDelay is how long a host that is nearer than the primary must
	// have been alive to replace it.
	primaryReturnDelay = 2 * time.Second
	// primarySilence is how long after its last answer the primary is expected to
	// send newer routing tables, so that the other control hosts need not.
	primarySilence = 300 * time.Millisecond
	// othersSyncPeriod is the interval between calls to the other control
	// hosts, of which each call goes to the next.
	othersSyncPeriod = 250 * time.Millisecond
	// accountLogPeriod is how often a router logs whose requests it refuses most.
	accountLogPeriod = time.Second
	// versionsPeriod is how often the software versions of the endpoints are recorded
	// while none changes.
	versionsPeriod = 10 * time.Second
	// syncTimeout bounds one call, initialSyncTimeout one call of a router that
	// has no routing table yet: a host that is still starting does not answer,
	// and retrying soon is faster than waiting.
	syncTimeout        = 600 * time.Millisecond
	initialSyncTimeout = 150 * time.Millisecond
	// lagTimeoutFactor multiplies this daemon's lag to extend the timeout of a
	// call, as processing the answer is delayed by the lag as well.
	lagTimeoutFactor = 20
	// retryBudgetFraction is the fraction of the fleet's retry budget that is
	// used. The margin allows for sliding windows and for routers that join or
	// leave.
	retryBudgetFraction = 0.5
	// endpointDialTimeout bounds the set-up of a connection to an endpoint.
	endpointDialTimeout = 500 * time.Millisecond
	// endpointIdleTimeout is how long an idle connection to an endpoint is
	// kept.
	endpointIdleTimeout = 4 * time.Second
	// endpointKeepAlive is how long a connection to an endpoint is silent
	// before keep-alive probes are sent.
	endpointKeepAlive = time.Second
	// reservedDescriptors are the file descriptors reserved for everything but
	// requests. descriptorsPerRequest is how many each request may take, among
	// them one for the caller, one for the endpoint and one for an unused
	// connection.
	reservedDescriptors   = 800
	descriptorsPerRequest = 4
	// bytesPerRequest is the approximate memory of a request in progress, and
	// requestMemoryFraction the fraction of the memory for all of them.
	bytesPerRequest       = 64 << 10
	requestMemoryFraction = 1.0 / 3
	// bytesPerConnection is the approximate memory of a caller's connection,
	// and connectionMemoryFraction the fraction of the memory for all of them.
	bytesPerConnection       = 24 << 10
	connectionMemoryFraction = 1.0 / 2
	// maxIdleConnections bounds the idle connections to one endpoint.
	maxIdleConnections = 4
	// maxAnswerBytes bounds the size of an endpoint's answer.
	maxAnswerBytes = 64 << 20
)

// router is the part of a daemon with the role router.
type router struct {
	settings  *settings.Site
	adapter   Adapter
	log       log.Interface
	self      *wire.Process
	started   time.Time
	dialer    *peer.Dialer
	admission *edge.AdmissionController
	client    *endpoint.Client
	forwarder *edge.Forwarder
	// conns tracks the callers' connections.
	conns    *httpserver.Connections
	draining atomic.Bool
	table    atomic.Pointer[routing.Table]
	// restrictedOutside is true if the routing table has allowed regions to which this
	// router's region does not belong.
	restrictedOutside atomic.Bool
	// evacuatedHere is true if a zone of this router's region is evacuated.
	evacuatedHere atomic.Bool
	// lastSync is when a control host last answered; nil before that.
	lastSync    atomic.Pointer[time.Time]
	lag         lagMeter
	standingLag *standingLag
	pauses      *pauseWatch
	software    *softwareReads
	stop        context.CancelFunc
	done        sync.WaitGroup

	// mu guards the fields below.
	mu        sync.Mutex
	hosts     *discovery.Table
	directory *directory.Directory
	// cursors holds the position in each control host's directory up to which
	// this router has received it.
	cursors map[string]syncCursor
	// primary is the control host that this router reports its load to; "" if
	// there is none.
	primary string
	// nearerSince is since when a nearer host than the primary has been alive; zero
	// if none is.
	nearerSince time.Time
	// primaryFailures is when each host last failed as the primary.
	primaryFailures map[string]time.Time
	// primaryAnsweredAt is when the primary last answered.
	primaryAnsweredAt time.Time
	// newestVersion is the highest version of the routing table that a control
	// host has named. newerSince is since when it is above the one in force.
	newestVersion uint64
	newerSince    time.Time
	// sentLoads holds this router's latest load reports.
	sentLoads *sentLoads
	// firstChoice holds the endpoints that routers of this region choose first.
	firstChoice map[string]bool
	// versionsAt is when the software versions of the endpoints were last recorded.
	versionsAt time.Time
	// evacuation is the evacuated zones of the highest revision received.
	evacuation evacuation
	// otherRouters is the number of other routers of the site.
	otherRouters int
}

// maxActiveRequests returns how many requests may be in progress, given the
// available file descriptors and memory.
func maxActiveRequests(s *settings.Site) int {
	limit := max(s.MaxDescriptors-reservedDescriptors, descriptorsPerRequest) / descriptorsPerRequest
	if s.MemoryMB > 0 {
		limit = min(limit, int(float64(s.MemoryMB<<20)*requestMemoryFraction)/bytesPerRequest)
	}
	return limit
}

// maxOpenConnections returns how many callers' connections may be open, given
// the available file descriptors and memory. The descriptors left by
// maxActiveRequests are deducted, as each request in progress needs a
// connection to an endpoint as well.
func maxOpenConnections(s *settings.Site) int {
	limit := max(s.MaxDescriptors-reservedDescriptors-maxActiveRequests(s), 1)
	if s.MemoryMB > 0 {
		limit = min(limit, int(float64(s.MemoryMB<<20)*connectionMemoryFraction)/bytesPerConnection)
	}
	return limit
}

func newRouter(d *Daemon) *router {
	ctx, cancel := context.WithCancel(context.Background())
	r := &router{
		standingLag: newStandingLag(ctx), pauses: newPauseWatch(uptime.Since),
		settings: d.settings, adapter: d.adapter, log: d.log, self: d.self, started: time.Now(), dialer: d.dialer, stop: cancel,
		admission: edge.NewAdmissionController(d.settings.Region, d.settings.ShareWindow()),
		hosts:     discovery.New(d.settings.PeerAddress(), d.settings.SeedAddresses()), directory: directory.New(),
		cursors: make(map[string]syncCursor), primaryFailures: make(map[string]time.Time), sentLoads: newSentLoads(), software: newSoftwareReads(),
		client: endpoint.NewClient(endpoint.ClientConfig{
			DialTimeout: endpointDialTimeout, IdleTimeout: endpointIdleTimeout, MaxIdle: maxIdleConnections, Headers: d.adapter.Headers(), KeepAlive: endpointKeepAlive,
			MaxEventMemory: memgate.EventBytes(d.settings.MemoryMB),
		}),
	}
	if d.settings.LimitsColdEndpoints() {
		r.admission.LimitColdEndpoints(routerID(d.self.GetHost()), d.settings.ColdOverrun, d.settings.ColdSlack)
	}
	clients := d.clients()
	clients.MaxHeaderBytes = func() int { return r.limits().MaxHeaderBytes }
	clients.HeaderTimeout = func() time.Duration { return r.limits().HeaderTimeout }
	if d.settings.ZoneGBPrice != nil {
		r.admission.SetPlace(
			locality.Place{Zone: d.settings.Zone, Region: d.settings.Region},
			locality.Prices{ZoneGB: *d.settings.ZoneGBPrice, RegionGB: *d.settings.RegionGBPrice},
		)
	}
	r.conns = httpserver.NewConnections(httpserver.Limits{
		Soft: d.settings.MaxConnections, Hard: maxOpenConnections(d.settings), ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout: func() time.Duration { return r.limits().IdleTimeout }, Clients: clients,
		Overloaded: func(now time.Time, fresh int) bool { return !r.forwarder.AcceptsConnection(now, fresh) },
		Refusal:    edge.OverloadedResponse(),
	})
	if d.settings.Contention {
		r.admission.EnableContention(d.settings.ShareWindow())
	}
	r.forwarder = edge.New(edge.Config{
		TooManyConnections: r.conns.OverSoftLimit, CallerDisconnected: httpserver.CallerDisconnected, Lag: r.lag.value, StandingLag: r.StandingLag, UnsyncedFor: r.Unsynced, MaxActive: maxActiveRequests(d.settings),
		Codec: d.adapter, Endpoints: r.client, Tables: r, Admission: r.admission, Log: d.log,
		FindStream: r.findStream, OnlySoftware: r.software.only,
		Metrics: telemetry.NewRequestMetrics(d.registry), MaxAnswerBytes: maxAnswerBytes, Memory: d.memory,
	})
	if d.settings.SharedSpeeds {
		r.admission.UseSharedSpeeds()
	}
	r.updateRetryBudget()
	telemetry.RegisterRouter(d.registry, r)
	telemetry.RegisterEvacuatedZones(d.registry, r.evacuatedZones)
	r.done.Go(func() { r.lag.run(ctx) })
	r.done.Go(func() { r.software.reads.run(ctx, 0, r.readSoftware) })
	r.done.Go(func() { runPeriodically(ctx, pauseBeat, func(context.Context) { r.pauses.beat() }) })
	r.done.Go(func() {
		r.fetchInitialTable(ctx)
		runPeriodically(ctx, primarySyncPeriod, r.syncPrimary)
	})
	r.done.Go(func() { runPeriodically(ctx, othersSyncPeriod, r.othersSyncer()) })
	r.done.Go(func() {
		runPeriodically(ctx, accountLogPeriod, func(context.Context) {
			r.forwarder.LogAccounts(time.Now())
			r.forwarder.LogLeaving()
		})
	})
	return r
}

// Table returns the routing table in force, or nil.
func (r *router) Table() *routing.Table { return r.table.Load() }

// limits returns the limits of the routing table in force; none before there is one.
func (r *router) limits() routing.Limits {
	if table := r.Table(); table != nil {
		return table.Limits()
	}
	return routing.Limits{}
}

func (r *router) drain() {
	r.draining.Store(true)
	r.forwarder.Drain()
}

func (r *router) setSeeds(seeds []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts.SetSeeds(seeds)
}

// updateRetryBudget sets this router's share of the fleet's retry budget.
func (r *router) updateRetryBudget() {
	r.mu.Lock()
	routers := r.otherRouters + 1
	r.mu.Unlock()
	retries := r.settings.Retries
	r.forwarder.SetRetryBudget(retries.Ratio*retryBudgetFraction, retries.Slack*retryBudgetFraction/float64(routers))
}

// Close stops the calls to control hosts and closes the connections to
// endpoints.
func (r *router) Close() error {
	r.stop()
	r.done.Wait()
	r.standingLag.close()
	r.client.Close()
	return nil
}
