package peer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
)

// Bounds of one-way streams.
const (
	// outboxQueueSize is the capacity of the queue for one host, in batches.
	// Batches beyond it are dropped.
	outboxQueueSize = 256
	// outboxRetryDelay is the delay before a stream is opened again.
	outboxRetryDelay = 100 * time.Millisecond
	// outboxSendTimeout is how long opening a stream or one send may take
	// before the connection is dropped.
	outboxSendTimeout = 1500 * time.Millisecond
)

// sendStream is the sending half of a stream.
type sendStream[T any] interface {
	Send(*T) error
}

// outbox sends batches to one host, on one stream at a time. Batches are lost
// while the host is unreachable; the protocols that use it send their content
// again.
type outbox[T any] struct {
	batches chan *T
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// newOutbox starts an outbox. open opens a stream on a connection.
func newOutbox[T any](dialer *Dialer, host string, open func(context.Context, *grpc.ClientConn) (sendStream[T], error)) *outbox[T] {
	ctx, cancel := context.WithCancel(context.Background())
	o := &outbox[T]{batches: make(chan *T, outboxQueueSize), cancel: cancel}
	o.done.Go(func() {
		for ctx.Err() == nil {
			o.stream(ctx, dialer, host, open)
			select {
			case <-ctx.Done():
			case <-time.After(outboxRetryDelay):
			}
		}
	})
	return o
}

// stream waits for a batch, opens a stream for it, and sends until the stream
// breaks.
func (o *outbox[T]) stream(ctx context.Context, dialer *Dialer, host string, open func(context.Context, *grpc.ClientConn) (sendStream[T], error)) {
	var batch *T
	select {
	case <-ctx.Done():
		return
	case batch = <-o.batches:
	}
	conn, err := dialer.Conn(host)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(outboxSendTimeout, func() {
		cancel()
		dialer.Drop(host, conn)
	})
	defer watchdog.Stop()
	stream, err := open(ctx, conn)
	if err != nil {
		return
	}
	for {
		if err := stream.Send(batch); err != nil {
			return
		}
		watchdog.Stop()
		select {
		case <-ctx.Done():
			return
		case batch = <-o.batches:
		}
		watchdog.Reset(outboxSendTimeout)
	}
}

// send queues the batch, and drops it if the queue is full.
func (o *outbox[T]) send(batch *T) {
	select {
	case o.batches <- batch:
	default:
	}
}

func (o *outbox[T]) close() {
	o.cancel()
	o.done.Wait()
}

// outboxes holds one outbox per host.
type outboxes[T any] struct {
	dialer *Dialer
	open   func(context.Context, *grpc.ClientConn) (sendStream[T], error)

	mu     sync.Mutex
	byHost map[string]*outbox[T]
	closed bool
}

func newOutboxes[T any](dialer *Dialer, open func(context.Context, *grpc.ClientConn) (sendStream[T], error)) *outboxes[T] {
	return &outboxes[T]{dialer: dialer, open: open, byHost: make(map[string]*outbox[T])}
}

func (o *outboxes[T]) send(host string, batch *T) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	box, ok := o.byHost[host]
	if !ok {
		box = newOutbox(o.dialer, host, o.open)
		o.byHost[host] = box
	}
	box.send(batch)
}

func (o *outboxes[T]) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	for _, box := range o.byHost {
		box.close()
	}
}
