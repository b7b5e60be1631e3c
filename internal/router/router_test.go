package router_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/quarantine"
	"oleanderramp/internal/router"
	"oleanderramp/internal/state"
	"oleanderramp/internal/wire"
	"oleanderramp/pkg/bundle"
)

// fakeSlots grants the first endpoint that is not excluded.
type fakeSlots struct {
	mu        sync.Mutex
	endpoints []string
	alone     []bool
	completed []float64
	// full makes every request wait.
	full bool
}

func (f *fakeSlots) Submit(demand *wire.Demand) <-chan router.SlotResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.alone = append(f.alone, demand.GetAlone())
	result := make(chan router.SlotResult, 1)
	if f.full {
		return result
	}
	for _, name := range f.endpoints {
		if !contains(demand.GetExcluded(), name) {
			result <- router.SlotResult{Grant: &wire.Grant{Request: demand.GetRequest(), Endpoint: name}}
			return result
		}
	}
	result <- router.SlotResult{Refusal: &wire.Refusal{Reason: "all_endpoints_excluded", RetryAfterMs: 1000}}
	return result
}

func contains(list []string, name string) bool {
	for _, other := range list {
		if other == name {
			return true
		}
	}
	return false
}

func (f *fakeSlots) Withdraw(uint64) {}

func (f *fakeSlots) Complete(_ uint64, cost float64, _ bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.completed = append(f.completed, cost)
}

// fakeEndpoints uses one of responses for each call, and the last one for all
// further calls.
type fakeEndpoints struct {
	mu        sync.Mutex
	calls     int
	responses []func(ctx context.Context, sink endpoint.Sink) (endpoint.Result, error)
	// resumed holds the event numbers from which streams were resumed.
	resumed   []int
	cancelled int
}

func (f *fakeEndpoints) Do(ctx context.Context, _ endpoint.Call, sink endpoint.Sink) (endpoint.Result, error) {
	f.mu.Lock()
	respond := f.responses[min(f.calls, len(f.responses)-1)]
	f.calls++
	f.mu.Unlock()
	return respond(ctx, sink)
}

// Resume uses the next of responses, as Do does.
func (f *fakeEndpoints) Resume(ctx context.Context, call endpoint.Call, from int, sink endpoint.Sink) (endpoint.Result, error) {
	f.mu.Lock()
	f.resumed = append(f.resumed, from)
	f.mu.Unlock()
	return f.Do(ctx, call, sink)
}

func (f *fakeEndpoints) Cancel(endpoint.Call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled++
}

func answers(body string) func(context.Context, endpoint.Sink) (endpoint.Result, error) {
	return func(_ context.Context, sink endpoint.Sink) (endpoint.Result, error) {
		if err := errors.Join(sink.Head(http.StatusOK, http.Header{}), sink.Data([]byte(body))); err != nil {
			return endpoint.Result{}, &endpoint.CallError{Kind: endpoint.CallerGone}
		}
		return endpoint.Result{Status: http.StatusOK, Tokens: 3, Complete: true}, nil
	}
}

func fails(failure endpoint.CallError) func(context.Context, endpoint.Sink) (endpoint.Result, error) {
	return func(context.Context, endpoint.Sink) (endpoint.Result, error) { return endpoint.Result{}, &failure }
}

func failsAfter(d time.Duration, failure endpoint.CallError) func(context.Context, endpoint.Sink) (endpoint.Result, error) {
	return func(context.Context, endpoint.Sink) (endpoint.Result, error) {
		time.Sleep(d)
		return endpoint.Result{}, &failure
	}
}

func slow(d time.Duration, body string) func(context.Context, endpoint.Sink) (endpoint.Result, error) {
	return func(ctx context.Context, sink endpoint.Sink) (endpoint.Result, error) {
		time.Sleep(d)
		return answers(body)(ctx, sink)
	}
}

// fakeRecordStore is the real state machine without a quorum.
type fakeRecordStore struct {
	mu      sync.Mutex
	machine *state.Machine
	index   uint64
	down    bool
}

func (f *fakeRecordStore) apply(command *wire.Command) (*wire.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, errors.New("no quorum")
	}
	f.index++
	command.NowUnixMs = time.Now().UnixMilli()
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, err
	}
	result := &wire.Result{}
	if err := proto.Unmarshal(f.machine.Apply(f.index, data), result); err != nil {
		return nil, err
	}
	if refused := result.GetError(); refused != nil {
		return nil, router.NewRecordStoreError(refused.GetCode(), refused.GetMessage())
	}
	return result, nil
}

func (f *fakeRecordStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakeRecordStore) Begin(_ context.Context, begin *wire.BeginRequest) (*wire.BeginResult, error) {
	begin.Router = &wire.Process{Host: "host-1", Incarnation: 1}
	result, err := f.apply(&wire.Command{Body: &wire.Command_Begin{Begin: begin}})
	return result.GetBegin(), err
}

func (f *fakeRecordStore) Finish(_ context.Context, finish *wire.FinishRequest) error {
	_, err := f.apply(&wire.Command{Body: &wire.Command_Finish{Finish: finish}})
	return err
}

func (f *fakeRecordStore) Lookup(_ context.Context, q *wire.RecordQuery) (*wire.BeginResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, errors.New("no quorum")
	}
	record, _ := f.machine.Record(q.GetAccount(), q.GetService(), q.GetIdempotencyKey())
	return record, nil
}

type fakePublisher struct {
	published []quarantine.Entry
	suspects  []quarantine.Digest
	// delay is how long a publication takes; failing ones end without confirmation.
	delay   time.Duration
	failing bool
}

func (f *fakePublisher) Suspect(_ string, digests []quarantine.Digest) *router.Publication {
	f.suspects = append(f.suspects, digests...)
	return f.publication()
}

func (f *fakePublisher) Quarantine(_ string, entry quarantine.Entry) *router.Publication {
	f.published = append(f.published, entry)
	return f.publication()
}

func (f *fakePublisher) publication() *router.Publication {
	publication := router.NewPublication()
	time.AfterFunc(f.delay, func() { publication.End(!f.failing) })
	return publication
}

func (*fakePublisher) RequestEnded(string, string, string, time.Duration) {}
func (*fakePublisher) ObserveSlotWait(string, time.Duration)              {}
func (*fakePublisher) CountRetry(string)                                  {}
func (*fakePublisher) CountCrash(string)                                  {}
func (*fakePublisher) AddService(string, string, float64)                 {}

// fakeSink records a response.
type fakeSink struct {
	body     string
	replayed bool
	length   string
}

func (s *fakeSink) MarkReplayed()       { s.replayed = true }
func (s *fakeSink) Data(p []byte) error { s.body += string(p); return nil }

func (s *fakeSink) Head(_ int, header http.Header) error {
	s.length = header.Get("Content-Length")
	return nil
}

// testEnv holds a router and its fakes.
type testEnv struct {
	router    *router.Router
	slots     *fakeSlots
	endpoints *fakeEndpoints
	records   *fakeRecordStore
	publisher *fakePublisher
}

func newTestEnv(responses ...func(context.Context, endpoint.Sink) (endpoint.Result, error)) *testEnv {
	records := &fakeRecordStore{machine: state.New(state.Limits{})}
	env := newTestEnvWithRecords(records, responses...)
	env.records = records
	return env
}

// newTestEnvWithRecords returns a testEnv whose router uses the record store.
func newTestEnvWithRecords(records router.RecordStore, responses ...func(context.Context, endpoint.Sink) (endpoint.Result, error)) *testEnv {
	env := &testEnv{
		slots:     &fakeSlots{endpoints: []string{"engine-1", "engine-2", "engine-3"}},
		endpoints: &fakeEndpoints{responses: responses},
		publisher: &fakePublisher{},
	}
	env.router = router.New(router.Config{
		Slots: env.slots, Endpoints: env.endpoints, Records: records, Publisher: env.publisher, Metrics: env.publisher,
		Log: &log.Logger{Handler: discard.Default, Level: log.ErrorLevel}, MaxQueued: 4,
		MaxAnswerBytes: 1 << 20, MaxSavedAnswerBytes: 1 << 10, CommitTimeout: time.Second,
	})
	return env
}

var requestCount atomic.Int64

func (env *testEnv) serve(idempotent bool, key, body string) (*fakeSink, *router.Error) {
	return env.serveIn(context.Background(), idempotent, key, body)
}

func (env *testEnv) serveIn(ctx context.Context, idempotent bool, key, body string) (*fakeSink, *router.Error) {
	number := requestCount.Add(1)
	sink := &fakeSink{}
	err := env.router.Serve(ctx, &router.Request{
		ID: fmt.Sprintf("request-%d", number), Account: &bundle.ClientAccount{Name: "label-01", Share: 1},
		Service: "orders", Method: "POST", Path: "/bookings", Body: []byte(body), IdempotencyKey: key, Arrived: time.Now(),
		Kind: &bundle.Kind{Name: "booking", Idempotent: idempotent, QueueTimeoutMS: 500, ProgressTimeoutMS: 1000, MaxAttempts: 3},
	}, sink)
	var failure *router.Error
	errors.As(err, &failure)
	return sink, failure
}

// outcome returns the outcome and code of a request, for tables.
func outcome(failure *router.Error) string {
	if failure == nil {
		return "ok"
	}
	return string(failure.Outcome()) + " " + string(failure.Code())
}

func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	tests := []struct {
		name    string
		respond func(context.Context, endpoint.Sink) (endpoint.Result, error)
		// first and repeat are the outcomes of the request and of its repeat.
		first, repeat string
		calls         int
	}{
		{"answered", answers("done"), "ok", "ok", 1},
		{"answer too large to save", answers(fmt.Sprintf("%2000d", 1)), "ok", "ok answer_not_kept", 1},
		{"not sent", fails(endpoint.CallError{Kind: endpoint.DialFailed}), "not_run no_endpoint", "not_run no_endpoint", 6},
		{"silent", fails(endpoint.CallError{Kind: endpoint.Silent}), "unknown endpoint_silent", "unknown outcome_unknown", 1},
		{"lost", fails(endpoint.CallError{Kind: endpoint.ConnectionLost}), "unknown endpoint_failed", "unknown outcome_unknown", 1},
		{"truncated", fails(endpoint.CallError{Kind: endpoint.Truncated}), "unknown answer_truncated", "unknown outcome_unknown", 1},
		{"status 500", fails(endpoint.CallError{Kind: endpoint.EndpointError, Status: 500}), "unknown endpoint_failed", "unknown outcome_unknown", 1},
		{"refused", fails(endpoint.CallError{Kind: endpoint.Refused, Status: 503}), "not_run no_endpoint", "not_run no_endpoint", 6},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				env := newTestEnv(test.respond)
				first, failure := env.serve(false, "key-1", "{}")
				c.Check(outcome(failure), qt.Equals, test.first)
				second, failure := env.serve(false, "key-1", "{}")
				c.Check(outcome(failure), qt.Equals, test.repeat)
				c.Check(env.endpoints.calls, qt.Equals, test.calls)
				if test.repeat == "ok" {
					c.Check(*second, qt.Equals, fakeSink{body: first.body, replayed: true, length: first.length})
				}
			})
		})
	}
}

func TestNonIdempotentCallOutlivesCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		env := newTestEnv(func(ctx context.Context, sink endpoint.Sink) (endpoint.Result, error) {
			time.Sleep(500 * time.Millisecond)
			if ctx.Err() != nil {
				return endpoint.Result{}, &endpoint.CallError{Kind: endpoint.CallerGone}
			}
			return answers("done")(ctx, sink)
		})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, _ = env.serveIn(ctx, false, "key-1", "{}")
		sink, failure := env.serve(false, "key-1", "{}")
		c.Check(outcome(failure), qt.Equals, "ok")
		c.Check(*sink, qt.Equals, fakeSink{body: "done", replayed: true, length: "4"})
		c.Check(env.endpoints.calls, qt.Equals, 1)
	})
}

func TestNonIdempotentRetriedWhenNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		env := newTestEnv(fails(endpoint.CallError{Kind: endpoint.NotSent}), answers("done"))
		sink, failure := env.serve(false, "key-1", "{}")
		c.Check(outcome(failure), qt.Equals, "ok")
		c.Check(sink.body, qt.Equals, "done")
		c.Check(env.endpoints.calls, qt.Equals, 2)
	})
}

func TestConcurrentDuplicateWaitsForResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		env := newTestEnv(slow(300*time.Millisecond, "done"))
		go func() { _, _ = env.serve(false, "key-1", "{}") }()
		synctest.Wait()
		sink, failure := env.serve(false, "key-1", "{}")
		c.Check(outcome(failure), qt.Equals, "ok")
		c.Check(sink.body, qt.Equals, "done")
		c.Check(env.endpoints.calls, qt.Equals, 1)
		_, failure = env.serve(false, "key-1", `{"other":1}`)
		c.Check(outcome(failure), qt.Equals, "not_run idempotency_key_reused")
	})
}

func TestNoQuorumRejectsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		env := newTestEnv(answers("done"))
		env.records.down = true
		start := time.Now()
		_, failure := env.serve(false, "key-1", "{}")
		c.Check(outcome(failure), qt.Equals, "not_run no_quorum")
		c.Check(failure.RetryAfter() > 0, qt.IsTrue)
		c.Check(time.Since(start), qt.Equals, time.Duration(0))
		c.Check(env.endpoints.calls, qt.Equals, 0)
	})
}

func TestIdempotentRequestIsRetried(t *testing.T) {
	tests := []struct {
		name      string
		responses []func(context.Context, endpoint.Sink) (endpoint.Result, error)
		want      string
		calls     int
	}{
		{"lost, then answered", []func(context.Context, endpoint.Sink) (endpoint.Result, error){
			fails(endpoint.CallError{Kind: endpoint.ConnectionLost, Health: endpoint.Alive}), answers("done")}, "ok", 2},
		{"truncated, then answered", []func(context.Context, endpoint.Sink) (endpoint.Result, error){
			func(_ context.Context, sink endpoint.Sink) (endpoint.Result, error) {
				_ = errors.Join(sink.Head(200, nil), sink.Data([]byte("half")))
				return endpoint.Result{}, &endpoint.CallError{Kind: endpoint.Truncated, Health: endpoint.Alive}
			}, answers("done")}, "ok", 2},
		{"always silent", []func(context.Context, endpoint.Sink) (endpoint.Result, error){
			fails(endpoint.CallError{Kind: endpoint.Silent, Health: endpoint.Alive})}, "failed endpoint_silent", 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				env := newTestEnv(test.responses...)
				sink, failure := env.serve(true, "", "{}")
				c.Check(outcome(failure), qt.Equals, test.want)
				c.Check(env.endpoints.calls, qt.Equals, test.calls)
				if failure == nil {
					c.Check(sink.body, qt.Equals, "done")
				}
				charged := 0.0
				for _, cost := range env.slots.completed {
					charged += cost
				}
				c.Check(charged <= 1, qt.IsTrue, qt.Commentf("charged %v, want at most 1", charged))
			})
		})
	}
}

func TestCrashingRequestIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		env := newTestEnv(fails(endpoint.CallError{Kind: endpoint.ConnectionLost, Health: endpoint.Gone}))
		_, failure := env.serve(true, "", "crash")
		c.Check(outcome(failure), qt.Equals, "failed quarantined")
		c.Check(env.endpoints.calls, qt.Equals, 2)
		c.Check(env.slots.alone, qt.DeepEquals, []bool{false, true})
		c.Check(env.publisher.published, qt.HasLen, 1)

		start := time.Now()
		_, failure = env.serve(true, "", "crash")
		c.Check(outcome(failure), qt.Equals, "not_run quarantined")
		c.Check(failure.RetryAfter() > 0, qt.IsTrue)
		c.Check(time.Since(start), qt.Equals, time.Duration(0))
		c.Check(env.endpoints.calls, qt.Equals, 2)

		other := newTestEnv(answers("done"))
		other.router.MergeQuarantine(time.Now(), env.publisher.published, nil)
		_, failure = other.serve(true, "", "crash")
		c.Check(outcome(failure), qt.Equals, "not_run quarantined")
	})
}

func TestSuspectFromAnotherRouterRunsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		lost := fails(endpoint.CallError{Kind: endpoint.ConnectionLost, Health: endpoint.Gone})
		env := newTestEnv(lost, answers("done"))
		_, _ = env.serve(true, "", "crash")
		c.Assert(env.publisher.suspects, qt.HasLen, 1)

		other := newTestEnv(lost)
		other.router.MergeQuarantine(time.Now(), nil, env.publisher.suspects)
		_, failure := other.serve(true, "", "crash")
		c.Check(outcome(failure), qt.Equals, "failed quarantined")
		c.Check(other.slots.alone, qt.DeepEquals, []bool{true})
		c.Check(other.endpoints.calls, qt.Equals, 1)
	})
}

func TestOneCopyOfASuspectRunsAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		lost := fails(endpoint.CallError{Kind: endpoint.ConnectionLost, Health: endpoint.Gone})
		env := newTestEnv(lost, slow(time.Second, "done"))
		go func() { _, _ = env.serve(true, "", "crash") }()
		time.Sleep(500 * time.Millisecond)
		_, failure := env.serve(true, "", "crash")
		c.Check(outcome(failure), qt.Equals, "not_run quarantined")
		time.Sleep(time.Second)
		_, failure = env.serve(true, "", "crash")
		c.Check(outcome(failure), qt.Equals, "ok")
		c.Check(env.endpoints.calls, qt.Equals, 3)
	})
}

func TestFullQueueRejectsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		env := newTestEnv(answers("done"))
		env.slots.full = true
		for range 2 {
			go func() { _, _ = env.serve(true, "", "{}") }()
			synctest.Wait()
		}
		start := time.Now()
		_, failure := env.serve(true, "", "{}")
		c.Check(outcome(failure), qt.Equals, "not_run queue_full")
		c.Check(failure.RetryAfter() > 0, qt.IsTrue)
		c.Check(time.Since(start), qt.Equals, time.Duration(0))
		time.Sleep(time.Second)
	})
}

func TestDrainWaitsForRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		env := newTestEnv(slow(5*time.Second, "done"))
		ended := make(chan string, 1)
		go func() {
			sink, failure := env.serve(true, "", "{}")
			ended <- outcome(failure) + " " + sink.body
		}()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		c.Check(env.router.Drain(ctx), qt.Equals, 1)
		_, failure := env.serve(true, "", "{}")
		c.Check(outcome(failure), qt.Equals, "not_run draining")
		c.Check(env.router.Drain(context.Background()), qt.Equals, 0)
		c.Check(<-ended, qt.Equals, "ok done")
	})
}
