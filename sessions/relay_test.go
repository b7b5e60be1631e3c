package sessions_test

import (
	"fmt"
	"net"
	"sync"

	"oleanderramp/internal/relay"
)

// relays carry the TCP connections between daemons, so that they can be cut or
// made silent. There is one for each ordered pair.
type relays struct {
	fleet *fleet
	mu    sync.Mutex
	pairs map[[2]int]*relay.Relay
}

func newRelays(f *fleet) *relays { return &relays{fleet: f, pairs: make(map[[2]int]*relay.Relay)} }

// address returns where daemon from reaches the peers' listener of daemon to.
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

// each calls f for the relays between the two sides, in both directions.
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

// cut breaks all connections between two sides and refuses new ones.
func (r *relays) cut(a, b []int) { r.each(a, b, func(link *relay.Relay) { link.Cut(relay.All) }) }

// silence makes the open connections between two sides silent for good; new
// ones work.
func (r *relays) silence(a, b []int) {
	r.each(a, b, func(link *relay.Relay) { link.Silence(relay.All) })
}

// isolate swallows everything between two sides, on new connections as well,
// without closing any.
func (r *relays) isolate(a, b []int) {
	r.each(a, b, func(link *relay.Relay) { link.Isolate(relay.All) })
}

// heal lets the two sides connect again.
func (r *relays) heal(a, b []int) {
	r.each(a, b, func(link *relay.Relay) { link.Heal(relay.All) })
}

func (r *relays) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, link := range r.pairs {
		link.Close()
	}
}
