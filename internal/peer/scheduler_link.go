package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"oleanderramp/internal/wire"
)

// Timing and bounds of a link to a scheduler host.
const (
	// linkTimeout is how long a link may receive nothing before it is closed.
	// The other side sends a batch at least every HeartbeatPeriod.
	linkTimeout = 1500 * time.Millisecond
	// HeartbeatPeriod is the longest interval between two batches of a stream.
	HeartbeatPeriod = 500 * time.Millisecond
	// linkQueueSize is the capacity of a link's send queue, in batches.
	linkQueueSize = 1024
)

// errLinkTimeout is returned when nothing was received within linkTimeout.
var errLinkTimeout = errors.New("link timed out")

// SchedulerLink is a router's stream to a scheduler host.
type SchedulerLink struct {
	batches chan *wire.RouterBatch
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// OpenSchedulerLink opens a stream to the host. It calls receive for each
// batch, and closed once after the stream has ended. The first batch sent must
// identify the router.
func OpenSchedulerLink(dialer *Dialer, host string, receive func(*wire.SchedulerBatch), closed func(error)) *SchedulerLink {
	ctx, cancel := context.WithCancel(context.Background())
	l := &SchedulerLink{batches: make(chan *wire.RouterBatch, linkQueueSize), cancel: cancel}
	l.done.Go(func() {
		err := l.run(ctx, dialer, host, receive)
		cancel()
		closed(err)
	})
	return l
}

// run sends and receives batches until the stream breaks or times out.
func (l *SchedulerLink) run(ctx context.Context, dialer *Dialer, host string, receive func(*wire.SchedulerBatch)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	conn, err := dialer.Conn(host)
	if err != nil {
		return err
	}
	stream, err := wire.NewSchedulingClient(conn).Connect(ctx)
	if err != nil {
		return fmt.Errorf("open link to %s: %w", host, err)
	}
	watchdog := time.AfterFunc(linkTimeout, func() {
		cancel(errLinkTimeout)
		dialer.Drop(host, conn)
	})
	defer watchdog.Stop()

	var sender sync.WaitGroup
	sender.Go(func() {
		if err := sendBatches(ctx, l.batches, stream.Send); err != nil {
			cancel(err)
		}
	})
	defer sender.Wait()
	defer cancel(nil)
	for {
		batch, err := stream.Recv()
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return fmt.Errorf("link to %s: %w", host, err)
		}
		watchdog.Reset(linkTimeout)
		receive(batch)
	}
}

// sendBatches sends the queued batches, and an empty batch when none was queued
// within HeartbeatPeriod.
func sendBatches[T any](ctx context.Context, batches <-chan *T, send func(*T) error) error {
	heartbeat := time.NewTicker(HeartbeatPeriod)
	defer heartbeat.Stop()
	for {
		batch := new(T)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case batch = <-batches:
		case <-heartbeat.C:
		}
		if err := send(batch); err != nil {
			return err
		}
	}
}

// Send queues the batch. If the queue is full, it closes the link and returns
// false.
func (l *SchedulerLink) Send(batch *wire.RouterBatch) bool {
	select {
	case l.batches <- batch:
		return true
	default:
		l.cancel()
		return false
	}
}

// Cancel ends the stream without waiting for it.
func (l *SchedulerLink) Cancel() { l.cancel() }

// Close ends the stream and waits for it.
func (l *SchedulerLink) Close() error {
	l.cancel()
	l.done.Wait()
	return nil
}
