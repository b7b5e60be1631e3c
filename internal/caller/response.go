package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"oleanderramp/internal/router"
)

// errorBody is the JSON body of a refusal or failure.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         router.Code    `json:"code"`
	Message      string         `json:"message"`
	Outcome      router.Outcome `json:"outcome"`
	Request      string         `json:"request"`
	RetryAfterMS int64          `json:"retry_after_ms,omitempty"`
}

// responseWriter writes the responseWriter to one request. It is the router's sink.
type responseWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      string
	// headSent is true once the caller may have seen the status.
	headSent    bool
	eventStream bool
	// bodyUnread is true while the body of an HTTP/1 request is not read whole.
	bodyUnread bool
	writeStallTimeout  time.Duration
}

// writeChunkBytes is how much of an answer must reach the caller within the stall
// timeout.
const writeChunkBytes = 64 << 10

// newResponseWriter returns the answer to r. It bounds the time to read r's body,
// also for what the server reads of it after a refusal.
func (h *handler) newResponseWriter(w http.ResponseWriter, r *http.Request) *responseWriter {
	a := &responseWriter{w: w, control: http.NewResponseController(w), id: newRequestID(), writeStallTimeout: h.cfg.WriteStallTimeout}
	if r.ContentLength != 0 {
		a.bodyUnread = r.ProtoMajor == 1
		_ = a.control.SetReadDeadline(time.Now().Add(h.cfg.ReadBodyTimeout)) // Without deadlines the server's own hold.
	}
	return a
}

// Head sends the status and the header. Names of this API are the daemon's to
// set.
func (a *responseWriter) Head(status int, header http.Header) error {
	for name, values := range header {
		if !isAPIHeader(name) {
			a.w.Header()[name] = values
		}
	}
	a.w.Header().Set(headerRequest, a.id)
	a.w.Header().Set(headerOutcome, string(router.OutcomeOK))
	a.eventStream = strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
	a.headSent = true
	_ = a.extendWriteDeadline() // A write will fail for the same cause.
	a.w.WriteHeader(status)
	return nil
}

// extendWriteDeadline gives the next write the whole of the stall timeout.
func (a *responseWriter) extendWriteDeadline() error {
	err := a.control.SetWriteDeadline(time.Now().Add(a.writeStallTimeout))
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

// Data sends a part of the body at once. A large one goes out in pieces, so
// that a caller that reads steadily has time for all of it.
func (a *responseWriter) Data(p []byte) error {
	for piece := range slices.Chunk(p, writeChunkBytes) {
		if err := a.extendWriteDeadline(); err != nil {
			return err
		}
		if _, err := a.w.Write(piece); err != nil {
			return err
		}
		if err := a.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return err
		}
	}
	return nil
}

// MarkReplayed marks the answer as a saved one. It must come before Head.
func (a *responseWriter) MarkReplayed() { a.w.Header().Set(headerReplayed, "true") }

// writeError ends the answer with an error. When the head is out already, the error
// goes into an event stream's last event, and the connection is cut, so that
// the caller can't take a part for the whole.
func (a *responseWriter) writeError(err *router.Error) {
	body := a.errorBody(err)
	if a.headSent {
		if a.eventStream {
			_ = a.Data([]byte("event: error\ndata: " + string(body) + "\n\n")) // The caller may be gone.
		}
		panic(http.ErrAbortHandler)
	}
	header := a.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerRequest, a.id)
	header.Set(headerOutcome, string(err.Outcome()))
	if err.RetryAfter() > 0 {
		header.Set("Retry-After", strconv.FormatInt(wholeSeconds(err.RetryAfter()), 10))
	}
	if a.bodyUnread {
		// The server would otherwise wait for the rest of the body first.
		header.Set("Connection", "close")
	}
	_ = a.extendWriteDeadline() // The caller may be gone.
	a.w.WriteHeader(err.Status())
	_, _ = a.w.Write(append(body, '\n')) // As above.
}

func (a *responseWriter) errorBody(err *router.Error) []byte { return marshalError(a.id, err) }

func marshalError(id string, err *router.Error) []byte {
	body, _ := json.Marshal(errorBody{Error: errorDetail{ // It holds strings and a number only.
		Code: err.Code(), Message: err.Message(), Outcome: err.Outcome(),
		Request: id, RetryAfterMS: err.RetryAfter().Milliseconds(),
	}})
	return body
}

// wholeSeconds rounds up, as Retry-After has no fractions.
func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
