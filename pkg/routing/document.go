// Package routing is the table that says which requests go to which services:
// routes by host and path, the services, and the client accounts with their
// keys.
package routing

import "time"

// Kind says what may be repeated of a route's requests.
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

// Route says how requests to a host and a path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which a request is answered in full, or a
	// stream has its first event.
	Objective time.Duration
	// MaxPause is the longest pause between events that is still on time.
	MaxPause time.Duration
	// MaxAttempts is the number of endpoints that one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
	Targets   []Target
}

// Idempotent tells whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Target is a service that gets a part of a route's requests.
type Target struct {
	Service string
	// Weight is the service's part, relative to those of the other targets.
	Weight int
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name string
	// MaxConnections is how many connections an endpoint accepts, from all
	// routers together; 0 for no bound.
	MaxConnections int
	// Engine is set when the endpoints are model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests run at once.
	Slots int
	// MemoryTokens is how many tokens running requests and cached prompt parts
	// may hold together.
	MemoryTokens int
	// TokensPerEvent is how many tokens one event of a stream holds; 0 when
	// unknown.
	TokensPerEvent int
	// FetchRate is how many tokens of cached prompt parts an engine fetches
	// from another in a millisecond; 0 when engines can't.
	FetchRate float64
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
}

// Limits holds what is common to all routes.
type Limits struct {
	// MaxBodyBytes bounds the body of a request; 0 for no bound.
	MaxBodyBytes int64
	// IdleTimeout is how long a caller's connection may be unused; 0 for no
	// word on that.
	IdleTimeout time.Duration
	// TokensPerSecond is about what all engines process together: a token read
	// counts once, a token generated twice.
	TokensPerSecond float64
}
