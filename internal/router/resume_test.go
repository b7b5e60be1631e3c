package router_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/router"
	"oleanderramp/pkg/bundle"
)

type callFunc = func(context.Context, endpoint.Sink) (endpoint.Result, error)

// streamEvents returns a call that sends the events from, from+1 ... to-1,
// followed by the end of the stream or a failure.
func streamEvents(from, to int, failure *endpoint.CallError) callFunc {
	return func(_ context.Context, sink endpoint.Sink) (endpoint.Result, error) {
		result := endpoint.Result{Status: http.StatusOK}
		if err := sink.Head(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}}); err != nil {
			return result, &endpoint.CallError{Kind: endpoint.CallerGone}
		}
		for i := from; i < to; i++ {
			if sink.Data(fmt.Appendf(nil, "%d ", i)) != nil {
				return result, &endpoint.CallError{Kind: endpoint.CallerGone}
			}
			result.Events++
			result.Tokens++
			result.Bytes += 2
		}
		if failure != nil {
			broken := *failure
			return result, &broken
		}
		result.Complete = true
		return result, nil
	}
}

// notFound responds like an endpoint that does not know the stream.
func notFound(_ context.Context, sink endpoint.Sink) (endpoint.Result, error) {
	if err := sink.Head(http.StatusNotFound, http.Header{"Content-Type": {"application/json"}}); err != nil {
		return endpoint.Result{Status: http.StatusNotFound}, &endpoint.CallError{Kind: endpoint.CallerGone}
	}
	return endpoint.Result{Status: http.StatusNotFound, Complete: true}, sink.Data([]byte("{}"))
}

func (env *testEnv) stream(idempotent bool) (*fakeSink, *router.Error) {
	sink := &fakeSink{}
	err := env.router.Serve(context.Background(), &router.Request{
		ID: "stream-1", Account: &bundle.ClientAccount{Name: "label-01", Share: 1}, Service: "assistant", Stream: true,
		Cost: bundle.CostTokens, Method: "POST", Path: "/v1/completions", Body: []byte("{}"), IdempotencyKey: "key-1", Arrived: time.Now(),
		Kind: &bundle.Kind{Name: "chat", Idempotent: idempotent, QueueTimeoutMS: 500, ProgressTimeoutMS: 1000, MaxAttempts: 3},
	}, sink)
	var failure *router.Error
	errors.As(err, &failure)
	return sink, failure
}

var (
	silent      = &endpoint.CallError{Kind: endpoint.Silent, Health: endpoint.Alive}
	truncated   = &endpoint.CallError{Kind: endpoint.Truncated, Health: endpoint.Alive}
	crashed     = &endpoint.CallError{Kind: endpoint.Truncated, Health: endpoint.Gone}
	unreachable = &endpoint.CallError{Kind: endpoint.Silent, Health: endpoint.Unreachable}
)

func TestStreamIsResumed(t *testing.T) {
	dialFailed := fails(endpoint.CallError{Kind: endpoint.DialFailed})
	tests := []struct {
		name      string
		responses []callFunc
		want      string
		body      string
		resumed   []int
		calls     int
		// cancelled is the number of cancelled streams, charged the total cost.
		cancelled int
		charged   float64
	}{
		{"silent", []callFunc{streamEvents(0, 2, silent), streamEvents(2, 5, nil)}, "ok", "0 1 2 3 4 ", []int{2}, 2, 0, 5},
		{"truncated", []callFunc{streamEvents(0, 2, truncated), streamEvents(2, 5, nil)}, "ok", "0 1 2 3 4 ", []int{2}, 2, 0, 5},
		{"resumed twice", []callFunc{streamEvents(0, 1, silent), streamEvents(1, 3, truncated), streamEvents(3, 5, nil)}, "ok", "0 1 2 3 4 ", []int{1, 3}, 3, 0, 5},
		{"before the first byte", []callFunc{fails(*silent), streamEvents(0, 3, nil)}, "ok", "0 1 2 ", []int{0}, 2, 0, 3},
		{"before the first event", []callFunc{streamEvents(0, 0, silent), streamEvents(0, 3, nil)}, "ok", "0 1 2 ", []int{0}, 2, 0, 3},
		{"attempts used up", []callFunc{streamEvents(0, 1, silent), streamEvents(1, 2, silent), streamEvents(2, 3, silent)}, "failed endpoint_silent", "0 1 2 ", []int{1, 2}, 3, 1, 0},
		{"unknown at the endpoint", []callFunc{streamEvents(0, 2, truncated), notFound}, "failed answer_truncated", "0 1 ", []int{2}, 2, 1, 0},
		{"unknown at the endpoint, nothing forwarded", []callFunc{fails(*silent), notFound, streamEvents(0, 2, nil)}, "ok", "0 1 ", []int{0}, 3, 1, 2},
		{"connection for the rest fails", []callFunc{streamEvents(0, 2, silent), dialFailed}, "failed endpoint_silent", "0 1 ", []int{2}, 2, 1, 0},
		{"crashed", []callFunc{streamEvents(0, 2, crashed)}, "failed answer_truncated", "0 1 ", nil, 1, 0, 0},
		{"crashed while resumed", []callFunc{streamEvents(0, 2, silent), streamEvents(2, 3, crashed)}, "failed answer_truncated", "0 1 2 ", []int{2}, 2, 0, 0},
		{"endpoint unreachable", []callFunc{streamEvents(0, 2, unreachable)}, "failed endpoint_silent", "0 1 ", nil, 1, 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				env := newTestEnv(test.responses...)
				sink, failure := env.stream(true)
				c.Check(outcome(failure), qt.Equals, test.want)
				c.Check(sink.body, qt.Equals, test.body)
				c.Check(env.endpoints.resumed, qt.DeepEquals, test.resumed)
				c.Check(env.endpoints.calls, qt.Equals, test.calls)
				c.Check(env.endpoints.cancelled, qt.Equals, test.cancelled)
				charged := 0.0
				for _, cost := range env.slots.completed {
					charged += cost
				}
				c.Check(charged, qt.Equals, test.charged)
			})
		})
	}
}

func TestNonIdempotentStreamIsNeitherResumedNorCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		env := newTestEnv(streamEvents(0, 2, silent), streamEvents(2, 5, nil))
		sink, failure := env.stream(false)
		c.Check(outcome(failure), qt.Equals, "unknown endpoint_silent")
		c.Check(sink.body, qt.Equals, "")
		c.Check(env.endpoints.resumed, qt.HasLen, 0)
		c.Check(env.endpoints.cancelled, qt.Equals, 0)
	})
}

// TestResumedTokens checks that the usage reported at the end of a resumed
// stream counts for the whole stream.
func TestResumedTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rest := streamEvents(2, 5, nil)
		env := newTestEnv(streamEvents(0, 2, silent), func(ctx context.Context, sink endpoint.Sink) (endpoint.Result, error) {
			result, err := rest(ctx, sink)
			result.Tokens = 40
			return result, err
		})
		_, failure := env.stream(true)
		c.Check(outcome(failure), qt.Equals, "ok")
		c.Check(env.slots.completed, qt.DeepEquals, []float64{40})
	})
}

// TestResumedResponseStaysBounded checks that the size limit of a response
// applies to all its parts together.
func TestResumedResponseStaysBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		large := func(_ context.Context, sink endpoint.Sink) (endpoint.Result, error) {
			_ = sink.Head(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
			_ = sink.Data([]byte(strings.Repeat("x", 1<<20)))
			return endpoint.Result{Status: http.StatusOK, Events: 1, Bytes: 1 << 20}, silent
		}
		env := newTestEnv(large, streamEvents(1, 3, nil))
		_, failure := env.stream(true)
		c.Check(outcome(failure), qt.Equals, "failed endpoint_silent")
		c.Check(env.endpoints.resumed, qt.HasLen, 0)
		c.Check(env.endpoints.cancelled, qt.Equals, 1)
	})
}
