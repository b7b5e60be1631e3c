package caller

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"oleanderramp/internal/memgate"
	"oleanderramp/internal/router"
)

// errorBody is the JSON body of an error response.
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

// responseWriter writes the response to one request. It implements router.Sink.
type responseWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      string
	// headSent is true once the status may have been sent to the caller.
	headSent    bool
	eventStream bool
	// body is the request's body; nil once it can't be read.
	body io.Reader
	// memory bounds what is read only to be discarded.
	memory *memgate.Gate
	// bodyUnread is true until the whole body of an HTTP/1 request has been
	// read.
	bodyUnread        bool
	writeStallTimeout time.Duration
}

// writeChunkBytes is how much of a response must reach the caller within the
// write stall timeout.
const writeChunkBytes = 64 << 10

// newResponseWriter returns the writer of the response to r. It sets a deadline
// for reading r's body, which also covers what the server reads of it after an
// error response.
func (h *handler) newResponseWriter(w http.ResponseWriter, r *http.Request) *responseWriter {
	a := &responseWriter{w: w, control: http.NewResponseController(w), id: newRequestID(), body: r.Body, memory: h.cfg.Memory, writeStallTimeout: h.cfg.WriteStallTimeout}
	if r.ContentLength != 0 {
		a.bodyUnread = r.ProtoMajor == 1
		if h.cfg.Memory == nil { // Otherwise the server sets it, from the minimum pace.
			_ = a.control.SetReadDeadline(time.Now().Add(h.cfg.ReadBodyTimeout)) // If unsupported, the server's own deadlines apply.
		}
	}
	return a
}

// Head sends the status and the header. Headers of this API in the endpoint's
// response are dropped: only the daemon sets them.
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
	_ = a.extendWriteDeadline() // The write would fail for the same reason.
	a.w.WriteHeader(status)
	return nil
}

// extendWriteDeadline sets the deadline of the next write to the full write
// stall timeout.
func (a *responseWriter) extendWriteDeadline() error {
	err := a.control.SetWriteDeadline(time.Now().Add(a.writeStallTimeout))
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

// Data sends a part of the body immediately. A large part is written in chunks,
// each with its own deadline, so that a caller that reads steadily can receive
// all of it.
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

// MarkReplayed marks the response as replayed from a record. It must be called
// before Head.
func (a *responseWriter) MarkReplayed() { a.w.Header().Set(headerReplayed, "true") }

// writeError ends the response with an error. If the head has already been
// sent, the error is written as the last event of an event stream, and the
// connection is aborted, so that the caller can't mistake a partial response
// for a complete one.
func (a *responseWriter) writeError(err *router.Error) {
	body := append(a.errorBody(err), '\n')
	if a.headSent {
		if a.eventStream {
			_ = a.Data([]byte("event: error\ndata: " + string(body) + "\n")) // The caller may have disconnected.
		}
		panic(http.ErrAbortHandler)
	}
	header := a.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(headerRequest, a.id)
	header.Set(headerOutcome, string(err.Outcome()))
	if err.RetryAfter() > 0 {
		header.Set("Retry-After", strconv.FormatInt(wholeSeconds(err.RetryAfter()), 10))
	}
	if a.bodyUnread {
		// Otherwise the server would wait for the rest of the body first.
		header.Set("Connection", "close")
	}
	_ = a.extendWriteDeadline() // The caller may have disconnected.
	a.w.WriteHeader(err.Status())
	_, _ = a.w.Write(body) // The caller may have disconnected.
	if a.bodyUnread && a.body != nil {
		a.discardBody()
	}
}

const (
	// maxDiscardedBytes and discardTimeout bound how much of an unread body is read
	// after an error response, and for how long.
	maxDiscardedBytes = 64 << 20
	discardTimeout    = 3 * time.Second
)

// discardBody sends the response and reads the rest of the request's body. Closing a
// connection on which the caller still sends would reset it before the caller reads the
// response.
func (a *responseWriter) discardBody() {
	_ = a.control.Flush()                                         // The caller may have disconnected.
	_ = a.control.SetReadDeadline(time.Now().Add(discardTimeout)) // If unsupported, the server's own deadlines apply.
	a.memory.Discard(a.body, maxDiscardedBytes, time.Now().Add(discardTimeout))
	_ = a.control.SetReadDeadline(time.Unix(1, 0)) // The server would read on.
}

func (a *responseWriter) errorBody(err *router.Error) []byte { return marshalError(a.id, err) }

func marshalError(id string, err *router.Error) []byte {
	body, _ := json.Marshal(errorBody{Error: errorDetail{ // Strings and a number can always be marshalled.
		Code: err.Code(), Message: err.Message(), Outcome: err.Outcome(),
		Request: id, RetryAfterMS: err.RetryAfter().Milliseconds(),
	}})
	return body
}

// wholeSeconds rounds up to seconds, as Retry-After has no fractions.
func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
