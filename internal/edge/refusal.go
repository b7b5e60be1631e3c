package edge

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// smallBodyBytes is the largest body that is read before a request is refused, so
	// that its connection can be kept.
	smallBodyBytes = 256 << 10
	// smallDiscardTimeout bounds how long the rest of such a body is waited for.
	smallDiscardTimeout = time.Second
	// maxDiscardedBytes and discardTimeout bound how much of a larger body is read after
	// the refusal, and for how long.
	maxDiscardedBytes = 64 << 20
	discardTimeout    = 3 * time.Second
)

// OverloadedResponse returns the whole HTTP/1 response to a request that an overloaded
// daemon refuses without looking into it.
func OverloadedResponse() []byte {
	failed := overloadedFailure()
	body, _ := json.Marshal(errorBody{Error: errorDetail{Code: failed.code, Message: failed.message, Outcome: failed.outcome}}) // Strings can always be encoded.
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nRetry-After: %v\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		failed.status, http.StatusText(failed.status), failed.retryAfter.Seconds(), len(body), body)
}

// refuseUnread refuses a request whose body has not been read in full. Closing a
// connection on which the caller still sends would reset it before the caller reads the
// refusal.
func (f *Forwarder) refuseUnread(r *http.Request, t *task, failed *failure) {
	a := t.answer
	whole := r.ContentLength == 0
	// A caller that waits for a 100 response sends no body after the refusal, and one that
	// has stalled sends none either.
	if !whole && r.Header.Get("Expect") == "" && failed.code != CodeBodyTimeout && failed.code != CodeNoMemory && r.ContentLength <= smallBodyBytes {
		whole = f.discard(a, r, smallBodyBytes, smallDiscardTimeout)
	}
	if whole {
		_ = a.control.SetReadDeadline(time.Time{}) // As in discard.
	}
	a.closeConnection = a.closeConnection || !whole
	f.finishAnswer(r.Context(), t, failed)
	if whole {
		return
	}
	_ = a.control.Flush() // The caller may be gone.
	if failed.code == CodeBodyTimeout {
		return
	}
	f.discard(a, r, maxDiscardedBytes, discardTimeout)
	_ = a.control.SetReadDeadline(time.Unix(1, 0)) // The server would read on.
}

// discard reads at most limit bytes of the body within a time, and reports whether that
// was all of it.
func (f *Forwarder) discard(a *answer, r *http.Request, limit int64, timeout time.Duration) bool {
	until := time.Now().Add(timeout)
	_ = a.control.SetReadDeadline(until) // Connections without deadlines end with the caller's.
	return f.cfg.Memory.Discard(r.Body, limit, until)
}
