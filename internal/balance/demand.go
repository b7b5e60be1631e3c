package balance

import (
	"slices"
	"time"

	"oleanderramp/internal/directory"
	"oleanderramp/internal/locality"
	"oleanderramp/internal/ratelimit"
)

// Part is a section of a prompt that other prompts may share as a prefix.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes the work that a request causes at an engine.
type Prompt struct {
	// Tokens is the length of the prompt, and Output the maximum number of
	// tokens generated.
	Tokens int
	Output int
	// Parts are the sections of the prompt in order. The last one is specific to
	// the request and is not shared.
	Parts []Part
}

// Demand describes a request that needs an endpoint.
type Demand struct {
	Service string
	Prompt  Prompt
	// RequestBytes is the size of the request's body.
	RequestBytes int
	// MaxResponseTime bounds the predicted time until the first event of a
	// stream or the answer. MaxTotalTime bounds the predicted time until the
	// whole answer; 0 means no bound.
	MaxResponseTime time.Duration
	MaxTotalTime    time.Duration
	// SpareOnly requests run only on endpoints that have spare slots left for
	// further requests.
	SpareOnly bool
	// Software is the version of the endpoint's software that the request needs; nil
	// if any will do.
	Software *string
	// Excluded lists the IDs of endpoints that must not be chosen.
	Excluded []string
	// Only lists the IDs of the endpoints that may be chosen; nil for all.
	Only []string
	// Regions lists the regions of the endpoints that may be chosen, and from which
	// cached prompt parts may be fetched; nil for all. An empty list allows none.
	Regions []string
	// Room bounds what the request may take of an engine; nil for the former rules.
	Room *Room
	// Seed spreads demands without prompt parts over the endpoints.
	Seed uint64
}

// allows reports whether the request may run on the endpoint.
func (d Demand) allows(e directory.Entry) bool {
	if d.Only != nil && !slices.Contains(d.Only, e.ID) {
		return false
	}
	return !slices.Contains(d.Excluded, e.ID) && (d.Software == nil || e.Software == *d.Software)
}

// Load is the work in progress at an endpoint.
type Load struct {
	Running int
	// Prefill is the number of prompt tokens that are still to be read.
	Prefill int
	// Memory is the maximum number of tokens that the requests hold in memory.
	Memory int
	// Recent are the requests sent lately, for endpoints with a rate limit and cold ones.
	Recent ratelimit.Sent
}

// Add returns the sum of both loads.
func (l Load) Add(other Load) Load {
	return Load{
		Running: l.Running + other.Running, Prefill: l.Prefill + other.Prefill, Memory: l.Memory + other.Memory,
		Recent: l.Recent.Add(other.Recent),
	}
}

// Subtract returns the difference of both loads. No value falls below 0.
func (l Load) Subtract(other Load) Load {
	return Load{
		Running: max(l.Running-other.Running, 0), Prefill: max(l.Prefill-other.Prefill, 0), Memory: max(l.Memory-other.Memory, 0),
		Recent: l.Recent.Subtract(other.Recent),
	}
}

// Reason is the reason why no endpoint was chosen.
type Reason string

const (
	// NoEndpoint means that the service has no endpoint, or that all of them are
	// excluded or down.
	NoEndpoint Reason = "no_endpoint"
	// Busy means that none of the endpoints has the capacity to answer in time.
	Busy Reason = "busy"
)

// Choice is an endpoint for a request, or the reason why there is none.
type Choice struct {
	Endpoint directory.Entry
	// Predicted is the predicted time until the first event or the answer.
	Predicted time.Duration
	// Uncached is the number of prompt tokens that the endpoint must read.
	Uncached int
	// Source is another endpoint from which cached prompt parts can be fetched;
	// its ID is empty when there is none.
	Source directory.Entry
	// Load is the known load of the endpoint when it was chosen.
	Load   Load
	Reason Reason
	// NextTurn is from when on an endpoint with a rate limit may be chosen, if all
	// that could be are kept from it by their limits now; zero otherwise.
	NextTurn time.Time
	// Left is why the request leaves its router's availability zone.
	Left locality.Reason
	// costMS is the predicted time with all penalties, in milliseconds.
	costMS float64
	// chain holds the links of the request's prompt.
	chain []link
	// fetchMS is how long the endpoint takes to fetch cached parts, in milliseconds.
	fetchMS float64
}
