package site

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"

	"oleanderramp/internal/settings"
	"oleanderramp/internal/wire"
	"oleanderramp/pkg/routing"
)

// slowListener accepts connections that send bytesPerSecond.
type slowListener struct {
	net.Listener
	bytesPerSecond int
}

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return slowConn{Conn: conn, bytesPerSecond: l.bytesPerSecond}, err
}

type slowConn struct {
	net.Conn
	bytesPerSecond int
}

func (c slowConn) Write(p []byte) (int, error) {
	time.Sleep(time.Duration(len(p)) * time.Second / time.Duration(c.bytesPerSecond))
	return c.Conn.Write(p)
}

// tableHost is a control host that knows nothing but a routing table.
type tableHost struct {
	wire.UnimplementedSyncServer
	address  string
	version  atomic.Uint64
	document atomic.Pointer[[]byte]
}

func (h *tableHost) Exchange(_ context.Context, request *wire.SyncRequest) (*wire.SyncResponse, error) {
	response := &wire.SyncResponse{Responder: &wire.ControlHost{Address: h.address, Incarnation: 1}, RoutingVersion: h.version.Load(), DirectoryEpoch: 1}
	if response.GetRoutingVersion() > request.GetRoutingVersion() && !request.GetOmitDocument() {
		response.RoutingDocument = *h.document.Load()
	}
	return response, nil
}

// setTable replaces the table by one of about that size.
func (h *tableHost) setTable(version byte, size int) {
	document := make([]byte, size)
	_, _ = rand.Read(document) // It never fails.
	document[0] = version
	document = compress(document)
	h.document.Store(&document)
	h.version.Store(uint64(version))
}

// versionAdapter reads the version of a tableHost's table.
type versionAdapter struct{ routerAdapter }

func (versionAdapter) Routing(document []byte) (*routing.Table, error) {
	return routing.New(routing.Document{Version: uint64(document[0])})
}

// TestLargeTableArrivesOverSlowLink guards against routers that never get a routing table
// whose transfer takes longer than the timeout of a call: each call begins it anew.
func TestLargeTableArrivesOverSlowLink(t *testing.T) {
	const (
		bytesPerSecond = 1 << 20
		small          = 1 << 10
		large          = bytesPerSecond // It takes a second.
		deadline       = 15 * time.Second
	)
	for name, sizes := range map[string][]int{"first table": {large}, "newer table": {small, large}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			listener, err := net.Listen("tcp", "127.0.77.9:0")
			c.Assert(err, qt.IsNil)
			host := &tableHost{address: listener.Addr().String()}
			server := grpc.NewServer()
			wire.RegisterSyncServer(server, host)
			go func() { _ = server.Serve(slowListener{Listener: listener, bytesPerSecond: bytesPerSecond}) }() // Returns when the server is stopped.
			c.Cleanup(server.Stop)

			port := listener.Addr().(*net.TCPAddr).Port
			s := &settings.Site{
				Host: "h", Region: "r", Zone: "z", Address: "127.0.0.1", PeerPorts: []int{port}, Roles: []settings.Role{settings.RoleRouter},
				Seeds: []string{fmt.Sprint("127.0.77.9:", port)},
			}
			s.Defaults()
			host.setTable(1, sizes[0])
			d, err := New(s, versionAdapter{}, &log.Logger{Handler: discard.New(), Level: log.FatalLevel})
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { _ = d.Close() })
			for i, size := range sizes {
				version := byte(i + 1)
				host.setTable(version, size)
				for end := time.Now().Add(deadline); d.router.RoutingVersion() < uint64(version) && time.Now().Before(end); {
					time.Sleep(10 * time.Millisecond)
				}
				c.Assert(d.router.RoutingVersion(), qt.Equals, uint64(version))
			}
		})
	}
}
