package routing

import (
	"fmt"
	"strings"

	"oleanderramp/pkg/finding"
)

// Table is a validated, immutable routing table.
type Table struct {
	version uint64
	limits  Limits
	// routes is keyed by host and prefix.
	routes   map[routeKey]*Route
	services map[string]*Service
	// accounts maps each key to the name of its account.
	accounts map[string]string
	// accountRegions maps the accounts that have allowed regions to them.
	accountRegions map[string][]string
	// regionPlaces lists all allowed regions with their places in the document.
	regionPlaces []regionPlace
	// priorities maps accounts to their priorities, for those that have one.
	priorities map[string]int
}

// routeKey identifies a route in the table.
type routeKey struct{ host, prefix string }

// New validates the document and returns its table. The error is a
// *finding.Error with all problems found. The table keeps references to the
// document, which must not be changed afterwards.
func New(doc Document) (*Table, error) {
	t := &Table{
		version: doc.Version, limits: doc.Limits,
		routes:   make(map[routeKey]*Route, len(doc.Routes)),
		services: make(map[string]*Service, len(doc.Services)),
		accounts: make(map[string]string), accountRegions: make(map[string][]string), priorities: make(map[string]int),
	}
	var findings finding.List
	if doc.Version == 0 {
		findings.Addf("version", "must be at least 1")
	}
	for i := range doc.Services {
		t.addService(&doc.Services[i], fmt.Sprintf("services[%d]", i), &findings)
	}
	for i := range doc.Routes {
		t.addRoute(&doc.Routes[i], fmt.Sprintf("routes[%d]", i), &findings)
	}
	for i := range doc.Accounts {
		t.addAccount(&doc.Accounts[i], fmt.Sprintf("accounts[%d]", i), &findings)
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *Table) addService(s *Service, place string, findings *finding.List) {
	if s.Name == "" {
		findings.Addf(place+".name", "is missing")
		return
	}
	if _, exists := t.services[s.Name]; exists {
		findings.Addf(place+".name", "service %q is listed twice", s.Name)
	}
	if s.ColdStart < 0 || !(s.ColdPerSecond >= 0) {
		findings.Addf(place+".cold", "neither the time after a start nor the limit may be negative")
	}
	t.services[s.Name] = s
}

func (t *Table) addRoute(r *Route, place string, findings *finding.List) {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		findings.Addf(place+".prefix", "%q must begin and end with a slash", r.Prefix)
	}
	if r.Timeout <= 0 {
		findings.Addf(place+".timeout", "must be longer than 0")
	}
	sum := 0
	for j, target := range r.Targets {
		if _, known := t.services[target.Service]; !known {
			findings.Addf(fmt.Sprintf("%s.targets[%d]", place, j), "service %q is unknown", target.Service)
		}
		if target.Weight < 0 {
			findings.Addf(fmt.Sprintf("%s.targets[%d].weight", place, j), "must not be negative")
		}
		sum += max(target.Weight, 0)
	}
	if sum == 0 {
		findings.Addf(place+".targets", "the weights add up to 0")
	}
	key := routeKey{host: strings.ToLower(r.Host), prefix: r.Prefix}
	if other, exists := t.routes[key]; exists {
		findings.Addf(place, "host and prefix are the same as those of route %q", other.Name)
	}
	t.routes[key] = r
	t.addRegionPlaces(r.Regions, place)
}

func (t *Table) addAccount(a *Account, place string, findings *finding.List) {
	if a.Name == "" {
		findings.Addf(place+".name", "is missing")
	}
	if a.Priority != nil {
		t.priorities[a.Name] = *a.Priority
	}
	for j, key := range a.Keys {
		if owner, exists := t.accounts[key]; exists && owner != a.Name {
			findings.Addf(fmt.Sprintf("%s.keys[%d]", place, j), "the key also belongs to account %q", owner)
		}
		t.accounts[key] = a.Name
	}
	t.addAccountRegions(a, place)
}

// Version returns the table's version.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits common to all routes.
func (t *Table) Limits() Limits { return t.limits }

// Len returns the number of routes.
func (t *Table) Len() int { return len(t.routes) }

// Match returns the route of the host with the longest prefix of the path, or
// nil. The path must not include the query.
func (t *Table) Match(host, path string) *Route {
	key := routeKey{host: strings.ToLower(host)}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		key.prefix = path[:end+1]
		if route, ok := t.routes[key]; ok {
			return route
		}
	}
	return nil
}

// Account returns the name of the account that the key belongs to.
func (t *Table) Account(key string) (string, bool) {
	name, ok := t.accounts[key]
	return name, ok
}

// Priority returns the priority of a request of the route and the account: the account's, if
// it has one, and otherwise the route's. Lower is more urgent.
func (t *Table) Priority(route *Route, account string) int {
	if priority, ok := t.priorities[account]; ok {
		return priority
	}
	return route.Priority
}

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Pick selects the service for a request of the route in proportion to the
// weights of its targets. random must be uniformly distributed.
func (r *Route) Pick(random uint64) string {
	sum := uint64(0)
	for _, target := range r.Targets {
		sum += uint64(max(target.Weight, 0))
	}
	if sum == 0 {
		return ""
	}
	offset := random % sum
	for _, target := range r.Targets {
		weight := uint64(max(target.Weight, 0))
		if offset < weight {
			return target.Service
		}
		offset -= weight
	}
	return ""
}
