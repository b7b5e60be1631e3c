package daemon

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"oleanderramp/internal/operator"
	"oleanderramp/internal/peer"
	"oleanderramp/internal/scheduling"
	"oleanderramp/internal/stateserver"
	"oleanderramp/internal/wire"
	"oleanderramp/pkg/client"
)

// fleet reports the state of the fleet, as known to this daemon, to operators,
// and changes the members of the quorum for them.
type fleet struct {
	self    string
	members *members
	quorum  *peer.Quorum
	// scheduling is nil when the daemon schedules nothing.
	scheduling *scheduling.Manager
	dialer     *peer.Dialer
}

// Status returns the known daemons and the state of the quorum.
func (f *fleet) Status(ctx context.Context) (client.FleetStatus, error) {
	now := time.Now()
	status := client.FleetStatus{Observer: f.self, At: now}
	for _, d := range f.members.daemons(now) {
		status.Daemons = append(status.Daemons, client.DaemonStatus{
			Host: d.Host, Region: d.Region, Zone: d.Zone, Roles: d.Roles, Incarnation: d.Incarnation,
			Alive: now.Sub(d.LastHeard) < daemonLivenessTimeout, Draining: d.Draining, BundleVersion: d.BundleVersion, LastSeen: d.LastHeard,
		})
	}
	quorum, err := f.quorum.Status(ctx)
	if err != nil {
		status.Quorum.RepairNote = err.Error()
		return status, nil
	}
	status.Quorum = client.QuorumStatus{
		Leader: quorum.GetLeader(), Term: quorum.GetTerm(),
		Replicas: replicaStatuses(quorum), RepairNote: repairNote(quorum),
	}
	return status, nil
}

// daemonLivenessTimeout is how long after its last probe a daemon counts as alive.
const daemonLivenessTimeout = 10 * time.Second

// repairNote describes what an operator has to know or do before another host
// may fail, or returns an empty string.
func repairNote(quorum *wire.QuorumStatusResponse) string {
	behind := 0
	for _, m := range quorum.GetMembers() {
		if !m.GetCaughtUp() {
			behind++
		}
	}
	switch {
	case quorum.GetTolerates() < 1:
		return "no voter may be lost: another loss stops the quorum, or loses its state"
	case len(quorum.GetWaiting()) > 0:
		return fmt.Sprintf("replica of %s waits to be added: run replica add", quorum.GetWaiting()[0].GetHost())
	case behind > 0:
		return fmt.Sprintf("%d of %d replicas do not hold the whole state yet", behind, len(quorum.GetMembers()))
	}
	return ""
}

func replicaStatuses(quorum *wire.QuorumStatusResponse) []client.ReplicaStatus {
	var list []client.ReplicaStatus
	for _, m := range quorum.GetMembers() {
		list = append(list, client.ReplicaStatus{
			ID: stateserver.FormatReplicaID(m.GetReplica()), Host: m.GetHost(), Voter: m.GetVoter(), CaughtUp: m.GetCaughtUp(),
			Leader: m.GetHost() == quorum.GetLeader(), MatchIndex: m.GetMatch(),
		})
	}
	return list
}

// Replicas returns the members of the quorum.
func (f *fleet) Replicas(ctx context.Context) ([]client.ReplicaStatus, error) {
	quorum, err := f.quorum.Status(ctx)
	if err != nil {
		return nil, err
	}
	return replicaStatuses(quorum), nil
}

// AddReplica adds the replica of the host to the quorum, replacing the host's
// former replica.
func (f *fleet) AddReplica(ctx context.Context, host string) error {
	return f.change(ctx, &wire.QuorumChangeRequest{Add: host})
}

// RemoveReplica removes the replica from the quorum.
func (f *fleet) RemoveReplica(ctx context.Context, id string) error {
	number, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return operator.NewAPIError(client.CodeBadRequest, "the identity of a replica is a hexadecimal number")
	}
	return f.change(ctx, &wire.QuorumChangeRequest{Remove: number})
}

func (f *fleet) change(ctx context.Context, request *wire.QuorumChangeRequest) error {
	response, err := f.quorum.Change(ctx, request)
	if err != nil {
		return err
	}
	if refused := response.GetError(); refused != nil {
		return operator.NewAPIError(refused.GetCode(), refused.GetMessage())
	}
	return nil
}
