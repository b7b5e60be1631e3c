package edge

import (
	"hash/fnv"
	"maps"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderramp/internal/directory"
	"oleanderramp/internal/event"
	"oleanderramp/internal/quarantine"
	"oleanderramp/internal/streams"
	"oleanderramp/pkg/routing"
)

// task is the state of a request that is being forwarded.
type task struct {
	request *Request
	// draw is a random number of the request in [0, 1).
	draw    float64
	route   *routing.Route
	service string
	account string
	// keyAccount is the account of the request's key, also on a public route, whose
	// requests are charged to no account; "" if the key is unknown.
	keyAccount string
	// regions are the allowed regions of the request; nil for all. They are those of
	// the routing table of regionsVersion.
	regions        []string
	regionsVersion uint64
	// priority is that of the account or the route; lower is more urgent.
	priority int
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
