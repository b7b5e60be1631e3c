// Package stateserver serves commands and queries on the replicated state of a
// daemon's replica.
package stateserver

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"oleanderramp/internal/replica"
	"oleanderramp/internal/state"
	"oleanderramp/internal/wire"
)

// Server serves commands and queries on the state of a replica.
type Server struct {
	replica *replica.Replica
	store   *state.Store
}

// New returns a server for the replica, which must apply its log to the store.
func New(r *replica.Replica, store *state.Store) *Server {
	return &Server{replica: r, store: store}
}

// Replica returns the replica.
func (s *Server) Replica() *replica.Replica { return s.replica }

// Store returns the replicated state.
func (s *Server) Store() *state.Store { return s.store }

// Execute commits the command if this replica is the leader, and returns its
// result. Otherwise the response names the leader.
func (s *Server) Execute(ctx context.Context, request *wire.ExecuteRequest) (*wire.ExecuteResponse, error) {
	command := proto.CloneOf(request.GetCommand())
	command.NowUnixMs = time.Now().UnixMilli()
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, status.Errorf(codes.InvalidArgument, "encode command: %v", err)
	}
	answer, err := s.replica.Propose(ctx, data)
	if notLeader := NotLeader(err); notLeader != nil {
		return &wire.ExecuteResponse{NotLeader: notLeader}, nil
	}
	if err != nil {
		return nil, status.Errorf(codes.Unavailable, "commit command: %v", err)
	}
	result := &wire.Result{}
	if err := proto.Unmarshal(answer, result); err != nil {
		return nil, status.Errorf(codes.Internal, "decode result: %v", err)
	}
	return &wire.ExecuteResponse{Result: result}, nil
}

// NotLeader converts a replica.NotLeaderError to its wire form. It returns nil
// for any other error.
func NotLeader(err error) *wire.NotLeader {
	var refused *replica.NotLeaderError
	if !errors.As(err, &refused) {
		return nil
	}
	return &wire.NotLeader{Leader: refused.Leader()}
}

// Query reads the state if this replica is the leader. The replica first
// confirms that it still leads, so that the read is linearizable.
func (s *Server) Query(ctx context.Context, request *wire.QueryRequest) (*wire.QueryResponse, error) {
	err := s.replica.Barrier(ctx)
	if notLeader := NotLeader(err); notLeader != nil {
		return &wire.QueryResponse{NotLeader: notLeader}, nil
	}
	if err != nil {
		return nil, status.Errorf(codes.Unavailable, "confirm read: %v", err)
	}
	switch body := request.GetBody().(type) {
	case *wire.QueryRequest_Record:
		record, _ := s.store.Record(body.Record.GetAccount(), body.Record.GetService(), body.Record.GetIdempotencyKey())
		return &wire.QueryResponse{Record: record}, nil
	case *wire.QueryRequest_Bundle:
		return &wire.QueryResponse{Bundles: s.store.Bundles()}, nil
	case *wire.QueryRequest_Audit:
		entries, dropped := s.store.Audit(int(body.Audit.GetLimit()))
		return &wire.QueryResponse{Audit: entries, AuditDropped: dropped}, nil
	case *wire.QueryRequest_Index:
		return &wire.QueryResponse{Index: s.store.Index()}, nil
	case *wire.QueryRequest_Routing:
		return &wire.QueryResponse{Routing: s.store.Routing()}, nil
	case *wire.QueryRequest_Evacuation:
		return &wire.QueryResponse{Evacuation: s.store.Evacuation()}, nil
	case *wire.QueryRequest_Software:
		return &wire.QueryResponse{Software: s.store.Software()}, nil
	}
	return nil, status.Error(codes.InvalidArgument, "empty query")
}

// Status returns the state of the replicated log and its members, if this
// replica is the leader.
func (s *Server) Status(context.Context, *wire.QuorumStatusRequest) (*wire.QuorumStatusResponse, error) {
	replicaStatus := s.replica.Status()
	if !replicaStatus.IsLeader() {
		return &wire.QuorumStatusResponse{NotLeader: &wire.NotLeader{Leader: replicaStatus.Leader().Host}}, nil
	}
	response := &wire.QuorumStatusResponse{Term: replicaStatus.Term(), Leader: replicaStatus.Leader().Host, Commit: replicaStatus.Commit(), Tolerates: int32(replicaStatus.ToleratedFailures())}
	for _, m := range replicaStatus.Members() {
		response.Members = append(response.Members, &wire.QuorumMember{
			Host: m.Member.Host, Replica: m.Member.Replica, Voter: m.Voter, CaughtUp: m.CaughtUp, Match: m.Match,
		})
	}
	return response, nil
}
