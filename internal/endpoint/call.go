package endpoint

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strings"
	"sync"
	"time"
)

// Call is one call to an endpoint.
type Call struct {
	// RequestID goes out in HeaderRequest, and an answer that carries another
	// one is refused.
	RequestID string
	// Address is the endpoint's, "IP:port".
	Address string
	Method  string
	// Path is the path with its query.
	Path   string
	Header http.Header
	Body   []byte
	// ProgressTimeout bounds the time between two bytes of the answer.
	ProgressTimeout time.Duration
	// HeaderTimeout bounds the time until the answer begins, the dial
	// included.
	HeaderTimeout time.Duration
	// MaxAnswerBytes bounds the body of the answer.
	MaxAnswerBytes int64
	// Stream says that a stream of server-sent events is expected, which ends
	// with [DONE].
	Stream bool
	// Idempotent says that the call may be repeated; only then may it use an
	// idle connection.
	Idempotent bool
	// Incarnation is the one that the endpoint announced; 0 when unknown. A
	// probe that meets another one tells that the endpoint has restarted.
	Incarnation uint64
	// RequireEcho refuses answers without the request's id.
	RequireEcho bool
	// Host is the value of the Host header; empty for the address.
	Host string
	// Raw passes the answer on as it is: of any status below 500, a stream
	// until its connection or its chunks end, and without counting tokens.
	Raw bool
	// Pooled lets a call that may not be repeated use an idle connection. Its
	// fate is open when the endpoint closes that at the same moment.
	Pooled bool
}

// Sink takes an answer as it comes. An error from it means that the caller is
// gone: the call is cancelled at the endpoint.
type Sink interface {
	// Head is called once, before Data, for a status below 500. The header
	// belongs to the sink.
	Head(status int, header http.Header) error
	// Data gets the next bytes of the body. Of a stream these are whole
	// events. The sink must not keep p.
	Data(p []byte) error
}

// Result tells of an answer, as far as it came.
type Result struct {
	Status int
	// Bytes is how much of the body went to the sink.
	Bytes int64
	// Tokens is the number of completion tokens: that of the usage when the
	// answer states it, else the number of events with content.
	Tokens int
	// Events is the number of whole events of a stream that went to the sink,
	// [DONE] not counted: where to resume from.
	Events int
	// Complete says that the whole answer went to the sink.
	Complete bool
	// FirstByte is the time until the answer began.
	FirstByte time.Duration
}

var errSilent = errors.New("no byte within the timeout")

// Do makes the call and passes the answer to sink. The error is nil exactly
// when Result.Complete is true, and else a *CallError. The call leaves at
// most once: only when an idle connection turned out to be closed before any
// byte was written does Do take a fresh one.
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
		c.bypassPoolIfSilent(call, err)
	} else {
		c.handleFailure(ctx, call, a, err)
	}
	c.config.Metrics.CallEnded(call.Address, err.Kind, time.Since(start))
	return a.result, err
}

// attempt makes one exchange.
func (c *Client) attempt(ctx context.Context, call Call, sink Sink, transport *http.Transport) (*attempt, *CallError) {
	a := newAttempt(ctx, c.config.Headers, call, sink)
	defer a.release()
	return a, a.run(c.config, transport)
}

// Resume asks the endpoint for the rest of the stream of an earlier call, from
// the event with number from on. Nothing is run again.
func (c *Client) Resume(ctx context.Context, call Call, from int, sink Sink) (Result, error) {
	call.Method = http.MethodGet
	call.Path = fmt.Sprintf("/v1/streams/%s?from=%d", url.PathEscape(call.RequestID), from)
	call.Body = nil
	call.Stream = true
	call.Idempotent = false
	return c.Do(ctx, call, sink)
}

// handleFailure probes the endpoint after a failure that throws doubt on it, and
// cancels a stream that nobody wants. A stream that went silent is left to
// run, as it may be resumed.
func (c *Client) handleFailure(ctx context.Context, call Call, a *attempt, err *CallError) {
	switch err.Kind {
	case Silent, ConnectionLost, Truncated:
		err.Health = c.health(context.WithoutCancel(ctx), call.Address, call.Incarnation)
	}
	c.bypassPoolIfSilent(call, err)
	unwanted := err.Kind == TooLarge || err.Kind == CallerGone && err.sent
	if unwanted && call.Stream {
		c.Cancel(call)
	}
}

// bypassPoolIfSilent distrusts the idle connections to an endpoint when a reused
// one was silent.
func (c *Client) bypassPoolIfSilent(call Call, err *CallError) {
	if err.Kind == Silent && err.Reused {
		c.bypassPool(call.Address)
	}
}

// attempt is one exchange on one connection.
type attempt struct {
	// headers are those of ClientConfig.
	headers Headers
	call    Call
	sink    Sink
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// timer ends the attempt with errSilent.
	timer  *time.Timer
	start  time.Time
	result Result

	mu sync.Mutex
	// conn is the connection used; nil before there is one.
	conn *countingConn
	// writesBefore is how many writes conn had seen before this attempt.
	writesBefore int
	reused       bool
}

func newAttempt(ctx context.Context, headers Headers, call Call, sink Sink) *attempt {
	a := &attempt{headers: headers, call: call, sink: sink, start: time.Now()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.timer = time.AfterFunc(call.HeaderTimeout, func() { a.cancel(errSilent) })
	return a
}

func (a *attempt) release() {
	a.timer.Stop()
	a.cancel(nil)
}

func (a *attempt) run(config ClientConfig, transport *http.Transport) *CallError {
	request, err := a.request()
	if err != nil {
		return &CallError{Kind: InvalidCall, err: err}
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return a.connectionError(ConnectionLost, err)
	}
	a.result.FirstByte = time.Since(a.start)
	callErr := a.receive(config, response)
	// Closing before the end of the body drops the connection.
	_ = response.Body.Close()
	if callErr != nil && !callErr.responseComplete() {
		a.abandonConn()
	}
	return callErr
}

// request builds the request such that the transport can't send it a second
// time, whatever the method and the idempotency headers are: its body can't be
// rewound. A call whose body can't be such goes out on a fresh connection, on
// which the transport repeats nothing.
func (a *attempt) request() (*http.Request, error) {
	target := "http://" + a.call.Address
	if !a.call.Raw {
		target += a.call.Path
	}
	trace := &httptrace.ClientTrace{GotConn: a.gotConn}
	ctx := httptrace.WithClientTrace(a.ctx, trace)
	request, err := http.NewRequestWithContext(ctx, a.call.Method, target, nil)
	if err != nil {
		return nil, err
	}
	if a.call.Raw {
		// The path goes out byte for byte.
		request.URL.Opaque = a.call.Path
		request.Host = a.call.Host
	}
	request.Header = forwardable(a.call.Header)
	if a.call.RequestID != "" {
		request.Header.Set(a.headers.Request, a.call.RequestID)
	}
	if a.call.Raw && request.Header.Get("User-Agent") == "" {
		// An empty value keeps the transport from naming itself.
		request.Header.Set("User-Agent", "")
	}
	request.ContentLength = int64(len(a.call.Body))
	if a.call.replayable() {
		request.Body = http.NoBody
	} else {
		request.Body = nonRewindableBody{bytes.NewReader(a.call.Body)}
	}
	return request, nil
}

// replayable tells whether the call has no body but a method that usually has
// one. The transport would send a stand-in for the body in chunks.
func (c Call) replayable() bool {
	if len(c.Body) > 0 {
		return false
	}
	switch c.Method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return false
	default:
		return true
	}
}

// nonRewindableBody is a body that the transport can't rewind.
type nonRewindableBody struct{ io.Reader }

func (nonRewindableBody) Close() error { return nil }

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = conn
	a.writesBefore = conn.writeCount()
	a.reused = info.Reused
}

// abandonConn closes the connection, and tells whether a byte of the call may have
// left.
func (a *attempt) abandonConn() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil {
		return false
	}
	return a.conn.abort() > a.writesBefore
}

// connectionError makes the error for a connection that failed; kind is that of a
// connection that ended.
func (a *attempt) connectionError(kind Kind, err error) *CallError {
	sent := a.abandonConn()
	cause := context.Cause(a.ctx)
	switch {
	case errors.Is(cause, errSilent):
		kind, err = Silent, errSilent
	case cause != nil:
		kind, err = CallerGone, cause
	}
	if a.conn == nil && kind != CallerGone {
		kind = DialFailed
	} else if !sent && kind != CallerGone {
		kind = NotSent
	}
	return &CallError{Kind: kind, Reused: a.reused, sent: sent, err: err}
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwardable returns a copy of the header without those that concern one
// connection, or that the transport sets by itself.
func forwardable(header http.Header) http.Header {
	copied := header.Clone()
	if copied == nil {
		copied = make(http.Header)
	}
	for _, line := range copied["Connection"] {
		for _, name := range strings.Split(line, ",") {
			copied.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		copied.Del(name)
	}
	copied.Del("Content-Length")
	copied.Del("Host")
	copied.Del("Expect")
	copied.Del("Accept-Encoding")
	return copied
}
