// Package daemon builds a daemon from its settings: it starts the components of
// each role and connects them.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/event"
	"oleanderramp/internal/memgate"
	"oleanderramp/internal/peer"
	"oleanderramp/internal/router"
	"oleanderramp/internal/scheduling"
	"oleanderramp/internal/settings"
	"oleanderramp/internal/telemetry"
	"oleanderramp/internal/wire"
)

// Options are the options of a daemon that are not part of its settings.
type Options struct {
	// Bootstrap starts a new quorum with this daemon as its only member, if
	// its data folder is empty.
	Bootstrap bool
	Log       log.Interface
}

// Daemon is a running daemon.
type Daemon struct {
	settings *settings.Settings
	log      log.Interface
	self     *wire.Process

	bundles    *bundleHolder
	members    *members
	dialer     *peer.Dialer
	exchanger  *peer.Exchanger
	scheduling *scheduling.Manager
	replica    *replicaRole
	quorum     *peer.Quorum
	publisher  *publisher
	dispatcher *router.Dispatcher
	client     *endpoint.Client
	router     *router.Router
	placement  *placementRole
	watcher    *watcher
	prober     *peer.Prober
	registry   *prometheus.Registry
	// memory is the budget for what clients make the daemon hold.
	memory *memgate.Gate

	peerServer *peer.Server
	servers    []*httpServer
	// callers is the server of callers; nil for a daemon without one.
	callers *httpServer
}

// New starts a daemon with the roles of its settings. On an error, everything
// that was started is stopped again.
func New(s *settings.Settings, options Options) (*Daemon, error) {
	d := &Daemon{
		settings: s, log: options.Log,
		self:     &wire.Process{Host: s.Host, Incarnation: peer.NewIncarnation(time.Now(), s.Host)},
		registry: telemetry.NewRegistry(), memory: memgate.NewForProcess(s.Limits.MemoryMB, options.Log),
	}
	telemetry.RegisterClientMemory(d.registry, d.memory)
	if err := d.start(options); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	event.DaemonStarted.Log(d.log, event.Fields{
		"host": s.Host, "region": s.Region, "zone": s.Zone, "roles": roleNames(s.Roles), "incarnation": d.self.GetIncarnation(),
	})
	return d, nil
}

// start starts the components of the daemon, each after its dependencies.
func (d *Daemon) start(options Options) error {
	peerTLS, err := loadTLS(d.settings.TLS.Peers)
	if err != nil {
		return err
	}
	d.bundles = newBundleHolder(d.log)
	telemetry.RegisterGauge(d.registry, "oleanderramp_bundle_version", "Version of the bundle in force; 0 for none.",
		func() float64 { return float64(d.bundles.Version()) })
	d.members = newMembers(d.settings, d.self, d.bundles.Version, d.log)
	d.dialer = peer.NewDialer(peerHosts(d.settings), peerTLS)
	telemetry.RegisterControlTraffic(d.registry, "within_region", d.dialer.IntraRegionTraffic())
	telemetry.RegisterControlTraffic(d.registry, "cross_region", d.dialer.CrossRegionTraffic())
	if d.settings.HasRole(settings.RoleReplica) {
		if d.replica, err = newReplicaRole(d.settings, options, d.members, d.dialer, d.log); err != nil {
			return err
		}
	}
	d.startScheduling()
	d.quorum = peer.NewQuorum(d.dialer, d.settings.Host, replicaHosts(d.settings), d.localReplica())
	if d.replica != nil {
		d.replica.startLeaderTasks(d.quorum, replicaHosts(d.settings), d.log)
	}
	if d.settings.HasRole(settings.RoleRouter) {
		d.startRouter()
	}
	if err := d.startPeerServer(); err != nil {
		return err
	}
	d.watcher = newWatcher(d.settings, d.self, d.dialer, d.localState(), d.bundles)
	d.prober = peer.NewProber(d.dialer, d.otherControlHosts(), d.members, d.members)
	d.startPlacement()
	return d.startHTTP()
}

// localReplica returns this daemon's replica, or a nil interface.
func (d *Daemon) localReplica() peer.LocalReplica {
	if d.replica == nil {
		return nil
	}
	return d.replica.server
}

// localState returns this daemon's replica as a source for the watcher, or a
// nil interface.
func (d *Daemon) localState() peer.StateHandler {
	if d.replica == nil {
		return nil
	}
	return d.replica.server
}

// peerHosts returns how to reach each control host.
func peerHosts(s *settings.Settings) map[string]peer.Host {
	hosts := make(map[string]peer.Host, len(s.ControlHosts))
	for _, h := range s.ControlHosts {
		hosts[h.Host] = peer.Host{Address: h.Address, CrossRegion: h.Region != s.Region}
	}
	return hosts
}

func (d *Daemon) otherControlHosts() []string {
	var hosts []string
	for _, h := range d.settings.ControlHosts {
		if h.Host != d.settings.Host {
			hosts = append(hosts, h.Host)
		}
	}
	return hosts
}

func (d *Daemon) startScheduling() {
	if !d.settings.HasRole(settings.RoleScheduler) {
		return
	}
	d.exchanger = peer.NewExchanger(d.dialer)
	d.scheduling = scheduling.New(scheduling.Config{
		Self: d.self, Shares: d.bundles, Log: d.log, Metrics: telemetry.NewScheduleMetrics(d.registry),
		Regions: &regions{
			members: d.members, self: d.settings.Host, exchanger: d.exchanger,
			local: func() *scheduling.Manager { return d.scheduling },
		},
	})
}

func (d *Daemon) startRouter() {
	limits := d.settings.Limits
	d.publisher = newPublisher(d.quorum, d.log)
	d.dispatcher = router.NewDispatcher(router.DispatcherConfig{
		Self: d.self, Region: d.settings.Region, Schedulers: d.members, Log: d.log,
		Links: &links{self: d.settings.Host, local: d.scheduling, dialer: d.dialer},
	})
	d.client = d.newClient()
	d.router = router.New(router.Config{
		Slots: d.dispatcher, Endpoints: d.client, Records: newRecordStore(d.quorum, d.self, d.log),
		Publisher: d.publisher, Metrics: telemetry.NewRequestMetrics(d.registry), Log: d.log,
		MaxQueued: limits.MaxQueuedRequests, MaxAnswerBytes: limits.MaxAnswerBytes,
		MaxSavedAnswerBytes: int(limits.MaxSavedAnswerBytes),
		CommitTimeout:       time.Duration(limits.CommitTimeoutMS) * time.Millisecond,
	})
	d.bundles.setQuarantineHandler(d.router.MergeQuarantine)
}

func (d *Daemon) newClient() *endpoint.Client {
	return endpoint.NewClient(endpoint.ClientConfig{
		DialTimeout:    time.Duration(d.settings.Limits.EndpointDialTimeoutMS) * time.Millisecond,
		MaxEventMemory: memgate.EventBytes(d.settings.Limits.MemoryMB),
	})
}

func (d *Daemon) newFleet() *fleet {
	return &fleet{
		self: d.settings.Host, members: d.members, quorum: d.quorum, scheduling: d.scheduling, dialer: d.dialer,
	}
}

func (d *Daemon) startPeerServer() error {
	if d.settings.Listen.Peers == "" {
		return nil
	}
	cfg := peer.ServerConfig{Probes: d.members, State: d.localReplica()}
	var err error
	if cfg.TLS, err = loadTLS(d.settings.TLS.Peers); err != nil {
		return err
	}
	if d.scheduling != nil {
		cfg.Scheduling = schedulingHandler{manager: d.scheduling}
	}
	if d.replica != nil {
		cfg.Replication = d.replica.replica
	}
	listener, err := net.Listen("tcp", d.settings.Listen.Peers)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	d.peerServer = peer.NewServer(listener, cfg)
	telemetry.RegisterControlTraffic(d.registry, "accepted", d.peerServer.Traffic())
	return nil
}

// Ready returns an empty string if the daemon accepts requests, otherwise the
// reason why it does not.
func (d *Daemon) Ready() string {
	if d.members.isDraining() {
		return "the daemon is shutting down"
	}
	return d.bundles.Ready(time.Now())
}

// Quorum returns the client of the replicated state.
func (d *Daemon) Quorum() *peer.Quorum { return d.quorum }

// readyPollInterval is the interval at which WaitReady polls the readiness.
const readyPollInterval = 20 * time.Millisecond

// WaitReady waits until the daemon accepts requests.
func (d *Daemon) WaitReady(ctx context.Context) error {
	for {
		reason := d.Ready()
		if reason == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait until ready: %s", reason)
		case <-time.After(readyPollInterval):
		}
	}
}

// Failed returns a channel that delivers the error of a component without which
// the daemon can't continue. It is nil for a daemon without a replica.
func (d *Daemon) Failed() <-chan error {
	if d.replica == nil {
		return nil
	}
	return d.replica.failed
}
