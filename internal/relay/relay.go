// Package relay implements a TCP proxy with fault injection for one target: it
// can break, reset, delay, stall and blackhole connections. Tests and the soak
// run it between processes.
package relay

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout is the timeout for connecting to the target.
	dialTimeout = 2 * time.Second
	// chunkBytes is the size of the copy buffer.
	chunkBytes = 32 << 10
)

// AllSources selects the connections of all sources.
const AllSources = ""

// Relay forwards connections to its target. A fault applies to the connections
// from one source IP, or from AllSources. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string
	group    sync.WaitGroup

	// mu guards the fields below.
	mu sync.Mutex
	// rules holds the persistent faults by source.
	rules map[string]rule
	// changed is closed and replaced whenever rules change.
	changed chan struct{}
	pairs   map[*pair]bool
	closed  bool
}

// rule holds the persistent faults of one source, which apply until Heal.
type rule struct {
	refuse  bool
	discard bool
	// holdIn and holdOut stall the bytes to and from the target.
	holdIn, holdOut bool
	delay           time.Duration
}

// merge returns a rule with the faults of both.
func (r rule) merge(other rule) rule {
	return rule{
		refuse: r.refuse || other.refuse, discard: r.discard || other.discard,
		holdIn: r.holdIn || other.holdIn, holdOut: r.holdOut || other.holdOut, delay: max(r.delay, other.delay),
	}
}

// pair is a client's connection and the matching connection to the target.
type pair struct {
	source string
	client net.Conn
	// upstream is nil until the target has accepted the connection.
	upstream net.Conn
	// blackholed pairs discard all bytes permanently, and neither side learns
	// that the other has closed.
	blackholed bool
}

func (p *pair) close() {
	_ = p.client.Close() // It may be closed already.
	if p.upstream != nil {
		_ = p.upstream.Close() // As above.
	}
}

// New returns a relay from the listener to the target. It runs until Close.
func New(listener net.Listener, target string) *Relay {
	r := &Relay{
		listener: listener, target: target, rules: make(map[string]rule), changed: make(chan struct{}), pairs: make(map[*pair]bool),
	}
	r.group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.group.Go(func() { r.serve(conn) })
		}
	})
	return r
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// updateRule applies f to the rule of a source.
func (r *Relay) updateRule(source string, f func(*rule)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.rules[source]
	f(&changed)
	r.rules[source] = changed
	close(r.changed)
	r.changed = make(chan struct{})
}

// forEachPair calls f for each open pair of the source.
func (r *Relay) forEachPair(source string, f func(*pair)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		if source == AllSources || p.source == source {
			f(p)
		}
	}
}

// Cut closes the open connections, and refuses new ones until Heal.
func (r *Relay) Cut(source string) {
	r.updateRule(source, func(rule *rule) { rule.refuse = true })
	r.forEachPair(source, (*pair).close)
}

// Reset closes the open connections with a TCP reset.
func (r *Relay) Reset(source string) {
	r.forEachPair(source, func(p *pair) {
		for _, conn := range []net.Conn{p.client, p.upstream} {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // It may be closed already.
			}
		}
		p.close()
	})
}

// Blackhole discards the bytes of the open connections permanently. New
// connections work.
func (r *Relay) Blackhole(source string) {
	r.forEachPair(source, func(p *pair) { p.blackholed = true })
}

// Isolate discards the bytes of the open connections permanently, and so those
// of connections made before Heal.
func (r *Relay) Isolate(source string) {
	r.updateRule(source, func(rule *rule) { rule.discard = true })
	r.Blackhole(source)
}

// Hold stalls the bytes to the target (in), from the target (out) or both until
// Heal. They are delivered afterwards.
func (r *Relay) Hold(source string, in, out bool) {
	r.updateRule(source, func(rule *rule) { rule.holdIn, rule.holdOut = in, out })
}

// Delay delays each chunk by d until Heal.
func (r *Relay) Delay(source string, d time.Duration) {
	r.updateRule(source, func(rule *rule) { rule.delay = d })
}

// Heal removes the persistent faults of the source.
func (r *Relay) Heal(source string) { r.updateRule(source, func(changed *rule) { *changed = rule{} }) }

// Close stops the relay, closes its connections and waits for its goroutines.
func (r *Relay) Close() {
	_ = r.listener.Close() // Accept ends in any case.
	r.mu.Lock()
	r.closed = true
	clear(r.rules)
	r.mu.Unlock()
	r.Heal(AllSources) // Wakes the stalled forwarders.
	r.forEachPair(AllSources, (*pair).close)
	r.group.Wait()
}

// state returns the rule for a pair, whether the pair is blackholed, and the
// channel that is closed when the rules change.
func (r *Relay) state(p *pair) (rule, bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules[AllSources].merge(r.rules[p.source]), p.blackholed, r.changed
}

func (r *Relay) serve(conn net.Conn) {
	source, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	p := &pair{source: source, client: conn}
	defer r.remove(p)
	if !r.admit(p) {
		return
	}
	upstream, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		return
	}
	r.mu.Lock()
	p.upstream = upstream
	closed := r.closed
	r.mu.Unlock()
	if closed {
		return
	}
	var out sync.WaitGroup
	out.Go(func() { r.forward(p, upstream, conn, func(now rule) bool { return now.holdOut }) })
	r.forward(p, conn, upstream, func(now rule) bool { return now.holdIn })
	out.Wait()
}

// admit registers a new pair and reports whether it may be served.
func (r *Relay) admit(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.rules[AllSources].merge(r.rules[p.source])
	if current.refuse || r.closed {
		return false
	}
	p.blackholed = current.discard
	r.pairs[p] = true
	return true
}

func (r *Relay) remove(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
	p.close()
}

// forward copies from one side to the other until the connection ends. holds
// reports whether a rule stalls this direction.
func (r *Relay) forward(p *pair, from, to net.Conn, holds func(rule) bool) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		current, silent, changed := r.state(p)
		if current.delay > 0 {
			time.Sleep(current.delay)
		}
		for holds(current) && !silent {
			<-changed
			current, silent, changed = r.state(p)
		}
		if silent {
			_, _ = io.Copy(io.Discard, from) // The other side must not see the close.
			return
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = from.Close() // It may be closed already.
			_ = to.Close()   // As above.
			return
		}
	}
}
