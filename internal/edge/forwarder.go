package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/event"
	"oleanderramp/internal/memgate"
	"oleanderramp/internal/retry"
	"oleanderramp/internal/streams"
)

// Config holds the dependencies and limits of a Forwarder.
type Config struct {
	Codec     Codec
	Endpoints Endpoints
	Tables    Tables
	Admission *AdmissionController
	Metrics   Metrics
	Log       log.Interface
	// TooManyConnections reports whether too many callers' connections are
	// open. If so, the connections of refused requests are closed.
	TooManyConnections func() bool
	// CallerDisconnected reports whether the caller of the request with the given
	// context has disconnected.
	CallerDisconnected func(ctx context.Context) bool
	// Lag returns how long runnable work of this daemon waits for the processor.
	Lag func() time.Duration
	// StandingLag returns how long each network event has waited lately for this daemon
	// to notice it. Optional.
	StandingLag func() time.Duration
	// UnsyncedFor returns the time since a control host last answered this
	// daemon.
	UnsyncedFor func() time.Duration
	// FindStream asks other daemons for the origin of a stream; nil if there are none.
	FindStream func(ctx context.Context, key streams.Key) (streams.Origin, bool)
	// OnlySoftware returns the one software version that endpoints of the service have had
	// lately, and whether there is exactly one. It is confirmed after the call; nil if
	// that can't be known.
	OnlySoftware func(service string) (software string, only bool)
	// MaxActive bounds the number of requests in progress; 0 means no bound.
	MaxActive int
	// MaxAnswerBytes bounds the size of an answer.
	MaxAnswerBytes int64
	// Memory is the budget for what callers make this daemon hold; nil for no bound.
	Memory *memgate.Gate
}

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	cfg Config
	// active is the number of requests in progress.
	active   atomic.Int64
	draining atomic.Bool
	refusing atomic.Bool
	// aborted ends when abort is called.
	aborted context.Context
	abort   context.CancelFunc
	crashes *crashTracker
	streams *streamTracker
	// shedLines limits the log lines about requests refused because of overload.
	shedLines lineLimit
	// loggedLeaving is used by LogLeaving alone.
	loggedLeaving map[leavingPair]float64
	// acceptance is the part of the connections that is accepted while requests are shed.
	acceptance acceptance

	// mu guards the budget of each service.
	mu     sync.Mutex
	budget *retry.Policy
}

// New returns a forwarder without requests.
func New(cfg Config) *Forwarder {
	if cfg.StandingLag == nil {
		cfg.StandingLag = func() time.Duration { return 0 }
	}
	f := &Forwarder{
		cfg: cfg, crashes: newCrashTracker(cfg.Log), streams: newStreamTracker(),
		budget: retry.New(retry.Config{Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}),
	}
	f.aborted, f.abort = context.WithCancel(context.Background())
	if cfg.Admission != nil {
		cfg.Admission.lag = f.lag
	}
	return f
}

// SetRetryBudget changes how many retries each request adds to its service's
// budget at this router, and the maximum budget.
func (f *Forwarder) SetRetryBudget(fraction, burst float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget.SetBudget(fraction, burst)
}

func (f *Forwarder) spendRetry(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget.Spend(service)
}

// hasRetry reports whether a retry may be spent.
func (f *Forwarder) hasRetry(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget.Budget(service) >= 1
}

// refundRetry returns a retry that was spent and not used.
func (f *Forwarder) refundRetry(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget.Refund(service)
}

func (f *Forwarder) earnRetry(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget.RecordRequest(service)
}

// Active returns the number of requests in progress.
func (f *Forwarder) Active() int { return int(f.active.Load()) }

// startingRetryAfter is the Retry-After time of a daemon without a routing table.
const startingRetryAfter = 300 * time.Millisecond

// resolve finds the route and the account of the request.
func (f *Forwarder) resolve(t *task) *failure {
	table := f.cfg.Tables.Table()
	if table == nil {
		return &failure{status: 503, outcome: OutcomeNotRun, code: CodeNoTable, retryAfter: startingRetryAfter, message: "no routing table is known yet"}
	}
	request := t.request
	t.version = table.Version()
	t.route = table.Match(request.Host, request.Path)
	if t.route == nil {
		return &failure{status: 404, outcome: OutcomeNotRun, code: CodeNoRoute, message: "no route for the host and path"}
	}
	if !t.route.Public {
		account, ok := table.Account(request.Key)
		if !ok {
			return &failure{status: 401, outcome: OutcomeNotRun, code: CodeUnknownKey, message: "the key is unknown"}
		}
		t.account = account
	}
	t.keyAccount, _ = table.Account(request.Key)
	t.setRegions(table, t.route)
	t.priority = table.Priority(t.route, t.account)
	t.service = t.route.Pick(requestHash(request.ID))
	timeout := t.route.Timeout
	if request.CallerTimeout > 0 {
		timeout = min(timeout, request.CallerTimeout)
	}
	t.deadline = request.ReceivedAt.Add(timeout)
	t.objective = request.ReceivedAt.Add(min(t.route.Objective, timeout))
	if t.route.Objective <= 0 {
		t.objective = t.deadline
	}
	return nil
}

// recordEnd logs and counts the end of a request.
func (f *Forwarder) recordEnd(t *task, fail *failure) {
	now := time.Now()
	took := now.Sub(t.request.ReceivedAt)
	if fail == nil {
		f.cfg.Metrics.RequestEnded(t.service, string(OutcomeOK), "", took)
		fields := t.endFields(took)
		t.addTimings(fields)
		fields["outcome"], fields["status"] = string(OutcomeOK), t.answer.status
		event.RequestAnswered.Log(f.cfg.Log, fields)
		return
	}
	f.cfg.Metrics.RequestEnded(t.service, string(fail.outcome), string(fail.code), took)
	if t.overload != "" {
		f.logShed(now, t, func() event.Fields { return t.failureFields(fail, took) })
		return
	}
	fields := t.failureFields(fail, took)
	switch fail.outcome {
	case OutcomeAbandoned:
		event.CallAbandoned.Log(f.cfg.Log, fields)
	case OutcomeNotRun:
		event.RequestRefused.Log(f.cfg.Log, fields)
	default:
		event.RequestFailed.Log(f.cfg.Log, fields)
	}
}
