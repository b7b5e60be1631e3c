package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// FaultKind is a fault that can be switched on.
type FaultKind string

// The faults.
const (
	// FaultSilent makes the connections that are open now silent for good.
	FaultSilent FaultKind = "silent"
	// FaultLate delays the begin of answers by DelayMS.
	FaultLate FaultKind = "late"
	// FaultTruncate closes the connection in the middle of an answer.
	FaultTruncate FaultKind = "truncate"
	// FaultCrash crashes on requests that contain Marker; without a marker at
	// the next request.
	FaultCrash FaultKind = "crash"
	// FaultLeave announces leaving, and goes on serving.
	FaultLeave FaultKind = "leave"
	// FaultRefuse answers 503 and states that the request did not run.
	FaultRefuse FaultKind = "refuse"
	// FaultWrongID echoes another request id.
	FaultWrongID FaultKind = "wrong_id"
	// FaultClear switches all faults off. Silent connections stay silent.
	FaultClear FaultKind = "clear"
)

// Fault is the body of POST /control/faults.
type Fault struct {
	Fault FaultKind `json:"fault"`
	// Count is how many requests the fault meets; 0 for all.
	Count int `json:"count,omitempty"`
	// DelayMS belongs to FaultLate.
	DelayMS int `json:"delay_ms,omitempty"`
	// AfterEvents is how much of a stream FaultTruncate lets pass.
	AfterEvents int `json:"after_events,omitempty"`
	// Marker belongs to FaultCrash.
	Marker string `json:"marker,omitempty"`
}

// faultTable holds the faults that are on.
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

// take returns the fault when it is on, and counts it.
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

// peek returns the fault when it is on, without counting it.
func (t *faultTable) peek(kind FaultKind) (Fault, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if fault := t.active[kind]; fault != nil {
		return *fault, true
	}
	return Fault{}, false
}

// Inject switches a fault on.
func (b *base) Inject(fault Fault) error {
	return b.inject(fault, nil)
}

func (b *base) inject(fault Fault, exempt *faultConn) error {
	switch fault.Fault {
	case FaultSilent:
		b.conns.silence(exempt)
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
