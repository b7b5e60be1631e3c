package endpoint

import (
	"errors"
	"fmt"
	"net/http"
)

// Kind says how a call failed.
type Kind int

// The kinds of failure.
const (
	// DialFailed means that there was no connection: the call did not run.
	DialFailed Kind = iota + 1
	// NotSent means that no byte of the call was written: it did not run.
	NotSent
	// Refused means that the endpoint stated that it did not run the call.
	Refused
	// Silent means that no byte came for the timeout.
	Silent
	// ConnectionLost means that the connection ended before the answer began.
	ConnectionLost
	// Truncated means that the answer ended before it was whole.
	Truncated
	// WrongAnswer means that the answer belongs to another request.
	WrongAnswer
	// TooLarge means that the answer exceeds Call.MaxAnswerBytes.
	TooLarge
	// CallerGone means that the context ended or the sink returned an error.
	CallerGone
	// EndpointError means that the endpoint answered with a status of 500 or
	// above.
	EndpointError
	// InvalidCall means that the call could not be made into a request.
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

// Health is what a probe on a fresh connection found after a failure.
type Health int

// The states of health.
const (
	// NotProbed means that the failure says nothing about the endpoint.
	NotProbed Health = iota
	// Alive means that the endpoint answered the probe.
	Alive
	// Restarted means that it answered with another incarnation.
	Restarted
	// Gone means that nothing listens at its address.
	Gone
	// Unreachable means that no connection came about for another reason.
	Unreachable
	// Unresponsive means that it accepted a connection and did not answer.
	Unresponsive
)

func (h Health) String() string {
	return [...]string{"not_probed", "alive", "restarted", "gone", "unreachable", "unresponsive"}[h]
}

// CallError is the error of a call that has no whole answer.
type CallError struct {
	// Kind says how the call failed.
	Kind Kind
	// Health is that of the endpoint after the failure.
	Health Health
	// Status and Body are those of the answer for EndpointError and Refused.
	// Body holds at most errorBodyBytes.
	Status int
	Body   []byte
	// Header is that of the answer, without what concerns the connection.
	Header http.Header
	// Reused says that the call used a connection that was idle before.
	Reused bool
	// sent says that a byte of the call may have left.
	sent bool
	err  error
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

// MayHaveRun is false only when the endpoint surely did not run the call.
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

// stale tells whether an idle connection was closed before any byte of the
// call was written to it.
func (e *CallError) stale() bool {
	return e.Kind == NotSent && e.Reused && !errors.Is(e.err, errSilent)
}

// responseComplete tells whether the endpoint gave an answer that is whole, so that the
// connection is in order.
func (e *CallError) responseComplete() bool {
	return e.Kind == EndpointError || e.Kind == Refused
}

// Crashed tells whether the endpoint died while it ran the call: its
// connection ended, and no endpoint of the same incarnation answered a fresh
// one. A silent connection alone is no crash, nor is a network that is cut.
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
