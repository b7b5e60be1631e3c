package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"oleanderramp/internal/endpoint"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 4 << 20

// base holds the parts shared by both kinds of endpoint: the HTTP server, the
// fault injection, the slots and the announcements.
type base struct {
	config    Config
	conns     *connTable
	faults    *faultTable
	slots     *slots
	announcer *announcer
	server    *http.Server
	// stopCtx is cancelled when the endpoint is closed or crashes.
	stopCtx context.Context
	stop    context.CancelFunc
	serving sync.WaitGroup
	// handlers counts the requests being handled; it is incremented only while
	// ended is false.
	handlers sync.WaitGroup

	mu    sync.Mutex
	ended bool
	// served counts the requests that started to run.
	served int
	// servedLeaving counts the requests that started to run after the endpoint
	// began to leave.
	servedLeaving int
	crashed       bool
}

type connKey struct{}

// newBase opens the listener. No request is served before serve is called.
func newBase(config Config) (*base, error) {
	if err := config.Validate().Err(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	b := &base{
		config: config,
		conns:  newConnTable(listener),
		faults: newFaultTable(config),
		slots:  newSlots(config.Slots),
	}
	b.stopCtx, b.stop = context.WithCancel(context.Background())
	return b, nil
}

// serve starts the server and the announcements.
func (b *base) serve(mux *http.ServeMux, document func() endpoint.AnnouncementDocument) {
	mux.HandleFunc("GET /health", b.handleHealth)
	mux.HandleFunc("POST /control/faults", b.handleFaults)
	mux.HandleFunc("GET /control/status", b.handleStatus)
	b.server = &http.Server{
		Handler:           b.trackRequests(mux),
		ReadHeaderTimeout: 10 * time.Second,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	b.announcer = newAnnouncer(b.config, document)
	b.serving.Go(func() {
		if err := b.server.Serve(b.conns); !errors.Is(err, http.ErrServerClosed) {
			b.config.Log.WithError(err).Debug("server ended")
		}
	})
}

// trackRequests counts the requests being handled, so that close can wait for
// them.
func (b *base) trackRequests(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		if b.ended {
			b.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		b.handlers.Add(1)
		b.mu.Unlock()
		defer b.handlers.Done()
		handler.ServeHTTP(w, r)
	})
}

// Addr returns the "IP:port" that the endpoint listens on.
func (b *base) Addr() string { return b.conns.Addr().String() }

// Leave announces that the endpoint is leaving, continues to serve for
// Config.LeaveDelay, then shuts the server down once the requests in flight
// have finished. When ctx ends it returns early, with requests still running.
func (b *base) Leave(ctx context.Context) error {
	b.announcer.leave()
	select {
	case <-time.After(b.config.LeaveDelay):
	case <-ctx.Done():
	}
	return b.server.Shutdown(ctx)
}

// close closes the listener and all connections at once, and waits for the
// server and the request handlers to return.
func (b *base) close() {
	b.mu.Lock()
	b.ended = true
	b.mu.Unlock()
	b.announcer.close()
	b.stop()
	b.conns.abort()
	_ = b.server.Close()
	b.serving.Wait()
	b.handlers.Wait()
}

// crash ends the process. Without Config.Exit, as in tests, it closes the
// listener and all connections instead.
func (b *base) crash() {
	b.config.Log.Warn("crash")
	if b.config.Exit != nil {
		b.config.Exit()
	}
	b.mu.Lock()
	b.crashed = true
	b.mu.Unlock()
	b.announcer.stop()
	// abort closes the listener before the connections: a client that sees its
	// connection close must not be able to reach the endpoint again.
	b.conns.abort()
	b.stop()
}

// Crashed reports whether the endpoint has crashed.
func (b *base) Crashed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashed
}

// Served returns how many requests started to run, and how many of them did so
// while the endpoint was leaving.
func (b *base) Served() (total, leaving int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.served, b.servedLeaving
}

// countServed counts a request that starts to run.
func (b *base) countServed() {
	leaving := b.announcer.isLeaving()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.served++
	if leaving {
		b.servedLeaving++
	}
}

// announcement returns the announcement fields shared by both kinds of
// endpoint.
func (b *base) announcement() endpoint.AnnouncementDocument {
	running, queued := b.slots.delayedLoad(time.Now(), b.config.ReportLag)
	return endpoint.AnnouncementDocument{
		Endpoint:    b.config.Endpoint,
		Incarnation: b.config.Incarnation,
		Service:     b.config.Service,
		Region:      b.config.Region,
		Zone:        b.config.Zone,
		Address:     b.Addr(),
		Slots:       uint32(b.config.Slots),
		Running:     uint32(running),
		Queued:      uint32(queued),
		LeaseMS:     uint32(b.config.Lease / time.Millisecond),
	}
}

func (b *base) handleHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(endpoint.HeaderIncarnation, strconv.FormatUint(b.config.Incarnation, 10))
	writeJSON(w, http.StatusOK, healthDocument{Status: "ok"})
}

type healthDocument struct {
	Status string `json:"status"`
}

// statusDocument is the response to GET /control/status.
type statusDocument struct {
	Endpoint      string `json:"endpoint"`
	Incarnation   uint64 `json:"incarnation"`
	Leaving       bool   `json:"leaving"`
	Running       int    `json:"running"`
	Queued        int    `json:"queued"`
	Served        int    `json:"served"`
	ServedLeaving int    `json:"served_leaving"`
}

func (b *base) handleStatus(w http.ResponseWriter, _ *http.Request) {
	running, queued := b.slots.load()
	served, leaving := b.Served()
	writeJSON(w, http.StatusOK, statusDocument{
		Endpoint:      b.config.Endpoint,
		Incarnation:   b.config.Incarnation,
		Leaving:       b.announcer.isLeaving(),
		Running:       running,
		Queued:        queued,
		Served:        served,
		ServedLeaving: leaving,
	})
}

// admit reads the body, echoes the request id and injects the faults that take
// effect before a request runs. It returns false if it has already written a
// response.
func (b *base) admit(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	id := r.Header.Get(endpoint.HeaderRequest)
	if _, on := b.faults.take(FaultWrongID); on {
		id = "other-" + id
	}
	if id != "" {
		w.Header().Set(endpoint.HeaderRequest, id)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "body_not_read", err.Error())
		return nil, false
	}
	if _, on := b.faults.take(FaultRefuse); on {
		w.Header().Set(endpoint.HeaderOutcome, endpoint.OutcomeNotRun)
		writeError(w, http.StatusServiceUnavailable, "not_run", "the endpoint refuses all requests")
		return nil, false
	}
	return body, true
}

// crashIfMarked crashes the endpoint if the crash fault is active and the body
// contains its marker. It reports whether it crashed.
func (b *base) crashIfMarked(body []byte) bool {
	fault, on := b.faults.peek(FaultCrash)
	if !on || !strings.Contains(string(body), fault.Marker) {
		return false
	}
	b.faults.take(FaultCrash)
	b.crash()
	return true
}

// delayAnswer sleeps for the delay of FaultLate, if that fault is active.
func (b *base) delayAnswer(ctx context.Context) {
	if fault, on := b.faults.take(FaultLate); on {
		sleep(ctx, time.Duration(fault.DelayMS)*time.Millisecond)
	}
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
