package peer

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"oleanderramp/internal/wire"
)

// SyncHost answers what other daemons of the site tell.
type SyncHost interface {
	Exchange(now time.Time, request *wire.SyncRequest) *wire.SyncResponse
}

type syncServer struct {
	wire.UnimplementedSyncServer
	host SyncHost
}

// Exchange answers at once.
func (s *syncServer) Exchange(_ context.Context, request *wire.SyncRequest) (*wire.SyncResponse, error) {
	return s.host.Exchange(time.Now(), request), nil
}

// Exchange tells the control host what the request says and returns what it
// knows. A connection on which no answer comes in time is given up, as it may
// have fallen silent for good.
func Exchange(ctx context.Context, dialer *Dialer, host string, timeout time.Duration, request *wire.SyncRequest) (*wire.SyncResponse, error) {
	conn, err := dialer.Conn(host)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := wire.NewSyncClient(conn).Exchange(ctx, request)
	if status.Code(err) == codes.DeadlineExceeded {
		dialer.Drop(host, conn)
	}
	return response, err
}
