package daemon

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"oleanderramp/internal/event"
	"oleanderramp/internal/membership"
	"oleanderramp/internal/peer"
	"oleanderramp/internal/settings"
	"oleanderramp/internal/wire"
)

// maxRefusedProbes is the number of probes without a reachable listener, since
// the host's last answer, after which the host counts as dead even if that
// answer has not expired.
const maxRefusedProbes = 2

// members makes the membership table safe for concurrent use, and logs its
// changes.
type members struct {
	self    *wire.Process
	region  string
	zone    string
	roles   []string
	version func() uint64
	log     log.Interface
	// replica is the number of this daemon's own replica; 0 for none.
	replica  atomic.Uint64
	draining atomic.Bool

	mu    sync.Mutex
	table *membership.Table
	// up holds the control hosts that count as alive.
	up map[string]bool
	// incarnations holds the incarnation in each control host's last answer.
	incarnations map[string]uint64
	// refusedProbes counts the probes that found no reachable listener (gRPC
	// status Unavailable) since each host's last answer.
	refusedProbes map[string]int
	// schedulers holds the last scheduler of each service and region, to log
	// changes.
	schedulers map[[2]string]string
}

func newMembers(s *settings.Settings, self *wire.Process, version func() uint64, l log.Interface) *members {
	hosts := make([]membership.ControlHost, 0, len(s.ControlHosts))
	for _, h := range s.ControlHosts {
		hosts = append(hosts, membership.ControlHost{
			Host: h.Host, Region: h.Region, Scheduler: slices.Contains(h.Roles, settings.RoleScheduler),
		})
	}
	m := &members{
		self: self, region: s.Region, zone: s.Zone, roles: roleNames(s.Roles), version: version, log: l,
		table: membership.New(s.Host, hosts), up: make(map[string]bool),
		incarnations: make(map[string]uint64), refusedProbes: make(map[string]int), schedulers: make(map[[2]string]string),
	}
	return m
}

func roleNames(roles []settings.Role) []string {
	names := make([]string, len(roles))
	for i, role := range roles {
		names[i] = string(role)
	}
	return names
}

// Scheduler returns the host that schedules the service in the region.
func (m *members) Scheduler(now time.Time, service, region string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	host, ok := m.table.Scheduler(now, service, region)
	key := [2]string{service, region}
	if previous := m.schedulers[key]; previous != host {
		m.schedulers[key] = host
		if previous == "" {
			return host, ok
		}
		event.SchedulerChanged.Log(m.log, event.Fields{
			"service": service, "region": region, "before": previous, "peer": host,
		})
	}
	return host, ok
}

// Others returns the other regions that have a live scheduler.
func (m *members) Others(now time.Time, own string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(m.table.Regions(now), func(region string) bool { return region == own })
}

// Probe returns the content of the next probe.
func (m *members) Probe() *wire.ProbeRequest {
	return &wire.ProbeRequest{
		Sender: m.self, Region: m.region, Zone: m.zone, Roles: m.roles, BundleVersion: m.version(),
		Replica: m.replica.Load(), Draining: m.draining.Load(),
	}
}

// Urgent reports whether the host is probed at the short interval. Control
// hosts probe each other often. Other daemons probe the control hosts of their
// own region often, or all control hosts while their region has no scheduler.
func (m *members) Urgent(now time.Time, host string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.urgent(now, host)
}

// urgent implements Urgent. The caller holds m.mu.
func (m *members) urgent(now time.Time, host string) bool {
	return m.table.Contains(m.self.GetHost()) || m.table.Region(host) == m.region ||
		!m.table.HasScheduler(now, m.region)
}

// ProbeReceived answers another daemon's probe.
func (m *members) ProbeReceived(now time.Time, request *wire.ProbeRequest) *wire.ProbeResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordProbe(now, request)
	return &wire.ProbeResponse{
		Responder: m.self, Region: m.region, Roles: m.roles, BundleVersion: m.version(), Draining: m.draining.Load(),
	}
}

// recordProbe records a probe in the table. The caller holds m.mu.
func (m *members) recordProbe(now time.Time, request *wire.ProbeRequest) {
	m.table.RecordProbe(now, membership.Daemon{
		Host: request.GetSender().GetHost(), Incarnation: request.GetSender().GetIncarnation(),
		Region: request.GetRegion(), Zone: request.GetZone(), Roles: request.GetRoles(),
		BundleVersion: request.GetBundleVersion(), Replica: request.GetReplica(),
		Draining: request.GetDraining(),
	})
}

// RecordAnswer records the answer of a control host.
func (m *members) RecordAnswer(now time.Time, host string, response *wire.ProbeResponse) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := time.Duration(0)
	if !m.urgent(now, host) {
		next = peer.SlowProbePeriod
	}
	m.table.RecordAnswer(now, host, response.GetDraining(), next)
	incarnation := response.GetResponder().GetIncarnation()
	if previous := m.incarnations[host]; previous != 0 && previous != incarnation {
		event.PeerRestarted.Log(m.log, event.Fields{"peer": host, "incarnation": incarnation})
	}
	m.incarnations[host] = incarnation
	m.refusedProbes[host] = 0
	if !m.up[host] {
		m.up[host] = true
		event.PeerUp.Log(m.log, event.Fields{"peer": host, "incarnation": incarnation})
	}
}

// ProbeFailed records that a control host did not answer.
func (m *members) ProbeFailed(now time.Time, host string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if status.Code(err) == codes.Unavailable {
		m.refusedProbes[host]++
	}
	if m.refusedProbes[host] >= maxRefusedProbes {
		m.table.RecordUnreachable(host)
	}
	if m.up[host] && !m.table.Alive(now, host) {
		m.up[host] = false
		event.PeerDown.Log(m.log, event.Fields{"peer": host, "error": err.Error()})
	}
}

// drain marks this daemon as draining. Its probes and answers report this, and
// the other daemons then use another scheduler.
func (m *members) drain() {
	m.draining.Store(true)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.SetDraining(true)
}

// daemons returns the known daemons, including this one.
func (m *members) daemons(now time.Time) []membership.Daemon {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordProbe(now, m.Probe())
	return m.table.Daemons()
}

// lastHeard returns the incarnation of the host's daemon and the time of its
// last probe. Both are zero if no probe of the host has been received.
func (m *members) lastHeard(host string) (uint64, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, d := range m.table.Daemons() {
		if d.Host == host {
			return d.Incarnation, d.LastHeard
		}
	}
	return 0, time.Time{}
}

// replicas returns the replica number of each daemon that has reported one, by
// host.
func (m *members) replicas() map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	replicas := make(map[string]uint64)
	for _, d := range m.table.Daemons() {
		if d.Replica != 0 {
			replicas[d.Host] = d.Replica
		}
	}
	return replicas
}

// schedulerHosts returns the live hosts with the role scheduler.
func (m *members) schedulerHosts(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.SchedulerHosts(now)
}

// isDraining reports whether this daemon is shutting down.
func (m *members) isDraining() bool { return m.draining.Load() }
