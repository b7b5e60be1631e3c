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
	// confirmPeriod is the interval between confirmations by the quorum.
	confirmPeriod = time.Second
	// confirmTimeout limits the duration of one confirmation.
	confirmTimeout = time.Second
	// confirmationValidity is how long a confirmation is valid, counted from
	// its start.
	confirmationValidity = 2 * time.Second
)

// applyPollInterval is the interval at which the applied index is polled.
const applyPollInterval = 5 * time.Millisecond

// barrier waits until the local state includes everything that was committed
// before the call.
type barrier interface {
	Barrier(ctx context.Context) error
}

// followerBarrier asks the leader for its applied index, and waits until the
// local state has reached it. Before the leader answers, it confirms with a
// majority that it still leads.
type followerBarrier struct {
	quorum *peer.Quorum
	store  *state.Store
}

// Barrier waits until the local state includes everything that was committed
// before the call.
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

// confirmer confirms periodically with the quorum that the local state is
// current. All watchers share one confirmer.
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
			_ = c.confirm(ctx) // Retried after the next tick.
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
	return c
}

// confirm makes one confirmation with the quorum.
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

// isCurrent reports whether the last confirmation is still valid.
func (c *confirmer) isCurrent(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.confirmedAt.IsZero() && now.Sub(c.confirmedAt) < confirmationValidity
}

// Close stops the confirmations and waits for the goroutine.
func (c *confirmer) Close() error {
	c.stop()
	c.done.Wait()
	return nil
}
