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
	"oleanderramp/internal/peer"
	"oleanderramp/internal/settings"
	"oleanderramp/internal/telemetry"
	"oleanderramp/internal/wire"
	"oleanderramp/pkg/routing"
)

const (
	// primarySyncPeriod is the time between two calls to the control host that a
	// router reports its load to.
	primarySyncPeriod = 100 * time.Millisecond
	// primaryBackoff is how long a control host that did not answer as the primary
	// is not chosen again; it is called by turns meanwhile.
	primaryBackoff = 3 * time.Second
	// othersSyncPeriod is the time between two calls to the others, by turns.
	othersSyncPeriod = 250 * time.Millisecond
	// syncTimeout bounds one call, findTimeout one of a router that has no
	// routing table yet: a host that is only starting does not answer, and a
	// new try does better than a long wait.
	syncTimeout        = 600 * time.Millisecond
	initialSyncTimeout = 150 * time.Millisecond
	// lagTimeoutFactor is by how many times this daemon's lag a call may take
	// longer: its answer waits for the processor as well.
	lagTimeoutFactor = 20
	// retryBudgetFraction is the part of the fleet's retry budget that is used: windows
	// slide, and routers come and go.
	retryBudgetFraction = 0.5
	// endpointDialTimeout bounds a new connection to an endpoint.
	endpointDialTimeout = 500 * time.Millisecond
	// endpointIdleTimeout is how long an unused connection to an endpoint is kept.
	endpointIdleTimeout = 4 * time.Second
	// endpointKeepAlive is how long a connection to an endpoint is silent
	// before it is probed.
	endpointKeepAlive = time.Second
	// reservedDescriptors are kept for all but requests, which need so many
	// each: one to the caller, one to the endpoint, and one that is unused.
	reservedDescriptors   = 800
	descriptorsPerRequest = 4
	// bytesPerRequest is about the memory of a request under way, and
	// requestMemory the part of the memory that they may take.
	bytesPerRequest       = 64 << 10
	requestMemoryFraction = 1.0 / 3
	// bytesPerConnection is about the memory of a caller's connection, and
	// connectionMemory the part of the memory that they may take.
	bytesPerConnection       = 24 << 10
	connectionMemoryFraction = 1.0 / 2
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
	// conns are the callers' connections.
	conns    *connections
	draining atomic.Bool
	table    atomic.Pointer[routing.Table]
	// lastSync is when a control host last answered, in nanoseconds of Unix
	// time.
	lastSync atomic.Int64
	lag      lagMeter
	stop     context.CancelFunc
	done     sync.WaitGroup

	// mu guards what follows.
	mu        sync.Mutex
	hosts     *discovery.Table
	directory *directory.Directory
	// cursors says up to where this router holds each control host's directory.
	cursors map[string]syncCursor
	// primary is the control host that gets this router's load.
	primary string
	// primaryFailures is when a primary last did not answer.
	primaryFailures map[string]time.Time
	// otherRouters is how many otherRouters there are besides this one.
	otherRouters int
}

// maxActiveRequests returns how many requests may be under way, by the descriptors and
// the memory that there are.
func maxActiveRequests(s *settings.Site) int {
	most := max(s.MaxDescriptors-reservedDescriptors, descriptorsPerRequest) / descriptorsPerRequest
	if s.MemoryMB > 0 {
		most = min(most, int(float64(s.MemoryMB<<20)*requestMemoryFraction)/bytesPerRequest)
	}
	return most
}

// maxOpenConnections returns how many callers' connections may be open, by the
// descriptors and the memory that there are. Those of requests under way need
// another to an endpoint.
func maxOpenConnections(s *settings.Site) int {
	room := max(s.MaxDescriptors-reservedDescriptors-maxActiveRequests(s), 1)
	if s.MemoryMB > 0 {
		room = min(room, int(float64(s.MemoryMB<<20)*connectionMemoryFraction)/bytesPerConnection)
	}
	return room
}

func newRouter(d *Daemon) *router {
	ctx, cancel := context.WithCancel(context.Background())
	r := &router{
		settings: d.settings, adapter: d.adapter, log: d.log, self: d.self, dialer: d.dialer, stop: cancel,
		gate:  edge.NewGate(d.settings.Region, d.settings.ShareWindow()),
		hosts: discovery.New(d.settings.PeerAddress(), d.settings.SeedAddresses()), directory: directory.New(),
		cursors: make(map[string]syncCursor), primaryFailures: make(map[string]time.Time),
		client: endpoint.NewClient(endpoint.ClientConfig{
			DialTimeout: endpointDialTimeout, IdleTimeout: endpointIdleTimeout, MaxIdle: maxIdleConnections, Headers: d.adapter.Headers(), KeepAlive: endpointKeepAlive,
		}),
	}
	r.conns = newConnections(d.settings.MaxConnections, maxOpenConnections(d.settings), func() time.Duration {
		if table := r.Table(); table != nil {
			return table.Limits().IdleTimeout
		}
		return 0
	})
	r.forwarder = edge.New(edge.Config{
		Crowded: r.conns.crowded, Left: callerDisconnected, Lag: r.lag.value, Unsynced: r.Unsynced, MaxActive: maxActiveRequests(d.settings),
		Codec: d.adapter, Endpoints: r.client, Tables: r, Gate: r.gate, Log: d.log,
		Metrics: telemetry.NewRequestMetrics(d.registry), MaxAnswerBytes: maxAnswerBytes,
	})
	r.updateRetryBudget()
	telemetry.Router(d.registry, r)
	r.done.Go(func() { r.lag.run(ctx) })
	r.done.Go(func() {
		r.fetchInitialTable(ctx)
		runPeriodically(ctx, primarySyncPeriod, r.syncPrimary)
	})
	r.done.Go(func() { runPeriodically(ctx, othersSyncPeriod, r.othersSyncer()) })
	return r
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
	case r.conns.nearlyFull():
		return "too many connections are open"
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

// Connections returns the number of callers' connections that are open.
func (r *router) Connections() int { return r.conns.count() }

// RefusedConnections returns how many were closed at once for want of room.
func (r *router) RefusedConnections() int64 { return r.conns.rejected.Load() }

// Unsynced returns how long no control host has answered.
func (r *router) Unsynced() time.Duration { return time.Since(time.Unix(0, r.lastSync.Load())) }

func (r *router) drain() {
	r.draining.Store(true)
	r.forwarder.Drain()
}

func (r *router) setSeeds(seeds []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts.SetSeeds(seeds)
}

// updateRetryBudget takes this router's part of the fleet's retry budget.
func (r *router) updateRetryBudget() {
	r.mu.Lock()
	routers := r.otherRouters + 1
	r.mu.Unlock()
	retries := r.settings.Retries
	r.forwarder.SetRetryBudget(retries.Ratio*retryBudgetFraction, retries.Slack*retryBudgetFraction/float64(routers))
}

// Close ends the calls to the control hosts and to the endpoints.
func (r *router) Close() error {
	r.stop()
	r.done.Wait()
	r.client.Close()
	return nil
}
