package placement

import (
	"slices"
	"time"
)

// Kind is the kind of an order sent to an engine.
type Kind string

// The kinds of order.
const (
	LoadModel   Kind = "load_model"
	LoadAdapter Kind = "load_adapter"
)

// Endpoint is an engine as reported by its scheduler.
type Endpoint struct {
	Name        string
	Incarnation uint64
	// Address is "IP:port".
	Address string
	// Models and Adapters are the loaded ones. An empty list means that the
	// endpoint serves any.
	Models, Adapters []string
	// ChecksFencing reports whether the endpoint checks the fencing tokens of
	// orders.
	ChecksFencing bool
	// Available is false when the endpoint gets no new requests.
	Available bool
	// Running is how many of the Slots are in use.
	Slots, Running int
}

func (e Endpoint) hasFreeSlot() bool { return e.Running < e.Slots }

// hasLoaded reports whether the endpoint can serve the target.
func (e Endpoint) hasLoaded(t Target) bool {
	if t.Kind == LoadAdapter {
		return e.hasModel(t.Model) && (len(e.Adapters) == 0 || slices.Contains(e.Adapters, t.Name))
	}
	return e.hasModel(t.Name)
}

func (e Endpoint) hasModel(model string) bool {
	return len(e.Models) == 0 || slices.Contains(e.Models, model)
}

// Demand summarizes the requests waiting for a model, with or without an
// adapter.
type Demand struct {
	Model, Adapter string
	Waiting        int
	OldestWait     time.Duration
}

// Target is a model or an adapter that may be loaded on demand.
type Target struct {
	Kind Kind
	// Name is the name of the model or the adapter.
	Name string
	// Model is the model that an adapter belongs to.
	Model string
	// Min and Max bound the number of endpoints that have the target loaded; a
	// Max of 0 means no limit.
	Min, Max int
}

// matchesDemand reports whether the demand is for the target.
func (t Target) matchesDemand(d Demand) bool {
	if t.Kind == LoadAdapter {
		return d.Model == t.Model && d.Adapter == t.Name
	}
	return d.Model == t.Name
}

// Service is the current state of one service in the region. Services whose
// scheduler has not reported are left out.
type Service struct {
	Name string
	// OrdersPerMinute is the rate limit of the weight store.
	OrdersPerMinute int
	Targets         []Target
	Endpoints       []Endpoint
	Demand          []Demand
}

// Order tells an engine to load a model or an adapter.
type Order struct {
	Service     string
	Endpoint    string
	Incarnation uint64
	Address     string
	Kind        Kind
	Name        string
	// Fence is the fencing token of the lease.
	Fence uint64
	// Reason is one of the Reason constants.
	Reason string
	// SendBy is the deadline for sending, by the holder's clock. It is before
	// the end of the lease.
	SendBy time.Time
}

// The reasons of orders.
const (
	ReasonMinimum   = "fewer_endpoints_than_minimum"
	ReasonNotLoaded = "requests_wait_and_no_endpoint_has_it"
	ReasonAllFull   = "requests_wait_and_endpoints_that_have_it_are_full"
)

// DelayedOrder is an order delayed by the rate limit of the weight store.
type DelayedOrder struct {
	Order Order
	For   time.Duration
}

// WithheldOrder is an order withheld until the previous holder of the lease
// certainly sends no more orders.
type WithheldOrder struct {
	Order Order
	Until time.Time
}

// Decisions are the outputs of Decide. For each need, an order is reported as
// delayed, or as withheld, only once.
type Decisions struct {
	Orders   []Order
	Delayed  []DelayedOrder
	Withheld []WithheldOrder
	// Incomplete holds the orders that were not completed in time.
	Incomplete []Order
}
