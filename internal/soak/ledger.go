package soak

import (
	"strings"
	"sync"
	"time"
)

// kind is a sort of request.
type kind struct {
	name, prefix, service string
	// routeKind is the route's kind as orders name it.
	routeKind string
	stream    bool
	// once says that the request may run once at most.
	once bool
}

// The services, and the kinds of request that callers send.
const (
	engineService = "engine"
	plainService  = "orders"
)

var kinds = []kind{
	{name: "resumable stream", prefix: "/stream/", service: engineService, routeKind: "streaming", stream: true},
	{name: "stream", prefix: "/talk/", service: engineService, routeKind: "streaming", stream: true, once: true},
	{name: "booking", prefix: "/order/", service: plainService, routeKind: "unsafe", once: true},
	{name: "lookup", prefix: "/look/", service: plainService, routeKind: "safe"},
}

// execution is a request that an endpoint began to run.
type execution struct {
	endpoint, service string
	account, key      string
	path, body        string
	at                time.Duration
	// left is when it was first acknowledged that the endpoint leaves; 0 for
	// not yet.
	left time.Duration
}

// sent is a request of a caller, and what came of it.
type sent struct {
	kind             kind
	id, path, body   string
	account          string
	router           int
	began, ended     time.Duration
	status           int
	whole, abandoned bool
	executions       []execution
	failure          error
}

// ledger holds what callers sent and endpoints ran. It is safe for concurrent
// use.
type ledger struct {
	mu       sync.Mutex
	requests map[string]*sent
	// stray holds the executions of requests that nobody sent.
	stray []execution
}

func newLedger() *ledger { return &ledger{requests: make(map[string]*sent)} }

// begin records a request before its first byte is sent.
func (l *ledger) begin(s *sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[s.id] = s
}

// end records what came of a request.
func (l *ledger) end(s *sent, end func(*sent)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end(s)
}

func (l *ledger) ran(id string, e execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.requests[id]; ok {
		s.executions = append(s.executions, e)
		return
	}
	if !strings.HasPrefix(e.path, markStart) {
		l.stray = append(l.stray, e)
	}
}
