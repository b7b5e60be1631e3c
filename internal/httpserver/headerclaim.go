package httpserver

import (
	"context"
	"errors"
	"net"
	"time"

	"oleanderramp/internal/membudget"
	"oleanderramp/internal/memgate"
)

const (
	// freeHeaderMemory is the memory of a header that the claim of its connection covers.
	freeHeaderMemory = 4 << 10
	// headerFieldMemory is the approximate memory of a header field beside its bytes: an
	// entry of the map and a slice.
	headerFieldMemory = 100
	// headerClaimBytes is the step in which the claim of a header grows.
	headerClaimBytes = 4 << 10
)

// memory returns the approximate memory of what has arrived of a header.
func (h *headerScan) memory() int64 { return int64(h.bytes) + int64(h.fields())*headerFieldMemory }

// headerClaim is the memory of a connection's header beyond freeHeaderMemory, while it
// arrives and until its request has ended.
type headerClaim struct {
	claim *memgate.Claim
	bytes int64
	// closed is true once the connection is closed: there is no claim then.
	closed bool
}

// missing returns by how much the claim must grow for a header of the size.
func (h *headerClaim) missing(memory int64) int64 {
	missing := memory - freeHeaderMemory - h.bytes
	if missing <= 0 {
		return 0
	}
	return (missing + headerClaimBytes - 1) / headerClaimBytes * headerClaimBytes
}

// claimHeader claims memory for what has arrived of a header. It waits a short time if there
// is none, with the rest of the header unread.
func (c *acceptedConn) claimHeader(missing int64) error {
	c.mu.Lock()
	claim := c.headerClaim.claim
	c.mu.Unlock()
	if claim == nil {
		claim = c.clients.Gate.Open(holderOf(c), membudget.Header, c.end)
	}
	err := claim.Grow(context.Background(), missing)
	if err == nil {
		claim.Progress(time.Now())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headerClaim.closed {
		claim.Close()
		return net.ErrClosed
	}
	if err == nil {
		c.headerClaim.bytes += missing
	}
	c.headerClaim.claim = claim
	return err
}

// releaseHeader releases the memory of the header. closed is true for a connection that is
// being closed.
func (c *acceptedConn) releaseHeader(closed bool) {
	c.mu.Lock()
	claim := c.headerClaim.claim
	c.headerClaim = headerClaim{closed: closed}
	c.mu.Unlock()
	claim.Close()
}

// refuseHeader answers a request whose header can't be kept. The read that it returns the
// result of fails, so that the server closes the connection.
func (c *acceptedConn) refuseHeader(reason memgate.Reason) (int, error) {
	c.clients.Gate.Ended(reason, holderOf(c), membudget.Header)
	_, _ = c.Write(headerRefusal(reason)) // The caller may be gone.
	// net/http answers other errors than those of reads itself.
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHeaderRefused}
}

var errHeaderRefused = errors.New("the header is over its bounds, or there is no memory for it")
