// Package site runs the daemons of a site without a configured list of hosts:
// routers and control hosts, which discover each other from seed addresses.
package site

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"oleanderramp/internal/directory"
	"oleanderramp/internal/disk"
	"oleanderramp/internal/edge"
	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/event"
	"oleanderramp/internal/httpserver"
	"oleanderramp/internal/memgate"
	"oleanderramp/internal/peer"
	"oleanderramp/internal/settings"
	"oleanderramp/internal/telemetry"
	"oleanderramp/internal/wire"
	"oleanderramp/pkg/routing"
)

// Adapter implements the protocols of callers, endpoints, operators and the
// load balancer in front of a site.
type Adapter interface {
	edge.Codec
	// Routing parses a routing table as operators send it. The error lists all
	// problems found.
	Routing(document []byte) (*routing.Table, error)
	// Control returns the handler for calls by endpoints and operators.
	Control(control Control, l log.Interface) http.Handler
	// Readiness returns the handler that reports whether the daemon accepts
	// requests.
	Readiness(readiness telemetry.Readiness) http.Handler
	// Headers returns the names of the headers in calls to endpoints.
	Headers() endpoint.Headers
}

// ErrUnconfirmed is returned when a majority of the control hosts did not answer
// in time. A change may or may not have taken effect.
var ErrUnconfirmed = errors.New("the quorum did not confirm in time")

// ErrUnknownZone is returned for a zone that the settings do not list.
var ErrUnknownZone = errors.New("the zone is unknown")

// Control serves the calls of endpoints and operators at a control host.
type Control interface {
	// Announce records an endpoint's announcement. The region of the endpoint
	// is derived from its zone. It returns an error, and records nothing, if a field
	// can't be that of an endpoint. That an endpoint leaves is known to the quorum when it
	// returns; otherwise the error wraps ErrUnconfirmed.
	Announce(now time.Time, entry directory.Entry) (directory.Change, error)
	// Leave records that an endpoint leaves. started is the time of its start,
	// and may be zero. The error is as that of Announce.
	Leave(now time.Time, id string, started time.Time) (directory.Change, error)
	// Replace puts a valid routing table in force. It returns once the table
	// would survive the tolerated losses. The error may wrap ErrUnconfirmed.
	Replace(ctx context.Context, version uint64, document []byte) error
	// Routing returns the table in force as the operator sent it. The error may
	// wrap ErrUnconfirmed.
	Routing(ctx context.Context) ([]byte, error)
	// Evacuate begins or ends the evacuation of a zone. It returns once the order would
	// survive the tolerated losses. The error is ErrUnknownZone for a zone that the
	// settings do not list, and may wrap ErrUnconfirmed.
	Evacuate(ctx context.Context, zone string, evacuated bool) error
}

// Storage is how a control host stores the replicated log.
type Storage struct {
	// Open opens the data folder at path.
	Open func(path string) (disk.FileSystem, error)
	// SegmentBytes and SnapshotBytes are as in disk.Options and replica.Config. 0 stands
	// for their defaults.
	SegmentBytes  int64
	SnapshotBytes int
}

// Daemon is a running daemon of a site.
type Daemon struct {
	settings *settings.Site
	adapter  Adapter
	log      log.Interface
	self     *wire.Process
	storage  Storage
	registry *prometheus.Registry
	// memory is the budget for what clients make the daemon hold.
	memory  *memgate.Gate
	dialer  *peer.Dialer
	control *control
	router  *router
	peers   *peer.Server
	servers []*httpserver.Server
	// callers is the server of callers; nil for a daemon without one.
	callers *httpserver.Server
}

// New starts a daemon with the roles in its settings. If it returns an error,
// nothing is left running.
func New(s *settings.Site, adapter Adapter, l log.Interface) (*Daemon, error) {
	return NewWithStorage(s, adapter, l, Storage{Open: disk.OpenFolder})
}

// NewWithStorage starts a daemon as New does, with another storage.
func NewWithStorage(s *settings.Site, adapter Adapter, l log.Interface, storage Storage) (*Daemon, error) {
	d := &Daemon{
		settings: s, adapter: adapter, log: l, storage: storage,
		self:     &wire.Process{Host: s.PeerAddress(), Incarnation: peer.NewIncarnation(time.Now(), s.PeerAddress())},
		registry: telemetry.NewRegistry(), memory: memgate.NewForProcess(s.MemoryMB, l), dialer: peer.NewAddressDialer(nil, s.PeerSource()),
	}
	telemetry.RegisterClientMemory(d.registry, d.memory)
	telemetry.RegisterControlTraffic(d.registry, "site", d.dialer.IntraRegionTraffic())
	if err := d.start(); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	event.DaemonStarted.Log(l, event.Fields{
		"host": s.Host, "address": s.PeerAddress(), "region": s.Region, "zone": s.Zone, "roles": s.Roles,
		"incarnation": d.self.GetIncarnation(), "seeds": s.SeedAddresses(), "first_start": s.FirstStart,
	})
	return d, nil
}

func (d *Daemon) start() error {
	listen := d.settings.Listen
	if d.settings.HasRole(settings.RoleReplica) {
		var err error
		if d.control, err = newControl(d); err != nil {
			return err
		}
		telemetry.RegisterVoters(d.registry, func() int {
			voters, _ := d.control.voters()
			return voters
		})
		listener, err := net.Listen("tcp", d.settings.PeerListener())
		if err != nil {
			return fmt.Errorf("listen for peers: %w", err)
		}
		d.peers = peer.NewServer(listener, peer.ServerConfig{State: d.control.server, Replication: d.control.replica, Sync: d.control})
		if _, err := d.serve("control", listen.Control, d.memory.Bodies(d.adapter.Control(d.control, d.log)), d.controlConnections()); err != nil {
			return err
		}
	}
	if d.settings.HasRole(settings.RoleRouter) {
		d.router = newRouter(d)
		var err error
		if d.callers, err = d.serve("callers", listen.Callers, d.router.pauses.hold(d.router.forwarder), d.router.conns); err != nil {
			return err
		}
	}
	if _, err := d.serve("readiness", listen.Readiness, withoutBody(d.adapter.Readiness(d)), d.probeConnections()); err != nil {
		return err
	}
	_, err := d.serve("metrics", listen.Metrics, withoutBody(promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{})), d.probeConnections())
	return err
}

// serve opens a listener. It returns nil if the address is empty.
func (d *Daemon) serve(name, address string, handler http.Handler, open *httpserver.Connections) (*httpserver.Server, error) {
	if address == "" {
		return nil, nil
	}
	s, err := newServer(address, handler, open)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", name, err)
	}
	d.servers = append(d.servers, s)
	event.ListenerOpened.Log(d.log, event.Fields{"listener": name, "address": address})
	return s, nil
}

// runPeriodically calls work at a fixed interval until the context ends.
func runPeriodically(ctx context.Context, period time.Duration, work func(context.Context)) {
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

// Registry returns the registry of the daemon's metrics.
func (d *Daemon) Registry() *prometheus.Registry { return d.registry }

// Ready returns an empty string, or the reason why the daemon accepts no
// requests.
func (d *Daemon) Ready() string {
	if d.router == nil {
		return ""
	}
	return d.router.ready()
}

// Failed returns the channel on which the daemon reports the error of a
// component that it can't run without.
func (d *Daemon) Failed() <-chan error {
	if d.control == nil {
		return nil
	}
	return d.control.failed
}

// RoutingVersion returns the version of the routing table that this router
// uses; 0 if there is none.
func (d *Daemon) RoutingVersion() uint64 {
	if d.router == nil {
		return 0
	}
	return d.router.RoutingVersion()
}

// Voters returns the number of voters in the quorum as known to this daemon's
// replica, and whether that replica is one of them.
func (d *Daemon) Voters() (count int, votes bool) {
	if d.control == nil {
		return 0, false
	}
	return d.control.voters()
}

// SetSeeds replaces the seed addresses after a change of the settings.
func (d *Daemon) SetSeeds(seeds []string) {
	event.SettingsReloaded.Log(d.log, event.Fields{"host": d.settings.Host, "seeds": seeds})
	if d.control != nil {
		d.control.setSeeds(seeds)
	}
	if d.router != nil {
		d.router.setSeeds(seeds)
	}
}
