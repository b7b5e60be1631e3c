// Package discovery tracks the control hosts of a site. It starts from a few
// seed addresses and learns of further hosts from the hosts it reaches, so
// neither a list nor the number of hosts is configured.
//
// Only direct contact with a daemon shows that its host is alive. What other
// hosts report only adds addresses to try.
//
// It is a pure state machine: the present time is an argument.
package discovery

import (
	"cmp"
	"slices"
	"time"
)

const (
	// livenessTimeout is how long a host counts as alive after its last direct
	// contact.
	livenessTimeout = 3 * time.Second
	// hostTTL is how long a host that no live host reports is kept as a target.
	hostTTL = 30 * time.Second
)

// Host describes a control host.
type Host struct {
	// Address is the peer address, "IP:port", which identifies the host.
	Address     string
	Incarnation uint64
	Region      string
	Zone        string
	// Replica is the identity of the replica's data folder; 0 if the host has
	// none.
	Replica  uint64
	Draining bool
}

// Table holds the known control hosts. It is not safe for concurrent use.
type Table struct {
	self  string
	seeds []string
	hosts map[string]*record
}

// record is the table's entry for one host.
type record struct {
	host Host
	// lastContact is the time of the last direct contact with the host; zero if
	// there was none.
	lastContact time.Time
	// lastReported is when the host was last contacted directly or reported by
	// another host.
	lastReported time.Time
}

// New returns a table with the given seeds. The table never holds self.
func New(self string, seeds []string) *Table {
	t := &Table{self: self, hosts: make(map[string]*record)}
	t.SetSeeds(seeds)
	return t
}

// SetSeeds replaces the seeds.
func (t *Table) SetSeeds(seeds []string) {
	t.seeds = slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == t.self })
}

// MarkAlive records direct contact with the host. It reports whether the host
// was not alive before or has restarted.
func (t *Table) MarkAlive(now time.Time, host Host) bool {
	if host.Address == "" || host.Address == t.self {
		return false
	}
	r := t.record(host.Address)
	isNew := !r.alive(now) || r.host.Incarnation != host.Incarnation
	r.host, r.lastContact, r.lastReported = host, now, now
	return isNew
}

// AddCandidate records a host that another host reported as alive. It does not
// make the host alive.
func (t *Table) AddCandidate(now time.Time, host Host) {
	if host.Address == "" || host.Address == t.self {
		return
	}
	r := t.record(host.Address)
	r.lastReported = now
	if r.lastContact.IsZero() {
		r.host = host
	}
}

func (t *Table) record(address string) *record {
	r, ok := t.hosts[address]
	if !ok {
		r = &record{host: Host{Address: address}}
		t.hosts[address] = r
	}
	return r
}

func (r *record) alive(now time.Time) bool {
	return !r.lastContact.IsZero() && now.Sub(r.lastContact) < livenessTimeout
}

// Targets returns the addresses to contact, including the seeds, in sorted
// order. It removes hosts that have not been contacted or reported within
// hostTTL, unless no host is alive: in that case this host itself may be
// partitioned from all others.
func (t *Table) Targets(now time.Time) []string {
	if len(t.Alive(now)) > 0 {
		for address, r := range t.hosts {
			if now.Sub(r.lastReported) >= hostTTL {
				delete(t.hosts, address)
			}
		}
	}
	targets := slices.Clone(t.seeds)
	for address := range t.hosts {
		targets = append(targets, address)
	}
	slices.Sort(targets)
	return slices.Compact(targets)
}

// Alive returns the hosts contacted within livenessTimeout, sorted by address.
func (t *Table) Alive(now time.Time) []Host {
	var alive []Host
	for _, r := range t.hosts {
		if r.alive(now) {
			alive = append(alive, r.host)
		}
	}
	slices.SortFunc(alive, func(a, b Host) int { return cmp.Compare(a.Address, b.Address) })
	return alive
}

// SinceContact returns the time since the last direct contact with the host,
// and false if there was none.
func (t *Table) SinceContact(now time.Time, address string) (time.Duration, bool) {
	r, ok := t.hosts[address]
	if !ok || r.lastContact.IsZero() {
		return 0, false
	}
	return now.Sub(r.lastContact), true
}
