package endpoint_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/standin"
)

// shortTimeout is the timeout of calls that are expected to time out.
const shortTimeout = 300 * time.Millisecond

// recorder is a Sink that stores the response.
type recorder struct {
	status int
	header http.Header
	body   bytes.Buffer
	// fail is the error that Data returns.
	fail error
	// onData is called at the start of each call of Data.
	onData func()
}

func (r *recorder) Head(status int, header http.Header) error {
	r.status, r.header = status, header
	return nil
}

func (r *recorder) Data(p []byte) error {
	if r.onData != nil {
		r.onData()
	}
	if r.fail != nil {
		return r.fail
	}
	r.body.Write(p)
	return nil
}

func newClient(t *testing.T, config endpoint.ClientConfig) *endpoint.Client {
	t.Helper()
	if config.ProbeTimeout == 0 {
		config.ProbeTimeout = time.Minute
	}
	client := endpoint.NewClient(config)
	t.Cleanup(client.Close)
	return client
}

func newEngine(t *testing.T, change func(*standin.EngineConfig)) *standin.Engine {
	t.Helper()
	config := standin.EngineConfig{
		Config:          standin.Config{Endpoint: "e1", Service: "manuals"},
		TokenInterval:   -1,
		FirstTokenDelay: -1,
	}
	if change != nil {
		change(&config)
	}
	engine, err := standin.NewEngine(config)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(engine.Close)
	return engine
}

func newOrders(t *testing.T) *standin.Orders {
	t.Helper()
	orders, err := standin.NewOrders(standin.OrdersConfig{
		Config: standin.Config{Endpoint: "o1", Service: "orders"},
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(orders.Close)
	return orders
}

func chatCall(address string) endpoint.Call {
	return endpoint.Call{
		RequestID:   "r1",
		Address:     address,
		Method:      http.MethodPost,
		Path:        "/v1/chat/completions",
		Body:        []byte(`{"messages":[{"role":"user","content":"how high may stands be"}],"max_tokens":7,"stream":true}`),
		Stream:      true,
		Idempotent:  true,
		RequireEcho: true,
	}
}

func bookCall(address string) endpoint.Call {
	return endpoint.Call{
		RequestID: "r1",
		Address:   address,
		Method:    http.MethodPost,
		Path:      "/bookings",
		Header:    http.Header{"Idempotency-Key": {"k1"}},
		Body:      []byte(`{"order":"power"}`),
	}
}

func asCallError(t *testing.T, err error) *endpoint.CallError {
	t.Helper()
	var callErr *endpoint.CallError
	qt.Assert(t, errors.As(err, &callErr), qt.IsTrue, qt.Commentf("got %v, want a *CallError", err))
	return callErr
}

func TestDoStream(t *testing.T) {
	engine := newEngine(t, nil)
	client := newClient(t, endpoint.ClientConfig{})
	var got recorder
	result, err := client.Do(t.Context(), chatCall(engine.Addr()), &got)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, result.Complete, qt.IsTrue)
	qt.Check(t, result.Tokens, qt.Equals, 7)
	qt.Check(t, result.Events, qt.Equals, 8)
	qt.Check(t, strings.HasSuffix(got.body.String(), "data: [DONE]\n\n"), qt.IsTrue)
	qt.Check(t, result.Bytes, qt.Equals, int64(got.body.Len()))
}

func TestDoNonStreaming(t *testing.T) {
	engine := newEngine(t, nil)
	client := newClient(t, endpoint.ClientConfig{})
	call := chatCall(engine.Addr())
	call.Stream = false
	call.Body = []byte(`{"messages":[{"role":"user","content":"a b"}],"max_tokens":3}`)
	var got recorder
	result, err := client.Do(t.Context(), call, &got)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, result.Tokens, qt.Equals, 3)
	qt.Check(t, got.body.String(), qt.Contains, `"content":"a b a "`)
}

func TestDoFailureKinds(t *testing.T) {
	tests := []struct {
		name    string
		fault   standin.Fault
		kind    endpoint.Kind
		health  endpoint.Health
		mayRun  bool
		crashed bool
	}{
		{"truncated", standin.Fault{Fault: standin.FaultTruncate, AfterEvents: 2},
			endpoint.Truncated, endpoint.Alive, true, false},
		{"wrong id", standin.Fault{Fault: standin.FaultWrongID}, endpoint.WrongAnswer, endpoint.NotProbed, true, false},
		{"refused", standin.Fault{Fault: standin.FaultRefuse}, endpoint.Refused, endpoint.NotProbed, false, false},
		{"crash", standin.Fault{Fault: standin.FaultCrash}, endpoint.ConnectionLost, endpoint.Gone, true, true},
		{"too late", standin.Fault{Fault: standin.FaultLate, DelayMS: 60_000},
			endpoint.Silent, endpoint.Alive, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engine := newEngine(t, nil)
			client := newClient(t, endpoint.ClientConfig{})
			qt.Assert(t, engine.Inject(test.fault), qt.IsNil)
			call := chatCall(engine.Addr())
			if test.fault.Fault == standin.FaultCrash {
				// With a stream, the response header may or may not arrive before
				// the crash.
				call.Body = []byte(`{"prompt":"x"}`)
			}
			if test.kind == endpoint.Silent {
				call.HeaderTimeout = shortTimeout
				call.ProgressTimeout = shortTimeout
			}
			result, err := client.Do(t.Context(), call, &recorder{})
			got := asCallError(t, err)
			qt.Check(t, got.Kind, qt.Equals, test.kind, qt.Commentf("%v", err))
			qt.Check(t, got.Health, qt.Equals, test.health)
			qt.Check(t, got.MayHaveRun(), qt.Equals, test.mayRun)
			qt.Check(t, got.Crashed(), qt.Equals, test.crashed)
			qt.Check(t, result.Complete, qt.IsFalse)
		})
	}
}

func TestDialFailed(t *testing.T) {
	engine := newEngine(t, nil)
	address := engine.Addr()
	engine.Close()
	client := newClient(t, endpoint.ClientConfig{})
	_, err := client.Do(t.Context(), chatCall(address), &recorder{})
	got := asCallError(t, err)
	qt.Check(t, got.Kind, qt.Equals, endpoint.DialFailed)
	qt.Check(t, got.MayHaveRun(), qt.IsFalse)
}

// The response is truncated after two complete events and a part of the third.
// The caller must receive only the two, and the rest exactly once on resuming.
func TestResumeAfterTruncation(t *testing.T) {
	engine := newEngine(t, nil)
	client := newClient(t, endpoint.ClientConfig{})
	var uninterrupted, got recorder
	_, err := client.Do(t.Context(), chatCall(engine.Addr()), &uninterrupted)
	qt.Assert(t, err, qt.IsNil)

	qt.Assert(t, engine.Inject(standin.Fault{Fault: standin.FaultTruncate, AfterEvents: 2, Count: 1}), qt.IsNil)
	call := chatCall(engine.Addr())
	result, err := client.Do(t.Context(), call, &got)
	qt.Check(t, asCallError(t, err).Kind, qt.Equals, endpoint.Truncated)
	qt.Check(t, result.Events, qt.Equals, 2)
	result, err = client.Resume(t.Context(), call, result.Events, &got)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, result.Complete, qt.IsTrue)
	qt.Check(t, got.body.String(), qt.Equals, uninterrupted.body.String())
}

// A connection stops delivering data in the middle of a stream. The endpoint must
// not count as crashed, and the rest of the stream must arrive on another
// connection.
func TestResumeAfterSilentConnection(t *testing.T) {
	engine := newEngine(t, func(c *standin.EngineConfig) {
		c.TokenInterval = 5 * time.Millisecond
		c.ResumeGrace = time.Minute
	})
	client := newClient(t, endpoint.ClientConfig{})
	silenced := false
	got := recorder{}
	got.onData = func() {
		if !silenced {
			silenced = true
			qt.Check(t, engine.Inject(standin.Fault{Fault: standin.FaultSilent}), qt.IsNil)
		}
	}
	call := chatCall(engine.Addr())
	call.ProgressTimeout = shortTimeout
	result, err := client.Do(t.Context(), call, &got)
	callErr := asCallError(t, err)
	qt.Check(t, callErr.Kind, qt.Equals, endpoint.Silent)
	qt.Check(t, callErr.Health, qt.Equals, endpoint.Alive)
	qt.Check(t, callErr.Crashed(), qt.IsFalse)

	call.ProgressTimeout = time.Minute
	_, err = client.Resume(t.Context(), call, result.Events, &got)
	qt.Assert(t, err, qt.IsNil)
	var want recorder
	call.RequestID = "r2"
	_, err = client.Do(t.Context(), call, &want)
	qt.Assert(t, err, qt.IsNil)
	text := strings.ReplaceAll(want.body.String(), `"id":"r2"`, `"id":"r1"`)
	qt.Check(t, got.body.String(), qt.Equals, text)
}

// Several idle connections stop delivering data. The next call, on one of them,
// times out, and the call after that must not use another of them.
func TestPoolBypassedAfterSilentIdleConnection(t *testing.T) {
	engine := newEngine(t, nil)
	client := newClient(t, endpoint.ClientConfig{})
	call := chatCall(engine.Addr())
	// Both calls wait for each other, so that the pool keeps two connections.
	var begun, calls sync.WaitGroup
	begun.Add(2)
	for range 2 {
		calls.Go(func() {
			var once sync.Once
			waitForBoth := func() {
				once.Do(begun.Done)
				begun.Wait()
			}
			_, err := client.Do(t.Context(), call, &recorder{onData: waitForBoth})
			qt.Check(t, err, qt.IsNil)
		})
	}
	calls.Wait()
	qt.Assert(t, engine.Inject(standin.Fault{Fault: standin.FaultSilent}), qt.IsNil)

	call.HeaderTimeout = shortTimeout
	_, err := client.Do(t.Context(), call, &recorder{})
	got := asCallError(t, err)
	qt.Check(t, got.Kind, qt.Equals, endpoint.Silent)
	qt.Check(t, got.Reused, qt.IsTrue)
	qt.Check(t, got.Health, qt.Equals, endpoint.Alive)
	call.HeaderTimeout = time.Minute
	_, err = client.Do(t.Context(), call, &recorder{})
	qt.Check(t, err, qt.IsNil)
}

// TestPoolBypassedAfterDeadlineInSilence guards against further calls on connections that
// are silent for good, because a call that is not ended by the silence lasts until its
// deadline.
func TestPoolBypassedAfterDeadlineInSilence(t *testing.T) {
	engine := newEngine(t, nil)
	client := newClient(t, endpoint.ClientConfig{})
	call := chatCall(engine.Addr())
	_, err := client.Do(t.Context(), call, &recorder{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, engine.Inject(standin.Fault{Fault: standin.FaultSilent}), qt.IsNil)

	ctx, cancel := context.WithTimeout(t.Context(), 3*shortTimeout)
	defer cancel()
	call.HeaderTimeout, call.OnSilence = shortTimeout, func(time.Duration) {}
	_, err = client.Do(ctx, call, &recorder{})
	got := asCallError(t, err)
	qt.Check(t, got.Kind, qt.Equals, endpoint.CallerGone)
	qt.Check(t, got.Reused, qt.IsTrue)
	qt.Check(t, client.PoolBypassed(call.Address), qt.IsTrue)
}

// The engine keeps running a stream without a reader for ResumeGrace, here one
// hour. A stream whose caller has disconnected must be cancelled before that.
func TestCallerDisconnectCancelsStream(t *testing.T) {
	engine := newEngine(t, func(c *standin.EngineConfig) {
		c.TokenInterval = time.Millisecond
		c.ResumeGrace = time.Hour
	})
	client := endpoint.NewClient(endpoint.ClientConfig{})
	call := chatCall(engine.Addr())
	call.Body = []byte(`{"messages":[{"role":"user","content":"a"}],"max_tokens":16000,"stream":true}`)
	_, err := client.Do(t.Context(), call, &recorder{fail: errors.New("caller disconnected")})
	got := asCallError(t, err)
	qt.Check(t, got.Kind, qt.Equals, endpoint.CallerGone)
	qt.Check(t, got.MayHaveRun(), qt.IsTrue)
	client.Close()
	running := 1
	for deadline := time.Now().Add(5 * time.Second); running > 0 && time.Now().Before(deadline); {
		running, _ = engine.Load()
	}
	qt.Check(t, running, qt.Equals, 0)
}

// The response to a booking is truncated. The booking may have run, so the
// client must not send it again.
func TestBookingRunsOnce(t *testing.T) {
	orders := newOrders(t)
	client := newClient(t, endpoint.ClientConfig{})
	var got recorder
	result, err := client.Do(t.Context(), bookCall(orders.Addr()), &got)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, result.Status, qt.Equals, http.StatusCreated)
	qt.Check(t, orders.Runs("power"), qt.Equals, 1)

	qt.Assert(t, orders.Inject(standin.Fault{Fault: standin.FaultTruncate}), qt.IsNil)
	_, err = client.Do(t.Context(), bookCall(orders.Addr()), &recorder{})
	callErr := asCallError(t, err)
	qt.Check(t, callErr.Kind, qt.Equals, endpoint.Truncated)
	qt.Check(t, callErr.MayHaveRun(), qt.IsTrue)
	qt.Check(t, orders.Runs("power"), qt.Equals, 2)
}
