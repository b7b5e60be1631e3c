// Package standin simulates the endpoints of a deployment: a model engine and
// a plain order service. Faults can be injected into both.
package standin

import (
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"oleanderramp/pkg/finding"
)

// Default values of Config and EngineConfig, and the retention of streams.
const (
	defaultListen           = "127.0.0.1:0"
	defaultSlots            = 8
	defaultAnnounceInterval = time.Second
	defaultLease            = 3 * time.Second
	defaultLeaveDelay       = 2 * time.Second
	defaultTokenInterval    = 20 * time.Millisecond
	defaultFirstTokenDelay  = 200 * time.Millisecond
	defaultCacheBlocks      = 4096
	defaultResumeGrace      = time.Second
	defaultStreamRetention  = 30 * time.Second
)

// Config holds the settings shared by both kinds of endpoint. Fields that are
// zero take their defaults.
type Config struct {
	// Listen is the "IP:port" to listen on; port 0 selects a free port.
	Listen   string
	Endpoint string
	Service  string
	Region   string
	Zone     string
	// Incarnation must increase with each start; 0 takes the Unix time in
	// milliseconds.
	Incarnation uint64
	// Slots is the number of requests that run at the same time.
	Slots int
	// AnnounceTo holds the base URLs of the daemons, which are tried in turn.
	AnnounceTo []string
	// AnnounceInterval is the time between two announcements.
	AnnounceInterval time.Duration
	// Lease is how long an announcement stays valid.
	Lease time.Duration
	// LeaveDelay is the time between announcing the departure and closing the
	// listener, so that requests already routed to the endpoint are served.
	LeaveDelay time.Duration
	// ReportLag is the age of the load that announcements report.
	ReportLag time.Duration
	// CrashMarker makes requests that contain it crash the endpoint.
	CrashMarker string
	// AnswerDelay is added to the time until a response begins.
	AnswerDelay time.Duration
	// Exit ends the process on a crash. If it is nil, as in tests, a crash
	// closes the listener and all connections instead.
	Exit func()
	// Log receives the log entries; nil discards them.
	Log log.Interface
}

// Defaults fills the fields that are unset.
func (c *Config) Defaults() {
	setDefault(&c.Listen, defaultListen)
	setDefault(&c.Region, "local")
	setDefault(&c.Zone, "local-1")
	setDefault(&c.Slots, defaultSlots)
	setDefault(&c.AnnounceInterval, defaultAnnounceInterval)
	setDefault(&c.Lease, defaultLease)
	if c.Incarnation == 0 {
		c.Incarnation = uint64(time.Now().UnixMilli())
	}
	if c.Log == nil {
		c.Log = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	}
}

// Validate returns all errors in the configuration.
func (c *Config) Validate() *finding.List {
	found := &finding.List{}
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		found.Addf("listen", "must be IP:port, got %q", c.Listen)
	}
	if c.Slots < 0 {
		found.Addf("slots", "must be at least 1, got %d", c.Slots)
	}
	if c.Endpoint == "" {
		found.Addf("endpoint", "must not be empty")
	}
	if c.Service == "" {
		found.Addf("service", "must not be empty")
	}
	for _, duration := range []struct {
		place string
		value time.Duration
	}{
		{"announce-interval", c.AnnounceInterval}, {"lease", c.Lease}, {"leave-delay", c.LeaveDelay},
		{"report-lag", c.ReportLag}, {"late", c.AnswerDelay},
	} {
		if duration.value < 0 {
			found.Addf(duration.place, "must not be negative, got %v", duration.value)
		}
	}
	return found
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// EngineConfig configures a model engine.
type EngineConfig struct {
	Config
	Models        []string
	Adapters      []string
	ChecksFencing bool
	// TokenInterval is the time between two tokens of a request; a negative
	// value means no delay.
	TokenInterval time.Duration
	// FirstTokenDelay is the time until the first token of a prompt without any
	// cached block; a negative value means no delay.
	FirstTokenDelay time.Duration
	// CacheBlocks is the capacity of the prefix cache in prompt blocks.
	CacheBlocks int
	// ResumeGrace is how long a stream continues after its last reader
	// disconnected, so that it can be resumed.
	ResumeGrace time.Duration
}

// Defaults fills the fields that are unset.
func (c *EngineConfig) Defaults() {
	c.Config.Defaults()
	setDefault(&c.TokenInterval, defaultTokenInterval)
	setDefault(&c.FirstTokenDelay, defaultFirstTokenDelay)
	setDefault(&c.CacheBlocks, defaultCacheBlocks)
	setDefault(&c.ResumeGrace, defaultResumeGrace)
	if len(c.Models) == 0 {
		c.Models = []string{"standin"}
	}
}

// OrdersConfig configures an order service.
type OrdersConfig struct {
	Config
	// ServiceTime is how long processing one request takes.
	ServiceTime time.Duration
}
