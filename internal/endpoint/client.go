// Package endpoint speaks HTTP with endpoints: it takes their announcements,
// makes calls to them and probes them.
//
// The Client never runs a call twice, never passes off a part of an answer as
// the whole, and never uses a connection again on which a call was abandoned.
package endpoint

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// HeaderRequest carries the request id to the endpoint and back.
const HeaderRequest = "Oleanderramp-Request"

// HeaderOutcome with the value OutcomeNotRun on an answer of status 503 says
// that the endpoint did not run the call.
const (
	HeaderOutcome = "Oleanderramp-Outcome"
	OutcomeNotRun = "not_run"
)

// HeaderIncarnation on the answer to GET /health is the incarnation that the
// endpoint announces.
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

// keepAliveProbes is how many unanswered probes end a silent connection.
const keepAliveProbes = 2

// ClientConfig sets the limits of a Client. Zero fields take their defaults.
type ClientConfig struct {
	DialTimeout time.Duration
	// HeaderTimeout and ProgressTimeout hold for calls that set none.
	HeaderTimeout   time.Duration
	ProgressTimeout time.Duration
	ProbeTimeout    time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// MaxConnections bounds the pooled connections to one endpoint.
	MaxConnections int
	// MaxIdle bounds the unused connections to one endpoint.
	MaxIdle int
	// MaxAnswerBytes holds for calls that set none.
	MaxAnswerBytes int64
	MaxHeaderBytes int64
	// MaxEventBytes bounds one event of a stream.
	MaxEventBytes int
	// MaxCancels bounds the cancel calls that are under way; more are left to
	// the closed connection.
	MaxCancels int
	// Headers names the headers of the endpoints' protocol.
	Headers Headers
	// KeepAlive is how long a connection is silent before it is probed; 0 for
	// the system's default.
	KeepAlive time.Duration
	// Metrics counts the calls. Optional.
	Metrics Metrics
}

// Headers names the headers with which endpoints tell which request an answer
// belongs to, and that they did not run it.
type Headers struct {
	// Request carries the request id to the endpoint and back.
	Request string
	// NotRun says that the endpoint did not run the call: with NotRunValue on
	// an answer of status 503, or when that is empty, with any value on any
	// failed status. Status 421 then says so by itself.
	NotRun      string
	NotRunValue string
}

// isRefusal tells whether the endpoint states that it did not run the call.
func (h Headers) isRefusal(status int, header http.Header) bool {
	value := header.Get(h.NotRun)
	if h.NotRunValue != "" {
		return status == http.StatusServiceUnavailable && value == h.NotRunValue
	}
	return status == http.StatusMisdirectedRequest || status >= http.StatusBadRequest && value != ""
}

// Metrics counts what the client does. Its methods are called from many
// goroutines.
type Metrics interface {
	// CallEnded tells of a call that ended; kind is 0 for a whole answer.
	CallEnded(address string, kind Kind, elapsed time.Duration)
	// ProbeEnded tells of a probe.
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
	// pooled keeps connections; fresh makes one for each call.
	pooled *http.Transport
	fresh  *http.Transport
	// probes has no bound of its own: a call waits for each probe.
	probes *http.Transport
	// cancelSlots holds a place for each cancel call under way.
	cancelSlots chan struct{}

	mu     sync.Mutex
	closed bool
	// background counts the cancel calls; it grows only while not closed.
	background sync.WaitGroup
	// poolBypassUntil holds the addresses at which an idle connection went silent,
	// and until when others may be older than that.
	poolBypassUntil map[string]time.Time
}

// NewClient returns a Client without connections.
func NewClient(config ClientConfig) *Client {
	config.Defaults()
	c := &Client{
		config:          config,
		cancelSlots:     make(chan struct{}, config.MaxCancels),
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
			return &countingConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxConnsPerHost:        config.MaxConnections,
		MaxIdleConnsPerHost:    config.MaxIdle,
		IdleConnTimeout:        config.IdleTimeout,
		MaxResponseHeaderBytes: config.MaxHeaderBytes,
	}
}

// Close closes the idle connections and waits for the cancel calls under way.
// Calls must have ended before.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.background.Wait()
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
	c.probes.CloseIdleConnections()
}

// transport returns the one for a call: a call that may not be repeated gets
// a fresh connection, as an idle one may have been closed by the endpoint at
// the same time, which would leave the call's fate open. So does one that the
// transport could repeat by itself.
func (c *Client) transport(call Call) *http.Transport {
	repeatable := call.Idempotent || call.Pooled
	if !repeatable || call.replayable() || c.poolBypassed(call.Address) {
		return c.fresh
	}
	return c.pooled
}

// bypassPool makes calls to the address use fresh connections until the idle
// ones of now have timed out.
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
