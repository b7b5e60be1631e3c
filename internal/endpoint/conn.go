package endpoint

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

var errAborted = errors.New("connection was aborted")

// endpointConn is a connection to an endpoint. It counts the writes, which shows whether any
// byte of a call may have been sent, tells a reset from the end of an answer, and checks the
// heads of answers. One goroutine reads from it and one writes to it, as http.Transport does.
type endpointConn struct {
	net.Conn

	mu     sync.Mutex
	writes int
	// writeDone is closed when the last write has ended; nil before the first one.
	writeDone chan struct{}
	// writeErr is the error of the first write that the connection failed, nil if none.
	writeErr error
	aborted  bool
	// spent is set once the connection may carry no further request.
	spent bool
	// allowed reports whether the next write may start; nil if it may.
	allowed func() bool
	// head checks the head of the answer to the last request that has begun.
	head headScanner
}

// Write counts the write before it starts.
func (c *endpointConn) Write(p []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errAborted
	}
	n, err := c.Conn.Write(p)
	c.endWrite(err)
	return n, err
}

// endWrite records the end of a write. That the write was given up on this side says nothing
// about the connection.
func (c *endpointConn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	givenUp := errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
	if c.writeErr == nil && !givenUp {
		c.writeErr = err
	}
	close(c.writeDone)
}

// Read fails with errMalformedHead, and returns no byte, once a head of an answer has a byte
// that is not allowed there.
//
// It returns io.EOF only if no write has failed. The kernel reports the loss of a
// connection once, to the read or to the write, whichever asks first. If that is the write,
// the read gets io.EOF, as if the peer had ended its answer. An answer that ends with its
// connection is not complete after such an error (RFC 9112, section 8).
func (c *endpointConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if malformed := c.scanHead(p[:n]); malformed != nil {
		return 0, malformed
	}
	if errors.Is(err, io.EOF) {
		if failed := c.failedWrite(); failed != nil {
			return n, failed
		}
	}
	return n, err
}

func (c *endpointConn) scanHead(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.scan(p)
}

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// failedWrite returns the error of a write that the connection failed, or nil. It ends the
// write in progress, as the peer answers no further request: that write may have been told
// of the loss already, and otherwise could wait for a peer that reads nothing.
func (c *endpointConn) failedWrite() error {
	c.mu.Lock()
	done := c.writeDone
	c.mu.Unlock()
	if done == nil {
		return nil
	}
	select {
	case <-done:
	default:
		_ = c.SetWriteDeadline(pastDeadline) // It fails only on a closed connection, which ends the write too.
		<-done
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}

// beginWrite counts a write and reports whether it may start. If it may not, no later
// write may.
func (c *endpointConn) beginWrite() bool {
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
	c.writeDone = make(chan struct{})
	return true
}

// beginRequest makes the next write start only if allowed returns true, and expects the head
// of an answer from then on. It returns the number of writes so far.
func (c *endpointConn) beginRequest(allowed func() bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.allowed = allowed
	c.head = headScanner{}
	c.aborted = c.aborted || c.spent
	return c.writes
}

// spend lets the connection carry no further request.
func (c *endpointConn) spend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spent = true
}

// abort closes the connection, makes further writes fail and returns the number
// of writes that had started.
func (c *endpointConn) abort() int {
	c.mu.Lock()
	c.aborted = true
	writes := c.writes
	c.mu.Unlock()
	_ = c.Close()
	return writes
}

// isSpent reports whether the connection may carry no further request.
func (c *endpointConn) isSpent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.spent
}

// headScanned reports whether the head of an answer has arrived since the last request began,
// and so has been checked.
func (c *endpointConn) headScanned() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.part == headEnd
}
