package site

import (
	"context"
	"errors"
	"fmt"
	"time"

	"oleanderramp/internal/directory"
	"oleanderramp/internal/wire"
)

// departureTimeout bounds the wait until an endpoint's departure is recorded. An endpoint
// that has no answer within a second calls another control host.
const departureTimeout = 700 * time.Millisecond

// confirmDeparture returns once the departure of the start of the endpoint would survive
// the tolerated losses, and all control hosts learn of it whatever becomes of this one. The
// error wraps ErrUnconfirmed.
func (c *control) confirmDeparture(id string, started time.Time) error {
	// The endpoint must not be in use again after a restart of this host either.
	c.saves.await(leaveSaveWait)
	if started.IsZero() || c.store.HasDeparture(id, started.UnixMilli()) {
		return nil // Without a start, a later one can't be told from it.
	}
	ctx, cancel := context.WithTimeout(context.Background(), departureTimeout)
	defer cancel()
	err := c.commit(ctx, &wire.Command{Body: &wire.Command_RecordDeparture{RecordDeparture: &wire.RecordDeparture{
		Endpoint: id, StartedMs: started.UnixMilli(),
	}}})
	if err != nil && !errors.Is(err, errUnknownCommand) {
		return fmt.Errorf("%w: %w", ErrUnconfirmed, err)
	}
	return nil
}

// followDepartures adds the recorded departures to the directory until the context ends:
// first those that this host has on its disk, then each as it is committed.
func (c *control) followDepartures(ctx context.Context) {
	revision := uint64(0)
	for {
		changed := c.store.Changed()
		for _, d := range c.store.DeparturesSince(revision) {
			c.addDeparture(time.Now(), d)
			revision = d.GetRevision()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (c *control) addDeparture(now time.Time, d *wire.RecordedDeparture) {
	started := time.UnixMilli(d.GetStartedMs())
	c.mu.Lock()
	c.newcomers.remove(d.GetEndpoint(), started)
	change := c.directory.Leave(now, d.GetEndpoint(), started)
	c.mu.Unlock()
	logEndpointChange(c.log, change, directory.Entry{ID: d.GetEndpoint()}, "replicated log")
}
