// Package edge forwards callers' requests to endpoints unchanged, according to a
// routing table: it resolves the route and the client account, chooses an
// endpoint, streams the answer to the caller, and retries only requests that may
// safely be retried.
package edge

import (
	"context"
	"net/http"
	"time"

	"oleanderramp/internal/balance"
	"oleanderramp/internal/endpoint"
	"oleanderramp/pkg/routing"
)

// Request is one attempt of a caller.
type Request struct {
	// ID is the request ID set by the caller; each attempt of the caller has its
	// own.
	ID     string
	Method string
	// Host names the site that the request is for, without a port.
	Host string
	// Target is the path with its query, byte for byte.
	Target string
	// Path is the path alone.
	Path string
	// Header holds the header fields forwarded to the endpoint.
	Header http.Header
	Body   []byte
	// Key identifies the client account; empty for none.
	Key string
	// CallerTimeout is how long the caller waits; 0 when the caller did not
	// specify it.
	CallerTimeout time.Duration
	Prompt        balance.Prompt
	// LastEventID is the ID of the last event that the caller has of a stream that it
	// takes up again; empty for a new request. Resumes is then the ID of the request
	// that brought it the first event.
	LastEventID string
	Resumes     string
	// ReceivedAt is when the request's head was read.
	ReceivedAt time.Time
}

// ForwardInfo holds what an endpoint is sent in addition to the caller's
// headers.
type ForwardInfo struct {
	// TimeLeft is how long the caller waits from now on.
	TimeLeft time.Duration
	Account  string
	// Endpoint is the ID of the intended endpoint.
	Endpoint string
	// Source is the address of an endpoint that has read more of the prompt;
	// empty for none.
	Source string
	// LastEvent is the ID of the last event that the caller has received; if
	// empty, the caller's own value is forwarded.
	LastEvent string
}

// Codec translates between the wire and Request.
type Codec interface {
	// Decode reads the head of a request.
	Decode(r *http.Request) *Request
	// Outgoing returns the header for an endpoint.
	Outgoing(request *Request, send ForwardInfo) http.Header
	// SetTimeLeft changes ForwardInfo.TimeLeft in a header for an endpoint.
	SetTimeLeft(header http.Header, left time.Duration)
}

// Endpoints calls endpoints.
type Endpoints interface {
	Do(ctx context.Context, call endpoint.Call, sink endpoint.Sink) (endpoint.Result, error)
}

// Tables provides the current routing table.
type Tables interface {
	// Table returns nil while no routing table is known.
	Table() *routing.Table
}

// Metrics records request metrics.
type Metrics interface {
	RequestEnded(service, outcome, code string, took time.Duration)
	ObserveSlotWait(service string, wait time.Duration)
	ObserveFirstEvent(service string, took time.Duration)
	CountRetry(service string)
	CountLeftZone(service, reason string)
	AddService(service, account string, cost float64)
}

// Outcome is how a request ended.
type Outcome string

// The possible outcomes of a request.
const (
	// OutcomeOK requests were answered completely.
	OutcomeOK Outcome = "ok"
	// OutcomeNotRun requests did not run and will not run later.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeFailed requests may have run.
	OutcomeFailed Outcome = "failed"
	// OutcomeAbandoned requests were cancelled by the caller.
	OutcomeAbandoned Outcome = "abandoned"
)

// Code is the reason why a request was not answered.
type Code string

// The codes, which are sent to callers and recorded in logs and metrics.
const (
	CodeDraining      Code = "draining"
	CodeOverloaded    Code = "overloaded"
	CodeNoTable       Code = "no_routing_table"
	CodeNoRoute       Code = "no_route"
	CodeUnknownKey    Code = "unknown_key"
	CodeBodyTooLarge  Code = "body_too_large"
	CodeBadBody       Code = "bad_body"
	CodeBodyTimeout   Code = "body_timeout"
	CodeNoMemory      Code = "no_memory"
	CodeQuarantined   Code = "quarantined"
	CodeUnknownStream Code = "unknown_stream"
	CodeNoEndpoint    Code = "no_endpoint"
	CodeBusy          Code = "busy"
	CodeBeyondShare   Code = "beyond_share"
	CodeDeclined      Code = "endpoint_declined"
	CodeUnreachable   Code = "endpoint_unreachable"
	CodeEndpointError Code = "endpoint_error"
	CodeAnswerBroken  Code = "answer_broken"
	CodeTimeout       Code = "timeout"
	CodeCallerGone    Code = "caller_gone"
	// CodeConnectionClosed and CodeConnectionTimeout requests ended because this
	// daemon ended the caller's connection.
	CodeConnectionClosed  Code = "connection_closed"
	CodeConnectionTimeout Code = "connection_timeout"
)

// failure describes a request that ended without a complete answer from the
// endpoint.
type failure struct {
	status  int
	outcome Outcome
	code    Code
	// retryAfter is the value of the Retry-After header; 0 means no header.
	retryAfter time.Duration
	message    string
}
