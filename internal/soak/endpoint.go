package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
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
	// announceTimeout is the timeout of one announcement.
	announceTimeout = time.Second
	// plainServiceTime is how long a plain request takes, firstEventDelay the
	// time until the first event of a stream, and eventInterval the time between
	// its events.
	plainServiceTime = 5 * time.Millisecond
	firstEventDelay  = 20 * time.Millisecond
	eventInterval    = 15 * time.Millisecond
	// clockSkew is the step between the clocks of endpoints.
	clockSkew = time.Second
	// slots is the announced number of concurrent requests of an endpoint.
	slots = 32
	// drainTime is how long an endpoint continues to serve after its departure
	// was acknowledged: maxDrainDelay, within which routers must stop sending
	// requests, plus a margin.
	drainTime = maxDrainDelay + time.Second
)

// Endpoint simulates an engine or a plain service at one address, across all its
// incarnations.
type Endpoint struct {
	site   *Site
	number int
	// service is the service that it serves by default.
	service string
	// listen is the address that it listens on; it announces the address of
	// relay, which forwards to it.
	listen     string
	relay      *relay.Relay
	startCount atomic.Int64
	// failurePercent is the percentage of requests that fail.
	failurePercent atomic.Int32
	// answers and announcements block what the endpoint sends while it pauses.
	answers, announcements gate
	// stopMu is held by the fault that stops the endpoint, so that no other
	// fault does so meanwhile.
	stopMu sync.Mutex

	mu      sync.Mutex
	current *incarnation
}

// incarnation is one start of an endpoint.
type incarnation struct {
	id, service string
	// software is the version of its software: v1 at first, so that each version that an
	// endpoint starts again with is new to the site among faults.
	software  string
	startTime time.Time
	// sequence is the sequence number of the last announcement.
	sequence uint64
	leaving  atomic.Bool
	// acknowledged is when the departure was first acknowledged, in nanoseconds
	// since the start of the soak; 0 if it was not.
	acknowledged atomic.Int64
	server       *http.Server
	stop         context.CancelFunc
	done         sync.WaitGroup
}

// otherService returns the service that is not the given one. A fault lets it
// take over the endpoint's address.
func otherService(service string) string {
	if service == engineService {
		return plainService
	}
	return engineService
}

// start starts a new incarnation for a service, with a new id. The clock of the
// endpoint is ahead by 0, 1 or 2 times clockSkew.
func (e *Endpoint) start(service string) error {
	listener, err := listenAgain(e.listen)
	if err != nil {
		return fmt.Errorf("endpoint %d: %w", e.number, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	startTime := time.Now().Add(time.Duration(e.number%3) * clockSkew)
	count := e.startCount.Add(1)
	r := &incarnation{
		id: fmt.Sprintf("e%d-%d", e.number, count), service: service, startTime: startTime, stop: cancel,
		software: fmt.Sprint("v", count),
	}
	r.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) { e.serve(r, w, request) })}
	e.mu.Lock()
	e.current = r
	e.mu.Unlock()
	r.done.Go(func() { _ = r.server.Serve(listener) }) // It returns ErrServerClosed after Close.
	r.done.Go(func() { e.announce(ctx, r) })
	return nil
}

// incarnation returns the current incarnation, or nil while the endpoint is down.
func (e *Endpoint) incarnation() *incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// crash stops the current incarnation without announcing its departure.
func (e *Endpoint) crash() {
	e.mu.Lock()
	r := e.current
	e.current = nil
	e.mu.Unlock()
	if r == nil {
		return
	}
	r.stop()
	_ = r.server.Close() // This breaks the requests in flight.
	r.done.Wait()
}

// leave announces that the endpoint is leaving, and stops it drainTime after
// that was acknowledged.
func (e *Endpoint) leave(ctx context.Context) {
	r := e.incarnation()
	if r == nil {
		return
	}
	r.leaving.Store(true)
	for r.acknowledged.Load() == 0 && sleep(ctx, announceInterval) {
	}
	sleep(ctx, drainTime)
	e.crash()
}

// announce sends announcements to the control hosts in turn until the context
// ends.
func (e *Endpoint) announce(ctx context.Context, r *incarnation) {
	for turn := e.number; e.announcements.pass(ctx); turn++ {
		leaving := r.leaving.Load()
		r.sequence++
		body := outside.Announcement(r.service, e.relay.Address(), e.site.zone(e.number), r.software, slots, leaving, r.sequence, r.startTime)
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

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// serve handles one request.
func (e *Endpoint) serve(r *incarnation, w http.ResponseWriter, request *http.Request) {
	call := outside.ParseCall(request.Header)
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	refusal := r.refusal(call)
	if refusal == 0 {
		e.site.ledger.recordExecution(call.ID, execution{
			endpoint: r.id, service: r.service, zone: e.site.zone(e.number), account: call.Account, key: call.Key, path: request.URL.Path, body: string(body),
			at: e.site.since(), leaveAcknowledged: time.Duration(r.acknowledged.Load()),
		})
	}
	e.answer(r, w, request, call, refusal)
}

// refusal returns the status with which an incarnation refuses a call that it does
// not run, or 0 if it runs the call.
func (r *incarnation) refusal(call outside.Call) int {
	switch {
	case call.Expected != r.id:
		return http.StatusMisdirectedRequest
	case call.TimeLeft <= 0:
		return http.StatusServiceUnavailable
	default:
		return 0
	}
}

// answer sends the answer to a call, or the refusal if that is not 0. It sends
// nothing while the endpoint pauses.
func (e *Endpoint) answer(r *incarnation, w http.ResponseWriter, request *http.Request, call outside.Call, refusal int) {
	outside.SetAnswerHeader(w.Header(), call.ID, r.id)
	if refusal != 0 {
		outside.SetNotRunHeader(w.Header())
		e.answers.pass(request.Context())
		w.WriteHeader(refusal)
		return
	}
	failing := rand.Int32N(100) < e.failurePercent.Load()
	if r.service == engineService {
		e.answerStream(w, request, call, r.software, failing)
		return
	}
	sleep(request.Context(), plainServiceTime)
	if !e.answers.pass(request.Context()) {
		return
	}
	if failing && rand.IntN(2) == 0 {
		answerBroken(w, brokenAnswers)
		return
	}
	if failing {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(plainAnswer(call.ID)) // The router may have closed the connection.
}

// answerStream responds with a stream of events, starting after the last event
// that the caller has. If failing is set, it aborts the connection halfway, or its
// answer is broken.
func (e *Endpoint) answerStream(w http.ResponseWriter, request *http.Request, call outside.Call, software string, failing bool) {
	if failing && rand.IntN(2) == 0 && e.answers.pass(request.Context()) {
		answerBroken(w, brokenStreams(call))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	pause := firstEventDelay
	for event := call.LastEvent + 1; event <= streamEvents; event++ {
		if !sleep(request.Context(), pause) || !e.answers.pass(request.Context()) {
			return
		}
		pause = eventInterval
		if failing && event > streamEvents/2 {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(streamEvent(call.Stream, software, event)); err != nil {
			return
		}
		_ = control.Flush() // The router may have closed the connection.
	}
}

// streamEvents is the number of events of a stream.
const streamEvents = 12

// plainAnswer returns the only correct answer to a plain request.
func plainAnswer(id string) []byte { return bytes.Repeat([]byte("answer to "+id+"\n"), 40) }

// streamEvent returns the only correct event with this number, counted from 1, of a
// stream that a software version has begun. stream is the ID of its first request.
func streamEvent(stream, software string, event int) []byte {
	return fmt.Appendf(nil, "id: %d\ndata: %s %s %d\n\n", event, stream, software, event)
}

// softwareOf returns the software version of the endpoint that sent the first of the
// events, or "" if there is no whole event.
func softwareOf(events []byte) string {
	first, _, whole := bytes.Cut(events, []byte("\n\n"))
	fields := bytes.Fields(first)
	if !whole || len(fields) != eventFields {
		return ""
	}
	return string(fields[4])
}

// eventFields is the number of fields of an event: "id:", its number, "data:", the
// stream, the software version and the number.
const eventFields = 6
