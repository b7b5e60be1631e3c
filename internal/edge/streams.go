package edge

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"oleanderramp/internal/directory"
	"oleanderramp/internal/event"
	"oleanderramp/internal/streams"
	"oleanderramp/pkg/routing"
)

// unknownStreamRetryAfter is the Retry-After time of a stream whose origin is not known:
// news of it may still be on its way.
const unknownStreamRetryAfter = 300 * time.Millisecond

// maxUnsynced is how long after a control host last answered this router still asks the
// quorum for the versions of a service: it would only make the caller wait.
const maxUnsynced = 2 * time.Second

// streamTracker knows the origins of the streams that this router has forwarded, and
// the software versions of the services. It is safe for concurrent use.
type streamTracker struct {
	mu       sync.Mutex
	index    *streams.Index
	versions *streams.Versions
}

func newStreamTracker() *streamTracker {
	return &streamTracker{index: streams.New(), versions: streams.NewVersions()}
}

// began records the origin of a stream.
func (s *streamTracker) began(now time.Time, stream streams.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index.Report(now, stream)
}

// find returns the origin of the stream that began with the request, if this router has
// forwarded it.
func (s *streamTracker) find(now time.Time, requestID string) (streams.Origin, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.Find(now, streams.NewKey(requestID))
}

// mixed reports whether this router knows of several versions of the service, or of none.
func (s *streamTracker) mixed(now time.Time, service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, only := s.versions.Only(now, service)
	return !only
}

// UpdateVersions records the software versions of the endpoints, including those that
// are leaving. It is to be called several times within streams.TTL.
func (f *Forwarder) UpdateVersions(now time.Time, origins []streams.Origin) {
	f.streams.mu.Lock()
	defer f.streams.mu.Unlock()
	for _, origin := range origins {
		f.streams.versions.Add(now, origin)
	}
	f.streams.versions.RemoveExpired(now)
}

// maxReportedStreams bounds the streams in one report.
const maxReportedStreams = 4096

// StreamsSince returns the streams that this router has begun to forward after the
// revision, and the revision up to which the list is complete. While each service has
// one software version, there is nothing to report.
func (f *Forwarder) StreamsSince(now time.Time, revision uint64) ([]streams.Stream, uint64) {
	f.streams.mu.Lock()
	defer f.streams.mu.Unlock()
	if !f.streams.versions.Mixed(now) {
		return nil, revision
	}
	return f.streams.index.Since(now, revision, maxReportedStreams)
}

// resumesStream reports whether the caller takes up a stream again.
func (t *task) resumesStream() bool { return t.isStream() && t.request.LastEventID != "" }

// findOrigin finds where a stream began that the caller takes up again, and refuses it
// if that is not known: it would hold events that do not fit together.
func (f *Forwarder) findOrigin(ctx context.Context, t *task) *failure {
	if !t.resumesStream() {
		return nil
	}
	origin, found := f.streams.find(time.Now(), t.request.Resumes)
	if !found {
		origin, found = f.onlyOrigin(t)
	}
	if !found && t.request.Resumes != "" && f.cfg.FindStream != nil {
		origin, found = f.askForOrigin(ctx, t)
	}
	if !found {
		return &failure{
			status: http.StatusServiceUnavailable, outcome: OutcomeNotRun, code: CodeUnknownStream, retryAfter: unknownStreamRetryAfter,
			message: "the software version that began the stream is not known",
		}
	}
	if origin.Service != t.service && !leadsTo(t.route, origin.Service) {
		return &failure{
			status: http.StatusServiceUnavailable, outcome: OutcomeNotRun, code: CodeNoEndpoint, retryAfter: unknownStreamRetryAfter,
			message: "the route no longer leads to the service that began the stream",
		}
	}
	t.service, t.origin = origin.Service, &origin
	return nil
}

// onlyOrigin returns the origin of a stream that this router has not seen begin, if all
// endpoints of its service have one version. What this router has heard is not enough: a
// version may be new, and the stream may have begun there at another router. So the
// version is confirmed after the caller came.
func (f *Forwarder) onlyOrigin(t *task) (streams.Origin, bool) {
	start := time.Now()
	if f.cfg.OnlySoftware == nil || f.cfg.UnsyncedFor() >= maxUnsynced || f.streams.mixed(start, t.service) {
		return streams.Origin{}, false
	}
	software, only := f.cfg.OnlySoftware(t.service)
	origin := streams.Origin{Service: t.service, Software: software}
	f.logSought(t, start, originByVersion, origin, only)
	return origin, only
}

// askForOrigin asks other daemons where the stream began.
func (f *Forwarder) askForOrigin(ctx context.Context, t *task) (streams.Origin, bool) {
	start := time.Now()
	origin, found := f.cfg.FindStream(ctx, streams.NewKey(t.request.Resumes))
	f.logSought(t, start, originByReport, origin, found)
	return origin, found
}

// What the origin of a stream was sought by.
const (
	originByVersion = "only_version"
	originByReport  = "report"
)

func (f *Forwarder) logSought(t *task, start time.Time, by string, origin streams.Origin, found bool) {
	fields := t.logFields()
	fields["resumes"], fields["by"], fields["found"] = t.request.Resumes, by, found
	fields["origin_service"], fields["software"] = origin.Service, origin.Software
	fields["took_ms"], fields["unsynced_ms"] = time.Since(start).Milliseconds(), f.cfg.UnsyncedFor().Milliseconds()
	event.StreamSought.Log(f.cfg.Log, fields)
}

// streamBegan records which endpoint began the task's stream: it may go on only at the
// same version.
func (f *Forwarder) streamBegan(t *task, endpoint directory.Entry) {
	if t.origin != nil {
		return
	}
	t.origin = &streams.Origin{Service: t.service, Software: endpoint.Software}
	f.streams.began(time.Now(), streams.Stream{Key: streams.NewKey(t.request.ID), Origin: *t.origin})
}

// logOrigin adds what a stream goes on from to the log fields.
func (t *task) logOrigin(fields event.Fields) {
	last := t.answer.lastEvent
	if last == "" {
		last = t.request.LastEventID
	}
	if last != "" {
		fields["last_event"], fields["resumes"] = last, t.request.Resumes
	}
}

// leadsTo reports whether the route sends requests to the service.
func leadsTo(route *routing.Route, service string) bool {
	return slices.ContainsFunc(route.Targets, func(target routing.Target) bool { return target.Service == service && target.Weight > 0 })
}
