package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a stand-in for an engine: it announces itself and serves requests.
type engine struct {
	fleet   *fleet
	id      string
	service string
	version string
	zone    string
	address string
	late    time.Duration // How long after its start its first liveness report comes.
	born    int64
	handler http.HandlerFunc
	server  *http.Server
	stop    chan struct{}
	beats   sync.WaitGroup
	seq     atomic.Uint64
	acked   atomic.Int64
}

// startEngine starts an engine whose requests the handler serves, after the check of
// Oleanderramp-Expect-Instance.
func (f *fleet) startEngine(id, service string, number int, handler http.HandlerFunc) (*engine, error) {
	return f.startEngineAt(id, service, number, fmt.Sprintf("%s.%d:0", f.net, 100+number), handler)
}

// startEngineAt is startEngine with the address.
func (f *fleet) startEngineAt(id, service string, number int, address string, handler http.HandlerFunc) (*engine, error) {
	return f.listen(&engine{id: id, service: service, version: "v1"}, number, address, handler)
}

// listen starts an engine whose id, service, version and lateness are set.
func (f *fleet) listen(e *engine, number int, address string, handler http.HandlerFunc) (*engine, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e.fleet, e.zone, e.address = f, zones[number%len(zones)]["zone"], l.Addr().String()
	e.born, e.handler, e.stop = time.Now().UnixMilli(), handler, make(chan struct{})
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(l) }()
	e.beats.Go(e.beat)
	return e, nil
}

// serve does not run a request that names another engine, as the pages say.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Oleanderramp-Request-Id", r.Header.Get("Oleanderramp-Request-Id"))
	if expected := r.Header.Get("Oleanderramp-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Oleanderramp-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		w.Header().Set("Oleanderramp-Instance-Id", e.id)
		return
	}
	e.handler(w, r)
}

// beat announces the engine until it is closed.
func (e *engine) beat() {
	select {
	case <-e.stop:
		return
	case <-time.After(e.late):
	}
	for {
		body, _ := json.Marshal(map[string]any{
			"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": 64, "state": "ready",
			"coldRemainingMs": 0, "sequence": e.seq.Add(1), "born": e.born,
		})
		for _, d := range e.fleet.controls {
			status, _, err := call("POST", d.control, "/Instances.Heartbeat/"+e.id, body, time.Second)
			if err == nil && status/100 == 2 {
				e.acked.Add(1)
				break
			}
		}
		select {
		case <-e.stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (e *engine) close() {
	close(e.stop)
	e.beats.Wait()
	_ = e.server.Close()
}
