package main

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	siteHost  = "desk.example"
	goodKey   = "key-of-large-0001"
	otherKey  = "key-of-small-0002"
	goodName  = "large"
	otherName = "small"
)

// route returns a route as an operator sends it.
func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": siteHost, "pathPrefix": prefix, "kind": kind, "timeoutMs": 5000, "targetLatencyMs": 1000,
		"priority": 1, "service": service, "maxAttempts": 2, "public": false, "sticky": false, "resumable": false, "gapTargetMs": 500,
	}
}

// document returns a desired state with the routes and services.
func document(version int, routes []map[string]any, services ...string) []byte {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false})
	}
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 290000},
		"tenants": []map[string]any{
			{"name": goodName, "apiKeys": []string{goodKey}, "priority": 1},
			{"name": otherName, "apiKeys": []string{otherKey}, "priority": 1},
		},
	})
	return data
}

// begin starts a site whose routers know the desired state.
func begin(rec *record, controls, routers, tolerated int, state []byte) (*fleet, error) {
	f, err := newFleet(rec, controls, routers, tolerated)
	if err != nil {
		return nil, err
	}
	if err := f.run(state); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// run starts the site and waits until its routers know the desired state.
func (f *fleet) run(state []byte) error {
	if err := f.start(); err != nil {
		return err
	}
	if err := f.replace(state, 20*time.Second); err != nil {
		return fmt.Errorf("first desired state: %w", err)
	}
	f.rec.printf("the desired state is acknowledged: %.2000s", state)
	return f.awaitReady(20 * time.Second)
}
