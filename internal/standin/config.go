// Package standin is a stand-in for the endpoints of a deployment: a model
// engine and a plain order service, with faults that can be switched on.
package standin

import (
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"oleanderramp/pkg/finding"
)

// Defaults of the configurations.
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

// Config is what both kinds of endpoint have in common. Zero fields take
// their defaults.
type Config struct {
	// Listen is the address to serve on, "IP:port"; port 0 for any.
	Listen   string
	Endpoint string
	Service  string
	Region   string
	Zone     string
	// Incarnation must grow with each start; 0 for one made from the clock.
	Incarnation uint64
	// Slots is how many requests run at once.
	Slots int
	// AnnounceTo holds the base URLs of daemons, tried in turn.
	AnnounceTo []string
	// AnnounceInterval is the time between two announcements.
	AnnounceInterval time.Duration
	// Lease is how long an announcement holds.
	Lease time.Duration
	// LeaveDelay is the time between the announcement of leaving and the end
	// of the listener, so that work on its way is still served.
	LeaveDelay time.Duration
	// ReportLag is how old the reported load is.
	ReportLag time.Duration
	// CrashMarker makes requests that contain it crash the endpoint.
	CrashMarker string
	// AnswerDelay is added to the time until an answer begins.
	AnswerDelay time.Duration
	// Exit ends the process in a crash. nil closes the listener and all
	// connections at once instead, for use within a test.
	Exit func()
	// Log gets what happens; nil for nothing.
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

// Validate returns everything that is wrong with the configuration.
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
	// TokenInterval is the time between two tokens of a request; negative for
	// none.
	TokenInterval time.Duration
	// FirstTokenDelay is the time until the first token of a prompt of which
	// nothing is cached; negative for none.
	FirstTokenDelay time.Duration
	// CacheBlocks bounds the prefix cache, in blocks of a prompt.
	CacheBlocks int
	// ResumeGrace is how long a stream goes on after its connection closed,
	// so that it can be resumed.
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
	// ServiceTime is how long one request takes.
	ServiceTime time.Duration
}
