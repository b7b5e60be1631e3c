package httpserver

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// defaultIdleTimeout is how long a connection may be idle unless the limits
	// say otherwise. overLimitIdleTimeout applies while more connections than the
	// soft limit are open.
	defaultIdleTimeout   = 75 * time.Second
	overLimitIdleTimeout = time.Second
	// nearlyFullFraction is the fraction of the hard limit at which a server
	// reports that it is not ready for more connections.
	nearlyFullFraction = 0.75
)

// Limits are the limits of a server's connections.
type Limits struct {
	// Soft is the number of connections above which idle ones are closed early.
	Soft int
	// Hard is the number at which new connections are rejected; 0 for no limit.
	Hard int
	// Refusal is the whole HTTP/1 answer to the request of a rejected connection, which is
	// closed then; nil to close it unread. It must be nil with TLS.
	Refusal []byte
	// ReadHeaderTimeout bounds the time to read a request's header.
	ReadHeaderTimeout time.Duration
	// IdleTimeout returns how long a connection may be idle; 0 if this is not
	// configured.
	IdleTimeout func() time.Duration
	// Overloaded reports whether there is no processor time to serve the request of
	// the next connection, which is then rejected. It is asked once for each. fresh is the
	// number of connections that were accepted lately and from which nothing was read yet.
	Overloaded func(now time.Time, fresh int) bool
	// Clients bounds what the clients can make the server hold.
	Clients Clients
}

// Connections tracks the open connections of a server and limits how long they
// may be idle. Those that speak HTTP/2 are left out, as net/http itself ends them in
// agreement with the caller. It is safe for concurrent use.
type Connections struct {
	limits Limits
	// rejected counts the connections that were rejected.
	rejected atomic.Int64
	fresh    freshConns
	// aheadTurns holds an element for each request in progress of a connection that sends
	// ahead.
	aheadTurns chan struct{}
	// closing is true once idle connections are closed without delay.
	closing atomic.Bool

	mu   sync.Mutex
	open map[net.Conn]struct{}
}

// NewConnections returns the connections of a server that has none yet.
func NewConnections(limits Limits) *Connections {
	return &Connections{limits: limits, open: make(map[net.Conn]struct{}), aheadTurns: make(chan struct{}, maxAhead)}
}

// full reports whether the hard limit is reached.
func (c *Connections) full() bool { return c.limits.Hard > 0 && c.Count() >= c.limits.Hard }

// NearlyFull reports whether nearlyFullFraction of the hard limit is reached.
func (c *Connections) NearlyFull() bool {
	return c.limits.Hard > 0 && float64(c.Count()) >= nearlyFullFraction*float64(c.limits.Hard)
}

// Count returns the number of open connections.
func (c *Connections) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// OverSoftLimit reports whether more connections than the soft limit are
// open.
func (c *Connections) OverSoftLimit() bool {
	return c.Count() > c.limits.Soft
}

// Rejected returns how many connections were rejected.
func (c *Connections) Rejected() int64 { return c.rejected.Load() }

// onStateChange tracks the state of a connection.
func (c *Connections) onStateChange(conn net.Conn, state http.ConnState) {
	c.track(conn, state)
	accepted, ok := tracked(conn)
	if !ok {
		return
	}
	if state != http.StateNew && accepted.fresh != nil {
		c.fresh.end(accepted.fresh)
	}
	switch state {
	case http.StateIdle:
		accepted.setIdle(time.Now())
	case http.StateActive:
		// Nothing is read for a pipelined request that is in the server's buffer.
		accepted.setActive()
	}
}

// track adds the connection to the open ones or removes it.
func (c *Connections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	default:
		c.open[conn] = struct{}{}
	}
}

// closeIdle closes the connections that are idle, and from now on any other as
// soon as it is idle.
func (c *Connections) closeIdle() {
	c.closing.Store(true)
	for _, conn := range c.accepted() {
		conn.recheckLimit()
	}
}

// accepted returns the open connections.
func (c *Connections) accepted() []*acceptedConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*acceptedConn
	for conn := range c.open {
		if accepted, ok := tracked(conn); ok {
			list = append(list, accepted)
		}
	}
	return list
}

// Closing reports whether idle connections are closed without delay.
func (c *Connections) Closing() bool { return c.closing.Load() }

// Busy returns the number of connections on which a request is in progress.
func (c *Connections) Busy() int {
	count := 0
	for _, conn := range c.accepted() {
		if !conn.isIdle() {
			count++
		}
	}
	return count
}

// idleUntil returns until when a connection may stay open that is idle since
// the given time. first is true before its first request.
func (c *Connections) idleUntil(since time.Time, first bool) time.Time {
	switch {
	case c.closing.Load():
		return since
	case first:
		return since.Add(c.headerTimeout())
	default:
		return since.Add(c.idleTimeout())
	}
}

// headerTimeout returns how long the header of a request may take.
func (c *Connections) headerTimeout() time.Duration {
	if dynamic := c.limits.Clients.HeaderTimeout; dynamic != nil {
		if timeout := dynamic(); timeout > 0 {
			return min(timeout, c.limits.ReadHeaderTimeout)
		}
	}
	return c.limits.ReadHeaderTimeout
}

// evictionPart is the part of the connections that is evicted at a time when there are
// too many, as to find them takes time in proportion to all.
const evictionPart = 16

// makeRoom closes connections that make no progress, and reports whether there were any.
func (c *Connections) makeRoom() bool {
	return c.limits.Clients.Gate.EvictConnections(c, c.limits.Hard/evictionPart+1) > 0
}

// idleTimeout returns how long a connection may be idle at present.
func (c *Connections) idleTimeout() time.Duration {
	if c.OverSoftLimit() {
		return overLimitIdleTimeout
	}
	if idle := c.limits.IdleTimeout(); idle > 0 {
		return idle
	}
	return defaultIdleTimeout
}
