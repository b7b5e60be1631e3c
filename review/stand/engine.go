package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a stand-in for a model engine. It streams events with ascending ids and
// announces itself to the control hosts.
type engine struct {
	w        *world
	id       string
	zone     string
	address  string
	software string
	born     int64
	events   int
	gap      time.Duration

	server   *http.Server
	listener net.Listener
	sequence atomic.Int64
	stopBeat chan struct{}
	beatOnce sync.Once
	ran      atomic.Int64
	// onRun is called for each request that the engine begins to run. Optional.
	onRun func(id string)
	// spoil replaces the rest of an answer after its first event. Optional.
	spoil func(w http.ResponseWriter, r *http.Request) bool
}

func newEngine(w *world, number int, software string) (*engine, error) {
	e := &engine{
		w: w, id: fmt.Sprintf("i-%08x", rand.Uint32()), zone: zones[number%len(zones)], software: software, born: time.Now().UnixMilli(),
		events: 40, gap: 50 * time.Millisecond, stopBeat: make(chan struct{}),
	}
	l, err := net.Listen("tcp", w.addr(4, number+1)+":0")
	if err != nil {
		return nil, err
	}
	e.listener, e.address = l, l.Addr().String()
	e.server = &http.Server{Handler: e}
	go e.server.Serve(l)
	return e, nil
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Oleanderramp-Instance-Id", e.id)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Oleanderramp-Request-Id")
	w.Header().Set("Oleanderramp-Request-Id", id)
	if expected := r.Header.Get("Oleanderramp-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Oleanderramp-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !strings.HasPrefix(r.URL.Path, streamPrefix) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.ran.Add(1)
	e.w.detail("engine %s (%s): runs %s after event %q", e.id, e.software, id, r.Header.Get("Last-Event-Id"))
	if e.onRun != nil {
		e.onRun(id)
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Oleanderramp-Server-Stamp", e.id+"."+strconv.FormatInt(e.ran.Load(), 16))
	header.Set("Oleanderramp-Weight-Versions", "1")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	_ = control.Flush()
	for n := last + 1; n <= e.events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.gap):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d\n\n", n, e.software, e.id, n); err != nil {
			return
		}
		_ = control.Flush()
		if e.spoil != nil && e.spoil(w, r) {
			return
		}
	}
}

// announcement returns the body of what the engine says of itself.
func (e *engine) announcement(state string) []byte {
	data, _ := json.Marshal(map[string]any{
		"service": streamSvc, "address": e.address, "zone": e.zone, "version": e.software, "slots": 64, "state": state, "coldRemainingMs": 0,
		"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": e.sequence.Add(1), "born": e.born,
	}) // Maps of strings and numbers can always be encoded.
	return data
}

var beats = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes a call to a control host and reports whether it was acknowledged.
func (e *engine) call(p *process, name, state string) bool {
	response, err := beats.Post(fmt.Sprintf("http://%s:%d/%s/%s", p.ip, controlPort, name, e.id), "application/json", bytes.NewReader(e.announcement(state)))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode/100 == 2
}

// beat announces the engine at any control host, and at the next one if that fails.
func (e *engine) beat() {
	first := rand.IntN(len(e.w.control))
	for i := range e.w.control {
		if e.call(e.w.control[(first+i)%len(e.w.control)], "Instances.Heartbeat", "ready") {
			return
		}
	}
}

// announce announces the engine every 1.2 s.
func (e *engine) announce() {
	go func() {
		ticker := time.NewTicker(1200 * time.Millisecond)
		defer ticker.Stop()
		for {
			e.beat()
			select {
			case <-e.stopBeat:
				return
			case <-ticker.C:
			}
		}
	}()
}

func (e *engine) stopAnnouncing() { e.beatOnce.Do(func() { close(e.stopBeat) }) }

// crash ends the engine at once, with all connections.
func (e *engine) crash() {
	e.stopAnnouncing()
	_ = e.server.Close()
}
