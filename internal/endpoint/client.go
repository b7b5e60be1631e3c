// Package endpoint implements HTTP communication with endpoints: it receives
// their announcements, makes calls to them and probes their health.
//
// The Client never sends a call twice, never reports a partial response as
// complete, and never reuses a connection on which a call was abandoned.
package endpoint

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// HeaderRequest carries the request id in requests and responses.
const HeaderRequest = "Oleanderramp-Request"

// HeaderOutcome with the value OutcomeNotRun on a response with status 503
// states that the endpoint did not run the call.
const (
	HeaderOutcome = "Oleanderramp-Outcome"
	OutcomeNotRun = "not_run"
)

// HeaderIncarnation on the response to GET /health carries the incarnation of
// the endpoint.
const HeaderIncarnation = "Oleanderramp-Incarnation"

// Defaults of ClientConfig.
const (
	defaultDialTimeout     = 2 * time.Second
	defaultHeaderTimeout   = 30 * time.Second
	defaultProgressTimeout = 15 * time.Second
	defaultProbeTimeout    = time.Second
	defaultIdleTimeout     = 30 * time.Second
	defaultMaxConnections  = 512
	defaultMaxIdle         = 32
	defaultMaxAnswerBytes  = 64 << 20
	defaultMaxHeaderBytes  = 32 << 10
	defaultMaxEventBytes   = 1 << 20
	defaultMaxCancels      = 64
)

// keepAliveProbes is the number of unanswered TCP keep-alive probes after which
// a connection is closed.
const keepAliveProbes = 2

// ClientConfig holds the settings of a Client. Zero fields take their defaults.
type ClientConfig struct {
	DialTimeout time.Duration
	// HeaderTimeout and ProgressTimeout apply to calls that set none.
	HeaderTimeout   time.Duration
	ProgressTimeout time.Duration
	ProbeTimeout    time.Duration
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// MaxConnections is the maximum number of connections to one endpoint, for
	// pooled and for new connections each.
	MaxConnections int
	// MaxIdle is the maximum number of idle connections to one endpoint.
	MaxIdle int
	// MaxAnswerBytes applies to calls that set none.
	MaxAnswerBytes int64
	MaxHeaderBytes int64
	// MaxEventBytes is the maximum size of one event of a stream.
	MaxEventBytes int
	// MaxEventMemory is the maximum memory in bytes for large events that the endpoints of
	// all calls together have not completed. Beyond it, a call that needs more fails with
	// WrongAnswer, or TooLarge unless Raw is set. 0 means no bound.
	MaxEventMemory int64
	// MaxCancels is the maximum number of concurrent cancel calls. Beyond it, an
	// endpoint can detect a cancelled stream only by its closed connection.
	MaxCancels int
	// Headers holds the header names of the endpoints' protocol.
	Headers Headers
	// KeepAlive is the idle time before, and the interval between, TCP
	// keep-alive probes. 0 selects the default of package net.
	KeepAlive time.Duration
	// Metrics receives the outcomes of calls and probes. Optional.
	Metrics Metrics
}

// Metrics receives the outcomes of calls and probes. Its methods are called
// concurrently.
type Metrics interface {
	// CallEnded is called when a call has ended; kind is 0 for a complete response.
	CallEnded(address string, kind Kind, elapsed time.Duration)
	// ProbeEnded is called when a probe has ended.
	ProbeEnded(address string, health Health)
}

// Defaults fills the fields that are unset.
func (c *ClientConfig) Defaults() {
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.HeaderTimeout, defaultHeaderTimeout)
	setDefault(&c.ProgressTimeout, defaultProgressTimeout)
	setDefault(&c.ProbeTimeout, defaultProbeTimeout)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	setDefault(&c.MaxConnections, defaultMaxConnections)
	setDefault(&c.MaxIdle, defaultMaxIdle)
	setDefault(&c.MaxAnswerBytes, defaultMaxAnswerBytes)
	setDefault(&c.MaxHeaderBytes, defaultMaxHeaderBytes)
	setDefault(&c.MaxEventBytes, defaultMaxEventBytes)
	setDefault(&c.MaxCancels, defaultMaxCancels)
	if c.Headers == (Headers{}) {
		c.Headers = Headers{Request: HeaderRequest, NotRun: HeaderOutcome, NotRunValue: OutcomeNotRun}
	}
	if c.Metrics == nil {
		c.Metrics = noMetrics{}
	}
}

type noMetrics struct{}

func (noMetrics) CallEnded(string, Kind, time.Duration) {}
func (noMetrics) ProbeEnded(string, Health)             {}

// Client makes calls to endpoints. It is safe for concurrent use.
type Client struct {
	config ClientConfig
	// pooled reuses connections; fresh opens a new one for each call.
	pooled *http.Transport
	fresh  *http.Transport
	// probes has no connection limit of its own: each probe belongs to a call
	// that waits for it, so the number of calls limits it.
	probes *http.Transport
	// cancelSlots is a semaphore that limits the concurrent cancel calls.
	cancelSlots chan struct{}
	// eventMemory is for the large events that endpoints have not completed.
	eventMemory *memoryPool

	mu     sync.Mutex
	closed bool
	// background waits for the cancel calls. It is added to only while closed
	// is false.
	background sync.WaitGroup
	// poolBypassUntil maps an address at which a call on an idle connection
	// timed out to the time by which all connections that were idle then have
	// expired.
	poolBypassUntil map[string]time.Time
}

// NewClient returns a Client without connections.
func NewClient(config ClientConfig) *Client {
	config.Defaults()
	c := &Client{
		config:          config,
		cancelSlots:     make(chan struct{}, config.MaxCancels),
		eventMemory:     &memoryPool{limit: config.MaxEventMemory},
		poolBypassUntil: make(map[string]time.Time),
	}
	c.pooled = newTransport(config)
	c.fresh = newTransport(config)
	c.fresh.DisableKeepAlives = true
	c.probes = newTransport(config)
	c.probes.DisableKeepAlives = true
	c.probes.MaxConnsPerHost = 0
	return c
}

func newTransport(config ClientConfig) *http.Transport {
	dialer := &net.Dialer{Timeout: config.DialTimeout}
	if config.KeepAlive > 0 {
		dialer.KeepAliveConfig = net.KeepAliveConfig{
			Enable: true, Idle: config.KeepAlive, Interval: config.KeepAlive, Count: keepAliveProbes,
		}
	}
	return &http.Transport{
		Proxy: nil,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &endpointConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxConnsPerHost:        config.MaxConnections,
		MaxIdleConnsPerHost:    config.MaxIdle,
		IdleConnTimeout:        config.IdleTimeout,
		MaxResponseHeaderBytes: config.MaxHeaderBytes,
	}
}

// Close waits for the cancel calls in progress and closes the idle connections.
// All calls must have ended before.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.background.Wait()
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
	c.probes.CloseIdleConnections()
}

// transport returns the transport for a call. A call that may not be repeated
// gets a new connection: if the endpoint closed an idle one at the same time, it
// would be unknown whether the call ran. A call that the transport itself could
// repeat also gets a new connection.
func (c *Client) transport(call Call) *http.Transport {
	repeatable := call.Idempotent || call.Pooled
	if !repeatable || call.replayable() || c.poolBypassed(call.Address) {
		return c.fresh
	}
	return c.pooled
}

// bypassPool makes calls to the address use new connections until the
// connections that are idle now have expired.
func (c *Client) bypassPool(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for other, until := range c.poolBypassUntil {
		if !until.After(now) {
			delete(c.poolBypassUntil, other)
		}
	}
	c.poolBypassUntil[address] = now.Add(c.config.IdleTimeout)
}

func (c *Client) poolBypassed(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.poolBypassUntil[address].After(time.Now())
}
