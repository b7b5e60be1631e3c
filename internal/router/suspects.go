package router

import (
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

// crashVerdict holds the requests that a crash made suspect or quarantined.
type crashVerdict struct {
	suspects    []quarantine.Digest
	quarantined []quarantine.Entry
}

// handleCrash marks the requests in flight on the endpoint as suspect, or
// quarantines them.
func (r *Router) handleCrash(t *task, grant *wire.Grant) crashVerdict {
	now := time.Now()
	r.mu.Lock()
	// The connections to a crashed endpoint fail one after another. The first
	// failure handles all requests in flight, so that one crash is counted
	// once.
	var digests []quarantine.Digest
	if _, first := r.inFlight[grant.GetEndpoint()][t.slotRequest]; first {
		digests = slices.Collect(maps.Values(r.inFlight[grant.GetEndpoint()]))
		delete(r.inFlight, grant.GetEndpoint())
	}
	t.reserved = false
	entries := r.quarantine.RecordCrash(now, digests)
	r.mu.Unlock()
	if len(digests) == 0 {
		return crashVerdict{}
	}
	r.cfg.Metrics.CountCrash(t.request.Service)
	event.EndpointCrashed.Log(r.cfg.Log, event.Fields{
		"endpoint": grant.GetEndpoint(), "service": t.request.Service, "requests": len(digests),
	})
	event.RequestSuspected.Log(r.cfg.Log, event.Fields{
		"request": t.request.ID, "endpoint": grant.GetEndpoint(), "digest": t.contentDigest.String(),
	})
	for _, entry := range entries {
		event.RequestQuarantined.Log(r.cfg.Log, event.Fields{
			"service": t.request.Service, "digest": entry.Digest.String(), "until": entry.Until,
		})
	}
	suspects := slices.DeleteFunc(digests, func(d quarantine.Digest) bool {
		return slices.ContainsFunc(entries, func(entry quarantine.Entry) bool { return entry.Digest == d })
	})
	return crashVerdict{suspects: suspects, quarantined: entries}
}

// publishTimeout bounds how long the response to a request that crashes
// endpoints is delayed until the other routers are informed, so that a repeat
// through another daemon finds the request suspect or quarantined.
const publishTimeout = 500 * time.Millisecond

// publishVerdict announces suspect and quarantined requests to the fleet.
func (r *Router) publishVerdict(service string, verdict crashVerdict) {
	var published []<-chan struct{}
	if len(verdict.suspects) > 0 {
		published = append(published, r.cfg.Publisher.Suspect(service, verdict.suspects))
	}
	for _, entry := range verdict.quarantined {
		published = append(published, r.cfg.Publisher.Quarantine(service, entry))
	}
	timeout := time.After(publishTimeout)
	for _, done := range published {
		select {
		case <-done:
		case <-timeout:
			return
		}
	}
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
