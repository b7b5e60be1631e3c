package bundle

import (
	"math"
	"strings"

	"oleanderramp/pkg/finding"
)

// Kind is a kind of request of a service. A request that names no kind has the
// first kind of its service.
type Kind struct {
	Name string `json:"name"`
	// Weight multiplies the cost of a request of this kind. Unset or 0 means
	// 1.
	Weight float64 `json:"weight,omitempty"`
	// Idempotent reports whether a request of this kind may run more than once.
	Idempotent bool `json:"idempotent"`
	// Routes assign requests of plain services to this kind.
	Routes []Route `json:"routes,omitempty"`
	// EstimatedCost is charged when a request is granted a slot. It is in the
	// service's unit of cost and doesn't include the weight.
	EstimatedCost float64 `json:"estimated_cost,omitempty"`
	// QueueTimeoutMS bounds the time that a request waits for a grant.
	QueueTimeoutMS int `json:"queue_timeout_ms,omitempty"`
	// ProgressTimeoutMS bounds the time between two bytes of a response, and four times
	// as long that between two events of a stream.
	ProgressTimeoutMS int `json:"progress_timeout_ms,omitempty"`
	// MaxAttempts bounds the attempts of an idempotent request.
	MaxAttempts int `json:"max_attempts,omitempty"`
}

// Bounds and defaults of a kind.
const (
	maxWeight        = 1_000_000
	maxEstimatedCost = 1e9
	maxRoutes        = 200
	maxPrefixBytes   = 500
	maxTimeoutMS     = 24 * 3600 * 1000
	maxAttemptsLimit = 10

	defaultWeight            = 1
	defaultRequestCost       = 1
	defaultTokenCost         = 256
	defaultQueueTimeoutMS    = 30_000
	defaultProgressTimeoutMS = 30_000
	defaultMaxAttempts       = 3
)

// Defaults sets all unset fields to their defaults, for a service whose cost
// unit is CostRequests.
func (k *Kind) Defaults() {
	k.defaults(CostRequests)
}

func (k *Kind) defaults(cost CostUnit) {
	setDefault(&k.Weight, defaultWeight)
	setDefault(&k.QueueTimeoutMS, defaultQueueTimeoutMS)
	setDefault(&k.ProgressTimeoutMS, defaultProgressTimeoutMS)
	if cost == CostTokens {
		setDefault(&k.EstimatedCost, defaultTokenCost)
	} else {
		setDefault(&k.EstimatedCost, defaultRequestCost)
	}
	if k.Idempotent {
		setDefault(&k.MaxAttempts, defaultMaxAttempts)
	} else {
		setDefault(&k.MaxAttempts, 1)
	}
}

// Validate adds a finding for each problem of the kind itself, as a kind of a
// plain service.
func (k *Kind) Validate(list *finding.List) {
	k.validate("", ProtocolPlain, newUniqueSet("route"), list)
}

func (k *Kind) validate(place string, protocol Protocol, routes *uniqueSet, list *finding.List) {
	list.CheckName(fieldPlace(place, "name"), k.Name)
	checkFloat(list, fieldPlace(place, "weight"), k.Weight, maxWeight)
	checkFloat(list, fieldPlace(place, "estimated_cost"), k.EstimatedCost, maxEstimatedCost)
	checkRange(list, fieldPlace(place, "queue_timeout_ms"), k.QueueTimeoutMS, 1, maxTimeoutMS)
	checkRange(list, fieldPlace(place, "progress_timeout_ms"), k.ProgressTimeoutMS, 1, maxTimeoutMS)
	checkRange(list, fieldPlace(place, "max_attempts"), k.MaxAttempts, 1, maxAttemptsLimit)
	if !k.Idempotent && k.MaxAttempts > 1 {
		list.Addf(fieldPlace(place, "max_attempts"), "must be 1, because the kind is not idempotent")
	}
	checkCount(list, fieldPlace(place, "routes"), len(k.Routes), 0, maxRoutes)
	if protocol == ProtocolOpenAI && len(k.Routes) > 0 {
		list.Addf(fieldPlace(place, "routes"), "must be empty for a service with protocol %q", ProtocolOpenAI)
	}
	for i := range k.Routes {
		routePlace := elementPlace(fieldPlace(place, "routes"), i)
		k.Routes[i].validate(routePlace, list)
		routes.check(list, routePlace, k.Routes[i].Method+" "+k.Routes[i].PathPrefix)
	}
}

func checkFloat(list *finding.List, place string, value, limit float64) {
	if math.IsNaN(value) || value <= 0 || value > limit {
		list.Addf(place, "must be more than 0 and at most %g, not %g", limit, value)
	}
}

// MethodAny matches every method.
const MethodAny = "*"

// Route matches requests by method and path prefix. A prefix matches whole
// segments of the path: "/orders" matches "/orders" and "/orders/7", but not
// "/ordersheet".
type Route struct {
	// Method is an HTTP method in upper case, or MethodAny.
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
}

// Defaults does nothing; a Route has no defaults.
func (r *Route) Defaults() {}

// Validate adds a finding for each problem of the route.
func (r *Route) Validate(list *finding.List) {
	r.validate("", list)
}

func (r *Route) validate(place string, list *finding.List) {
	switch r.Method {
	case MethodAny, "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS":
	default:
		list.Addf(fieldPlace(place, "method"), "must be an HTTP method in upper case or %q, not %q", MethodAny, r.Method)
	}
	switch {
	case !isPrintable(r.PathPrefix, maxPrefixBytes) || !isCleanPath(r.PathPrefix):
		list.Addf(fieldPlace(place, "path_prefix"), "must be a path that begins with / and has no empty, . or .. segments, not %q", r.PathPrefix)
	case strings.ContainsAny(r.PathPrefix, "?#%"):
		list.Addf(fieldPlace(place, "path_prefix"), "must be a decoded path without a query, not %q", r.PathPrefix)
	}
}

func (r *Route) matches(method, urlPath string) bool {
	if r.Method != method && r.Method != MethodAny {
		return false
	}
	rest, found := strings.CutPrefix(urlPath, r.PathPrefix)
	return found && (rest == "" || rest[0] == '/' || strings.HasSuffix(r.PathPrefix, "/"))
}

// isMoreSpecificThan reports whether r takes precedence over other when both
// match a request.
func (r *Route) isMoreSpecificThan(other Route) bool {
	if len(r.PathPrefix) != len(other.PathPrefix) {
		return len(r.PathPrefix) > len(other.PathPrefix)
	}
	return r.Method != MethodAny && other.Method == MethodAny
}
