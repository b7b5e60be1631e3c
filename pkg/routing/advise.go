package routing

import (
	"fmt"
	"strings"

	"oleanderramp/pkg/finding"
)

// Advise adds a finding for each entry of a valid document that can never take effect,
// and for limits that contradict each other.
func (d *Document) Advise(list *finding.List) {
	used := make(map[string]bool)
	for i := range d.Routes {
		r := &d.Routes[i]
		r.advise(fmt.Sprintf("routes[%d]", i), list)
		for _, t := range r.Targets {
			used[t.Service] = used[t.Service] || t.Weight > 0
		}
	}
	for i := range d.Services {
		d.Services[i].advise(fmt.Sprintf("services[%d]", i), used, list)
	}
	d.adviseAccounts(list)
	for _, limit := range []struct {
		name  string
		value float64
	}{
		{"maxBodyBytes", float64(d.Limits.MaxBodyBytes)}, {"idleTimeout", float64(d.Limits.IdleTimeout)}, {"tokensPerSecond", d.Limits.TokensPerSecond},
	} {
		if limit.value < 0 {
			list.Addf("limits."+limit.name, "is negative and has no effect")
		}
	}
}

func (r *Route) advise(place string, list *finding.List) {
	if strings.Contains(r.Host, ":") {
		list.Addf(place+".host", "%q never matches: requests are matched by host without a port", r.Host)
	}
	if strings.ContainsAny(r.Prefix, "?#") {
		list.Addf(place+".prefix", "%q never matches: a path has no query or fragment", r.Prefix)
	}
	if r.Objective > r.Timeout {
		list.Addf(place+".objective", "%v is longer than the timeout of %v", r.Objective, r.Timeout)
	}
	if r.MaxEventGap > r.Timeout {
		list.Addf(place+".maxEventGap", "%v is longer than the timeout of %v", r.MaxEventGap, r.Timeout)
	}
	if r.Kind != Streaming && (r.Resumable || r.MaxEventGap > 0) {
		list.Addf(place, "resumable and maxEventGap have no effect on a %s route", r.Kind)
	}
	if r.MaxAttempts < 0 {
		list.Addf(place+".maxAttempts", "is negative and counts as 1")
	}
	for j, t := range r.Targets {
		if t.Weight == 0 {
			list.Addf(fmt.Sprintf("%s.targets[%d]", place, j), "service %q gets no requests: its weight is 0", t.Service)
		}
	}
}

func (s *Service) advise(place string, used map[string]bool, list *finding.List) {
	if !used[s.Name] {
		list.Addf(place, "no route sends requests to service %q", s.Name)
	}
	switch {
	case s.Engine == nil:
	case s.Engine.Slots < 1:
		list.Addf(place+".engine.slots", "%d is below 1", s.Engine.Slots)
	case s.MaxConnections > 0 && s.MaxConnections < s.Engine.Slots:
		list.Addf(place+".maxConnections", "%d connections can't use the %d slots of an engine", s.MaxConnections, s.Engine.Slots)
	}
}

// adviseAccounts adds findings for accounts to which no request can belong, and for routes
// that only they could use.
func (d *Document) adviseAccounts(list *finding.List) {
	keys := 0
	names := make(map[string]bool)
	for i, a := range d.Accounts {
		place := fmt.Sprintf("accounts[%d]", i)
		if names[a.Name] {
			list.Addf(place+".name", "account %q is listed twice; the keys of both belong to it", a.Name)
		}
		names[a.Name] = true
		if len(a.Keys) == 0 {
			list.Addf(place+".keys", "account %q has no key, so that no request belongs to it", a.Name)
		}
		for j, key := range a.Keys {
			if key == "" {
				list.Addf(fmt.Sprintf("%s.keys[%d]", place, j), "an empty key never matches")
				continue
			}
			keys++
		}
	}
	for i, r := range d.Routes {
		if !r.Public && keys == 0 {
			list.Addf(fmt.Sprintf("routes[%d].public", i), "no caller can use the route: it is not public, and no account has a key")
		}
	}
}
