package endpoint

import (
	"errors"
	"net"
	"sync"
)

var errAborted = errors.New("connection was given up")

// countingConn counts writes, so that it is known whether any byte of a call
// may have left.
type countingConn struct {
	net.Conn

	mu      sync.Mutex
	writes  int
	aborted bool
}

// Write counts the attempt before it is made.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.aborted {
		c.mu.Unlock()
		return 0, errAborted
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *countingConn) writeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// abort closes the connection, lets no more write begin and returns the number
// of writes that had begun.
func (c *countingConn) abort() int {
	c.mu.Lock()
	c.aborted = true
	writes := c.writes
	c.mu.Unlock()
	_ = c.Close()
	return writes
}
