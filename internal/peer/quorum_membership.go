package peer

import (
	"context"

	"google.golang.org/grpc"

	"oleanderramp/internal/wire"
)

// QuorumHandler answers queries and commands on the quorum's membership.
type QuorumHandler interface {
	Status(ctx context.Context, request *wire.QuorumStatusRequest) (*wire.QuorumStatusResponse, error)
	Change(ctx context.Context, request *wire.QuorumChangeRequest) (*wire.QuorumChangeResponse, error)
}

type quorumServer struct {
	wire.UnimplementedQuorumServer
	handler QuorumHandler
}

// Status returns the state of the replicated log.
func (s *quorumServer) Status(ctx context.Context, request *wire.QuorumStatusRequest) (*wire.QuorumStatusResponse, error) {
	return s.handler.Status(ctx, request)
}

// Change adds or removes a member.
func (s *quorumServer) Change(ctx context.Context, request *wire.QuorumChangeRequest) (*wire.QuorumChangeResponse, error) {
	return s.handler.Change(ctx, request)
}

// Status asks the leader for the state of the replicated log.
func (q *Quorum) Status(ctx context.Context) (*wire.QuorumStatusResponse, error) {
	return callLeader(ctx, q, &wire.QuorumStatusRequest{}, LocalReplica.Status,
		func(ctx context.Context, conn grpc.ClientConnInterface, request *wire.QuorumStatusRequest) (*wire.QuorumStatusResponse, error) {
			return wire.NewQuorumClient(conn).Status(ctx, request)
		})
}

// Change asks the leader to add or remove a member.
func (q *Quorum) Change(ctx context.Context, request *wire.QuorumChangeRequest) (*wire.QuorumChangeResponse, error) {
	return callLeader(ctx, q, request, LocalReplica.Change,
		func(ctx context.Context, conn grpc.ClientConnInterface, request *wire.QuorumChangeRequest) (*wire.QuorumChangeResponse, error) {
			return wire.NewQuorumClient(conn).Change(ctx, request)
		})
}
