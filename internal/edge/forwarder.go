package edge

import (
	"context"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"oleanderramp/internal/directory"
	"oleanderramp/internal/event"
	"oleanderramp/internal/quarantine"
	"oleanderramp/internal/retry"
	"oleanderramp/internal/streams"
	"oleanderramp/pkg/routing"
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
	// MaxActive bounds the number of requests in progress; 0 means no bound.
	MaxActive int
	// MaxAnswerBytes bounds the size of an answer.
	MaxAnswerBytes int64
}

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	cfg Config
	// active is the number of requests in progress.
	active   atomic.Int64
	draining atomic.Bool
	refusing atomic.Bool
	crashes  *crashTracker
	streams  *streamTracker
	// shedLines limits the log lines about requests refused because of overload.
	shedLines lineLimit
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

// Drain makes all further answers close their connections.
func (f *Forwarder) Drain() { f.draining.Store(true) }

// Refuse makes the forwarder refuse all further requests, because they could not
// be completed before the daemon stops.
func (f *Forwarder) Refuse() { f.refusing.Store(true) }

// Active returns the number of requests in progress.
func (f *Forwarder) Active() int { return int(f.active.Load()) }

// task is the state of a request that is being forwarded.
type task struct {
	request *Request
	// draw is a random number of the request in [0, 1).
	draw    float64
	route   *routing.Route
	service string
	account string
	// version is that of the routing table that allowed the request.
	version uint64
	// objective is when the first event or the answer is due. deadline is the
	// earlier of the caller's and the route's deadline.
	objective time.Time
	deadline  time.Time
	// reached holds the IDs of the endpoints that the request was sent to, each once.
	reached []string
	// excluded holds the IDs of the endpoints that have failed, each once. The request
	// is not sent to them again.
	excluded []string
	// mayHaveRun is true once an endpoint may have begun to run the request.
	mayHaveRun bool
	// answer is the answer sent to the caller so far.
	answer *answer
	// overload is why this daemon refused the request as overloaded; "" if it did not.
	overload overloadReason
	// placementFields holds the log fields that explain the last placement.
	placementFields event.Fields
	// predicted is the predicted time from the last placement to the first
	// event or the answer. placedAt is the time of that placement.
	predicted time.Duration
	placedAt  time.Time
	// bodyReadAt is when the whole body had been read, and sentAt when the request was
	// last written to an endpoint, in Unix nanoseconds; both are zero before that. sentAt
	// is set by the goroutine that writes.
	bodyReadAt time.Time
	sentAt     atomic.Int64
	// origin is where the stream began; nil for one that has not begun, and for other
	// requests.
	origin *streams.Origin
	// placed is the last endpoint that the request was placed at.
	placed directory.Entry
	// firstEventAt is when the first event of a stream arrived; zero before
	// that.
	firstEventAt time.Time
}

// digest identifies the request's content.
func (t *task) digest() quarantine.Digest {
	return quarantine.NewDigest(t.service, t.request.Method, t.request.Target, t.request.Body)
}

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

// requestHash returns a hash of the request ID, which distributes requests over
// the services of a route.
func requestHash(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // Writing to a hash never fails.
	return h.Sum64()
}

// requestDraw returns a random number in [0, 1) that stays the same for a request ID.
func requestDraw(id string) float64 {
	const bits = 53 // Of a float64 without its exponent.
	return float64(xxhash.Sum64String(id)>>(64-bits)) / (1 << bits)
}

// logFields returns the fields common to all log lines about the task.
func (t *task) logFields() event.Fields {
	fields := event.Fields{"request": t.request.ID, "routing_version": t.version}
	if t.route != nil {
		fields["route"], fields["service"], fields["account"] = t.route.Name, t.service, t.account
	}
	maps.Copy(fields, t.placementFields)
	return fields
}

// addTimings adds what explains a late answer: the endpoint, how long the request
// waited before it was placed there, and when the first event was predicted from
// then on and came.
func (t *task) addTimings(fields event.Fields) {
	fields["endpoint"], fields["predicted_ms"] = t.placed.ID, t.predicted.Milliseconds()
	fields["placed_ms"] = t.placedAt.Sub(t.request.ReceivedAt).Milliseconds()
	if !t.firstEventAt.IsZero() {
		fields["first_event_ms"] = t.firstEventAt.Sub(t.placedAt).Milliseconds()
	}
}

// addWaits adds when, after the arrival, the body had been read and the request was
// last written to an endpoint.
func (t *task) addWaits(fields event.Fields) {
	if !t.bodyReadAt.IsZero() {
		fields["body_read_ms"] = t.bodyReadAt.Sub(t.request.ReceivedAt).Milliseconds()
	}
	if sent := t.sentAt.Load(); sent != 0 {
		fields["sent_ms"] = time.Unix(0, sent).Sub(t.request.ReceivedAt).Milliseconds()
	}
}

// endFields returns the log fields of the end of a request.
func (t *task) endFields(took time.Duration) event.Fields {
	fields := t.logFields()
	fields["took_ms"], fields["attempts"], fields["begun"] = took.Milliseconds(), len(t.reached), t.answer.sent
	if t.answer.sent {
		fields["longest_pause_ms"] = t.answer.longestPause.Milliseconds()
	}
	t.addWaits(fields)
	return fields
}

// failureFields returns the log fields of the end of a request that failed.
func (t *task) failureFields(fail *failure, took time.Duration) event.Fields {
	t.answer.recordPause(t.request.ReceivedAt.Add(took))
	fields := t.endFields(took)
	fields["outcome"], fields["code"], fields["error"], fields["status"] = string(fail.outcome), string(fail.code), fail.message, fail.status
	return fields
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
