package soak

import (
	"strings"
	"sync"
	"time"
)

// requestKind is a kind of request.
type requestKind struct {
	name, prefix, service string
	// routeKind is the kind of the route in an order.
	routeKind string
	stream    bool
	// atMostOnce means that the request must not run more than once.
	atMostOnce bool
	// regions lists the allowed regions; nil for all.
	regions []string
}

// The names of the services.
const (
	engineService = "engine"
	plainService  = "orders"
)

var requestKinds = []requestKind{
	{name: "resumable stream", prefix: "/stream/", service: engineService, routeKind: "streaming", stream: true},
	{name: "stream", prefix: "/talk/", service: engineService, routeKind: "streaming", stream: true, atMostOnce: true},
	{name: "booking", prefix: "/order/", service: plainService, routeKind: "unsafe", atMostOnce: true},
	{name: "lookup", prefix: "/look/", service: plainService, routeKind: "safe"},
	{name: "local lookup", prefix: "/local/", service: plainService, routeKind: "safe", regions: []string{"zone-0"}},
}

// execution records that an endpoint started to run a request.
type execution struct {
	endpoint, service string
	// zone is that of the endpoint, which is also its region.
	zone         string
	account, key string
	path, body   string
	at           time.Duration
	// leaveAcknowledged is when the departure of the endpoint was first
	// acknowledged; 0 if it was not yet.
	leaveAcknowledged time.Duration
}

// sentRequest is a request of a caller and its outcome.
type sentRequest struct {
	kind           requestKind
	id, path, body string
	account        string
	// stream is the ID of the request that brought the first event of the stream;
	// lastEvent and software are the last event that the caller has and the version that
	// began it, if this request takes the stream up again.
	stream, software string
	lastEvent        int
	router           int
	began, ended     time.Duration
	// sent is when the last byte of the request was written; 0 if it was not.
	sent                time.Duration
	status              int
	complete, abandoned bool
	executions          []execution
	failure             error
}

// ledger records the requests that callers sent and endpoints ran. It is safe
// for concurrent use.
type ledger struct {
	mu       sync.Mutex
	requests map[string]*sentRequest
	// unsolicited holds the executions of requests that no caller sent.
	unsolicited []execution
}

func newLedger() *ledger { return &ledger{requests: make(map[string]*sentRequest)} }

// begin records a request before its first byte is sent.
func (l *ledger) begin(s *sentRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[s.id] = s
}

// update changes a request while holding the lock.
func (l *ledger) update(s *sentRequest, change func(*sentRequest)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(s)
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
