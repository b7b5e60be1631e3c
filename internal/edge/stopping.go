package edge

import (
	"context"
	"errors"
)

// errAborted is the cause with which requests end that are in progress when the daemon
// stops.
var errAborted = errors.New("the daemon stops")

// Drain makes all further answers close their connections.
func (f *Forwarder) Drain() { f.draining.Store(true) }

// Refuse makes the forwarder refuse all requests that no endpoint has been sent yet,
// because they could not be completed before the daemon stops.
func (f *Forwarder) Refuse() { f.refusing.Store(true) }

// Abort ends the requests in progress. Those of whose answer nothing is sent yet get one
// that says whether they may have run.
func (f *Forwarder) Abort() { f.abort() }

// runUntilAborted runs the request until it ends or Abort is called.
func (f *Forwarder) runUntilAborted(ctx context.Context, t *task) *failure {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(f.aborted, func() { cancel(errAborted) })
	defer stop()
	return f.run(ctx, t)
}

// interrupted returns the failure of a request whose context has ended.
func (f *Forwarder) interrupted(ctx context.Context, t *task) *failure {
	switch {
	case !errors.Is(context.Cause(ctx), errAborted):
		return callerGone()
	case t.mayHaveRun:
		return &failure{status: 504, outcome: OutcomeFailed, code: CodeDraining, message: "the daemon has stopped before the endpoint answered"}
	default:
		return drainingFailure()
	}
}

func drainingFailure() *failure {
	return &failure{status: 503, outcome: OutcomeNotRun, code: CodeDraining, retryAfter: drainingRetryAfter, message: "the daemon is shutting down"}
}
