package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// FaultKind names a fault that can be injected.
type FaultKind string

// The faults that can be injected, and FaultClear, which ends them.
const (
	// FaultSilent permanently silences the connections that are currently
	// open.
	FaultSilent FaultKind = "silent"
	// FaultPause stops all sending, on open and on new connections, for PauseMS.
	// What the endpoint would have sent follows then. Announcements continue.
	FaultPause FaultKind = "pause"
	// FaultLate delays the start of responses by DelayMS.
	FaultLate FaultKind = "late"
	// FaultTruncate closes the connection in the middle of a response.
	FaultTruncate FaultKind = "truncate"
	// FaultCrash crashes the endpoint on a request whose body contains Marker;
	// without a marker, on the next request.
	FaultCrash FaultKind = "crash"
	// FaultLeave announces that the endpoint is leaving. It continues to serve.
	FaultLeave FaultKind = "leave"
	// FaultRefuse answers with status 503 and an outcome header that reports
	// the request as not run.
	FaultRefuse FaultKind = "refuse"
	// FaultWrongID echoes a wrong request id.
	FaultWrongID FaultKind = "wrong_id"
	// FaultClear ends all active faults. Silenced connections stay silenced,
	// a pause lasts until its end, and a departure is not taken back.
	FaultClear FaultKind = "clear"
)

// Fault is the body of POST /control/faults.
type Fault struct {
	Fault FaultKind `json:"fault"`
	// Count is the number of requests that the fault affects; 0 means all.
	Count int `json:"count,omitempty"`
	// DelayMS is the delay of FaultLate in milliseconds.
	DelayMS int `json:"delay_ms,omitempty"`
	// PauseMS is the length of FaultPause in milliseconds.
	PauseMS int `json:"pause_ms,omitempty"`
	// AfterEvents is the number of stream events that FaultTruncate lets pass.
	AfterEvents int `json:"after_events,omitempty"`
	// Marker is the text in a request body that triggers FaultCrash.
	Marker string `json:"marker,omitempty"`
}

// faultTable holds the active faults.
type faultTable struct {
	mu     sync.Mutex
	active map[FaultKind]*Fault
}

func newFaultTable(config Config) *faultTable {
	t := &faultTable{active: make(map[FaultKind]*Fault)}
	if config.CrashMarker != "" {
		t.active[FaultCrash] = &Fault{Fault: FaultCrash, Marker: config.CrashMarker}
	}
	if config.AnswerDelay > 0 {
		t.active[FaultLate] = &Fault{Fault: FaultLate, DelayMS: int(config.AnswerDelay / time.Millisecond)}
	}
	return t
}

func (t *faultTable) set(fault Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if fault.Fault == FaultClear {
		clear(t.active)
		return
	}
	t.active[fault.Fault] = &fault
}

// take returns the fault if it is active, and counts one use of it.
func (t *faultTable) take(kind FaultKind) (Fault, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fault := t.active[kind]
	if fault == nil {
		return Fault{}, false
	}
	taken := *fault
	if fault.Count > 0 {
		fault.Count--
		if fault.Count == 0 {
			delete(t.active, kind)
		}
	}
	return taken, true
}

// peek returns the fault if it is active, without counting a use.
func (t *faultTable) peek(kind FaultKind) (Fault, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if fault := t.active[kind]; fault != nil {
		return *fault, true
	}
	return Fault{}, false
}

// Inject activates a fault.
func (b *base) Inject(fault Fault) error {
	return b.inject(fault, nil)
}

func (b *base) inject(fault Fault, exempt *faultConn) error {
	switch fault.Fault {
	case FaultSilent:
		b.conns.silence(exempt)
	case FaultPause:
		if fault.PauseMS <= 0 {
			return fmt.Errorf("fault %q: pause_ms must be at least 1, got %d", fault.Fault, fault.PauseMS)
		}
		b.conns.pause(time.Now(), time.Duration(fault.PauseMS)*time.Millisecond, exempt)
	case FaultLeave:
		b.announcer.leave()
	case FaultLate, FaultTruncate, FaultCrash, FaultRefuse, FaultWrongID, FaultClear:
		b.faults.set(fault)
	default:
		return fmt.Errorf("unknown fault %q", fault.Fault)
	}
	b.config.Log.WithField("fault", fault.Fault).Info("fault injected")
	return nil
}

// handleFaults answers POST /control/faults.
func (b *base) handleFaults(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&fault); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_fault", err.Error())
		return
	}
	exempt, _ := r.Context().Value(connKey{}).(*faultConn)
	if err := b.inject(fault, exempt); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_fault", err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
