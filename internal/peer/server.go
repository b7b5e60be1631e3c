package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"oleanderramp/internal/wire"
)

// Keepalive of accepted connections: one that does not answer a ping within
// serverKeepaliveTimeout is closed.
const (
	serverKeepaliveTime    = 5 * time.Second
	serverKeepaliveTimeout = 2 * time.Second
	// shutdownGracePeriod is how long Close waits for calls in progress.
	shutdownGracePeriod = 2 * time.Second
)

// ProbeHandler answers the probes of other daemons.
type ProbeHandler interface {
	ProbeReceived(now time.Time, request *wire.ProbeRequest) *wire.ProbeResponse
}

// Session is a router's stream at a scheduler host.
type Session interface {
	Receive(batch *wire.RouterBatch)
	Leave()
}

// SchedulingHandler accepts the streams of routers and the batches of other
// regions' schedulers.
type SchedulingHandler interface {
	Join(first *wire.RouterBatch, send func(*wire.SchedulerBatch) bool) Session
	Exchange(batch *wire.ExchangeBatch)
	Schedules() *wire.SchedulesResponse
}

// StateHandler answers commands and queries on the replicated state.
type StateHandler interface {
	Execute(ctx context.Context, request *wire.ExecuteRequest) (*wire.ExecuteResponse, error)
	Query(ctx context.Context, request *wire.QueryRequest) (*wire.QueryResponse, error)
	// Watch sends updates until the context ends.
	Watch(ctx context.Context, request *wire.WatchBundleRequest, send func(*wire.BundleUpdate) error) error
}

// ReplicationHandler receives the messages of the replicated log.
type ReplicationHandler interface {
	Receive(message *wire.RaftMessage)
}

// ServerConfig holds the services of a server. Services that don't belong to
// the daemon's roles are nil.
type ServerConfig struct {
	Probes      ProbeHandler
	Scheduling  SchedulingHandler
	State       LocalReplica
	Replication ReplicationHandler
	Sync        SyncHandler
	// TLS is nil for plain TCP.
	TLS *tls.Config
}

// Server serves the calls of other daemons.
type Server struct {
	server  *grpc.Server
	done    sync.WaitGroup
	traffic Traffic
	// stopping is closed when the server stops, which ends all streams.
	stopping chan struct{}
}

// NewServer starts a server on the listener.
func NewServer(listener net.Listener, cfg ServerConfig) *Server {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverKeepaliveTime, Timeout: serverKeepaliveTimeout}),
	}
	if cfg.TLS != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(cfg.TLS)))
	}
	s := &Server{server: grpc.NewServer(options...), stopping: make(chan struct{})}
	if cfg.Probes != nil {
		wire.RegisterMembershipServer(s.server, &membershipServer{handler: cfg.Probes})
	}
	if cfg.Sync != nil {
		wire.RegisterSyncServer(s.server, &syncServer{handler: cfg.Sync})
	}
	if cfg.Scheduling != nil {
		wire.RegisterSchedulingServer(s.server, &schedulingServer{handler: cfg.Scheduling, stopping: s.stopping})
		wire.RegisterFleetServer(s.server, &fleetServer{handler: cfg.Scheduling})
	}
	if cfg.State != nil {
		wire.RegisterStateServer(s.server, &stateServer{handler: cfg.State, stopping: s.stopping})
		wire.RegisterQuorumServer(s.server, &quorumServer{handler: cfg.State})
	}
	if cfg.Replication != nil {
		wire.RegisterReplicationServer(s.server, &replicationServer{handler: cfg.Replication})
	}
	s.done.Go(func() {
		_ = s.server.Serve(&countingListener{Listener: listener, traffic: &s.traffic}) // Returns when the server is stopped.
	})
	return s
}

// Traffic returns the traffic of accepted connections.
func (s *Server) Traffic() *Traffic { return &s.traffic }

// Close ends all streams, waits up to shutdownGracePeriod for calls in
// progress, and stops the server.
func (s *Server) Close() error {
	close(s.stopping)
	timer := time.AfterFunc(shutdownGracePeriod, s.server.Stop)
	defer timer.Stop()
	s.server.GracefulStop()
	s.done.Wait()
	return nil
}

type membershipServer struct {
	wire.UnimplementedMembershipServer
	handler ProbeHandler
}

// Probe answers a probe without waiting for other work.
func (m *membershipServer) Probe(_ context.Context, request *wire.ProbeRequest) (*wire.ProbeResponse, error) {
	return m.handler.ProbeReceived(time.Now(), request), nil
}

type schedulingServer struct {
	wire.UnimplementedSchedulingServer
	handler  SchedulingHandler
	stopping <-chan struct{}
}

// Connect serves a router's stream to the scheduler host.
func (s *schedulingServer) Connect(stream wire.Scheduling_ConnectServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetRouter().GetHost() == "" {
		return fmt.Errorf("first batch does not identify the router")
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	batches := make(chan *wire.SchedulerBatch, linkQueueSize)
	session := s.handler.Join(first, func(batch *wire.SchedulerBatch) bool {
		select {
		case batches <- batch:
			return true
		default:
			cancel()
			return false
		}
	})
	defer session.Leave()
	received := make(chan error, 1)
	go func() {
		received <- receiveBatches(stream, session)
		cancel()
	}()
	sent := make(chan error, 1)
	go func() { sent <- sendBatches(ctx, batches, stream.Send) }()
	select {
	case err = <-received:
	case err = <-sent:
	case <-s.stopping:
		err = nil
	}
	return err
}

// receiveBatches passes the router's batches to the session until the stream
// ends.
func receiveBatches(stream wire.Scheduling_ConnectServer, session Session) error {
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		session.Receive(batch)
	}
}

// Exchange receives the batches of another region's scheduler.
func (s *schedulingServer) Exchange(stream wire.Scheduling_ExchangeServer) error {
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		s.handler.Exchange(batch)
	}
}

type fleetServer struct {
	wire.UnimplementedFleetServer
	handler SchedulingHandler
}

// Schedules returns the schedules that this daemon runs.
func (f *fleetServer) Schedules(context.Context, *wire.SchedulesRequest) (*wire.SchedulesResponse, error) {
	return f.handler.Schedules(), nil
}

type stateServer struct {
	wire.UnimplementedStateServer
	handler  StateHandler
	stopping <-chan struct{}
}

// Execute commits a command.
func (s *stateServer) Execute(ctx context.Context, request *wire.ExecuteRequest) (*wire.ExecuteResponse, error) {
	return s.handler.Execute(ctx, request)
}

// Query reads the state.
func (s *stateServer) Query(ctx context.Context, request *wire.QueryRequest) (*wire.QueryResponse, error) {
	return s.handler.Query(ctx, request)
}

// WatchBundle sends the bundle in force and each later one.
func (s *stateServer) WatchBundle(request *wire.WatchBundleRequest, stream wire.State_WatchBundleServer) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-s.stopping:
			cancel()
		case <-ended:
		}
	}()
	return s.handler.Watch(ctx, request, stream.Send)
}

type replicationServer struct {
	wire.UnimplementedReplicationServer
	handler ReplicationHandler
}

// Send receives a stream of messages of the replicated log.
func (r *replicationServer) Send(stream wire.Replication_SendServer) error {
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		for _, message := range batch.GetMessages() {
			r.handler.Receive(message)
		}
	}
}
