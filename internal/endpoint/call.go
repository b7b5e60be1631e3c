package endpoint

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"time"
)

// Call is one call to an endpoint.
type Call struct {
	// RequestID is sent in Headers.Request. A response that carries another id
	// fails the call with WrongAnswer.
	RequestID string
	// Address is the address of the endpoint, as "IP:port".
	Address string
	Method  string
	// Path is the request path, including the query. With Raw, it is sent
	// unchanged.
	Path   string
	Header http.Header
	Body   []byte
	// ProgressTimeout is the maximum time between two bytes of the response, unless
	// OnSilence is set. A stream must also complete an event other than a comment within
	// maxStallTimeouts of it; within one if OnSilence is set, which ends nothing.
	ProgressTimeout time.Duration
	// HeaderTimeout is the maximum time until the response begins, including
	// the dial, unless OnSilence is set.
	HeaderTimeout time.Duration
	// MaxAnswerBytes is the maximum size of the response body.
	MaxAnswerBytes int64
	// Stream reports whether the expected response is a stream of server-sent
	// events that ends with [DONE].
	Stream bool
	// Idempotent reports whether the call may be repeated. Unless Pooled is set,
	// only such a call may use an idle connection.
	Idempotent bool
	// Incarnation is the incarnation that the endpoint announced, 0 if unknown.
	// If a probe returns another one, the endpoint has restarted.
	Incarnation uint64
	// RequireEcho fails the call if the response does not carry RequestID. Without it,
	// a response may carry none, and its connection is not used again.
	RequireEcho bool
	// Host is the value of the Host header. If empty, the address is used.
	Host string
	// Raw forwards the response unmodified: with any status below 500, a stream
	// until its connection or its chunked body ends, and without counting
	// tokens.
	Raw bool
	// OnNotice is called with what the endpoint states about itself, as soon as the
	// header of a response has arrived, also if it states nothing. Optional.
	OnNotice func(Notice)
	// OnSilence is called when the endpoint has made no progress for HeaderTimeout or
	// ProgressTimeout, and again while it makes none. The call goes on; it may be
	// cancelled with the cause ErrSilent. If OnSilence is nil, the call ends. While it
	// runs, no method of the sink does.
	OnSilence func(silent time.Duration)
	// OnConnected may change the header of the request when there is a connection, before
	// the request is written. Optional.
	OnConnected func(header http.Header)
	// CallerDisconnected reports whether the caller has disconnected. It is called right
	// before the request is written to a connection; if it returns true, the call ends
	// with the cause ErrCallerDisconnected and nothing is written. Optional.
	CallerDisconnected func() bool
	// OnSent is called once the request has been written to a connection. Optional.
	OnSent func()
	// Pooled lets a call that is not idempotent use an idle connection. If the
	// endpoint closes that connection at the same moment, it is unknown whether
	// the call ran.
	Pooled bool
}

// Sink receives a response as it arrives. An error from a Sink other than
// ErrWrongAnswer means that the caller has disconnected: the call is cancelled at the
// endpoint.
type Sink interface {
	// Head is called once, before Data, for a status below 500. The sink may
	// keep and modify the header.
	Head(status int, header http.Header) error
	// Data receives the next bytes of the body; for a stream, these are
	// complete events. The sink must not keep p.
	Data(p []byte) error
}

// Result describes the part of a response that was received.
type Result struct {
	Status int
	// Bytes is the number of body bytes passed to the sink.
	Bytes int64
	// Tokens is the number of completion tokens: the reported usage if the
	// response has one, otherwise the number of events with content.
	Tokens int
	// Events is the number of complete events of a stream passed to the sink,
	// not counting [DONE]. A resumed call starts from this event.
	Events int
	// Complete reports whether the whole response was passed to the sink.
	Complete bool
	// FirstByte is the time until the response header was received.
	FirstByte time.Duration
}

// ErrCallerDisconnected is the cause with which a call ends that was not sent because
// its caller had disconnected.
var ErrCallerDisconnected = errors.New("the caller has disconnected")

// Do makes the call and passes the response to sink. The error is nil if and
// only if Result.Complete is true; otherwise it is a *CallError. The request is
// sent at most once: Do retries, on a new connection, only if an idle connection
// turned out to be closed before any byte was written to it.
func (c *Client) Do(ctx context.Context, call Call, sink Sink) (Result, error) {
	setDefault(&call.HeaderTimeout, c.config.HeaderTimeout)
	setDefault(&call.ProgressTimeout, c.config.ProgressTimeout)
	setDefault(&call.MaxAnswerBytes, c.config.MaxAnswerBytes)
	start := time.Now()
	a, err := c.attempt(ctx, call, sink, c.transport(call))
	if err != nil && err.stale() {
		a, err = c.attempt(ctx, call, sink, c.fresh)
	}
	if err == nil {
		c.config.Metrics.CallEnded(call.Address, 0, time.Since(start))
		return a.result, nil
	}
	if call.Raw {
		c.bypassPoolIfSilent(a, err)
	} else {
		c.handleFailure(ctx, call, a, err)
	}
	c.config.Metrics.CallEnded(call.Address, err.Kind, time.Since(start))
	return a.result, err
}

// attempt makes one request and receives its response.
func (c *Client) attempt(ctx context.Context, call Call, sink Sink, transport *http.Transport) (*attempt, *CallError) {
	a := newAttempt(ctx, c.config.Headers, call, sink)
	a.eventMemory = c.eventMemory
	defer a.release()
	return a, a.run(c.config, transport)
}

// Resume requests the rest of the stream of an earlier call, starting with the
// event numbered from. The endpoint does not run the call again.
func (c *Client) Resume(ctx context.Context, call Call, from int, sink Sink) (Result, error) {
	call.Method = http.MethodGet
	call.Path = fmt.Sprintf("/v1/streams/%s?from=%d", url.PathEscape(call.RequestID), from)
	call.Body = nil
	call.Stream = true
	call.Idempotent = false
	return c.Do(ctx, call, sink)
}

// handleFailure probes the endpoint after a failure that may be the endpoint's,
// and cancels a stream that has no reader left. A stream that timed out keeps
// running, as it may be resumed.
func (c *Client) handleFailure(ctx context.Context, call Call, a *attempt, err *CallError) {
	switch err.Kind {
	case Silent, ConnectionLost, Truncated:
		err.Health = c.health(context.WithoutCancel(ctx), call.Address, call.Incarnation)
	}
	c.bypassPoolIfSilent(a, err)
	unwanted := err.Kind == TooLarge || err.Kind == CallerGone && err.sent
	if unwanted && call.Stream {
		c.Cancel(call)
	}
}

// bypassPoolIfSilent stops using the idle connections to an endpoint after a
// call on a reused connection ended while the endpoint was silent.
func (c *Client) bypassPoolIfSilent(a *attempt, err *CallError) {
	if err.Reused && a.silence.wasSilent() {
		c.bypassPool(a.call.Address)
	}
}

// attempt is one request and its response, on one connection.
type attempt struct {
	// headers is ClientConfig.Headers.
	headers Headers
	// eventMemory is that of the client.
	eventMemory *memoryPool
	call        Call
	sink        Sink
	ctx         context.Context
	cancel      context.CancelCauseFunc
	// silence runs while the attempt waits for the endpoint.
	silence *silenceTimer
	start   time.Time
	result  Result

	// requestHeader is the header of the request. It does not change once the request is
	// being written.
	requestHeader http.Header

	mu sync.Mutex
	// conn is the connection in use, nil until there is one.
	conn *endpointConn
	// writesBefore is the number of writes on conn before this attempt.
	writesBefore int
	reused       bool
}

func newAttempt(ctx context.Context, headers Headers, call Call, sink Sink) *attempt {
	a := &attempt{headers: headers, call: call, sink: sink, start: time.Now()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	report, stallTimeouts := call.OnSilence, time.Duration(1)
	if report == nil {
		report, stallTimeouts = func(time.Duration) { a.cancel(ErrSilent) }, maxStallTimeouts
	}
	a.silence = newSilenceTimer(call.HeaderTimeout, stallTimeouts, report)
	return a
}

func (a *attempt) release() {
	a.silence.stop()
	a.cancel(nil)
}

func (a *attempt) run(config ClientConfig, transport *http.Transport) *CallError {
	request, err := a.request()
	if err != nil {
		return &CallError{Kind: InvalidCall, err: err}
	}
	response, err := transport.RoundTrip(request)
	a.silence.stop()
	if err != nil {
		return a.connectionError(ConnectionLost, err)
	}
	a.result.FirstByte = time.Since(a.start)
	callErr := a.receive(config, response)
	// Closing the body before its end closes the connection.
	_ = response.Body.Close()
	if callErr != nil && !callErr.responseComplete() || a.connSpent() {
		a.abandonConn()
	}
	return callErr
}

// wroteRequest reports that the request has been sent.
func (a *attempt) wroteRequest(info httptrace.WroteRequestInfo) {
	if a.call.OnSent != nil && info.Err == nil {
		a.call.OnSent()
	}
}

// connectionError returns the error for a failed connection. kind is the kind to
// report if the connection ended while the request was in progress.
func (a *attempt) connectionError(kind Kind, err error) *CallError {
	conn := a.abandonConn()
	cause := context.Cause(a.ctx)
	switch {
	case errors.Is(cause, ErrSilent):
		kind, err = Silent, ErrSilent
	case cause != nil:
		kind, err = CallerGone, cause
	case errors.Is(err, errMalformedHead):
		kind = WrongAnswer
	}
	if !conn.connected && kind != CallerGone {
		kind = DialFailed
	} else if !conn.sent && kind != CallerGone {
		kind = NotSent
	}
	return &CallError{Kind: kind, Reused: conn.reused, sent: conn.sent, err: err}
}
