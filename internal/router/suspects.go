package router

import (
	"errors"
	"maps"
	"slices"
	"time"

	"oleanderramp/internal/event"
	"oleanderramp/internal/quarantine"
	"oleanderramp/internal/wire"
)

// inFlight holds the digests of the requests running on each endpoint, by
// request number.
type inFlight map[string]map[uint64]quarantine.Digest

func (f inFlight) add(endpoint string, number uint64, d quarantine.Digest) {
	if f[endpoint] == nil {
		f[endpoint] = make(map[uint64]quarantine.Digest)
	}
	f[endpoint][number] = d
}

func (f inFlight) remove(endpoint string, number uint64) {
	delete(f[endpoint], number)
	if len(f[endpoint]) == 0 {
		delete(f, endpoint)
	}
}

// ReportTimeout limits the publication of a crash to the fleet.
const ReportTimeout = 10 * time.Second

// Publication is an announcement to the fleet. It is safe for concurrent use.
type Publication struct {
	done      chan struct{}
	confirmed bool
}

// NewPublication returns a publication that has not ended.
func NewPublication() *Publication { return &Publication{done: make(chan struct{})} }

// End ends the publication, which must not have ended before. confirmed means that
// the fleet knows the announcement; otherwise no further attempt is made.
func (p *Publication) End(confirmed bool) {
	p.confirmed = confirmed
	close(p.done)
}

// Done returns a channel that is closed when the publication has ended.
func (p *Publication) Done() <-chan struct{} { return p.done }

// Confirmed reports whether the fleet knows the announcement. It must only be called
// after the publication has ended.
func (p *Publication) Confirmed() bool { return p.confirmed }

// crashReport holds the publications of one crash.
type crashReport []*Publication

// handleCrash marks the requests in flight on the endpoint as suspect, or
// quarantines them. It returns the report of the crash, which is the same for all
// of these requests.
func (r *Router) handleCrash(t *task, grant *wire.Grant) crashReport {
	now := time.Now()
	r.mu.Lock()
	t.reserved = false
	requests := r.inFlight[grant.GetEndpoint()]
	if _, first := requests[t.slotRequest]; !first {
		// The connections to a crashed endpoint fail one after another. The first
		// failure handled all requests in flight, so that one crash is counted
		// once.
		report := r.crashReports[t.slotRequest]
		r.mu.Unlock()
		return report
	}
	digests := slices.Collect(maps.Values(requests))
	delete(r.inFlight, grant.GetEndpoint())
	entries := r.quarantine.RecordCrash(now, digests)
	report := r.publishCrash(t.request.Service, digests, entries)
	for number := range requests {
		r.crashReports[number] = report
	}
	r.mu.Unlock()
	r.logCrash(t, grant, len(digests), entries)
	return report
}

// publishCrash announces suspect and quarantined requests to the fleet. The caller
// holds r.mu.
func (r *Router) publishCrash(service string, digests []quarantine.Digest, entries []quarantine.Entry) crashReport {
	suspects := slices.DeleteFunc(digests, func(d quarantine.Digest) bool {
		return slices.ContainsFunc(entries, func(entry quarantine.Entry) bool { return entry.Digest == d })
	})
	var report crashReport
	if len(suspects) > 0 {
		report = append(report, r.cfg.Publisher.Suspect(service, suspects))
	}
	for _, entry := range entries {
		report = append(report, r.cfg.Publisher.Quarantine(service, entry))
	}
	return report
}

// logCrash logs and counts the crash of an endpoint with this number of requests in
// flight.
func (r *Router) logCrash(t *task, grant *wire.Grant, requests int, entries []quarantine.Entry) {
	r.cfg.Metrics.CountCrash(t.request.Service)
	event.EndpointCrashed.Log(r.cfg.Log, event.Fields{
		"endpoint": grant.GetEndpoint(), "service": t.request.Service, "requests": requests,
	})
	event.RequestSuspected.Log(r.cfg.Log, event.Fields{
		"request": t.request.ID, "endpoint": grant.GetEndpoint(), "digest": t.contentDigest.String(),
	})
	for _, entry := range entries {
		event.RequestQuarantined.Log(r.cfg.Log, event.Fields{
			"service": t.request.Service, "digest": entry.Digest.String(), "until": entry.Until,
		})
	}
}

// publishTimeout bounds how long the response to a request that crashes
// endpoints is delayed until the other routers are informed, so that a repeat
// through another daemon finds the request suspect or quarantined.
const publishTimeout = 500 * time.Millisecond

// wait waits until the other routers are informed, for publishTimeout at most. It
// reports whether they are.
func (c crashReport) wait() bool {
	timeout := time.After(publishTimeout)
	confirmed := true
	for _, publication := range c {
		select {
		case <-publication.Done():
			confirmed = confirmed && publication.Confirmed()
		case <-timeout:
			return false
		}
	}
	return confirmed
}

// withUnconfirmedCrash returns the final error of a request of which other routers may
// not know yet that it was in flight at a crash. Its caller is asked to come back when
// the report of the crash has ended, as an earlier repeat at another router would not
// run alone. Other errors stay, and so does one after which a retry does not help.
func (t *task) withUnconfirmedCrash(err error) error {
	var final *Error
	if !t.crashUnconfirmed || !errors.As(err, &final) || final.RetryAfter() == 0 {
		return err
	}
	return NewError(final.Code(), final.Outcome(), max(final.RetryAfter(), ReportTimeout),
		"%s; its report as a request that may crash endpoints is unconfirmed", final.Message())
}

// clearSuspicion removes the suspicion from a request that completed.
func (r *Router) clearSuspicion(t *task) {
	r.mu.Lock()
	t.reserved = false
	cleared := r.quarantine.ClearSuspect(time.Now(), t.contentDigest)
	r.mu.Unlock()
	if cleared {
		event.RequestCleared.Log(r.cfg.Log, event.Fields{"request": t.request.ID, "digest": t.contentDigest.String()})
	}
}

func (r *Router) quarantineVerdict(now time.Time, t *task) quarantine.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantine.StatusOf(now, t.contentDigest)
}

// suspectRetryAfter is the retry delay for a duplicate of a suspect that is
// running.
const suspectRetryAfter = time.Second

// reserveSuspectRun reserves the only concurrent run of a suspect. It returns
// false while a duplicate holds it.
func (r *Router) reserveSuspectRun(now time.Time, t *task) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.quarantine.StatusOf(now, t.contentDigest).Status != quarantine.Suspect {
		return true
	}
	t.reserved = r.quarantine.TryStart(now, t.contentDigest)
	return t.reserved
}

// releaseSuspectRun releases the reservation of a run that did not show whether
// the request crashes endpoints.
func (r *Router) releaseSuspectRun(t *task) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.reserved {
		t.reserved = false
		r.quarantine.EndRun(t.contentDigest)
	}
}

// MergeQuarantine adds what other routers have quarantined or newly suspect.
func (r *Router) MergeQuarantine(now time.Time, quarantined []quarantine.Entry, suspects []quarantine.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range quarantined {
		r.quarantine.MergeQuarantined(now, entry.Digest, entry.Until)
	}
	for _, digest := range suspects {
		r.quarantine.MergeSuspect(now, digest)
	}
}
