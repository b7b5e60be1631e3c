package endpoint

import (
	"errors"
	"net"
	"sync"
)

var errAborted = errors.New("connection was aborted")

// countingConn counts the writes on a connection, which shows whether any byte
// of a call may have been sent.
type countingConn struct {
	net.Conn

	mu      sync.Mutex
	writes  int
	aborted bool
}

// Write counts the write before it starts.
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

// abort closes the connection, makes further writes fail and returns the number
// of writes that had started.
func (c *countingConn) abort() int {
	c.mu.Lock()
	c.aborted = true
	writes := c.writes
	c.mu.Unlock()
	_ = c.Close()
	return writes
}
