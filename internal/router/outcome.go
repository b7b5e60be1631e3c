package router

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome is how a request ended.
type Outcome string

// The outcomes. Each request ends in exactly one.
const (
	// OutcomeOK means that the caller received the complete response.
	OutcomeOK Outcome = "ok"
	// OutcomeNotRun means that the request is known not to have run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeFailed means that the request ran and ended in an error.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that the request may have run. A non-idempotent
	// request with this outcome is never run again.
	OutcomeUnknown Outcome = "unknown"
)

// Code is the stable error code returned to callers.
type Code string

// The error codes, which docs/API.md documents for callers.
const (
	CodeUnauthorized       Code = "unauthorized"
	CodeAccountNotAllowed  Code = "account_not_allowed"
	CodeUnknownService     Code = "unknown_service"
	CodeUnknownModel       Code = "unknown_model"
	CodeUnknownKind        Code = "unknown_kind"
	CodeBodyTooLarge       Code = "body_too_large"
	CodeBadRequest         Code = "bad_request"
	CodeKeyRequired        Code = "idempotency_key_required"
	CodeKeyReused          Code = "idempotency_key_reused"
	CodeQueueFull          Code = "queue_full"
	CodeQueueTimeout       Code = "queue_timeout"
	CodeNoEndpoint         Code = "no_endpoint"
	CodeNoQuorum           Code = "no_quorum"
	CodeRecordsFull        Code = "records_full"
	CodeNotReady           Code = "not_ready"
	CodeDraining           Code = "draining"
	CodeQuarantined        Code = "quarantined"
	CodeEndpointFailed     Code = "endpoint_failed"
	CodeEndpointSilent     Code = "endpoint_silent"
	CodeAnswerTruncated    Code = "answer_truncated"
	CodeAnswerNotKept      Code = "answer_not_kept"
	CodeOutcomeUnknown     Code = "outcome_unknown"
	CodeStillRunning       Code = "still_running"
	CodeBundleStale        Code = "bundle_stale"
	CodeTooManyConnections Code = "too_many_connections"
	CodeNoMemory           Code = "no_memory"
	CodeDocumentTooComplex Code = "document_too_complex"
	CodeCallerGone         Code = "caller_gone"
)

// statuses holds the HTTP status of each code.
var statuses = map[Code]int{
	CodeUnauthorized:       http.StatusUnauthorized,
	CodeAccountNotAllowed:  http.StatusForbidden,
	CodeUnknownService:     http.StatusNotFound,
	CodeUnknownModel:       http.StatusNotFound,
	CodeUnknownKind:        http.StatusBadRequest,
	CodeBodyTooLarge:       http.StatusRequestEntityTooLarge,
	CodeBadRequest:         http.StatusBadRequest,
	CodeKeyRequired:        http.StatusBadRequest,
	CodeKeyReused:          http.StatusUnprocessableEntity,
	CodeQueueFull:          http.StatusTooManyRequests,
	CodeQueueTimeout:       http.StatusServiceUnavailable,
	CodeNoEndpoint:         http.StatusServiceUnavailable,
	CodeNoQuorum:           http.StatusServiceUnavailable,
	CodeRecordsFull:        http.StatusServiceUnavailable,
	CodeNotReady:           http.StatusServiceUnavailable,
	CodeDraining:           http.StatusServiceUnavailable,
	CodeQuarantined:        http.StatusServiceUnavailable,
	CodeEndpointFailed:     http.StatusBadGateway,
	CodeEndpointSilent:     http.StatusGatewayTimeout,
	CodeAnswerTruncated:    http.StatusBadGateway,
	CodeAnswerNotKept:      http.StatusConflict,
	CodeOutcomeUnknown:     http.StatusConflict,
	CodeStillRunning:       http.StatusConflict,
	CodeBundleStale:        http.StatusServiceUnavailable,
	CodeTooManyConnections: http.StatusServiceUnavailable,
	CodeNoMemory:           http.StatusServiceUnavailable,
	CodeDocumentTooComplex: http.StatusBadRequest,
	CodeCallerGone:         statusCallerGone,
}

// statusCallerGone is the status of a request whose caller has disconnected. No
// caller receives it.
const statusCallerGone = 499

// Error is the final error of a request.
type Error struct {
	code       Code
	outcome    Outcome
	message    string
	retryAfter time.Duration
}

// NewError returns an error. A retryAfter of 0 means that a retry does not
// help.
func NewError(code Code, outcome Outcome, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{code: code, outcome: outcome, retryAfter: retryAfter, message: fmt.Sprintf(format, args...)}
}

// notRun returns an error for a request that did not run.
func notRun(code Code, retryAfter time.Duration, format string, args ...any) *Error {
	return NewError(code, OutcomeNotRun, retryAfter, format, args...)
}

// Code returns the stable code.
func (e *Error) Code() Code { return e.code }

// Outcome returns how the request ended.
func (e *Error) Outcome() Outcome { return e.outcome }

// Message returns a human-readable description.
func (e *Error) Message() string { return e.message }

// RetryAfter returns the delay before the caller should retry, or 0 if it
// should not.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Status returns the HTTP status.
func (e *Error) Status() int {
	if status, ok := statuses[e.code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.code, e.message) }
