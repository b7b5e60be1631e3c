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
	// allowed reports whether the next write may start; nil if it may.
	allowed func() bool
}

// Write counts the write before it starts.
func (c *countingConn) Write(p []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errAborted
	}
	return c.Conn.Write(p)
}

// beginWrite counts a write and reports whether it may start. If it may not, no later
// write may.
func (c *countingConn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.allowed != nil && !c.aborted {
		c.aborted = !c.allowed()
		c.allowed = nil
	}
	if c.aborted {
		return false
	}
	c.writes++
	return true
}

// beginRequest makes the next write start only if allowed returns true. It returns the
// number of writes so far.
func (c *countingConn) beginRequest(allowed func() bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.allowed = allowed
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
