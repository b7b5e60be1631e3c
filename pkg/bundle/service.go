package bundle

import (
	"path"
	"slices"
	"strings"

	"oleanderramp/pkg/finding"
)

// Protocol is the protocol of a service's endpoints.
type Protocol string

// The protocols.
const (
	// ProtocolOpenAI is the OpenAI-style chat and completion API.
	ProtocolOpenAI Protocol = "openai"
	// ProtocolPlain is any other HTTP service, reached at /services/NAME/.
	ProtocolPlain Protocol = "plain"
)

// CostUnit is the unit in which the cost of requests is measured.
type CostUnit string

// The units of cost.
const (
	// CostRequests counts each completed request once, times the weight of
	// its kind.
	CostRequests CostUnit = "requests"
	// CostTokens counts the tokens generated, times the weight of the kind.
	CostTokens CostUnit = "tokens"
)

// Service is a service that a group of endpoints provides.
type Service struct {
	Name     string   `json:"name"`
	Protocol Protocol `json:"protocol"`
	Cost     CostUnit `json:"cost,omitempty"`
	// Models lists the models that the service provides, for ProtocolOpenAI. A
	// request for a model is sent to the service that lists it.
	Models []string `json:"models,omitempty"`
	Kinds  []Kind   `json:"kinds"`
	// Placement is nil when no models are loaded on demand.
	Placement *Placement `json:"placement,omitempty"`
}

// Bounds of a service.
const (
	maxModels     = 1_000
	maxKinds      = 100
	maxModelBytes = 200
)

// Defaults sets all unset fields of the service, its kinds and its placement to
// their defaults.
func (s *Service) Defaults() {
	setDefault(&s.Cost, CostRequests)
	for i := range s.Kinds {
		s.Kinds[i].defaults(s.Cost)
	}
	if s.Placement != nil {
		s.Placement.Defaults()
	}
}

// Kind returns the kind with that name, or the first kind for an empty name.
// The caller must not modify it.
func (s *Service) Kind(name string) (*Kind, bool) {
	for i := range s.Kinds {
		if name == "" || s.Kinds[i].Name == name {
			return &s.Kinds[i], true
		}
	}
	return nil, false
}

// KindForRoute returns the kind whose route matches the method and the decoded
// path. The longest path prefix takes precedence, then a route for the method
// over one for any method. Without a match it returns the first kind of the
// service if that kind has no routes. A path that is not clean, such as
// "/a/../b", matches no kind. The caller must not modify the kind.
func (s *Service) KindForRoute(method, urlPath string) (*Kind, bool) {
	if !isCleanPath(urlPath) {
		return nil, false
	}
	var best *Kind
	var bestRoute Route
	for i := range s.Kinds {
		for _, route := range s.Kinds[i].Routes {
			if route.matches(method, urlPath) && (best == nil || route.isMoreSpecificThan(bestRoute)) {
				best = &s.Kinds[i]
				bestRoute = route
			}
		}
	}
	if best == nil && len(s.Kinds) > 0 && len(s.Kinds[0].Routes) == 0 {
		best = &s.Kinds[0]
	}
	return best, best != nil
}

// isCleanPath reports whether the path is absolute and has no empty, "." or
// ".." segments. A trailing slash is allowed.
func isCleanPath(urlPath string) bool {
	if !strings.HasPrefix(urlPath, "/") || strings.HasSuffix(urlPath, "//") {
		return false
	}
	trimmed := strings.TrimSuffix(urlPath, "/")
	return trimmed == "" || path.Clean(trimmed) == trimmed
}

// Validate adds a finding for each problem of the service itself.
func (s *Service) Validate(list *finding.List) {
	s.validate("", newUniqueSet("model"), list)
}

func (s *Service) validate(place string, models *uniqueSet, list *finding.List) {
	list.CheckName(fieldPlace(place, "name"), s.Name)
	if s.Protocol != ProtocolOpenAI && s.Protocol != ProtocolPlain {
		list.Addf(fieldPlace(place, "protocol"), "must be %q or %q, not %q", ProtocolOpenAI, ProtocolPlain, s.Protocol)
	}
	if s.Cost != CostRequests && s.Cost != CostTokens {
		list.Addf(fieldPlace(place, "cost"), "must be %q or %q, not %q", CostRequests, CostTokens, s.Cost)
	}
	if s.Protocol == ProtocolPlain && s.Cost == CostTokens {
		list.Addf(fieldPlace(place, "cost"), "must not be tokens for a plain service")
	}
	s.validateModels(place, models, list)
	s.validatePlacement(place, list)
	checkCount(list, fieldPlace(place, "kinds"), len(s.Kinds), 1, maxKinds)
	names := newUniqueSet("kind")
	routes := newUniqueSet("route")
	for i := range s.Kinds {
		kindPlace := elementPlace(fieldPlace(place, "kinds"), i)
		s.Kinds[i].validate(kindPlace, s.Protocol, routes, list)
		names.check(list, kindPlace+".name", s.Kinds[i].Name)
	}
}

func (s *Service) validateModels(place string, models *uniqueSet, list *finding.List) {
	checkCount(list, fieldPlace(place, "models"), len(s.Models), 0, maxModels)
	if s.Protocol == ProtocolPlain && len(s.Models) > 0 {
		list.Addf(fieldPlace(place, "models"), "must be empty for a plain service")
	}
	if s.Protocol == ProtocolOpenAI && len(s.Models) == 0 {
		list.Addf(fieldPlace(place, "models"), "must not be empty for a service with protocol %q", ProtocolOpenAI)
	}
	for i, model := range s.Models {
		modelPlace := elementPlace(fieldPlace(place, "models"), i)
		if !isPrintable(model, maxModelBytes) {
			list.Addf(modelPlace, "must be 1 to %d printable characters without spaces", maxModelBytes)
		}
		models.check(list, modelPlace, model)
	}
}

func (s *Service) normalize() {
	slices.Sort(s.Models)
	s.Kinds = nonNil(s.Kinds)
	if len(s.Models) == 0 {
		s.Models = nil
	}
	for i := range s.Kinds {
		if len(s.Kinds[i].Routes) == 0 {
			s.Kinds[i].Routes = nil
		}
	}
	if s.Placement != nil {
		s.Placement.normalize()
	}
}

func (s *Service) clone() Service {
	copied := *s
	copied.Models = slices.Clone(s.Models)
	copied.Kinds = slices.Clone(s.Kinds)
	copied.Placement = s.Placement.clone()
	for i := range copied.Kinds {
		copied.Kinds[i].Routes = slices.Clone(copied.Kinds[i].Routes)
	}
	return copied
}
