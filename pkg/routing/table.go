package routing

import (
	"fmt"
	"strings"

	"oleanderramp/pkg/finding"
)

// Table is a valid routing table. It never changes.
type Table struct {
	version uint64
	limits  Limits
	// routes is keyed by host and prefix.
	routes   map[place]*Route
	services map[string]*Service
	// accounts holds the name of the account of each key.
	accounts map[string]string
}

// place is where a route is found.
type place struct{ host, prefix string }

// New checks the document and returns the table. The error is a
// *finding.Error with all problems found. The document must not be changed
// afterwards.
func New(doc Document) (*Table, error) {
	t := &Table{
		version: doc.Version, limits: doc.Limits,
		routes:   make(map[place]*Route, len(doc.Routes)),
		services: make(map[string]*Service, len(doc.Services)),
		accounts: make(map[string]string),
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

func (t *Table) addService(s *Service, at string, findings *finding.List) {
	if s.Name == "" {
		findings.Addf(at+".name", "is missing")
		return
	}
	if _, exists := t.services[s.Name]; exists {
		findings.Addf(at+".name", "service %q stands twice", s.Name)
	}
	t.services[s.Name] = s
}

func (t *Table) addRoute(r *Route, at string, findings *finding.List) {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		findings.Addf(at+".prefix", "%q must begin and end with a slash", r.Prefix)
	}
	if r.Timeout <= 0 {
		findings.Addf(at+".timeout", "must be longer than 0")
	}
	sum := 0
	for j, target := range r.Targets {
		if _, known := t.services[target.Service]; !known {
			findings.Addf(fmt.Sprintf("%s.targets[%d]", at, j), "service %q is unknown", target.Service)
		}
		if target.Weight < 0 {
			findings.Addf(fmt.Sprintf("%s.targets[%d].weight", at, j), "must not be negative")
		}
		sum += max(target.Weight, 0)
	}
	if sum == 0 {
		findings.Addf(at+".targets", "the weights add up to 0")
	}
	key := place{host: strings.ToLower(r.Host), prefix: r.Prefix}
	if other, exists := t.routes[key]; exists {
		findings.Addf(at, "host and prefix are those of route %q", other.Name)
	}
	t.routes[key] = r
}

func (t *Table) addAccount(a *Account, at string, findings *finding.List) {
	if a.Name == "" {
		findings.Addf(at+".name", "is missing")
	}
	for j, key := range a.Keys {
		if holder, exists := t.accounts[key]; exists && holder != a.Name {
			findings.Addf(fmt.Sprintf("%s.keys[%d]", at, j), "the key is also one of account %q", holder)
		}
		t.accounts[key] = a.Name
	}
}

// Version returns the table's version.
func (t *Table) Version() uint64 { return t.version }

// Limits returns what is common to all routes.
func (t *Table) Limits() Limits { return t.limits }

// Len returns the number of routes.
func (t *Table) Len() int { return len(t.routes) }

// Match returns the route of the host with the longest prefix that begins the
// path, or nil. The path has no query.
func (t *Table) Match(host, path string) *Route {
	key := place{host: strings.ToLower(host)}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		key.prefix = path[:end+1]
		if route, ok := t.routes[key]; ok {
			return route
		}
	}
	return nil
}

// Account returns the name of the account that holds the key.
func (t *Table) Account(key string) (string, bool) {
	name, ok := t.accounts[key]
	return name, ok
}

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Pick returns the service for a request of the route. random is uniform over
// all values.
func (r *Route) Pick(random uint64) string {
	sum := uint64(0)
	for _, target := range r.Targets {
		sum += uint64(max(target.Weight, 0))
	}
	if sum == 0 {
		return ""
	}
	at := random % sum
	for _, target := range r.Targets {
		weight := uint64(max(target.Weight, 0))
		if at < weight {
			return target.Service
		}
		at -= weight
	}
	return ""
}
