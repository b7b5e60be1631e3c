package scheduler

import "time"

// Router identifies one run of a router process.
type Router struct {
	Host        string
	Incarnation uint64
}

// RequestID identifies a request. Number is unique within the router's
// incarnation.
type RequestID struct {
	Router Router
	Number uint64
}

// Request is a request that waits for a slot.
type Request struct {
	ID RequestID
	// Account is the client account that the request's cost is charged to.
	Account string
	Kind    string
	// Estimate is the expected cost, weighted by kind. 0 means unknown.
	Estimate float64
	// Waited is how long the request has waited before it was enqueued.
	Waited time.Duration
	// Prefix holds hashes of the prompt's prefixes, the shortest first.
	Prefix []uint64
	// Model and Adapter must be loaded at the endpoint. Empty matches any.
	Model, Adapter string
	// Excluded holds the endpoints that must not run the request.
	Excluded []string
	// Alone requires an endpoint on which nothing else runs.
	Alone bool
}

// Running is a request that held a slot when its router reconnected.
type Running struct {
	ID                RequestID
	Account, Endpoint string
	Estimate          float64
}

// Completion ends a granted request.
type Completion struct {
	ID                RequestID
	Account, Endpoint string
	// Cost is the actual cost, weighted by kind. 0 when nothing is billed.
	Cost float64
	// Crashed reports whether the endpoint crashed while it ran the request.
	Crashed bool
}

// Announcement registers an endpoint or renews its lease.
type Announcement struct {
	Endpoint string
	// Incarnation grows with each start of the endpoint, Sequence with each
	// announcement of one incarnation.
	Incarnation, Sequence          uint64
	Service, Region, Zone, Address string
	// Slots is the number of requests that the endpoint runs at once.
	Slots         int
	ChecksFencing bool
	// Running and Queued are the endpoint's own counts, which may be out of
	// date on arrival by up to Config.ReportLag.
	Running, Queued int
	// Models and Adapters are those loaded. An empty list matches any.
	Models, Adapters []string
	// Cached holds hashes of prompt prefixes likely to be in the cache.
	Cached []uint64
	// Leaving reports whether the endpoint is shutting down and must get no
	// new requests.
	Leaving bool
	// Lease is how long the announcement is valid.
	Lease time.Duration
}

// Decisions are the outputs of Decide.
type Decisions struct {
	Grants   []Grant
	Refusals []Refusal
	// Urgent reports whether UrgentOutgoing should be called at once instead of
	// waiting for the next exchange period.
	Urgent bool
}

// Grant lets a router run a request on an endpoint.
type Grant struct {
	ID                  RequestID
	Account, Endpoint   string
	EndpointIncarnation uint64
	Address             string
	// Reason is why the endpoint was chosen, one of the Reason constants.
	Reason string
	// Loan is the number of the loan that the slot belongs to, 0 for a slot of
	// this region.
	Loan uint64
}

// The reasons of grants.
const (
	ReasonPrefix      = "prefix"
	ReasonLeastLoaded = "least_loaded"
	ReasonAlone       = "alone"
	ReasonLoan        = "loan"
	ReasonResent      = "resent"
)

// Refusal rejects a request that no endpoint can serve.
type Refusal struct {
	ID         RequestID
	Reason     string
	RetryAfter time.Duration
}

// The reasons of refusals.
const (
	ReasonNoEndpoint = "no_endpoint"
	ReasonNoModel    = "no_endpoint_with_model"
	ReasonExcluded   = "all_endpoints_excluded"
)

// AccountStatus is the state of a client account at one scheduler.
type AccountStatus struct {
	Account string
	Share   int
	// VirtualService is the service received fleet-wide divided by the share,
	// plus the virtual time at which the account became backlogged.
	VirtualService float64
	// Service is the cost charged by this scheduler since it started.
	Service          float64
	Waiting, Running int
}

// EndpointStatus is the state of an endpoint at one scheduler.
type EndpointStatus struct {
	Endpoint    string
	Incarnation uint64
	Address     string
	Zone        string
	Slots       int
	// InUse counts the slots granted by this scheduler and those lent to other
	// regions.
	InUse int
	// Foreign counts the running requests that this scheduler did not grant.
	Foreign          int
	Leaving, Drained bool
	// LeaseRemaining is 0 when the lease has expired.
	LeaseRemaining time.Duration
}
