package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"oleanderramp/internal/wire"
	"oleanderramp/pkg/client"
	"oleanderramp/pkg/finding"
)

// quorumRetryAfter is the Retry-After time of responses sent while the quorum
// is not available.
const quorumRetryAfter = 2 * time.Second

// APIError is an error with a stable code for the operator. A Fleet may return
// one; its other errors are reported as CodeNoQuorum.
type APIError struct {
	code    string
	message string
}

// NewAPIError returns an error with one of the codes of package client.
func NewAPIError(code, message string) *APIError {
	return &APIError{code: code, message: message}
}

// Code returns the stable code.
func (e *APIError) Code() string { return e.code }

func (e *APIError) Error() string { return e.message }

var errUnauthorized = NewAPIError(client.CodeUnauthorized, "no operator has this key")

func notFoundf(format string, args ...any) error {
	return NewAPIError(client.CodeNotFound, fmt.Sprintf(format, args...))
}

func badRequestf(format string, args ...any) error {
	return NewAPIError(client.CodeBadRequest, fmt.Sprintf(format, args...))
}

// resultError returns the error with which the state machine rejected a
// command, or nil.
func resultError(result *wire.Result) error {
	if e := result.GetError(); e != nil {
		return NewAPIError(e.GetCode(), e.GetMessage())
	}
	return nil
}

// toAPIError converts an error to an APIError with the matching code.
func toAPIError(err error) *APIError {
	var apiErr *APIError
	if errors.As(err, &apiErr) {
		return apiErr
	}
	var findings *finding.Error
	if errors.As(err, &findings) {
		return NewAPIError(client.CodeFindings, "the document has findings")
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return NewAPIError(client.CodeBodyTooLarge, fmt.Sprintf("the body is over %d bytes", tooLarge.Limit))
	}
	return NewAPIError(client.CodeNoQuorum, err.Error())
}

func statusOf(code string) int {
	switch code {
	case client.CodeUnauthorized:
		return http.StatusUnauthorized
	case client.CodeSameOperator:
		return http.StatusForbidden
	case client.CodeNotFound, client.CodeBundleUnknown, client.CodeUnknownReplica:
		return http.StatusNotFound
	case client.CodeFindings, client.CodeBundleInvalid:
		return http.StatusUnprocessableEntity
	case client.CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case client.CodeNoQuorum:
		return http.StatusServiceUnavailable
	case client.CodeBadRequest, client.CodeUnknownParent:
		return http.StatusBadRequest
	case client.CodeInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusConflict
	}
}

// respond sends the response, or the error with its code and findings.
func respond(w http.ResponseWriter, response any, err error) {
	status := http.StatusOK
	if err != nil {
		apiErr := toAPIError(err)
		status = statusOf(apiErr.code)
		response = client.ErrorBody{
			Code:     apiErr.code,
			Message:  apiErr.message,
			Findings: findingsOf(err),
		}
	}
	if response == nil {
		response = struct{}{}
	}
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(int(quorumRetryAfter.Seconds())))
	}
	if status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has closed the connection, so it can't be
	// reported to anyone.
	_ = json.NewEncoder(w).Encode(response)
}

func findingsOf(err error) []client.Finding {
	var e *finding.Error
	if !errors.As(err, &e) {
		return nil
	}
	findings := make([]client.Finding, 0, len(e.Findings()))
	for _, f := range e.Findings() {
		findings = append(findings, client.Finding{Place: f.Place(), Message: f.Message()})
	}
	return findings
}
