// Package membership determines which daemons are alive, and which control host
// schedules a service in a region.
//
// Liveness is based on probes: a control host is alive while its last answer is
// recent. Two daemons may briefly disagree. Two hosts then schedule the same
// service, which reduces efficiency but fails no request.
package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// LivenessTimeout is how long a control host counts as alive after its answer to
// a probe, when the time until the next probe is short in comparison.
const LivenessTimeout = 2 * time.Second

// daemonRetention is how long a daemon stays listed after its last probe.
const daemonRetention = 24 * time.Hour

// ControlHost is a daemon that other daemons connect to.
type ControlHost struct {
	Host      string
	Region    string
	Scheduler bool
}

// Daemon is the state of a daemon according to its last probe.
type Daemon struct {
	Host          string
	Incarnation   uint64
	Region        string
	Zone          string
	Roles         []string
	BundleVersion uint64
	// Replica identifies the data folder of the daemon's replica; 0 for none.
	Replica   uint64
	Draining  bool
	LastHeard time.Time
}

// Table holds one daemon's knowledge of the other daemons. It is not safe for
// concurrent use.
type Table struct {
	self string
	// hosts is sorted by host name and never changes.
	hosts []ControlHost
	// answers holds the last answer of each control host.
	answers  map[string]probeAnswer
	daemons  map[string]Daemon
	draining bool
}

// probeAnswer is the last answer of a host to a probe.
type probeAnswer struct {
	aliveUntil time.Time
	draining   bool
}

// New returns a table in which only the daemon on the host self is alive.
func New(self string, hosts []ControlHost) *Table {
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b ControlHost) int { return strings.Compare(a.Host, b.Host) })
	return &Table{
		self:    self,
		hosts:   sorted,
		answers: make(map[string]probeAnswer),
		daemons: make(map[string]Daemon),
	}
}

// SetDraining sets whether this daemon is shutting down. A draining daemon
// schedules no service.
func (t *Table) SetDraining(draining bool) { t.draining = draining }

// RecordAnswer records that a control host answered a probe. next is the time
// until the next probe, or 0 when that is short compared with LivenessTimeout.
func (t *Table) RecordAnswer(now time.Time, host string, draining bool, next time.Duration) {
	t.answers[host] = probeAnswer{aliveUntil: now.Add(LivenessTimeout + next), draining: draining}
}

// RecordUnreachable records that a control host refuses connections. It counts as
// dead until it answers again.
func (t *Table) RecordUnreachable(host string) { delete(t.answers, host) }

// Alive reports whether the control host answered recently. A daemon always
// considers itself alive.
func (t *Table) Alive(now time.Time, host string) bool {
	if host == t.self {
		return true
	}
	return now.Before(t.answers[host].aliveUntil)
}

// schedulable reports whether the host may be assigned a service to schedule.
func (t *Table) schedulable(now time.Time, h ControlHost) bool {
	if !h.Scheduler || !t.Alive(now, h.Host) {
		return false
	}
	if h.Host == t.self {
		return !t.draining
	}
	return !t.answers[h.Host].draining
}

// Scheduler returns the host that schedules the service's endpoints in the
// region: the host with the highest rendezvous hash among the region's live
// schedulers that are not draining, or among those of all regions when the
// region has none. It returns false when there is no such scheduler.
func (t *Table) Scheduler(now time.Time, service, region string) (string, bool) {
	best, found := t.highestHash(now, service, region, func(h ControlHost) bool { return h.Region == region })
	if found {
		return best, true
	}
	return t.highestHash(now, service, region, func(ControlHost) bool { return true })
}

func (t *Table) highestHash(now time.Time, service, region string, eligible func(ControlHost) bool) (string, bool) {
	var best string
	var bestHash uint64
	found := false
	for _, h := range t.hosts {
		if !eligible(h) || !t.schedulable(now, h) {
			continue
		}
		hash := xxhash.Sum64String(service + "\x00" + region + "\x00" + h.Host)
		if !found || hash > bestHash {
			best, bestHash, found = h.Host, hash, true
		}
	}
	return best, found
}

// Regions returns the sorted regions that have a live scheduler that is not
// draining.
func (t *Table) Regions(now time.Time) []string {
	var regions []string
	for _, h := range t.hosts {
		if t.schedulable(now, h) && !slices.Contains(regions, h.Region) {
			regions = append(regions, h.Region)
		}
	}
	slices.Sort(regions)
	return regions
}

// RecordProbe records a probe from a daemon, and removes daemons whose retention
// has expired.
func (t *Table) RecordProbe(now time.Time, d Daemon) {
	d.LastHeard = now
	t.daemons[d.Host] = d
	for host, known := range t.daemons {
		if now.Sub(known.LastHeard) > daemonRetention {
			delete(t.daemons, host)
		}
	}
}

// Daemons returns the known daemons, sorted by host.
func (t *Table) Daemons() []Daemon {
	list := make([]Daemon, 0, len(t.daemons))
	for _, d := range t.daemons {
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b Daemon) int { return strings.Compare(a.Host, b.Host) })
	return list
}

// HasScheduler reports whether the region has a live scheduler that is not
// draining.
func (t *Table) HasScheduler(now time.Time, region string) bool {
	_, found := t.highestHash(now, "", region, func(h ControlHost) bool { return h.Region == region })
	return found
}

// Region returns the region of a control host, or "" when the host is not a
// control host.
func (t *Table) Region(host string) string {
	for _, h := range t.hosts {
		if h.Host == host {
			return h.Region
		}
	}
	return ""
}

// Contains reports whether the host is a control host.
func (t *Table) Contains(host string) bool { return t.Region(host) != "" }

// SchedulerHosts returns the live hosts with the scheduler role, sorted by name.
// It includes draining hosts.
func (t *Table) SchedulerHosts(now time.Time) []string {
	var hosts []string
	for _, h := range t.hosts {
		if h.Scheduler && t.Alive(now, h.Host) {
			hosts = append(hosts, h.Host)
		}
	}
	return hosts
}
