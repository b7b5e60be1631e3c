package site

import (
	"time"
)

// ready returns an empty string, or the reason why this router accepts no
// requests.
func (r *router) ready() string {
	switch {
	case r.draining.Load():
		return "the daemon is shutting down"
	case r.Table() == nil:
		return "no routing table is known yet"
	case r.conns.NearlyFull():
		return "too many connections are open"
	case r.forwarder.Overloaded(time.Now()):
		return "the daemon is overloaded"
	default:
		return ""
	}
}

// RoutingVersion returns the version of the routing table in force; 0 if there
// is none.
func (r *router) RoutingVersion() uint64 {
	if table := r.Table(); table != nil {
		return table.Version()
	}
	return 0
}

// Lag returns the scheduling latency of this process.
func (r *router) Lag() time.Duration { return r.lag.value() }

// StandingLag returns how long each network event has waited lately for this process.
func (r *router) StandingLag() time.Duration { return r.standingLag.value(time.Now()) }

// Endpoints returns the number of endpoints that may get requests.
func (r *router) Endpoints() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.directory.Usable())
}

// ColdEndpoints returns the number of endpoints that count as cold.
func (r *router) ColdEndpoints() int { return r.admission.ColdEndpoints(time.Now()) }

// Active returns the number of requests in progress.
func (r *router) Active() int { return r.forwarder.Active() }

// Connections returns the number of open connections of callers.
func (r *router) Connections() int { return r.conns.Count() }

// RefusedConnections returns how many connections were rejected, as the limit was reached
// or this router was overloaded.
func (r *router) RefusedConnections() int64 { return r.conns.Rejected() }

// Unsynced returns the time since a control host last answered, or since the
// router started.
func (r *router) Unsynced() time.Duration {
	if last := r.lastSync.Load(); last != nil {
		return time.Since(*last)
	}
	return time.Since(r.started)
}
