package endpoint

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrWrongAnswer is the error with which a Sink rejects a response that is not what the
// call asked for. Such a call fails with WrongAnswer.
var ErrWrongAnswer = errors.New("wrong answer")

// Kind classifies the failure of a call.
type Kind int

// The kinds of failure.
const (
	// DialFailed means that no connection was established. The call did not run.
	DialFailed Kind = iota + 1
	// NotSent means that no byte of the request was written. The call did not
	// run.
	NotSent
	// Refused means that the endpoint stated that it did not run the call.
	Refused
	// Silent means that no byte was received within the timeout, or that a stream did
	// not go on.
	Silent
	// ConnectionLost means that the connection ended before the response began.
	ConnectionLost
	// Truncated means that the response ended before it was complete, or that
	// its end could not be detected.
	Truncated
	// WrongAnswer means that the response belongs to another request, has a status, the
	// name of a field or a framing that HTTP does not allow, is not a final response, is an
	// unmodified stream without the end of an event within ClientConfig.MaxEventBytes,
	// or was rejected by the sink with ErrWrongAnswer.
	WrongAnswer
	// TooLarge means that the response exceeds Call.MaxAnswerBytes, or an event
	// ClientConfig.MaxEventBytes.
	TooLarge
	// CallerGone means that the context ended or the sink returned an error.
	CallerGone
	// EndpointError means that the endpoint responded with a status of 500 or
	// above.
	EndpointError
	// InvalidCall means that no HTTP request could be built from the call.
	InvalidCall
)

var kindNames = map[Kind]string{
	DialFailed:     "dial_failed",
	NotSent:        "not_sent",
	Refused:        "refused",
	Silent:         "silent",
	ConnectionLost: "connection_lost",
	Truncated:      "truncated",
	WrongAnswer:    "wrong_answer",
	TooLarge:       "too_large",
	CallerGone:     "caller_gone",
	EndpointError:  "endpoint_error",
	InvalidCall:    "invalid_call",
}

func (k Kind) String() string {
	if name := kindNames[k]; name != "" {
		return name
	}
	return fmt.Sprintf("kind(%d)", int(k))
}

// Health is the result of a probe on a new connection after a failure.
type Health int

// The states of health.
const (
	// NotProbed means that the failure gave no reason to probe the endpoint.
	NotProbed Health = iota
	// Alive means that the endpoint responded to the probe.
	Alive
	// Restarted means that the endpoint responded with another incarnation.
	Restarted
	// Gone means that the connection was refused: no process listens at the
	// address.
	Gone
	// Unreachable means that the connection failed for another reason.
	Unreachable
	// Unresponsive means that the endpoint accepted a connection but did not
	// respond.
	Unresponsive
)

func (h Health) String() string {
	return [...]string{"not_probed", "alive", "restarted", "gone", "unreachable", "unresponsive"}[h]
}

// CallError is the error of a call without a complete response.
type CallError struct {
	// Kind classifies the failure.
	Kind Kind
	// Health is the health of the endpoint after the failure.
	Health Health
	// Status and Body are those of the response for EndpointError and Refused.
	// Body holds at most errorBodyBytes; BodyCut reports whether it is only the beginning.
	Status  int
	Body    []byte
	BodyCut bool
	// Header is the response header for EndpointError and Refused, without the
	// hop-by-hop headers.
	Header http.Header
	// Reused reports whether the call used a pooled connection that was idle
	// before.
	Reused bool
	// sent reports whether a byte of the request may have been sent.
	sent bool
	err  error
}

// NewCallError returns the error of a call whose request was sent.
func NewCallError(kind Kind, err error) *CallError {
	return &CallError{Kind: kind, sent: true, err: err}
}

func (e *CallError) Error() string {
	text := "endpoint call: " + e.Kind.String()
	if e.Status != 0 {
		text += fmt.Sprintf(" (status %d)", e.Status)
	}
	if e.Health != NotProbed {
		text += ", endpoint " + e.Health.String()
	}
	if e.err != nil {
		text += ": " + e.err.Error()
	}
	return text
}

func (e *CallError) Unwrap() error { return e.err }

// MayHaveRun reports whether the endpoint may have run the call. It is false
// only if the endpoint certainly did not.
func (e *CallError) MayHaveRun() bool {
	switch e.Kind {
	case DialFailed, NotSent, Refused, InvalidCall:
		return false
	case CallerGone:
		return e.sent
	default:
		return true
	}
}

// stale reports whether an idle connection was found closed before any byte of
// the request was written to it.
func (e *CallError) stale() bool {
	return e.Kind == NotSent && e.Reused && !errors.Is(e.err, ErrSilent)
}

// responseComplete reports whether the endpoint sent a complete error response,
// which leaves the connection usable.
func (e *CallError) responseComplete() bool {
	return e.Kind == EndpointError || e.Kind == Refused
}

// Crashed reports whether the endpoint died while it ran the call: its
// connection ended, and no endpoint with the same incarnation responded on a new
// one. A time-out or a network partition alone does not count as a crash.
func (e *CallError) Crashed() bool {
	switch e.Kind {
	case ConnectionLost, Truncated:
		return e.Health != NotProbed && e.Health != Alive
	case Silent:
		return e.Health == Restarted || e.Health == Gone
	default:
		return false
	}
}
