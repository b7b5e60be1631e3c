// Package routing implements the routing table, which maps requests to services
// by host and path, and client keys to accounts.
package routing

import "time"

// Kind determines whether the requests of a route may be executed more than
// once.
type Kind int

// The kinds of route.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests are answered by server-sent events. They run at most
	// once unless the route is resumable.
	Streaming
)

func (k Kind) String() string {
	return [...]string{"unsafe", "safe", "streaming"}[k]
}

// Document is the content of a routing table.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Route defines how requests to a host and a path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the time that a caller waits for the response.
	Timeout time.Duration
	// Objective is the target time until the response to a request is complete
	// or, for a stream, until its first event.
	Objective time.Duration
	// MaxEventGap is the target for the longest pause between two events of a
	// stream.
	MaxEventGap time.Duration
	// MaxAttempts bounds the number of endpoints that one request is sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued by another endpoint.
	Resumable bool
	// Regions lists the regions in which requests of the route may be served; empty
	// for all.
	Regions []string
	// Priority orders routes that compete for the same service; lower is more urgent.
	Priority int
	Targets  []Target
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	// Weight is the service's share relative to the other targets.
	Weight int
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name string
	// MaxConnections is how many connections an endpoint accepts from all
	// routers together; 0 means unlimited.
	MaxConnections int
	// ColdStart is how long an endpoint is cold after its start. ColdPerSecond is how many
	// requests a second a cold endpoint takes from all routers together; 0 means that
	// the endpoints are never cold.
	ColdStart     time.Duration
	ColdPerSecond float64
	// Engine is set when the endpoints are model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs concurrently.
	Slots int
	// MemoryTokens is the total number of tokens that running requests and
	// cached prompt prefixes may occupy.
	MemoryTokens int
	// TokensPerEvent is the number of tokens in one event of a stream; 0 when
	// unknown.
	TokensPerEvent int
	// FetchRate is how many tokens of cached prompt prefixes an engine can fetch
	// from another engine per millisecond; 0 when engines can't fetch them.
	FetchRate float64
	// TokenBytes is the size of a cached token in bytes; 0 when unknown.
	TokenBytes float64
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Regions lists the regions in which the account's requests may be served; empty
	// for all.
	Regions []string
	// Priority replaces that of the route for the account's requests; nil if it has none.
	Priority *int
}

// Limits holds the limits common to all routes.
type Limits struct {
	// MaxBodyBytes bounds the body of a request; 0 means unlimited.
	MaxBodyBytes int64
	// IdleTimeout is how long a caller's connection may be idle; 0 means not
	// specified.
	IdleTimeout time.Duration
	// TokensPerSecond is the approximate throughput of all engines together. A
	// prompt token counts once, a generated token twice.
	TokensPerSecond float64
	// MaxHeaderBytes bounds the header of a request, and HeaderTimeout the time for it; 0
	// means not specified.
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
}
