// Package peer implements the gRPC connections and services between the daemons
// of a fleet.
package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// Settings of a connection to a peer: the backoff between attempts to connect,
// and limits.
const (
	dialBaseDelay   = 50 * time.Millisecond
	dialMaxDelay    = time.Second
	dialMinTimeout  = time.Second
	dialMultiplier  = 1.6
	dialJitter      = 0.2
	maxMessageBytes = 64 << 20
	// maxHeaderBytes bounds the metadata of a call; gRPC alone allows 16 MB.
	maxHeaderBytes = 64 << 10
	// windowBytes is the flow control window of a stream and of a connection. A
	// fixed window avoids the pings that gRPC sends to estimate a dynamic one.
	windowBytes = 1 << 20
)

// Host is a control host that a daemon connects to.
type Host struct {
	// Address is the peer address, "IP:port".
	Address string
	// CrossRegion reports whether the host is in another region.
	CrossRegion bool
}

// Dialer maintains one connection to each control host. It is safe for
// concurrent use.
type Dialer struct {
	// lookup returns the host with the given name.
	lookup  func(name string) (Host, bool)
	options []grpc.DialOption
	// source is the local address of connections; nil for any.
	source net.Addr
	// intraRegion and crossRegion count the traffic with hosts of the same
	// region and of other regions.
	intraRegion, crossRegion Traffic

	mu sync.Mutex
	// conns holds at most one open connection per host.
	conns  map[string]hostConn
	closed bool
}

// hostConn is a connection to a host.
type hostConn struct {
	*grpc.ClientConn
	// received is the number of bytes that the host has sent.
	received *atomic.Uint64
}

// NewDialer returns a dialer for the hosts, by name. A nil tlsConfig means
// plain TCP.
func NewDialer(hosts map[string]Host, tlsConfig *tls.Config) *Dialer {
	return newDialer(func(name string) (Host, bool) {
		host, ok := hosts[name]
		return host, ok
	}, tlsConfig)
}

// NewAddressDialer returns a dialer for hosts whose names are their peer
// addresses. Unless source is empty, it connects from that IP.
func NewAddressDialer(tlsConfig *tls.Config, source string) *Dialer {
	d := newDialer(func(name string) (Host, bool) { return Host{Address: name}, true }, tlsConfig)
	if source != "" {
		d.source = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	return d
}

func newDialer(lookup func(string) (Host, bool), tlsConfig *tls.Config) *Dialer {
	creds := insecure.NewCredentials()
	if tlsConfig != nil {
		creds = credentials.NewTLS(tlsConfig)
	}
	return &Dialer{
		lookup: lookup,
		options: []grpc.DialOption{
			grpc.WithTransportCredentials(creds),
			grpc.WithNoProxy(),
			grpc.WithDisableRetry(),
			grpc.WithDisableServiceConfig(),
			grpc.WithInitialWindowSize(windowBytes),
			grpc.WithInitialConnWindowSize(windowBytes),
			grpc.WithConnectParams(grpc.ConnectParams{
				Backoff: backoff.Config{
					BaseDelay: dialBaseDelay, Multiplier: dialMultiplier,
					Jitter: dialJitter, MaxDelay: dialMaxDelay,
				},
				MinConnectTimeout: dialMinTimeout,
			}),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		},
		conns: make(map[string]hostConn),
	}
}

// Conn returns the connection to the host, and opens it if there is none.
func (d *Dialer) Conn(host string) (*grpc.ClientConn, error) {
	conn, err := d.connect(host)
	return conn.ClientConn, err
}

func (d *Dialer) connect(host string) (hostConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return hostConn{}, fmt.Errorf("connect to %s: dialer is closed", host)
	}
	if conn, ok := d.conns[host]; ok {
		return conn, nil
	}
	target, ok := d.lookup(host)
	if !ok {
		return hostConn{}, fmt.Errorf("connect to %s: not a control host", host)
	}
	received := new(atomic.Uint64)
	options := append(slices.Clone(d.options), grpc.WithContextDialer(d.countingDialFunc(target, received)))
	client, err := grpc.NewClient("passthrough:///"+target.Address, options...)
	if err != nil {
		return hostConn{}, fmt.Errorf("connect to %s: %w", host, err)
	}
	conn := hostConn{ClientConn: client, received: received}
	d.conns[host] = conn
	return conn, nil
}

// countingDialFunc returns a dial function whose connections count their
// traffic, and what they receive also in received.
func (d *Dialer) countingDialFunc(host Host, received *atomic.Uint64) func(context.Context, string) (net.Conn, error) {
	traffic := &d.intraRegion
	if host.CrossRegion {
		traffic = &d.crossRegion
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{LocalAddr: d.source}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, traffic: traffic, received: received}, nil
	}
}

// IntraRegionTraffic returns the traffic of connections to hosts of the same
// region.
func (d *Dialer) IntraRegionTraffic() *Traffic { return &d.intraRegion }

// CrossRegionTraffic returns the traffic of connections to hosts of other
// regions.
func (d *Dialer) CrossRegionTraffic() *Traffic { return &d.crossRegion }

// Drop closes the connection to the host if it is still conn, so that the next
// call opens a new one. It is meant for connections that no longer respond.
func (d *Dialer) Drop(host string, conn *grpc.ClientConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conns[host].ClientConn != conn {
		return
	}
	delete(d.conns, host)
	_ = conn.Close() // The connection is abandoned in any case.
}

// Close closes all connections.
func (d *Dialer) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for host, conn := range d.conns {
		delete(d.conns, host)
		_ = conn.Close() // A failed close needs no handling.
	}
	return nil
}
