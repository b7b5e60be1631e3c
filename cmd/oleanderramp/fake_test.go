package main

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"oleanderramp/internal/operator"
	"oleanderramp/internal/state"
	"oleanderramp/internal/wire"
	"oleanderramp/pkg/client"
)

// fakeQuorum applies commands directly to the real state machine, with a fixed
// clock. It is not safe for concurrent use.
type fakeQuorum struct {
	noLeader bool
	machine  *state.Machine
}

func newFakeQuorum() *fakeQuorum {
	return &fakeQuorum{machine: state.New(state.Limits{})}
}

var errNoLeader = errors.New("no leader")

func (q *fakeQuorum) Execute(_ context.Context, c *wire.Command) (*wire.Result, error) {
	if q.noLeader {
		return nil, errNoLeader
	}
	c.NowUnixMs = fakeTime.UnixMilli()
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, err
	}
	var result wire.Result
	err = proto.Unmarshal(q.machine.Apply(q.machine.Index()+1, data), &result)
	return &result, err
}

func (q *fakeQuorum) Query(_ context.Context, query *wire.QueryRequest) (*wire.QueryResponse, error) {
	if q.noLeader {
		return nil, errNoLeader
	}
	audit, _ := q.machine.Audit(int(query.GetAudit().GetLimit()))
	return &wire.QueryResponse{Bundles: q.machine.Bundles(), Audit: audit}, nil
}

// acceptedVersion returns the version of the accepted bundle, or 0.
func (q *fakeQuorum) acceptedVersion() uint64 {
	if b := q.machine.AcceptedBundle(); b != nil {
		return b.Version()
	}
	return 0
}

var fakeTime = time.Date(2027, 3, 1, 12, 0, 0, 0, time.UTC)

// fakeFleet is a fleet of two daemons, one of which is not reachable.
type fakeFleet struct {
	quorum *fakeQuorum
}

func (f fakeFleet) Status(ctx context.Context) (client.FleetStatus, error) {
	replicas, err := f.Replicas(ctx)
	return client.FleetStatus{
		Observer: "maz-1",
		At:       fakeTime,
		Daemons: []client.DaemonStatus{
			{Host: "maz-1", Region: "maz", Zone: "maz-a", Roles: []string{"router", "replica"}, Incarnation: 3,
				Alive: true, BundleVersion: f.quorum.acceptedVersion(), LastSeen: fakeTime},
			{Host: "mlp-1", Region: "mlp", Zone: "mlp-a", Roles: []string{"router"}, LastSeen: fakeTime.Add(-time.Hour)},
		},
		Quorum: client.QuorumStatus{
			Leader: "maz-1", Term: 7, Replicas: replicas,
			RepairNote: "replica b1 is not caught up: changes of the last seconds may be lost with maz-1",
		},
	}, err
}

func (f fakeFleet) Accounts(context.Context) ([]client.AccountStatus, error) {
	return []client.AccountStatus{{
		Name: "exhibitor-01", Service: "manual-assistant", Share: 2, Received: 14.25, Waiting: 3, Running: 1, Gap: 0.5,
	}}, nil
}

func (f fakeFleet) Endpoints(context.Context) ([]client.EndpointStatus, error) {
	return []client.EndpointStatus{{
		Service: "manual-assistant", Name: "engine-01", Region: "maz", Zone: "maz-a", Address: "10.41.1.21:8000",
		Slots: 8, Running: 5, State: "available", LastSeen: fakeTime,
	}}, nil
}

func (f fakeFleet) Replicas(context.Context) ([]client.ReplicaStatus, error) {
	return []client.ReplicaStatus{
		{ID: "a1", Host: "maz-1", Voter: true, CaughtUp: true, Leader: true, MatchIndex: 90},
		{ID: "b1", Host: "wlkp-1", MatchIndex: 40},
	}, nil
}

func (f fakeFleet) AddReplica(_ context.Context, host string) error {
	if host != "mlp-1" {
		return operator.NewAPIError(client.CodeChangeRefused, "another change of members is not complete")
	}
	return nil
}

func (f fakeFleet) RemoveReplica(context.Context, string) error { return errNoLeader }
