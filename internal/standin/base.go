package standin

import (
	"context"
	"encoding/json"
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

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 4 << 20

// base is what both kinds of endpoint have in common: the server, its faults,
// its slots and its announcements.
type base struct {
	config    Config
	conns     *connTable
	faults    *faultTable
	slots     *slots
	announcer *announcer
	server    *http.Server
	// stopCtx is done when the endpoint ends at once.
	stopCtx context.Context
	stop    context.CancelFunc
	serving sync.WaitGroup
	// handlers counts the requests being handled; it grows only while not
	// ended.
	handlers sync.WaitGroup

	mu    sync.Mutex
	ended bool
	// served counts the requests that began to run.
	served int
	// servedLeaving counts those among them that came while leaving.
	servedLeaving int
	crashed       bool
}

type connKey struct{}

// newBase listens. No request is served before serve is called.
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

// trackRequests counts the requests being handled, so that close can wait for them.
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

// Addr returns the address that the endpoint serves on, "IP:port".
func (b *base) Addr() string { return b.conns.Addr().String() }

// Leave announces that the endpoint is leaving, goes on serving for the leave
// delay, finishes the requests in flight and ends. It returns early when ctx
// ends, and cuts off what still runs then.
func (b *base) Leave(ctx context.Context) error {
	b.announcer.leave()
	select {
	case <-time.After(b.config.LeaveDelay):
	case <-ctx.Done():
	}
	return b.server.Shutdown(ctx)
}

// close ends at once: it closes the listener and all connections, and waits.
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

// crash ends the process, or what stands for it within a test.
func (b *base) crash() {
	b.config.Log.Warn("crash")
	if b.config.Exit != nil {
		b.config.Exit()
	}
	b.mu.Lock()
	b.crashed = true
	b.mu.Unlock()
	b.announcer.stop()
	// The listener ends first: whoever sees the connection end must not reach
	// the endpoint any more.
	b.conns.abort()
	b.stop()
}

// Crashed tells whether the endpoint has crashed.
func (b *base) Crashed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashed
}

// Served returns how many requests began to run, and how many of them came
// while the endpoint was leaving.
func (b *base) Served() (total, leaving int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.served, b.servedLeaving
}

// countServed counts a request that begins to run.
func (b *base) countServed() {
	leaving := b.announcer.isLeaving()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.served++
	if leaving {
		b.servedLeaving++
	}
}

// announcement returns the part of the announcement that both kinds share.
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

// statusDocument is the answer to GET /control/status.
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

// admit reads the body, echoes the request id and brings about the faults that
// come before a run. It returns false when the request has been answered.
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
		writeError(w, http.StatusServiceUnavailable, "not_run", "the endpoint takes no work")
		return nil, false
	}
	return body, true
}

// crashIfMarked crashIfMarked the endpoint when the fault is on and meets the body.
func (b *base) crashIfMarked(body []byte) bool {
	fault, on := b.faults.peek(FaultCrash)
	if !on || !strings.Contains(string(body), fault.Marker) {
		return false
	}
	b.faults.take(FaultCrash)
	b.crash()
	return true
}

// delayAnswer waits for the delay of the fault.
func (b *base) delayAnswer(ctx context.Context) {
	if fault, on := b.faults.take(FaultLate); on {
		sleep(ctx, time.Duration(fault.DelayMS)*time.Millisecond)
	}
}

// sleep waits, and returns false when ctx ends first.
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

type errorDocument struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Code     string `json:"code"`
	Message  string `json:"message"`
	Findings []struct {
		Place   string `json:"place"`
		Message string `json:"message"`
	} `json:"findings,omitempty"`
}

func writeJSON(w http.ResponseWriter, status int, document any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(document)
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, errorDocument{Error: errorBody{Code: code, Message: message}})
}
