package daemon

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"oleanderramp/internal/raft"
	"oleanderramp/internal/stateserver"
	"oleanderramp/internal/wire"
)

// Error codes of refused quorum changes.
const (
	codeUnknownReplica = "unknown_replica"
	codeChangeRefused  = "change_refused"
)

// Status returns the state of the quorum and the replicas that wait to be added,
// if this replica leads.
func (s *stateServer) Status(ctx context.Context, request *wire.QuorumStatusRequest) (*wire.QuorumStatusResponse, error) {
	response, err := s.Server.Status(ctx, request)
	if err != nil || response.GetNotLeader() != nil {
		return response, err
	}
	for _, waiting := range s.waiting() {
		response.Waiting = append(response.Waiting, &wire.QuorumMember{Host: waiting.Host, Replica: waiting.Replica})
	}
	return response, nil
}

// waiting returns the replicas that daemons have reported and that are not
// members of the quorum.
func (s *stateServer) waiting() []raft.Member {
	var list []raft.Member
	for host, id := range s.members.replicas() {
		member := raft.Member{Host: host, Replica: id}
		if !s.isMember(func(m raft.Member) bool { return m == member }) {
			list = append(list, member)
		}
	}
	return list
}

// isMember reports whether matches returns true for a member of the quorum.
func (s *stateServer) isMember(matches func(raft.Member) bool) bool {
	for _, m := range s.replica.Status().Members() {
		if matches(m.Member) {
			return true
		}
	}
	return false
}

// Change adds or removes a member if this replica leads. Adding the replica of a
// host first removes the host's former replica, whose disk is assumed lost.
func (s *stateServer) Change(ctx context.Context, request *wire.QuorumChangeRequest) (*wire.QuorumChangeResponse, error) {
	replicaStatus := s.replica.Status()
	if !replicaStatus.IsLeader() {
		return &wire.QuorumChangeResponse{NotLeader: &wire.NotLeader{Leader: replicaStatus.Leader().Host}}, nil
	}
	if request.GetAdd() != "" {
		return s.add(ctx, request.GetAdd())
	}
	for _, m := range replicaStatus.Members() {
		if m.Member.Replica == request.GetRemove() {
			return changed(s.replica.RemoveReplica(ctx, m.Member))
		}
	}
	return refused(codeUnknownReplica, "no member of the quorum has this identity"), nil
}

// add adds the replica that the host's daemon has reported, and first removes
// other replicas of the host.
func (s *stateServer) add(ctx context.Context, host string) (*wire.QuorumChangeResponse, error) {
	id, ok := s.members.replicas()[host]
	if !ok {
		return refused(codeUnknownReplica, "host "+host+" has reported no replica; start its daemon first"), nil
	}
	member := raft.Member{Host: host, Replica: id}
	for _, m := range s.replica.Status().Members() {
		if m.Member == member {
			return &wire.QuorumChangeResponse{}, nil
		}
		if m.Member.Host != host {
			continue
		}
		if response, err := changed(s.replica.RemoveReplica(ctx, m.Member)); err != nil || response.GetError() != nil {
			return response, err
		}
	}
	return changed(s.replica.AddReplica(ctx, member))
}

// changed returns the response to a quorum change that ended with err.
func changed(err error) (*wire.QuorumChangeResponse, error) {
	if notLeader := stateserver.NotLeader(err); notLeader != nil {
		return &wire.QuorumChangeResponse{NotLeader: notLeader}, nil
	}
	if err != nil && status.Code(err) == codes.Unknown {
		return refused(codeChangeRefused, err.Error()), nil
	}
	return &wire.QuorumChangeResponse{}, err
}

func refused(code, message string) *wire.QuorumChangeResponse {
	return &wire.QuorumChangeResponse{Error: &wire.CommandError{Code: code, Message: message}}
}
