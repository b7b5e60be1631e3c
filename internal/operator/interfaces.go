package operator

import (
	"context"

	"oleanderramp/internal/wire"
	"oleanderramp/pkg/client"
)

// Quorum commits commands and executes queries through the leader. An error
// means that the quorum could not be reached in time; a rejected command
// returns a Result with its error set.
type Quorum interface {
	Execute(ctx context.Context, c *wire.Command) (*wire.Result, error)
	Query(ctx context.Context, q *wire.QueryRequest) (*wire.QueryResponse, error)
}

// Fleet reports the state of the fleet as this daemon sees it, and changes the
// quorum's membership.
type Fleet interface {
	Status(ctx context.Context) (client.FleetStatus, error)
	Accounts(ctx context.Context) ([]client.AccountStatus, error)
	Endpoints(ctx context.Context) ([]client.EndpointStatus, error)
	Replicas(ctx context.Context) ([]client.ReplicaStatus, error)
	// AddReplica adds the replica of the host as a learner, which becomes a
	// voter when it holds the complete state.
	AddReplica(ctx context.Context, host string) error
	// RemoveReplica removes the replica with the identity id.
	RemoveReplica(ctx context.Context, id string) error
}
