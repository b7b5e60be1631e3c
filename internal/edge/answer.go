package edge

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/memgate"
)

// maxBufferedBytes is how much of a non-streaming answer is buffered before it
// is sent, so that another attempt can replace it.
const maxBufferedBytes = 64 << 10

// answer writes the answer to one request.
type answer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// stream is set for routes whose answers are streams of events.
	stream          bool
	resumableRoute  bool
	closeConnection bool
	// draining reports whether the daemon is shutting down, so that the connection
	// takes no further request.
	draining    func() bool
	reservation *reservation
	deadline    time.Time
	// onFirstEvent is called at the first event of a stream.
	onFirstEvent func()

	// status is the HTTP status of the caller's answer; 0 until it is known.
	status int
	// sent is true once a byte of the answer may have left.
	sent bool
	// buffered holds the part of the answer that is not sent yet.
	buffered bytes.Buffer
	// account is that of the request; empty for none.
	account string
	// openMemory opens the claim for the buffered part, which is memory once that part
	// is larger than freeBufferedBytes.
	openMemory func() *memgate.Claim
	memory     *memgate.Claim
	// eventStream reports whether the answer is a success and a stream of events.
	eventStream bool
	// lastEvent is the ID of the last event that was forwarded; empty unless eventStream
	// is set.
	lastEvent string
	// lastPartAt is when the last part of the answer arrived, and longestPause the
	// longest time between two parts.
	lastPartAt   time.Time
	longestPause time.Duration
}

// startAttempt prepares for the next attempt.
func (a *answer) startAttempt(r *reservation) {
	a.reservation = r
	if !a.sent {
		a.status = 0
		a.buffered.Reset()
	}
}

// partlySent reports whether a part of the answer was sent to the caller.
func (a *answer) partlySent() bool { return a.sent }

// resumable reports whether the answer may be continued by another endpoint.
func (a *answer) resumable() bool { return a.resumableRoute && a.lastEvent != "" }

// setHead sets the status and the header of the answer, unless a part of it was sent.
func (a *answer) setHead(status int, header http.Header) {
	if a.sent {
		return
	}
	a.status = status
	a.eventStream = status == http.StatusOK && endpoint.IsEventStream(header)
	target := a.w.Header()
	clear(target)
	for name, values := range header {
		target[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil entry keeps the server from detecting a content type.
		target["Content-Type"] = nil
	}
}

// writeHead writes the status and the header, and announces whether the connection is
// closed after the answer.
func (a *answer) writeHead(status int) {
	if a.closeConnection || a.draining() {
		a.w.Header().Set("Connection", "close")
	}
	a.w.WriteHeader(status)
}

// write forwards the next bytes.
func (a *answer) write(p []byte) error {
	a.recordPart(time.Now())
	if !a.stream {
		a.buffered.Write(p)
		if a.buffered.Len() <= maxBufferedBytes && !a.sent && a.mayBuffer(len(p)) {
			return nil
		}
		return a.flush()
	}
	if a.lastEvent == "" && !a.sent {
		a.onFirstEvent()
	}
	a.reservation.recordEvents(time.Now(), countEvents(p))
	if id := lastEventID(p); id != "" && a.eventStream {
		a.lastEvent = id
	}
	a.buffered.Write(p)
	return a.flush()
}

// freeBufferedBytes is how much of an answer is buffered without a claim.
const freeBufferedBytes = 16 << 10

// mayBuffer reports whether there is memory to keep a further part of the answer. If
// not, the answer is sent at once.
func (a *answer) mayBuffer(added int) bool {
	if a.buffered.Len() <= freeBufferedBytes {
		return true
	}
	if a.memory == nil && a.openMemory != nil {
		a.memory = a.openMemory()
		added = a.buffered.Len()
	}
	return a.memory.TryGrow(int64(added))
}

// recordPart records the time at which a part of the answer arrived.
func (a *answer) recordPart(now time.Time) {
	a.recordPause(now)
	a.lastPartAt = now
}

// recordPause records the time since the last part of the answer.
func (a *answer) recordPause(now time.Time) {
	if !a.lastPartAt.IsZero() {
		a.longestPause = max(a.longestPause, now.Sub(a.lastPartAt))
	}
}

// extendWriteDeadline leaves time to write an answer, also one that is ready late.
func (a *answer) extendWriteDeadline(now time.Time) {
	deadline := now.Add(writeSlack)
	if deadline.Before(a.deadline) {
		deadline = a.deadline
	}
	_ = a.control.SetWriteDeadline(deadline) // Connections without deadlines end with the request's context.
}

// flush sends the buffered bytes.
func (a *answer) flush() error {
	if !a.sent {
		a.sent = true
		a.extendWriteDeadline(time.Now())
		a.writeHead(a.status)
	}
	_, err := a.buffered.WriteTo(a.w)
	if err != nil {
		return err
	}
	return a.control.Flush()
}

// finish sends the rest of a complete answer.
func (a *answer) finish() error {
	if a.sent {
		return nil
	}
	a.sent = true
	// All of the answer is ready: a caller that reads slowly gets it also after the deadline.
	a.deadline = later(a.deadline, time.Now().Add(readyAnswerTimeout))
	a.extendWriteDeadline(time.Now())
	a.w.Header().Set("Content-Length", strconv.Itoa(a.buffered.Len()))
	a.writeHead(a.status)
	_, err := a.buffered.WriteTo(a.w)
	return err
}

const (
	// readyAnswerTimeout bounds how long a caller may take to read a complete answer,
	// of which at most maxBufferedBytes are left, and refusalTimeout that for a refusal.
	readyAnswerTimeout = 30 * time.Second
	refusalTimeout     = 5 * time.Second
)

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// useEndpointError makes the endpoint's own error response the answer.
func (a *answer) useEndpointError(err *endpoint.CallError) {
	a.setHead(err.Status, err.Header)
	a.buffered.Reset()
	a.buffered.Write(err.Body)
}

// errorBody is the JSON body of a refusal or failure.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    Code    `json:"code"`
	Message string  `json:"message"`
	Outcome Outcome `json:"outcome"`
	Request string  `json:"request"`
}

// writeFailure answers with the failure.
func (a *answer) writeFailure(requestID string, f *failure) {
	header := a.w.Header()
	clear(header)
	header.Set("Content-Type", "application/json")
	if f.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', -1, 64))
	}
	body, _ := json.Marshal(errorBody{Error: errorDetail{Code: f.code, Message: f.message, Outcome: f.outcome, Request: requestID}}) // Strings can always be encoded.
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_ = a.control.SetWriteDeadline(time.Now().Add(refusalTimeout)) // Connections without deadlines end with the request's context.
	a.writeHead(f.status)
	_, _ = a.w.Write(body) // The caller may be gone.
}
