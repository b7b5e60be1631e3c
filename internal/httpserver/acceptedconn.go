package httpserver

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"oleanderramp/internal/edge"
	"oleanderramp/internal/memgate"
)

// idleLimit limits how long connections may be idle.
type idleLimit interface {
	// idleUntil returns until when a connection may stay open that is idle
	// since the given time. first is true before its first request.
	idleUntil(since time.Time, first bool) time.Time
	// headerTimeout returns how long the header of a request that has begun to
	// arrive may take.
	headerTimeout() time.Duration
}

// acceptedConn is a connection that a server has accepted. While it is idle, its
// reader alone decides when it is closed, as no other goroutine knows whether a
// request has begun to arrive. It also remembers how it ended.
type acceptedConn struct {
	net.Conn
	// socket is the TCP connection, which is below Conn with TLS.
	socket syscall.Conn
	// partial reports whether a part of a TLS record was read; nil without TLS. Only
	// the reader may call it.
	partial func() bool
	limit   idleLimit
	// fresh marks the connection in freshConns until something is read; nil for one that
	// is not marked.
	fresh      *freshMark
	freshConns *freshConns
	// resets is true while a close resets the connection.
	resets atomic.Bool

	// mu guards the fields below.
	mu sync.Mutex
	// idleSince is when the latest request ended or the connection was accepted;
	// zero from the first byte of a request on.
	idleSince time.Time
	// first is true until a request has ended. grace is how long the first request is
	// waited for at least.
	first bool
	grace time.Duration
	// waiting is true while Read waits for the first byte of a request.
	waiting bool
	// readLast is true if bytes were read since the latest Write. begun is true if
	// this was so when the connection became idle: the server reads ahead by one
	// byte, which is then the first of the next request.
	readLast, begun bool
	// recordUntil is when a TLS record that has begun to arrive must be complete; zero
	// before the idle time has passed.
	recordUntil time.Time
	// readErr and writeErr are the results of the latest Read and Write.
	readErr, writeErr error
	// header counts the header that arrives; inHeader is true until all of it has.
	header   headerScan
	inHeader bool
	// headerClaim is the memory of the header. Only the reader makes it grow.
	headerClaim headerClaim
	// ended is true once the connection is to be closed for others.
	ended bool
	// writeUntil is the handler's deadline for writes, and writeSet the one in force;
	// zero for none.
	writeUntil, writeSet time.Time

	// clients bounds what the client can make the server hold; nil for no bounds.
	clients *Clients
	// requests is the number of requests, and ahead how many checks in sequence have found
	// that more had arrived before the answer.
	requests, ahead atomic.Int32
	// claim is the connection's memory. It is safe for concurrent use.
	claim *memgate.Claim
}

// newAcceptedConn returns the connection as its server uses it. Only connections
// with a socket, which are all that listeners accept, are wrapped.
func newAcceptedConn(now time.Time, conn net.Conn, limit idleLimit) net.Conn {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return conn
	}
	return &acceptedConn{Conn: conn, socket: socket, limit: limit, idleSince: now, first: true}
}

// newConn returns a connection that was just accepted. One that speaks TLS only counts
// towards the memory here, as its requests are read above TLS.
func (c *Connections) newConn(now time.Time, conn net.Conn, secure bool) net.Conn {
	wrapped := newAcceptedConn(now, conn, c)
	accepted, ok := wrapped.(*acceptedConn)
	if !ok {
		return wrapped
	}
	accepted.fresh, accepted.freshConns = c.fresh.add(now), &c.fresh
	limitSendBuffer(accepted.socket)
	if secure {
		accepted.claim = c.limits.Clients.Gate.OpenConnection(holderOf(conn), c, nil)
		return wrapped
	}
	accepted.clients = &c.limits.Clients
	accepted.claim = c.limits.Clients.Gate.OpenConnection(holderOf(conn), c, accepted.end)
	return wrapped
}

// SyscallConn returns the socket.
func (c *acceptedConn) SyscallConn() (syscall.RawConn, error) { return c.socket.SyscallConn() }

// CloseWrite closes the sending side, which http.Server does before it closes a
// connection with unread bytes.
func (c *acceptedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// setIdle marks the connection as idle since the end of a request.
func (c *acceptedConn) setIdle(now time.Time) {
	c.releaseHeader(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince, c.begun, c.first = now, c.readLast, false
	c.inHeader = false
	c.claim.Progress(now)
	c.claim.SetEvictable(true)
}

// setActive marks the connection as one with a request in progress.
func (c *acceptedConn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince, c.inHeader = time.Time{}, false
	if c.clients == nil || !c.clients.EvictActive {
		c.claim.SetEvictable(false)
		c.headerClaim.claim.SetEvictable(false)
	}
}

// end ends the connection for others unless a request is in progress. A request of which
// something has arrived on an idle connection is still served.
func (c *acceptedConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.idleSince.IsZero():
		c.ended = true
		if c.waiting {
			_ = c.SetReadDeadline(time.Unix(1, 0)) // On a closed connection the read fails.
		}
	case c.inHeader:
		_ = c.SetReadDeadline(time.Unix(1, 0)) // As above.
	case c.clients.EvictActive:
		_ = c.SetDeadline(time.Unix(1, 0)) // As above.
	}
}

// recheckLimit makes a waiting Read check the limit again.
func (c *acceptedConn) recheckLimit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // On a closed connection the read fails.
	}
}

// isIdle reports whether the connection waits for a request.
func (c *acceptedConn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.idleSince.IsZero()
}

// Read reads from the connection. On an idle connection it fails with a timeout
// once the connection has been idle for too long and nothing has arrived.
func (c *acceptedConn) Read(p []byte) (int, error) {
	if !c.isIdle() {
		n, err := c.Conn.Read(p)
		c.endRead(time.Now(), n, err)
		return c.checkHeader(p[:n], err)
	}
	for {
		c.setIdleDeadline(time.Now())
		n, err := c.Conn.Read(p)
		now := time.Now()
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.expired(now) {
			c.endRead(now, n, err)
			return c.checkHeader(p[:n], err)
		}
	}
}

// endRead records the result of a read. The first bytes of a request end the
// idle time, and the rest of its header must follow in time.
func (c *acceptedConn) endRead(now time.Time, n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readErr, c.waiting = err, false
	c.readLast = c.readLast || n > 0
	if n > 0 && !c.idleSince.IsZero() {
		if c.first && c.fresh != nil {
			c.freshConns.end(c.fresh)
		}
		c.idleSince, c.recordUntil = time.Time{}, time.Time{}
		c.inHeader, c.header = true, headerScan{}
		_ = c.SetReadDeadline(now.Add(c.limit.headerTimeout())) // On a closed connection the next read fails.
	}
}

// checkHeader counts what has arrived of a header. A request whose header is over its
// bounds, or for which there is no memory, is refused, and the read fails, so that the
// server closes the connection.
func (c *acceptedConn) checkHeader(p []byte, err error) (int, error) {
	if len(p) == 0 || c.clients == nil {
		return len(p), err
	}
	c.mu.Lock()
	if !c.inHeader {
		c.mu.Unlock()
		return len(p), err
	}
	c.header.add(p)
	c.inHeader = !c.header.done
	reason, over := c.clients.overBounds(&c.header)
	missing := c.headerClaim.missing(c.header.memory())
	c.mu.Unlock()
	switch {
	case over:
		return c.refuseHeader(reason)
	case missing > 0 && c.claimHeader(missing) != nil:
		return c.refuseHeader(memgate.NoMemory)
	}
	return len(p), err
}

// Close closes the connection and releases its memory. If the connection is to be reset,
// no end of TLS is sent before, which would make the answer look complete.
func (c *acceptedConn) Close() error {
	c.releaseHeader(true)
	c.claim.Close()
	if socket, ok := c.socket.(io.Closer); ok && c.resets.Load() {
		return socket.Close()
	}
	return c.Conn.Close()
}

// Write writes to the connection.
func (c *acceptedConn) Write(p []byte) (int, error) {
	c.startWrite()
	n, err := c.write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeErr = err
	return n, err
}

func (c *acceptedConn) startWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readLast = false
}

// End returns how the connection ended. It must not be called between two
// requests, when the server itself interrupts its reads.
func (c *acceptedConn) End() edge.ConnectionEnd {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := c.readErr
	if err == nil {
		err = c.writeErr
	}
	switch {
	case err == nil:
		return edge.ConnectionOpen
	case errors.Is(err, net.ErrClosed):
		return edge.ConnectionClosedByServer
	case errors.Is(err, os.ErrDeadlineExceeded):
		return edge.ConnectionTimedOut
	default:
		return edge.ConnectionClosedByCaller
	}
}
