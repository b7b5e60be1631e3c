package peer

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"oleanderramp/internal/wire"
)

// SyncHandler answers the sync calls of the other daemons of a site.
type SyncHandler interface {
	Exchange(now time.Time, request *wire.SyncRequest) *wire.SyncResponse
	FindStream(now time.Time, request *wire.FindStreamRequest) *wire.FindStreamResponse
}

type syncServer struct {
	wire.UnimplementedSyncServer
	handler SyncHandler
}

// Exchange answers a sync call.
func (s *syncServer) Exchange(_ context.Context, request *wire.SyncRequest) (*wire.SyncResponse, error) {
	return s.handler.Exchange(time.Now(), request), nil
}

// FindStream answers a question for the origin of a stream.
func (s *syncServer) FindStream(_ context.Context, request *wire.FindStreamRequest) (*wire.FindStreamResponse, error) {
	return s.handler.FindStream(time.Now(), request), nil
}

// FindStream asks the control host for the origin of a stream.
func FindStream(ctx context.Context, dialer *Dialer, host string, request *wire.FindStreamRequest) (*wire.FindStreamResponse, error) {
	conn, err := dialer.Conn(host)
	if err != nil {
		return nil, err
	}
	return wire.NewSyncClient(conn).FindStream(ctx, request)
}

// Query reads the replicated state at the control host, if that is the leader.
func Query(ctx context.Context, dialer *Dialer, host string, request *wire.QueryRequest) (*wire.QueryResponse, error) {
	conn, err := dialer.Conn(host)
	if err != nil {
		return nil, err
	}
	return wire.NewStateClient(conn).Query(ctx, request)
}

// maxTransferTime bounds a call during which the host keeps sending.
const maxTransferTime = 30 * time.Second

// Exchange sends the request to the control host and returns its response. It fails if
// the host sends nothing for the timeout: a large response may take longer. The
// connection is then dropped, as it may be permanently unresponsive.
func Exchange(ctx context.Context, dialer *Dialer, host string, timeout time.Duration, request *wire.SyncRequest) (*wire.SyncResponse, error) {
	conn, err := dialer.connect(host)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, maxTransferTime)
	defer cancel()
	watched, silence := watchSilence(ctx, timeout, conn.received)
	defer silence.stop()
	response, err := wire.NewSyncClient(conn).Exchange(watched, request)
	if err == nil {
		return response, nil
	}
	silent := errors.Is(context.Cause(watched), errSilent)
	if silent {
		err = errSilent
	}
	if silent || status.Code(err) == codes.DeadlineExceeded {
		dialer.Drop(host, conn.ClientConn)
	}
	return nil, err
}
