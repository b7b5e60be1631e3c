package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"oleanderramp/internal/relay"
	"oleanderramp/platform/outside"
)

const (
	// announceInterval is the time between two announcements.
	announceInterval = 300 * time.Millisecond
	// announceTimeout bounds one of them.
	announceTimeout = time.Second
	// plainServiceTime is how long a plain answer takes, firstEvent how long a stream
	// takes to begin, and eventPause the time between its events.
	plainServiceTime = 5 * time.Millisecond
	firstEventDelay  = 20 * time.Millisecond
	eventInterval    = 15 * time.Millisecond
	// clockSkew is by how much the clocks of endpoints differ.
	clockSkew = time.Second
	// slots is how many requests an endpoint runs at once.
	slots = 32
	// drainTime is how long an endpoint serves after it was acknowledged that
	// it leaves: the bound for routers to know, and a little more.
	drainTime = maxDrainDelay + time.Second
)

// Endpoint is a stand-in for an engine or a plain service, over all its starts
// at one address.
type Endpoint struct {
	site   *Site
	number int
	// service is the one that it usually serves.
	service string
	// listen is where it listens, relay what it announces.
	listen     string
	relay      *relay.Relay
	startCount atomic.Int64
	// failurePercent is the share of the answers that go wrong, in percent.
	failurePercent atomic.Int32
	// stopMu is held by the fault that ends the endpoint.
	stopMu sync.Mutex

	mu      sync.Mutex
	current *incarnation
}

// incarnation is one start of an endpoint.
type incarnation struct {
	id, service string
	startTime   time.Time
	// sequence numbers the announcements.
	sequence uint64
	leaving  atomic.Bool
	// acknowledged is when it was first acknowledged that it leaves, in
	// nanoseconds since the start of the soak.
	acknowledged atomic.Int64
	server       *http.Server
	stop         context.CancelFunc
	done         sync.WaitGroup
}

// otherService returns the service that an endpoint's address may be given to.
func otherService(service string) string {
	if service == engineService {
		return plainService
	}
	return engineService
}

// start begins a new start for a service, with another id than before. The
// clocks of endpoints differ.
func (e *Endpoint) start(service string) error {
	listener, err := net.Listen("tcp", e.listen)
	if err != nil {
		return fmt.Errorf("endpoint %d: %w", e.number, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	startTime := time.Now().Add(time.Duration(e.number%3) * clockSkew)
	r := &incarnation{id: fmt.Sprintf("e%d-%d", e.number, e.startCount.Add(1)), service: service, startTime: startTime, stop: cancel}
	r.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) { e.serve(r, w, request) })}
	e.mu.Lock()
	e.current = r
	e.mu.Unlock()
	r.done.Go(func() { _ = r.server.Serve(listener) }) // It ends with the server.
	r.done.Go(func() { e.announce(ctx, r) })
	return nil
}

// crash ends the present start without a word.
func (e *Endpoint) crash() {
	e.mu.Lock()
	r := e.current
	e.current = nil
	e.mu.Unlock()
	if r == nil {
		return
	}
	r.stop()
	_ = r.server.Close() // What it serves breaks.
	r.done.Wait()
}

// leave says that the endpoint leaves, and ends it a while after that was
// acknowledged.
func (e *Endpoint) leave(ctx context.Context) {
	e.mu.Lock()
	r := e.current
	e.mu.Unlock()
	if r == nil {
		return
	}
	r.leaving.Store(true)
	for r.acknowledged.Load() == 0 && sleep(ctx, announceInterval) {
	}
	sleep(ctx, drainTime)
	e.crash()
}

// announce tells the control hosts of this start, by turns.
func (e *Endpoint) announce(ctx context.Context, r *incarnation) {
	for turn := e.number; ; turn++ {
		leaving := r.leaving.Load()
		r.sequence++
		body := outside.Announcement(r.service, e.relay.Address(), e.site.zone(e.number), slots, leaving, r.sequence, r.startTime)
		address := e.site.controlAddress(turn % len(e.site.controls))
		status, _, err := send(ctx, address, http.MethodPost, outside.AnnouncePath(r.id), body, announceTimeout)
		if err == nil && status == http.StatusOK && leaving {
			r.acknowledged.CompareAndSwap(0, int64(e.site.since()))
		}
		if !sleep(ctx, announceInterval) {
			return
		}
	}
}

// sleep waits; false when the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// serve runs one call.
func (e *Endpoint) serve(r *incarnation, w http.ResponseWriter, request *http.Request) {
	call := outside.ReadCall(request.Header)
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	outside.MarkAnswer(w.Header(), call.ID, r.id)
	if call.Expected != r.id {
		outside.MarkNotRun(w.Header())
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if call.Left <= 0 {
		outside.MarkNotRun(w.Header())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.site.ledger.recordExecution(call.ID, execution{
		endpoint: r.id, service: r.service, account: call.Account, key: call.Key, path: request.URL.Path, body: string(body),
		at: e.site.since(), leaveAcknowledged: time.Duration(r.acknowledged.Load()),
	})
	failing := rand.Int32N(100) < e.failurePercent.Load()
	if r.service == engineService {
		answerStream(w, request, call, failing)
		return
	}
	sleep(request.Context(), plainServiceTime)
	if failing {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(plainAnswer(call.ID)) // The router may be gone.
}

// answerStream answers with a stream of events, and breaks off midway if it
// fails.
func answerStream(w http.ResponseWriter, request *http.Request, call outside.Call, failing bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	pause := firstEventDelay
	for event := call.Last + 1; event <= streamEvents; event++ {
		if !sleep(request.Context(), pause) {
			return
		}
		pause = eventInterval
		if failing && event > streamEvents/2 {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(streamEvent(call.ID, event)); err != nil {
			return
		}
		_ = control.Flush() // As above.
	}
}

// streamEvents is how many events a stream has.
const streamEvents = 12

// plainAnswer returns the only right answer to a plain request.
func plainAnswer(id string) []byte { return bytes.Repeat([]byte("answer to "+id+"\n"), 40) }

// streamEvent returns the only right event of that number.
func streamEvent(id string, event int) []byte {
	return fmt.Appendf(nil, "id: %d\ndata: %s %d\n\n", event, id, event)
}
