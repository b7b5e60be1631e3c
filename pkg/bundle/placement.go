package bundle

import (
	"slices"
	"strings"

	"oleanderramp/pkg/finding"
)

// Placement defines which models of a service are loaded on demand. No load
// orders are issued for a service without a Placement.
type Placement struct {
	// WeightStoreOrdersPerMinute bounds the orders in each region to load
	// models of the service.
	WeightStoreOrdersPerMinute int           `json:"weight_store_orders_per_minute,omitempty"`
	Models                     []PlacedModel `json:"models"`
}

// PlacedModel bounds the number of endpoints in a region that have a model
// loaded.
type PlacedModel struct {
	Model string `json:"model"`
	// MinEndpoints is the number of endpoints that have the model loaded even
	// without demand. Unset means none.
	MinEndpoints int `json:"min_endpoints,omitempty"`
	// MaxEndpoints bounds the number of endpoints on which demand loads the
	// model. Unset or 0 means unlimited.
	MaxEndpoints int `json:"max_endpoints,omitempty"`
	// Adapters lists the adapters of the model that are loaded on demand.
	Adapters []PlacedAdapter `json:"adapters,omitempty"`
}

// PlacedAdapter bounds the number of endpoints in a region that have an adapter
// loaded, among those that have its model loaded.
type PlacedAdapter struct {
	Adapter string `json:"adapter"`
	// MinEndpoints and MaxEndpoints have the same meaning as in PlacedModel.
	MinEndpoints int `json:"min_endpoints,omitempty"`
	MaxEndpoints int `json:"max_endpoints,omitempty"`
}

// Bounds and defaults of a placement.
const (
	maxOrdersPerMinute     = 600
	maxPlacedEndpoints     = 10_000
	maxAdapters            = 1_000
	maxAdapterBytes        = 128
	defaultOrdersPerMinute = 6
)

// Defaults sets all unset fields to their defaults.
func (p *Placement) Defaults() {
	setDefault(&p.WeightStoreOrdersPerMinute, defaultOrdersPerMinute)
}

// Validate adds a finding for each problem of the placement itself.
func (p *Placement) Validate(list *finding.List) {
	p.validate("", list)
}

func (p *Placement) validate(place string, list *finding.List) {
	checkRange(list, fieldPlace(place, "weight_store_orders_per_minute"), p.WeightStoreOrdersPerMinute, 1, maxOrdersPerMinute)
	checkCount(list, fieldPlace(place, "models"), len(p.Models), 1, maxModels)
	names := newUniqueSet("model")
	for i, m := range p.Models {
		modelPlace := elementPlace(fieldPlace(place, "models"), i)
		names.check(list, fieldPlace(modelPlace, "model"), m.Model)
		validateEndpointBounds(list, modelPlace, m.MinEndpoints, m.MaxEndpoints)
		m.validateAdapters(list, modelPlace)
	}
}

func (m *PlacedModel) validateAdapters(list *finding.List, place string) {
	checkCount(list, fieldPlace(place, "adapters"), len(m.Adapters), 0, maxAdapters)
	names := newUniqueSet("adapter")
	for i, a := range m.Adapters {
		adapterPlace := elementPlace(fieldPlace(place, "adapters"), i)
		if !isPrintable(a.Adapter, maxAdapterBytes) {
			list.Addf(fieldPlace(adapterPlace, "adapter"), "must be 1 to %d printable characters without spaces", maxAdapterBytes)
		}
		names.check(list, fieldPlace(adapterPlace, "adapter"), a.Adapter)
		validateEndpointBounds(list, adapterPlace, a.MinEndpoints, a.MaxEndpoints)
	}
}

func validateEndpointBounds(list *finding.List, place string, minimum, maximum int) {
	checkRange(list, fieldPlace(place, "min_endpoints"), minimum, 0, maxPlacedEndpoints)
	checkRange(list, fieldPlace(place, "max_endpoints"), maximum, 0, maxPlacedEndpoints)
	if maximum > 0 && maximum < minimum {
		list.Addf(fieldPlace(place, "max_endpoints"), "must be at least min_endpoints, %d, not %d", minimum, maximum)
	}
}

// validatePlacement checks the placement of the service against its models.
func (s *Service) validatePlacement(place string, list *finding.List) {
	if s.Placement == nil {
		return
	}
	place = fieldPlace(place, "placement")
	if s.Protocol == ProtocolPlain {
		list.Addf(place, "is not allowed for a plain service")
		return
	}
	s.Placement.validate(place, list)
	for i, m := range s.Placement.Models {
		if !slices.Contains(s.Models, m.Model) {
			list.Addf(elementPlace(fieldPlace(place, "models"), i)+".model", "the service has no model %q", shorten(m.Model))
		}
	}
}

func (p *Placement) normalize() {
	p.Models = nonNil(p.Models)
	slices.SortFunc(p.Models, func(a, b PlacedModel) int { return strings.Compare(a.Model, b.Model) })
	for i := range p.Models {
		adapters := p.Models[i].Adapters
		slices.SortFunc(adapters, func(a, b PlacedAdapter) int { return strings.Compare(a.Adapter, b.Adapter) })
		if len(adapters) == 0 {
			p.Models[i].Adapters = nil
		}
	}
}

func (p *Placement) clone() *Placement {
	if p == nil {
		return nil
	}
	copied := *p
	copied.Models = slices.Clone(p.Models)
	for i := range copied.Models {
		copied.Models[i].Adapters = slices.Clone(copied.Models[i].Adapters)
	}
	return &copied
}
