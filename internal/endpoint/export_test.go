package endpoint

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// PoolBypassed reports whether calls to the address use new connections.
func (c *Client) PoolBypassed(address string) bool { return c.poolBypassed(address) }

// WrapConns wraps the connections that calls open from then on.
func (c *Client) WrapConns(wrap func(net.Conn) net.Conn) {
	for _, transport := range []*http.Transport{c.pooled, c.fresh} {
		dial := transport.DialContext
		transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if own, ok := conn.(*endpointConn); ok {
				own.Conn = wrap(own.Conn)
			}
			return conn, err
		}
	}
}

// CountReads counts the bytes that calls read from then on from their connections.
func (c *Client) CountReads() *atomic.Int64 {
	count := new(atomic.Int64)
	c.WrapConns(func(conn net.Conn) net.Conn { return readCounter{conn, count} })
	return count
}

type readCounter struct {
	net.Conn
	count *atomic.Int64
}

func (r readCounter) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	r.count.Add(int64(n))
	return n, err
}
