package sessions_test

import (
	"fmt"
	"net"
	"sync"

	"oleanderramp/internal/relay"
)

// relays carries the TCP connections between daemons, so that tests can cut or
// silence them. Each ordered pair of daemons has its own relay.
type relays struct {
	fleet *fleet
	mu    sync.Mutex
	pairs map[[2]int]*relay.Relay
}

func newRelays(f *fleet) *relays { return &relays{fleet: f, pairs: make(map[[2]int]*relay.Relay)} }

// address returns the address of the relay from daemon from to the peer listener
// of daemon to. It starts the relay on first use.
func (r *relays) address(from, to int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	pair := [2]int{from, to}
	if existing, ok := r.pairs[pair]; ok {
		return existing.Address()
	}
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:0", r.fleet.ip(200+from)))
	if err != nil {
		panic(err)
	}
	target := fmt.Sprintf("%s:%d", r.fleet.ip(to), peersPort)
	r.pairs[pair] = relay.New(listener, target)
	return listener.Addr().String()
}

// each calls f for the relays between the daemons of a and those of b, in both
// directions.
func (r *relays) each(a, b []int, f func(*relay.Relay)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range a {
		for _, y := range b {
			for _, pair := range [][2]int{{x, y}, {y, x}} {
				if link, ok := r.pairs[pair]; ok {
					f(link)
				}
			}
		}
	}
}

// cut closes the open connections between the daemons of a and those of b, and
// new ones until heal.
func (r *relays) cut(a, b []int) {
	r.each(a, b, func(link *relay.Relay) { link.Cut(relay.AllSources) })
}

// silence drops all further data on the open connections between the daemons of
// a and those of b without closing them. New connections work.
func (r *relays) silence(a, b []int) {
	r.each(a, b, func(link *relay.Relay) { link.Blackhole(relay.AllSources) })
}

// isolate drops all data between the daemons of a and those of b, also on new
// connections until heal, without closing any connection. Connections open now
// stay silent after heal.
func (r *relays) isolate(a, b []int) {
	r.each(a, b, func(link *relay.Relay) { link.Isolate(relay.AllSources) })
}

// heal ends the effects of cut and isolate on new connections between the daemons of a and those of b.
func (r *relays) heal(a, b []int) {
	r.each(a, b, func(link *relay.Relay) { link.Heal(relay.AllSources) })
}

func (r *relays) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, link := range r.pairs {
		link.Close()
	}
}
