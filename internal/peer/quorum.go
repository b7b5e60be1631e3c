package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"

	"oleanderramp/internal/wire"
)

// Timing of calls to the quorum.
const (
	// quorumAttemptTimeout bounds one call to one replica.
	quorumAttemptTimeout = time.Second
	// quorumRetryDelay is the delay between two rounds of calls to all
	// replicas.
	quorumRetryDelay = 50 * time.Millisecond
)

// expectedReplicas is the typical number of replicas, used as a capacity.
const expectedReplicas = 8

// ErrNoQuorum means that no leader answered in time. A command may or may not
// have been committed.
var ErrNoQuorum = errors.New("no quorum")

// LocalReplica is the replica of this daemon.
type LocalReplica interface {
	StateHandler
	QuorumHandler
}

// Quorum is a client that sends commands and queries to the current leader. It
// is safe for concurrent use.
type Quorum struct {
	dialer *Dialer
	// local is this daemon's own replica; nil if it has none.
	local LocalReplica
	self  string
	// hosts returns the hosts that may have a replica.
	hosts func() []string

	mu sync.Mutex
	// leader is the host that last answered as leader, or "".
	leader string
}

// NewQuorum returns a client for the replicas on the hosts. Calls to self go to
// local unless it is nil.
func NewQuorum(dialer *Dialer, self string, hosts []string, local LocalReplica) *Quorum {
	return NewDynamicQuorum(dialer, self, func() []string { return hosts }, local)
}

// NewDynamicQuorum is like NewQuorum, for a set of hosts that changes.
func NewDynamicQuorum(dialer *Dialer, self string, hosts func() []string, local LocalReplica) *Quorum {
	return &Quorum{dialer: dialer, local: local, self: self, hosts: hosts}
}

// Leader returns the host that last answered as leader, or "".
func (q *Quorum) Leader() string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.leader
}

// PreferLeader makes the next call begin with the host that a replica of this daemon knows
// as the leader; "" changes nothing. The host that last answered as leader may be gone,
// and would take the timeout of a call.
func (q *Quorum) PreferLeader(host string) {
	if host != "" {
		q.setLeader(host)
	}
}

func (q *Quorum) setLeader(host string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.leader = host
}

// Execute commits the command and returns its result. Commands are sent again
// when an answer is lost, so each must be idempotent. The error wraps
// ErrNoQuorum if the context ends first.
func (q *Quorum) Execute(ctx context.Context, command *wire.Command) (*wire.Result, error) {
	response, err := callLeader(ctx, q, &wire.ExecuteRequest{Command: command}, LocalReplica.Execute,
		func(ctx context.Context, conn grpc.ClientConnInterface, request *wire.ExecuteRequest) (*wire.ExecuteResponse, error) {
			return wire.NewStateClient(conn).Execute(ctx, request)
		})
	return response.GetResult(), err
}

// Query reads the replicated state as of some time after the call began.
func (q *Quorum) Query(ctx context.Context, query *wire.QueryRequest) (*wire.QueryResponse, error) {
	return callLeader(ctx, q, query, LocalReplica.Query,
		func(ctx context.Context, conn grpc.ClientConnInterface, request *wire.QueryRequest) (*wire.QueryResponse, error) {
			return wire.NewStateClient(conn).Query(ctx, request)
		})
}

// leaderResponse is the response of a replica, which may not be the leader.
type leaderResponse interface {
	GetNotLeader() *wire.NotLeader
}

// callLeader sends the request to the leader: it uses local for this daemon's
// own replica, and remote over a connection for any other.
func callLeader[Request any, Response leaderResponse](
	ctx context.Context, q *Quorum, request Request,
	local func(LocalReplica, context.Context, Request) (Response, error),
	remote func(context.Context, grpc.ClientConnInterface, Request) (Response, error),
) (Response, error) {
	var answer Response
	err := q.callUntilLeader(ctx, func(ctx context.Context, host string) (*wire.NotLeader, error) {
		var err error
		if host == q.self && q.local != nil {
			answer, err = local(q.local, ctx, request)
			return answer.GetNotLeader(), err
		}
		conn, err := q.dialer.Conn(host)
		if err != nil {
			return nil, err
		}
		answer, err = remote(ctx, conn, request)
		return answer.GetNotLeader(), err
	})
	return answer, err
}

// callUntilLeader calls the last known leader and then the other hosts, in
// rounds, until one answers as the leader or the context ends.
func (q *Quorum) callUntilLeader(ctx context.Context, call func(ctx context.Context, host string) (*wire.NotLeader, error)) error {
	var last error
	for {
		for _, host := range q.order() {
			tryCtx, cancel := context.WithTimeout(ctx, quorumAttemptTimeout)
			notLeader, err := call(tryCtx, host)
			cancel()
			switch {
			case err == nil && notLeader == nil:
				q.setLeader(host)
				return nil
			case err == nil:
				q.setLeader(notLeader.GetLeader())
				last = fmt.Errorf("%s is not the leader", host)
			default:
				last = err
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%w: %w", ErrNoQuorum, last)
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNoQuorum, last)
		case <-time.After(quorumRetryDelay):
		}
	}
}

// order returns the hosts to call: the last known leader first, then this host
// if it has a replica, then the others.
func (q *Quorum) order() []string {
	leader := q.Leader()
	order := make([]string, 0, expectedReplicas)
	if leader != "" {
		order = append(order, leader)
	}
	if q.local != nil && leader != q.self {
		order = append(order, q.self)
	}
	for _, host := range q.hosts() {
		if host != leader && host != q.self {
			order = append(order, host)
		}
	}
	return order
}
