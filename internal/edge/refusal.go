package edge

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// smallBodyBytes is the largest body that is read before a request is refused, so
	// that its connection can be kept.
	smallBodyBytes = 256 << 10
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
	// A caller that waits for a 100 response sends no body after the refusal.
	whole := r.Header.Get("Expect") == "" && discardBody(r.Body, smallBodyBytes)
	a.closeConnection = a.closeConnection || !whole
	f.finishAnswer(r.Context(), t, failed)
	if whole {
		return
	}
	_ = a.control.Flush()                                         // The caller may be gone.
	_ = a.control.SetReadDeadline(time.Now().Add(discardTimeout)) // Connections without deadlines end with the caller's.
	discardBody(r.Body, maxDiscardedBytes)
}

// discardBody reads at most limit bytes of the body, and reports whether that was all of it.
func discardBody(body io.Reader, limit int64) bool {
	_, err := io.CopyN(io.Discard, body, limit+1)
	return errors.Is(err, io.EOF)
}
