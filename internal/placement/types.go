package placement

import (
	"slices"
	"time"
)

// Kind is a kind of order to an engine.
type Kind string

// The kinds of order.
const (
	LoadModel   Kind = "load_model"
	LoadAdapter Kind = "load_adapter"
)

// Endpoint is an engine as its scheduler reports it.
type Endpoint struct {
	Name        string
	Incarnation uint64
	// Address is "IP:port".
	Address string
	// Models and Adapters are those loaded. An empty list serves any.
	Models, Adapters []string
	ChecksFencing    bool
	// Available is false when the endpoint gets no new work.
	Available bool
	// Running counts the slots in use of Slots.
	Slots, Running int
}

func (e Endpoint) hasFreeSlot() bool { return e.Running < e.Slots }

// hasLoaded tells whether what the target names is loaded.
func (e Endpoint) hasLoaded(t Target) bool {
	if t.Kind == LoadAdapter {
		return e.hasModel(t.Model) && (len(e.Adapters) == 0 || slices.Contains(e.Adapters, t.Name))
	}
	return e.hasModel(t.Name)
}

func (e Endpoint) hasModel(model string) bool {
	return len(e.Models) == 0 || slices.Contains(e.Models, model)
}

// Demand is what waits for a model with an adapter, or without.
type Demand struct {
	Model, Adapter string
	Waiting        int
	OldestWait     time.Duration
}

// Target is a model or an adapter that may be loaded on demand.
type Target struct {
	Kind Kind
	// Name is that of the model or the adapter.
	Name string
	// Model is the model that an adapter belongs to.
	Model string
	// Min and Max bound the endpoints that have it; a Max of 0 is no bound.
	Min, Max int
}

// matchesDemand tells whether the demand is one for the target.
func (t Target) matchesDemand(d Demand) bool {
	if t.Kind == LoadAdapter {
		return d.Model == t.Model && d.Adapter == t.Name
	}
	return d.Model == t.Name
}

// Service is one service in the region, as of now. A service whose scheduler
// has not reported is left out.
type Service struct {
	Name string
	// OrdersPerMinute is the rate of the weight store.
	OrdersPerMinute int
	Targets         []Target
	Endpoints       []Endpoint
	Demand          []Demand
}

// Order tells an engine to load something.
type Order struct {
	Service     string
	Endpoint    string
	Incarnation uint64
	Address     string
	Kind        Kind
	Name        string
	// Fence is the fencing number of the lease.
	Fence uint64
	// Reason is one of the Reason constants.
	Reason string
	// SendBy is when the sending must have ended, by the holder's clock. It is
	// before the end of the lease.
	SendBy time.Time
}

// The reasons of orders.
const (
	ReasonMinimum = "fewer_endpoints_than_minimum"
	ReasonNotLoaded    = "requests_wait_and_no_endpoint_has_it"
	ReasonAllFull    = "requests_wait_and_endpoints_that_have_it_are_full"
)

// DelayedOrder is an order that waits for the weight store.
type DelayedOrder struct {
	Order Order
	For   time.Duration
}

// WithheldOrder is an order that waits until the former holder has surely ended.
type WithheldOrder struct {
	Order Order
	Until time.Time
}

// Decisions are the outputs of Decide. An order is told as delayed, or as
// withheld, once for each need.
type Decisions struct {
	Orders   []Order
	Delayed  []DelayedOrder
	Withheld []WithheldOrder
	// Incomplete holds the orders that did not show in time.
	Incomplete []Order
}
