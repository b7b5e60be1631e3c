// Package router runs callers' requests from the queue to the end of the
// response: it requests a slot, calls the granted endpoint, retries idempotent
// requests, and runs non-idempotent requests at most once.
package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/event"
	"oleanderramp/internal/quarantine"
	"oleanderramp/internal/queue"
	"oleanderramp/internal/retry"
	"oleanderramp/internal/wire"
)

// drainingRetryAfter is the retry delay for a caller rejected by a daemon that
// is shutting down. By then the load balancer no longer sends requests to this
// daemon.
const drainingRetryAfter = time.Second

// SlotClient requests slots from the schedulers.
type SlotClient interface {
	Submit(demand *wire.Demand) <-chan SlotResult
	Withdraw(request uint64)
	Complete(request uint64, cost float64, crashed bool)
}

// EndpointClient sends calls to endpoints.
type EndpointClient interface {
	Do(ctx context.Context, call endpoint.Call, sink endpoint.Sink) (endpoint.Result, error)
	// Resume requests the rest of an earlier call's stream, starting at event
	// number from.
	Resume(ctx context.Context, call endpoint.Call, from int, sink endpoint.Sink) (endpoint.Result, error)
	// Cancel cancels an earlier call's stream at the endpoint.
	Cancel(call endpoint.Call)
}

// Publisher announces requests that crash endpoints to the fleet. It does not block.
type Publisher interface {
	// Quarantine announces a quarantined request.
	Quarantine(service string, entry quarantine.Entry) *Publication
	// Suspect announces the digests that were in flight at a crash.
	Suspect(service string, digests []quarantine.Digest) *Publication
}

// Metrics records metrics of requests.
type Metrics interface {
	RequestEnded(service, outcome, code string, took time.Duration)
	ObserveSlotWait(service string, wait time.Duration)
	CountRetry(service string)
	CountCrash(service string)
	AddService(service, account string, cost float64)
}

// Config holds the dependencies and limits of a Router.
type Config struct {
	Slots     SlotClient
	Endpoints EndpointClient
	Records   RecordStore
	Publisher Publisher
	Metrics   Metrics
	Log       log.Interface
	// MaxQueued bounds the requests waiting for a slot.
	MaxQueued int
	// MaxAnswerBytes bounds the size of a response.
	MaxAnswerBytes int64
	// MaxSavedAnswerBytes bounds the size of a response that is saved for
	// repeats of a non-idempotent request.
	MaxSavedAnswerBytes int
	// CommitTimeout bounds the wait for the quorum to commit.
	CommitTimeout time.Duration
}

// Router runs requests. It is safe for concurrent use.
type Router struct {
	cfg        Config
	lastNumber atomic.Uint64
	// backgroundCtx is the context of background work; Close cancels it.
	backgroundCtx    context.Context
	cancelBackground context.CancelFunc
	background       sync.WaitGroup

	// mu guards the fields below. The queue, the retry policy and the
	// quarantine table do no locking of their own.
	mu         sync.Mutex
	queue      *queue.Queue
	retry      *retry.Policy
	quarantine *quarantine.Table
	inFlight   inFlight
	// crashReports holds, by request number, the report of the crash of the endpoint
	// that a request was in flight on, until that request is released.
	crashReports map[uint64]crashReport
	unsent       *unsentAttempts
	draining     bool
	// active counts the requests in Serve; idle is closed when draining and
	// active is 0.
	active int
	idle   chan struct{}
}

// New returns a router without requests.
func New(cfg Config) *Router {
	ctx, cancel := context.WithCancel(context.Background())
	return &Router{
		cfg: cfg, backgroundCtx: ctx, cancelBackground: cancel,
		queue: queue.New(queue.Config{MaxTotal: cfg.MaxQueued}), quarantine: quarantine.New(quarantine.Config{}),
		retry:    retry.New(retry.Config{Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}),
		inFlight: make(inFlight), crashReports: make(map[uint64]crashReport), unsent: newUnsentAttempts(), idle: make(chan struct{}),
	}
}

// Serve runs the request and forwards its response to the sink. It returns nil
// when the caller received the complete response, an *Error when the request
// failed, and the sink's error when writing to the caller failed.
func (r *Router) Serve(ctx context.Context, request *Request, sink Sink) error {
	if !r.beginRequest() {
		err := notRun(CodeDraining, drainingRetryAfter, "the daemon is shutting down")
		r.reportEnd(request, err)
		return err
	}
	defer r.endRequest()
	t := &task{
		request: request, recordDigest: request.digest(),
		contentDigest: quarantine.NewDigest(request.Service, request.Method, request.Path, request.Body),
	}
	event.RequestReceived.Log(r.cfg.Log, event.Fields{
		"request": request.ID, "account": request.Account.Name, "service": request.Service, "kind": request.Kind.Name,
	})
	var err error
	if request.Kind.Idempotent {
		err = r.serveIdempotent(ctx, t, sink)
	} else {
		err = r.serveAtMostOnce(ctx, t, sink)
	}
	err = t.withUnconfirmedCrash(err)
	r.reportEnd(request, err)
	return err
}

// serveIdempotent runs the request until it completes or the retry policy allows
// no further attempt.
func (r *Router) serveIdempotent(ctx context.Context, t *task, sink Sink) error {
	r.mu.Lock()
	r.retry.RecordRequest(t.request.Account.Name)
	r.mu.Unlock()
	ran := false
	for {
		grant, err := r.acquireSlot(ctx, t)
		if err != nil {
			return asFailedAfterRun(ran, err)
		}
		relay := &relay{sink: sink, limit: maxBufferedBytes, stream: t.request.Stream}
		failure := r.call(ctx, t, grant, relay)
		if failure == nil {
			return relay.finish()
		}
		ran = ran || failure.MayHaveRun()
		decision := r.decideRetry(t, failure, relay.forwarded, false)
		if !decision.Retry {
			if decision.Reason == retry.ReasonBudgetUsedUp {
				event.RetryBudgetSpent.Log(r.cfg.Log, event.Fields{"account": t.request.Account.Name, "service": t.request.Service})
			}
			return asFailedAfterRun(ran, r.finalError(t, failure))
		}
		r.prepareRetry(t, grant, decision, failure)
		if err := pause(ctx, decision.Delay); err != nil {
			return asFailedAfterRun(ran, callFailure(failure, true))
		}
	}
}

// prepareRetry excludes the failed endpoint from the next attempt where
// necessary, and logs and counts the retry.
func (r *Router) prepareRetry(t *task, grant *wire.Grant, decision retry.Decision, failure *endpoint.CallError) {
	// A silent connection to a live endpoint does not exclude the endpoint:
	// only the connection has failed.
	silentOnly := failure.Kind == endpoint.Silent && failure.Health == endpoint.Alive
	if decision.ExcludeEndpoint && !silentOnly {
		t.excluded = append(t.excluded, grant.GetEndpoint())
	}
	r.cfg.Metrics.CountRetry(t.request.Service)
	event.RequestRetried.Log(r.cfg.Log, event.Fields{
		"request": t.request.ID, "account": t.request.Account.Name, "service": t.request.Service,
		"endpoint": grant.GetEndpoint(), "attempt": t.attempts,
		"reason": string(decision.Reason), "error": failure.Error(),
	})
}

// pause sleeps for d, or until the context is done.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// decideRetry decides what to do after a failed attempt. forwarded is true if
// part of the response may have reached the caller, canResume if the endpoint
// may have the rest.
func (r *Router) decideRetry(t *task, failure *endpoint.CallError, forwarded, canResume bool) retry.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	if failure.Kind == endpoint.CallerGone || failure.Kind == endpoint.TooLarge {
		return retry.Decision{}
	}
	bytesForwarded := int64(0)
	if forwarded {
		bytesForwarded = 1
	}
	return r.retry.Decide(time.Now(), retry.Attempt{
		Account: t.request.Account.Name, Idempotent: t.request.Kind.Idempotent,
		MayHaveRun: failure.MayHaveRun(), BytesForwarded: bytesForwarded, CanResume: canResume,
		Attempts: t.attempts, MaxAttempts: t.request.Kind.MaxAttempts,
	})
}
