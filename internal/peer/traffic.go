package peer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of control traffic on one kind of connection,
// including framing. It is safe for concurrent use.
type Traffic struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// Sent returns the number of bytes sent.
func (t *Traffic) Sent() uint64 { return t.sent.Load() }

// Received returns the number of bytes received.
func (t *Traffic) Received() uint64 { return t.received.Load() }

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	traffic *Traffic
	// received counts the bytes read as well; nil if nothing else does.
	received *atomic.Uint64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(uint64(n))
	if c.received != nil {
		c.received.Add(uint64(n))
	}
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(uint64(n))
	return n, err
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	traffic *Traffic
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, traffic: l.traffic}, nil
}
