package main

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"
)

func init() { cases["path"] = pathCase }

// receivedPath returns the path with query that a request line names (RFC 9112, section 3.2): the
// absolute form has a scheme and a host before it.
func receivedPath(target string) string {
	if strings.HasPrefix(target, "/") {
		return target
	}
	u, err := url.Parse(target)
	if err != nil {
		return target
	}
	return u.RequestURI()
}

// pathCase sends requests whose path begins with two slashes on a route for all paths.
func pathCase(rec *record, trouble bool) (bool, error) {
	f, err := begin(rec, 3, 2, 1, document(1, []map[string]any{route("r-all", "/", "unsafe", "desk")}, "desk"))
	if err != nil {
		return false, err
	}
	defer f.close()
	var mu sync.Mutex
	ran := make(map[string]string)
	for i := range 3 {
		e, err := f.startEngine(fmt.Sprintf("i-%d", i), "desk", i, func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("Oleanderramp-Request-Id")
			rec.printf("run of %s at an engine: %s %s, Host %s", id, r.Method, r.RequestURI, r.Host)
			mu.Lock()
			ran[id] = receivedPath(r.RequestURI)
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
	start := "/"
	if trouble {
		start = "//"
	}
	want := make(map[string]string)
	for i := range 20 {
		id, path := newID(), fmt.Sprintf("%sorders/%d/pay?amount=5", start, i)
		want[id] = path
		request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nOleanderramp-Request-Id: %s\r\nOleanderramp-Key: %s\r\n"+
			"Oleanderramp-Deadline-Ms: 3000\r\nContent-Length: 5\r\n\r\nhello", path, siteHost, id, goodKey)
		rec.printf("sent %s: POST %s", id, path)
		a := send(f.routers[i%len(f.routers)].callers, []byte(request), 4*time.Second)
		rec.printf("answer to %s: %d %q %v", id, a.status, a.body, a.err)
	}
	mu.Lock()
	defer mu.Unlock()
	wrong := 0
	for id, path := range ran {
		if path != want[id] {
			wrong++
			rec.printf("%s was sent with path %s and has run with path %s", id, want[id], path)
		}
	}
	rec.printf("%d runs, %d with another path", len(ran), wrong)
	if len(ran) == 0 {
		return false, fmt.Errorf("no request has run")
	}
	return wrong == 0, nil
}
