package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["tenant"] = tenantCase }

// tenantCase sends requests whose Connection field names a header that the system sets itself,
// and checks the tenant that the engines are told.
func tenantCase(rec *record, trouble bool) (bool, error) {
	f, err := begin(rec, 3, 2, 1, document(1, []map[string]any{route("r-orders", "/orders/", "unsafe", "desk")}, "desk"))
	if err != nil {
		return false, err
	}
	defer f.close()
	var mu sync.Mutex
	ran := make(map[string][]string) // The tenants that were told, by request id.
	for i := range 3 {
		e, err := f.startEngine(fmt.Sprintf("i-%d", i), "desk", i, func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("Oleanderramp-Request-Id")
			rec.printf("run of %s at an engine: tenant %q, expected instance %q", id, r.Header.Values("Oleanderramp-Tenant"), r.Header.Get("Oleanderramp-Expect-Instance"))
			mu.Lock()
			ran[id] = append(ran[id], r.Header.Get("Oleanderramp-Tenant"))
			mu.Unlock()
			w.Header().Set("Oleanderramp-Server-Stamp", "stamp-"+id)
			fmt.Fprintf(w, "order %s", id)
		})
		if err != nil {
			return false, err
		}
		defer e.close()
	}
	time.Sleep(3 * time.Second)
	connection := "keep-alive"
	if trouble {
		connection = "keep-alive, Oleanderramp-Tenant"
	}
	want := make(map[string]string)
	answered := 0
	for i := range 40 {
		id, key, tenant := newID(), goodKey, goodName
		if i%2 == 1 {
			key, tenant = otherKey, otherName
		}
		want[id] = tenant
		request := fmt.Sprintf("POST /orders/%d HTTP/1.1\r\nHost: %s\r\nConnection: %s\r\nOleanderramp-Request-Id: %s\r\nOleanderramp-Key: %s\r\n"+
			"Oleanderramp-Deadline-Ms: 3000\r\nContent-Length: 5\r\n\r\nhello", i, siteHost, connection, id, key)
		rec.printf("sent %s with the key of %s, Connection: %s", id, tenant, connection)
		a := send(f.routers[i%len(f.routers)].callers, []byte(request), 4*time.Second)
		rec.printf("answer to %s: %d %q %v", id, a.status, a.body, a.err)
		if a.err == nil && a.status == 200 {
			answered++
		}
	}
	mu.Lock()
	defer mu.Unlock()
	wrong := 0
	for id, tenants := range ran {
		for _, told := range tenants {
			if told != want[id] {
				wrong++
			}
		}
	}
	rec.printf("%d of %d requests answered with 200; %d runs, %d with another tenant than that of the key", answered, len(want), len(ran), wrong)
	if len(ran) == 0 {
		return false, fmt.Errorf("no request has run")
	}
	return wrong == 0, nil
}
