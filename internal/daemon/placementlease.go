package daemon

import (
	"context"
	"time"

	"oleanderramp/internal/event"
	"oleanderramp/internal/placement"
	"oleanderramp/internal/state"
	"oleanderramp/internal/wire"
)

// leaseName returns the name of the region's lease.
func (r *placementRole) leaseName() string { return "placement/" + r.cfg.region }

// acquire requests the lease from the quorum for the term; a term of 0 releases
// it.
func (r *placementRole) acquire(ctx context.Context, term time.Duration) (*wire.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	return r.cfg.quorum.Execute(ctx, &wire.Command{Body: &wire.Command_AcquireFence{AcquireFence: &wire.AcquireFence{
		Name: r.leaseName(), Holder: r.holder, LeaseMs: uint32(term.Milliseconds()),
	}}})
}

// renew acquires or renews the lease, or releases it if its fencing token is
// outdated.
func (r *placementRole) renew(ctx context.Context) {
	if r.isFenceOutdated() {
		r.releaseOutdatedFence(ctx)
		return
	}
	sent := r.cfg.now()
	result, err := r.acquire(ctx, placement.LeaseTerm)
	received := r.cfg.now()
	switch {
	case err != nil:
		if lease := r.currentLease(); !received.Before(lease.Until()) {
			r.releaseLease(lease.FencingToken(), "not renewed in time")
		}
	case result.GetError() != nil:
		r.releaseLease(r.currentLease().FencingToken(), result.GetError().GetCode())
		if result.GetError().GetCode() == state.CodeProcessAbandoned {
			r.renewIncarnation(received)
		}
	default:
		r.adoptLease(sent, received, result.GetFence().GetNumber())
	}
}

// releaseOutdatedFence ends the lease in the quorum, so that the next one gets a
// larger fencing token. It is repeated in the next period unless the lease has
// certainly ended or belongs to another holder.
func (r *placementRole) releaseOutdatedFence(ctx context.Context) {
	result, err := r.acquire(ctx, 0)
	if err != nil {
		return
	}
	switch refused := result.GetError(); refused.GetCode() {
	case "", state.CodeFenceHeld:
		r.setFenceOutdated(false)
	case state.CodeProcessAbandoned:
		r.renewIncarnation(r.cfg.now())
		r.setFenceOutdated(false)
	default:
		event.PlacementLeaseLost.Log(r.cfg.log, event.Fields{
			"host": r.cfg.self.GetHost(), "lease": r.leaseName(), "reason": "outdated lease not released: " + refused.GetCode(),
		})
	}
}

// renewIncarnation replaces the holder's incarnation after the quorum has
// abandoned it.
func (r *placementRole) renewIncarnation(now time.Time) {
	incarnation := max(r.holder.GetIncarnation()+1, uint64(now.UnixMilli()))
	r.holder = &wire.Process{Host: r.holder.GetHost(), Incarnation: incarnation}
}

func (r *placementRole) isFenceOutdated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fenceOutdated
}

func (r *placementRole) setFenceOutdated(outdated bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fenceOutdated = outdated
}

// currentLease returns the lease, which is the zero Lease if none is held.
func (r *placementRole) currentLease() placement.Lease {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease
}

// adoptLease stores a lease that the quorum has granted or renewed.
func (r *placementRole) adoptLease(sent, received time.Time, token uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.lease.FencingToken()
	if before != 0 && before != token {
		r.dropLease("expired and granted again with another fencing token")
	}
	r.lease = r.lease.Acquired(sent, received, token)
	if before != token {
		r.sendContext, r.cancelSends = context.WithCancel(context.Background())
		event.PlacementLeaseAcquired.Log(r.cfg.log, event.Fields{"host": r.cfg.self.GetHost(), "lease": r.leaseName(), "fence": token})
	}
}

// releaseLease drops the lease locally if it has this fencing token, and
// cancels the orders that are being sent under it.
func (r *placementRole) releaseLease(token uint64, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if token != 0 && r.lease.FencingToken() == token {
		r.dropLease(reason)
	}
}

// dropLease logs the loss of the lease, cancels its orders and clears it. The
// caller holds r.mu.
func (r *placementRole) dropLease(reason string) {
	event.PlacementLeaseLost.Log(r.cfg.log, event.Fields{
		"host": r.cfg.self.GetHost(), "lease": r.leaseName(), "fence": r.lease.FencingToken(), "reason": reason,
	})
	r.cancelSends()
	r.lease = placement.Lease{}
}
