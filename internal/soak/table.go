package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"oleanderramp/platform/outside"
)

// accounts are the client accounts of the site.
var accounts = []string{"large", "small", "tiny"}

// accountKey returns the key of an account.
func accountKey(account string) string { return "key-of-" + account }

// versionRouteStart starts the paths of the routes that only show which routing
// version a router uses.
const versionRouteStart = "/since-"

// versionRoutePrefix returns the path prefix of a public route that exists from
// this version on.
func versionRoutePrefix(version int) string { return fmt.Sprintf("%s%d/", versionRouteStart, version) }

const (
	// maxAttempts is the maximum number of endpoints that one request may reach.
	maxAttempts = 2
	// objective is the usual time until the first event or the answer, and the
	// usual maximum time between two events.
	objective = time.Second
	// maxObjectiveDivisor is what objective is divided by at most.
	maxObjectiveDivisor = 10
	// idleTimeout is the usual time after which a router closes an idle connection.
	idleTimeout = 15 * time.Second
)

// tableContent is what may differ between two versions of the routing table.
type tableContent struct {
	// operator is the number of the operator who sends it. Different operators send
	// different content under the same version.
	operator                        int
	timeout, objective, idleTimeout time.Duration
	// weight is the weight of the service of each route; 0 means that the route
	// names just one service.
	weight int
}

// defaultTable returns the content that an operator usually sends.
func defaultTable(operator int) tableContent {
	return tableContent{operator: operator, timeout: requestTimeout, objective: objective, idleTimeout: idleTimeout}
}

// randomTable returns a content whose timeouts are at least those of callers.
func randomTable(random *rand.Rand) tableContent {
	return tableContent{
		timeout:     randomDuration(random, requestTimeout, 2*requestTimeout),
		objective:   (objective / time.Duration(1+random.IntN(maxObjectiveDivisor))).Truncate(time.Millisecond),
		idleTimeout: randomDuration(random, idleTimeout/50, idleTimeout),
		weight:      random.IntN(4),
	}
}

// randomDuration returns a duration from least up to most, in milliseconds.
func randomDuration(random *rand.Rand, least, most time.Duration) time.Duration {
	return (least + time.Duration(random.Int64N(int64(most-least)))).Truncate(time.Millisecond)
}

// orderDocument returns the body of the order with a version.
func orderDocument(version int, content tableContent) []byte {
	var routes []outside.Route
	for _, k := range requestKinds {
		routes = append(routes, outside.Route{
			Prefix: k.prefix, Service: k.service, Kind: k.routeKind, Timeout: content.timeout, Objective: content.objective,
			Attempts: maxAttempts, Resumable: k.stream && !k.atMostOnce, Weight: content.weight, Unweighted: otherService(k.service), Regions: k.regions,
		})
	}
	for v := 1; v <= version; v++ {
		routes = append(routes, outside.Route{
			Prefix: versionRoutePrefix(v), Service: plainService, Kind: "safe",
			Timeout: requestTimeout + time.Duration(content.operator)*time.Millisecond, Objective: objective, Attempts: 1, Public: true,
		})
	}
	keys := make(map[string]string)
	for _, account := range accounts {
		keys[accountKey(account)] = account
	}
	return outside.RoutingDocument(outside.Table{
		Version: version, Host: siteHost, Routes: routes, Engines: []string{engineService}, Plain: []string{plainService},
		Slots: slots, Accounts: keys, IdleTimeout: content.idleTimeout,
	})
}
