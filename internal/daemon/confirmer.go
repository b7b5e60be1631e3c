package daemon

import (
	"context"
	"sync"
	"time"

	"oleanderramp/internal/peer"
	"oleanderramp/internal/state"
	"oleanderramp/internal/wire"
)

// Timing of confirmations.
const (
	// confirmPeriod is the time between two confirmations by the quorum.
	confirmPeriod = time.Second
	// confirmTimeout bounds one confirmation.
	confirmTimeout = time.Second
	// confirmationValidity is how long a confirmation holds.
	confirmationValidity = 2 * time.Second
)

// applyPollInterval is the time between two looks at the applied index.
const applyPollInterval = 5 * time.Millisecond

// barrier waits until the local state holds all that was committed before.
type barrier interface {
	Barrier(ctx context.Context) error
}

// followerBarrier asks the leader, wherever it is, how far it has applied the
// log, and waits until the local state has come as far. The leader confirms
// with a majority that it still leads before it answers.
type followerBarrier struct {
	quorum *peer.Quorum
	store  *state.Store
}

// Barrier waits until the local state holds all that was committed before.
func (b *followerBarrier) Barrier(ctx context.Context) error {
	query := &wire.QueryRequest{Body: &wire.QueryRequest_Index{Index: &wire.IndexQuery{}}}
	answer, err := b.quorum.Query(ctx, query)
	if err != nil {
		return err
	}
	for b.store.Index() < answer.GetIndex() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(applyPollInterval):
		}
	}
	return nil
}

// confirmer asks the quorum in a fixed period whether the local state is
// current, once for all watchers.
type confirmer struct {
	barrier barrier
	stop    context.CancelFunc
	done    sync.WaitGroup

	mu sync.Mutex
	// confirmedAt is when the last successful confirmation began.
	confirmedAt time.Time
	// confirmed is closed and replaced with each confirmation.
	confirmed chan struct{}
}

func newConfirmer(b barrier) *confirmer {
	ctx, cancel := context.WithCancel(context.Background())
	c := &confirmer{barrier: b, stop: cancel, confirmed: make(chan struct{})}
	c.done.Go(func() {
		ticker := time.NewTicker(confirmPeriod)
		defer ticker.Stop()
		for {
			_ = c.confirm(ctx) // The next period tries again.
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
	return c
}

// confirm asks the quorum once.
func (c *confirmer) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	begun := time.Now()
	if err := c.barrier.Barrier(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmedAt = begun
	close(c.confirmed)
	c.confirmed = make(chan struct{})
	return nil
}

// next returns a channel that is closed at the next confirmation.
func (c *confirmer) next() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmed
}

// isCurrent tells whether the last confirmation still holds.
func (c *confirmer) isCurrent(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.confirmedAt.IsZero() && now.Sub(c.confirmedAt) < confirmationValidity
}

// Close ends the confirmations and waits for them.
func (c *confirmer) Close() error {
	c.stop()
	c.done.Wait()
	return nil
}
