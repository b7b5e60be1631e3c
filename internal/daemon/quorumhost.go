package daemon

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"oleanderramp/internal/raft"
	"oleanderramp/internal/statehost"
	"oleanderramp/internal/wire"
)

// Error codes of refused quorum changes.
const (
	codeUnknownReplica = "unknown_replica"
	codeChangeRefused  = "change_refused"
)

// Status returns the state of the quorum and the replicas that wait to be added,
// if this replica leads.
func (h *stateHost) Status(ctx context.Context, request *wire.QuorumStatusRequest) (*wire.QuorumStatusResponse, error) {
	response, err := h.Server.Status(ctx, request)
	if err != nil || response.GetNotLeader() != nil {
		return response, err
	}
	for _, waiting := range h.waiting() {
		response.Waiting = append(response.Waiting, &wire.QuorumMember{Host: waiting.Host, Replica: waiting.Replica})
	}
	return response, nil
}

// waiting returns the replicas that daemons have reported and that are not
// members of the quorum.
func (h *stateHost) waiting() []raft.Member {
	var list []raft.Member
	for host, id := range h.members.replicas() {
		member := raft.Member{Host: host, Replica: id}
		if !h.isMember(func(m raft.Member) bool { return m == member }) {
			list = append(list, member)
		}
	}
	return list
}

func (h *stateHost) isMember(matches func(raft.Member) bool) bool {
	for _, m := range h.replica.Status().Members() {
		if matches(m.Member) {
			return true
		}
	}
	return false
}

// Change adds or removes a member if this replica leads. Adding the replica of a
// host first removes the host's former replica, whose disk is assumed lost.
func (h *stateHost) Change(ctx context.Context, request *wire.QuorumChangeRequest) (*wire.QuorumChangeResponse, error) {
	s := h.replica.Status()
	if !s.IsLeader() {
		return &wire.QuorumChangeResponse{NotLeader: &wire.NotLeader{Leader: s.Leader().Host}}, nil
	}
	if request.GetAdd() != "" {
		return h.add(ctx, request.GetAdd())
	}
	for _, m := range s.Members() {
		if m.Member.Replica == request.GetRemove() {
			return changed(h.replica.RemoveReplica(ctx, m.Member))
		}
	}
	return refused(codeUnknownReplica, "no member of the quorum has this identity"), nil
}

func (h *stateHost) add(ctx context.Context, host string) (*wire.QuorumChangeResponse, error) {
	id, ok := h.members.replicas()[host]
	if !ok {
		return refused(codeUnknownReplica, "host "+host+" has reported no replica; start its daemon first"), nil
	}
	member := raft.Member{Host: host, Replica: id}
	for _, m := range h.replica.Status().Members() {
		if m.Member == member {
			return &wire.QuorumChangeResponse{}, nil
		}
		if m.Member.Host != host {
			continue
		}
		if response, err := changed(h.replica.RemoveReplica(ctx, m.Member)); err != nil || response.GetError() != nil {
			return response, err
		}
	}
	return changed(h.replica.AddReplica(ctx, member))
}

func changed(err error) (*wire.QuorumChangeResponse, error) {
	if notLeader := statehost.NotLeader(err); notLeader != nil {
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
