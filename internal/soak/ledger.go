package soak

import (
	"strings"
	"sync"
	"time"
)

// requestKind is a sort of request.
type requestKind struct {
	name, prefix, service string
	// routeKind is the route's kind as orders name it.
	routeKind string
	stream    bool
	// atMostOnce says that the request may run atMostOnce at most.
	atMostOnce bool
}

// The services, and the kinds of request that callers send.
const (
	engineService = "engine"
	plainService  = "orders"
)

var requestKinds = []requestKind{
	{name: "resumable stream", prefix: "/stream/", service: engineService, routeKind: "streaming", stream: true},
	{name: "stream", prefix: "/talk/", service: engineService, routeKind: "streaming", stream: true, atMostOnce: true},
	{name: "booking", prefix: "/order/", service: plainService, routeKind: "unsafe", atMostOnce: true},
	{name: "lookup", prefix: "/look/", service: plainService, routeKind: "safe"},
}

// execution is a request that an endpoint began to run.
type execution struct {
	endpoint, service string
	account, key      string
	path, body        string
	at                time.Duration
	// leaveAcknowledged is when it was first acknowledged that the endpoint leaves; 0 for
	// not yet.
	leaveAcknowledged time.Duration
}

// sentRequest is a request of a caller, and what came of it.
type sentRequest struct {
	kind                requestKind
	id, path, body      string
	account             string
	router              int
	began, ended        time.Duration
	status              int
	complete, abandoned bool
	executions          []execution
	failure             error
}

// ledger holds what callers sent and endpoints ran. It is safe for concurrent
// use.
type ledger struct {
	mu       sync.Mutex
	requests map[string]*sentRequest
	// unsolicited holds the executions of requests that nobody sent.
	unsolicited []execution
}

func newLedger() *ledger { return &ledger{requests: make(map[string]*sentRequest)} }

// begin records a request before its first byte is sent.
func (l *ledger) begin(s *sentRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[s.id] = s
}

// end records what came of a request.
func (l *ledger) end(s *sentRequest, end func(*sentRequest)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end(s)
}

func (l *ledger) recordExecution(id string, e execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.requests[id]; ok {
		s.executions = append(s.executions, e)
		return
	}
	if !strings.HasPrefix(e.path, versionRouteStart) {
		l.unsolicited = append(l.unsolicited, e)
	}
}
