package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	beatPeriod = 1200 * time.Millisecond
	// engineQueue is how many requests an engine lets wait for a slot.
	engineQueue = 134
)

// workFunc answers a request that has begun to run at an engine.
type workFunc func(e *engine, w http.ResponseWriter, r *run)

// engine is a stand-in for a server: a model engine or an order service. It does what the
// pages say of a sound one, unless its case makes it crash.
type engine struct {
	site          *site
	name, service string
	address, zone string
	slots         int
	// work answers a request that has begun to run.
	work workFunc
	// keepsID is set for an engine that starts again under the id that it had.
	keepsID bool

	mu       sync.Mutex
	software string
	life     int
	id       string
	born     time.Time
	sequence int
	server   *http.Server
	conns    map[net.Conn]struct{}
	slot     chan struct{}
	waiting  int
	stop     context.CancelFunc
}

// run is a request at an engine.
type run struct {
	id, tenant, expected, method, target, body string
	header                                     http.Header
	arrived, begun                             time.Time
	instance                                   string
	ctx                                        context.Context
}

func (s *site) newEngine(number int, service string, slots int, work workFunc) *engine {
	return &engine{
		site: s, name: fmt.Sprintf("%s-%d", service, number), service: service, zone: zones[number%len(zones)], slots: slots, software: "v1",
		address: fmt.Sprintf("%s:%d", s.address(3, number+1), enginePort), work: work,
	}
}

// start begins a new lifetime of the engine.
func (e *engine) start() error {
	listener, err := net.Listen("tcp", e.address)
	for try := 0; err != nil && try < 50; try++ {
		time.Sleep(100 * time.Millisecond)
		listener, err = net.Listen("tcp", e.address)
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.mu.Lock()
	e.life++
	e.id, e.born, e.sequence = fmt.Sprintf("i-%s-%d", e.name, e.life), time.Now(), 0
	if e.keepsID {
		e.id = "i-" + e.name
	}
	e.conns, e.slot, e.waiting, e.stop = make(map[net.Conn]struct{}), make(chan struct{}, e.slots), 0, cancel
	id := e.id
	server := &http.Server{
		Handler:   http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(ctx, id, w, r) }),
		ConnState: e.track, IdleTimeout: 10 * time.Second,
	}
	e.server = server
	e.mu.Unlock()
	e.site.rec.line("engine %s starts as %s at %s", e.name, id, e.address)
	go func() { _ = server.Serve(listener) }()
	go e.beats(ctx)
	return nil
}

func (e *engine) track(conn net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(e.conns, conn)
		return
	}
	e.conns[conn] = struct{}{}
}

// crash ends the lifetime: all connections are reset, and nothing listens any more. It
// reports whether this lifetime had not ended before.
func (e *engine) crash(id, why string) bool {
	e.mu.Lock()
	if e.id != id || e.server == nil {
		e.mu.Unlock()
		return false
	}
	server, conns := e.server, e.conns
	e.server, e.conns = nil, make(map[net.Conn]struct{})
	e.stop()
	e.mu.Unlock()
	e.site.rec.say("engine %s crashes: %s", id, why)
	for conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	go func() { _ = server.Close() }()
	return true
}

// close ends the engine at the end of the case.
func (e *engine) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		e.stop()
		_ = e.server.Close()
		e.server = nil
	}
}

// beats sends the liveness reports of one lifetime.
func (e *engine) beats(ctx context.Context) {
	ticker := time.NewTicker(beatPeriod)
	defer ticker.Stop()
	for next := 0; ; {
		e.mu.Lock()
		e.sequence++
		body := mustJSON(map[string]any{
			"service": e.service, "address": e.address, "zone": e.zone, "version": e.software, "slots": e.slots, "state": "ready",
			"coldRemainingMs": 0, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
			"sequence": e.sequence, "born": e.born.UnixMilli(),
		})
		id := e.id
		e.mu.Unlock()
		controls := e.site.controls()
		for range controls {
			status, _ := e.site.call(http.MethodPost, controls[next%len(controls)], "/Instances.Heartbeat/"+id, body)
			if status/100 == 2 || ctx.Err() != nil {
				break
			}
			next++
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// serve answers one request of one lifetime.
func (e *engine) serve(ctx context.Context, id string, w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Oleanderramp-Instance-Id", id)
		return
	case "/report":
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "both", "models": []any{}, "busy": false, "sequence": 0, "waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 539177, "handles": 0})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := &run{
		id: r.Header.Get("Oleanderramp-Request-Id"), tenant: r.Header.Get("Oleanderramp-Tenant"), expected: r.Header.Get("Oleanderramp-Expect-Instance"),
		method: r.Method, target: r.RequestURI, body: string(body), header: r.Header.Clone(), arrived: time.Now(), instance: id, ctx: r.Context(),
	}
	w.Header().Set("Oleanderramp-Request-Id", q.id)
	w.Header().Set("Oleanderramp-Server-Stamp", "stamp."+id+"."+q.id)
	if q.expected != "" && q.expected != id {
		e.site.rec.line("engine %s turns away %s, which expects %s", id, q.id, q.expected)
		notExecuted(w, http.StatusMisdirectedRequest)
		return
	}
	if q.id == "" {
		notExecuted(w, http.StatusBadRequest)
		return
	}
	if !e.takeSlot(ctx, r.Context()) {
		e.site.rec.line("engine %s is full for %s", id, q.id)
		notExecuted(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-e.slotOf() }()
	q.begun = time.Now()
	e.site.rec.line("engine %s begins to run %s: %s %s, tenant %q, deadline %s, %d bytes", id, q.id, q.method, shorten(q.target), q.tenant, q.header.Get("Oleanderramp-Deadline-Ms"), len(q.body))
	e.work(e, w, q)
}

func shorten(text string) string {
	if len(text) > 120 {
		return text[:120] + "..."
	}
	return text
}

func notExecuted(w http.ResponseWriter, status int) {
	w.Header().Set("Oleanderramp-Not-Executed", "1")
	w.WriteHeader(status)
}

func (e *engine) slotOf() chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.slot
}

func (e *engine) takeSlot(life, request context.Context) bool {
	e.mu.Lock()
	if e.waiting >= engineQueue {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	slot := e.slot
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.waiting--
		e.mu.Unlock()
	}()
	select {
	case slot <- struct{}{}:
		return true
	case <-life.Done():
	case <-request.Done():
	}
	return false
}

// plainAnswer is the work of an order service.
func plainAnswer(took time.Duration) workFunc {
	return func(e *engine, w http.ResponseWriter, r *run) {
		select {
		case <-time.After(took):
		case <-r.ctx.Done():
			return
		}
		body := "answer of " + r.instance + " to " + r.id + " " + strings.Repeat("x", 700)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
	}
}

const (
	// promptRate is how many prompt tokens a model engine reads in a millisecond, and
	// eventGap the time between two events, as on the sheet of tw-ramp.
	promptRate = 55
	eventGap   = 18 * time.Millisecond
)

// streamAnswer is the work of a model engine: it reads the prompts one after another, and
// sends the events.
func streamAnswer(events int) workFunc {
	var reading sync.Mutex
	return func(e *engine, w http.ResponseWriter, r *run) {
		first := 1
		if last, err := strconv.Atoi(r.header.Get("Last-Event-Id")); err == nil {
			first = last + 1
		}
		tokens, _, _ := strings.Cut(r.header.Get("Oleanderramp-Token-Count"), ",")
		size, _ := strconv.Atoi(tokens) // 0 for a request without a prompt.
		reading.Lock()
		time.Sleep(time.Duration(size) * time.Millisecond / promptRate)
		reading.Unlock()
		w.Header().Set("Content-Type", "text/event-stream")
		for i := first; i <= events; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", i, i, r.id)
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(eventGap):
			case <-r.ctx.Done():
				return
			}
		}
	}
}
