package client

import (
	"fmt"
	"strings"
	"time"
)

// Codes of errors returned by the operator API.
const (
	CodeUnauthorized = "unauthorized"
	CodeBadRequest   = "bad_request"
	CodeBodyTooLarge = "body_too_large"
	CodeNotFound     = "not_found"
	// CodeFindings: the document is invalid; Error.Findings lists the problems.
	CodeFindings = "findings"
	// CodeUnknownReplica: no member has this identity, or the host has not
	// announced a replica.
	CodeUnknownReplica = "unknown_replica"
	// CodeChangeRefused: this change of the quorum's membership is not possible
	// now.
	CodeChangeRefused = "change_refused"
	// CodeNoQuorum: the quorum can't be reached. The change may still have been
	// made.
	CodeNoQuorum = "no_quorum"
	// CodeInternal: the response does not come from the operator API.
	CodeInternal = "internal"
)

// Codes of errors returned by the replicated state.
const (
	// CodeBundleConflict: another bundle already has the version.
	CodeBundleConflict = "bundle_conflict"
	// CodeUnknownParent: the parent version is not accepted yet.
	CodeUnknownParent = "unknown_parent"
	// CodeBundleInvalid: the document is invalid; the message lists the problems.
	CodeBundleInvalid = "bundle_invalid"
	// CodeBundleUnknown: no bundle has the digest.
	CodeBundleUnknown = "bundle_unknown"
	// CodeBundleWithdrawn: the proposal was withdrawn.
	CodeBundleWithdrawn = "bundle_withdrawn"
	// CodeBundleAccepted: the bundle is already accepted.
	CodeBundleAccepted = "bundle_accepted"
	// CodeSameOperator: the operator who proposed a bundle can't sign it off.
	CodeSameOperator = "same_operator"
	// CodeNotSignedOff: the proposal is not signed off yet.
	CodeNotSignedOff = "not_signed_off"
	// CodeDrainsFull: the limit of drained endpoints is reached.
	CodeDrainsFull = "drains_full"
)

// Finding is one problem of a document. Place is the JSON path.
type Finding struct {
	Place   string `json:"place"`
	Message string `json:"message"`
}

// ErrorBody is the JSON body of every error response of the operator API.
type ErrorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Findings is set for CodeFindings.
	Findings []Finding `json:"findings,omitempty"`
}

// Error is an error response of the operator API.
type Error struct {
	status     int
	body       ErrorBody
	retryAfter time.Duration
}

// Status returns the HTTP status.
func (e *Error) Status() int { return e.status }

// Code returns the stable code of the error.
func (e *Error) Code() string { return e.body.Code }

// Message returns the text of the error.
func (e *Error) Message() string { return e.body.Message }

// Findings returns the problems found in a document.
func (e *Error) Findings() []Finding { return e.body.Findings }

// RetryAfter returns how long to wait before retrying the call, or 0 if the
// server didn't specify a time.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

func (e *Error) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s (%s)", e.body.Message, e.body.Code)
	for _, f := range e.body.Findings {
		fmt.Fprintf(&text, "\n%s: %s", f.Place, f.Message)
	}
	return text.String()
}

// UnreachableError is returned when no complete response was received from the
// server. A change may still have been made; it is safe to send it again.
type UnreachableError struct {
	server string
	err    error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("cannot reach %s: %v", e.server, e.err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.err }
