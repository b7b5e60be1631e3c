package peer

import (
	"context"

	"google.golang.org/grpc"

	"oleanderramp/internal/wire"
)

// Exchanger sends batches to the schedulers of other regions.
type Exchanger struct {
	boxes *outboxes[wire.ExchangeBatch]
}

// NewExchanger returns an exchanger. It opens streams when they are first
// needed.
func NewExchanger(dialer *Dialer) *Exchanger {
	return &Exchanger{boxes: newOutboxes(dialer,
		func(ctx context.Context, conn *grpc.ClientConn) (sendStream[wire.ExchangeBatch], error) {
			return wire.NewSchedulingClient(conn).Exchange(ctx)
		})}
}

// Send queues the batch for the host. It never blocks, and the batch may be
// lost.
func (e *Exchanger) Send(host string, batch *wire.ExchangeBatch) { e.boxes.send(host, batch) }

// Close ends the streams and waits for them.
func (e *Exchanger) Close() error {
	e.boxes.close()
	return nil
}

// Replicator sends messages of the replicated log to other replicas.
type Replicator struct {
	boxes *outboxes[wire.RaftBatch]
}

// NewReplicator returns a replicator. It opens streams when they are first
// needed.
func NewReplicator(dialer *Dialer) *Replicator {
	return &Replicator{boxes: newOutboxes(dialer,
		func(ctx context.Context, conn *grpc.ClientConn) (sendStream[wire.RaftBatch], error) {
			return wire.NewReplicationClient(conn).Send(ctx)
		})}
}

// Send queues the message for the host. It never blocks, and the message may be
// lost.
func (r *Replicator) Send(host string, message *wire.RaftMessage) {
	r.boxes.send(host, &wire.RaftBatch{Messages: []*wire.RaftMessage{message}})
}

// Close ends the streams and waits for them.
func (r *Replicator) Close() error {
	r.boxes.close()
	return nil
}
