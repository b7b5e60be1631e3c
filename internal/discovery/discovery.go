// Package discovery finds the control hosts of a site from a few seeds, keeps
// them and forgets them, without a list and without a count.
//
// Only a daemon's own contact shows that a host is alive. What others say adds
// addresses to try.
//
// It is a pure state machine: the present time is an argument.
package discovery

import (
	"cmp"
	"slices"
	"time"
)

const (
	// livenessTimeout is how long a host counts as alive after its last sign of life.
	livenessTimeout = 3 * time.Second
	// hostTTL is how long a host that does not answer is tried.
	hostTTL = 30 * time.Second
)

// Host is a control host.
type Host struct {
	// Address is the peer address, "IP:port", which identifies the host.
	Address     string
	Incarnation uint64
	Region      string
	Zone        string
	// Replica identifies the data folder; 0 for none.
	Replica  uint64
	Draining bool
}

// Table holds the control hosts that are known. It is not safe for concurrent
// use.
type Table struct {
	self  string
	seeds []string
	hosts map[string]*record
}

// record is what is known of one host.
type record struct {
	host Host
	// lastContact is when the host itself last gave a sign of life; zero for never.
	lastContact time.Time
	// lastReported is when another host was last alive to mention it.
	lastReported time.Time
}

// New returns a table that knows the seeds. self is never among the hosts.
func New(self string, seeds []string) *Table {
	t := &Table{self: self, hosts: make(map[string]*record)}
	t.SetSeeds(seeds)
	return t
}

// SetSeeds replaces the seeds.
func (t *Table) SetSeeds(seeds []string) {
	t.seeds = slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == t.self })
}

// MarkAlive records a sign of life of the host, and returns true when it was not
// alive or has restarted.
func (t *Table) MarkAlive(now time.Time, host Host) bool {
	if host.Address == "" || host.Address == t.self {
		return false
	}
	r := t.record(host.Address)
	isNew := !r.alive(now) || r.host.Incarnation != host.Incarnation
	r.host, r.lastContact, r.lastReported = host, now, now
	return isNew
}

// AddCandidate records a host that another one has heard of.
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

// Targets returns the addresses to try, those of the seeds included, in a
// fixed order. It forgets hosts that were silent for long, unless no host is
// alive: then all may be cut off.
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

// Alive returns the hosts that gave a sign of life of late, by address.
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

// SinceContact returns how long the host has given no sign of life; false when it
// never gave one.
func (t *Table) SinceContact(now time.Time, address string) (time.Duration, bool) {
	r, ok := t.hosts[address]
	if !ok || r.lastContact.IsZero() {
		return 0, false
	}
	return now.Sub(r.lastContact), true
}
