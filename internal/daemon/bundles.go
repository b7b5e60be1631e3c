package daemon

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/event"
	"oleanderramp/internal/quarantine"
	"oleanderramp/internal/router"
	"oleanderramp/internal/wire"
	"oleanderramp/pkg/bundle"
)

// notReadyRetryAfter is the Retry-After of requests refused because the daemon
// has no bundle yet, or one that is stale.
const notReadyRetryAfter = time.Second

// bundleHolder holds the configuration bundle in force at this daemon. It never
// goes back to an earlier version.
type bundleHolder struct {
	log               log.Interface
	quarantineHandler func(now time.Time, quarantined []quarantine.Entry, suspects []quarantine.Digest)

	mu      sync.RWMutex
	current *bundle.Bundle
	// confirmed is when the quorum last confirmed current.
	confirmed time.Time
	drained   map[string][]string
	// lastSuspects holds the suspected digests of the last update.
	lastSuspects map[quarantine.Digest]bool
	// generation is incremented with each change of current or drained.
	generation uint64
	// lastRefused is true while the last update did not yield a valid bundle.
	lastRefused bool
	// stalenessLogged is true once a refusal for staleness has been logged. The
	// next update resets it.
	stalenessLogged atomic.Bool
}

func newBundleHolder(l log.Interface) *bundleHolder {
	return &bundleHolder{log: l, drained: make(map[string][]string)}
}

// Current returns the bundle in force, or nil.
func (b *bundleHolder) Current() *bundle.Bundle {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.current
}

// Version returns the version in force, or 0.
func (b *bundleHolder) Version() uint64 {
	if current := b.Current(); current != nil {
		return current.Version()
	}
	return 0
}

// ResumeVersion returns the version from which to resume a watch. After an update
// that did not yield a valid bundle it is 0, which requests the whole bundle:
// from the version in force the same delta would come again.
func (b *bundleHolder) ResumeVersion() uint64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.lastRefused || b.current == nil {
		return 0
	}
	return b.current.Version()
}

// Admit returns the bundle, or the reason why the daemon must refuse the
// request. A daemon without contact to the quorum keeps serving idempotent
// requests until the bundle's staleness limit has passed. The limit does not
// apply to non-idempotent requests, because each of them commits a record in
// the quorum anyway.
func (b *bundleHolder) Admit(now time.Time, idempotent bool) (*bundle.Bundle, *router.Error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.current == nil {
		return nil, router.NewError(router.CodeNotReady, router.OutcomeNotRun, notReadyRetryAfter,
			"the daemon has not received a configuration bundle since it started")
	}
	if idempotent && now.Sub(b.confirmed) > b.current.StalenessLimit() {
		if !b.stalenessLogged.Swap(true) {
			event.BundleStale.Log(b.log, event.Fields{"version": b.current.Version(), "confirmed": b.confirmed})
		}
		return nil, router.NewError(router.CodeBundleStale, router.OutcomeNotRun, notReadyRetryAfter,
			"bundle version %d was last confirmed %v ago", b.current.Version(), now.Sub(b.confirmed).Round(time.Second))
	}
	return b.current, nil
}

// Ready returns an empty string if requests are accepted, otherwise the reason
// why they are refused.
func (b *bundleHolder) Ready(now time.Time) string {
	if _, err := b.Admit(now, true); err != nil {
		return err.Message()
	}
	return ""
}

// Shares returns the weights of the accounts that may use the service.
func (b *bundleHolder) Shares(service string) map[string]int {
	if current := b.Current(); current != nil {
		return current.Shares(service)
	}
	return nil
}

// Generation returns a number that is incremented with each change of the
// bundle or of the drained endpoints.
func (b *bundleHolder) Generation() uint64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.generation
}

// Drained returns the endpoints of the service that operators have drained.
func (b *bundleHolder) Drained(service string) []string {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.drained[service]
}

// update applies an update from the quorum. It returns an error if the update
// does not yield a valid bundle; the caller then restarts its watch.
func (b *bundleHolder) update(now time.Time, u *wire.BundleUpdate) error {
	next, err := b.nextBundle(u)
	b.setLastRefused(err != nil)
	if err != nil {
		event.BundleRefused.Log(b.log, event.Fields{"version": u.GetVersion(), "error": err.Error()})
		return err
	}
	b.mu.Lock()
	changed := next != b.current
	drained := drainedByService(u.GetDrained())
	if changed || !maps.EqualFunc(drained, b.drained, slices.Equal) {
		b.generation++
	}
	b.current, b.confirmed, b.drained = next, now, drained
	b.stalenessLogged.Store(false)
	adopt, suspects := b.quarantineHandler, b.newSuspects(u.GetSuspected())
	b.mu.Unlock()
	if changed {
		event.BundleInForce.Log(b.log, event.Fields{"version": next.Version(), "digest": next.Digest().String()})
	}
	if adopt != nil {
		adopt(now, quarantineEntries(now, u.GetQuarantined()), suspects)
	}
	return nil
}

func (b *bundleHolder) setLastRefused(refused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastRefused = refused
}

// nextBundle returns the bundle that the update puts in force.
func (b *bundleHolder) nextBundle(u *wire.BundleUpdate) (*bundle.Bundle, error) {
	current := b.Current()
	if current != nil && u.GetVersion() <= current.Version() {
		return current, nil
	}
	if len(u.GetDelta()) > 0 && current != nil && current.Version() == u.GetBase() {
		return current.ApplyDelta(u.GetDelta())
	}
	if u.GetVersion() == 0 {
		return current, nil
	}
	return bundle.Parse(u.GetDocument())
}

// newSuspects returns the suspected digests that the previous update did not
// contain, so that a digest which this router has cleared is not suspected
// again by the next update. The caller holds b.mu.
func (b *bundleHolder) newSuspects(list []*wire.QuarantineDigest) []quarantine.Digest {
	var fresh []quarantine.Digest
	known := make(map[quarantine.Digest]bool, len(list))
	for _, q := range list {
		var digest quarantine.Digest
		copy(digest[:], q.GetDigest())
		known[digest] = true
		if !b.lastSuspects[digest] {
			fresh = append(fresh, digest)
		}
	}
	b.lastSuspects = known
	return fresh
}

func drainedByService(list []*wire.DrainEndpoint) map[string][]string {
	drained := make(map[string][]string)
	for _, d := range list {
		drained[d.GetService()] = append(drained[d.GetService()], d.GetEndpoint())
	}
	return drained
}

func quarantineEntries(now time.Time, list []*wire.QuarantineDigest) []quarantine.Entry {
	entries := make([]quarantine.Entry, 0, len(list))
	for _, q := range list {
		entry := quarantine.Entry{Until: now.Add(time.Duration(q.GetDurationMs()) * time.Millisecond)}
		copy(entry.Digest[:], q.GetDigest())
		entries = append(entries, entry)
	}
	return entries
}

// setQuarantineHandler sets the function that is called for each update with
// all quarantined digests and the newly suspected ones.
func (b *bundleHolder) setQuarantineHandler(adopt func(time.Time, []quarantine.Entry, []quarantine.Digest)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.quarantineHandler = adopt
}
