package daemon

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"oleanderramp/internal/replica"
	"oleanderramp/internal/state"
	"oleanderramp/internal/stateserver"
	"oleanderramp/internal/wire"
)

// stateServer serves the replicated state of this daemon's replica.
type stateServer struct {
	*stateserver.Server
	replica   *replica.Replica
	store     *state.Store
	confirmer *confirmer
	members   *members
}

// Watch sends the accepted bundle after each change, and at least every
// confirmPeriod as long as the quorum confirms it. Before the first update it
// makes a confirmation of its own, so that a daemon which has just started never
// gets a version that was already superseded when it started.
func (s *stateServer) Watch(ctx context.Context, request *wire.WatchBundleRequest, send func(*wire.BundleUpdate) error) error {
	if err := s.confirmer.confirm(ctx); err != nil {
		return status.Errorf(codes.Unavailable, "confirm state: %v", err)
	}
	have := request.GetHave()
	for {
		changed := s.store.Changed()
		confirmed := s.confirmer.next()
		if s.confirmer.isCurrent(time.Now()) {
			for _, update := range s.updates(time.Now(), have) {
				if err := send(update); err != nil {
					return err
				}
				have = update.GetVersion()
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-confirmed:
		}
	}
}

// updates returns the updates for a watcher that has version have: the deltas up
// to the accepted bundle if they are still kept, otherwise the whole bundle.
func (s *stateServer) updates(now time.Time, have uint64) []*wire.BundleUpdate {
	accepted := s.store.AcceptedBundle()
	last := &wire.BundleUpdate{Drained: s.store.Drained(), Quarantined: s.store.Quarantined(now), Suspected: s.store.Suspected(now)}
	if accepted == nil {
		return []*wire.BundleUpdate{last}
	}
	last.Version, last.Digest = accepted.Version(), accepted.Digest().Bytes()
	if have >= accepted.Version() {
		return []*wire.BundleUpdate{last}
	}
	deltas, kept := s.store.Deltas(have)
	if have == 0 || !kept || len(deltas) == 0 {
		last.Document, _ = accepted.MarshalJSON() // Can't fail, as the bundle was parsed from JSON.
		return []*wire.BundleUpdate{last}
	}
	updates := make([]*wire.BundleUpdate, len(deltas))
	for i, delta := range deltas {
		base := have + uint64(i)
		updates[i] = &wire.BundleUpdate{Version: base + 1, Base: base, Delta: delta, Drained: last.Drained, Quarantined: last.Quarantined, Suspected: last.Suspected}
	}
	return updates
}
