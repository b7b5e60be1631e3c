package httpserver

import (
	"errors"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"oleanderramp/internal/membudget"
	"oleanderramp/internal/memgate"
)

// SetWriteDeadline sets the deadline of the handler, beside that of the minimum pace.
func (c *acceptedConn) SetWriteDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.IsZero() && c.writeUntil.IsZero() {
		return nil // net/http removes the deadline after each request.
	}
	c.writeUntil, c.writeSet = at, at
	return c.Conn.SetWriteDeadline(at)
}

// paceWrite sets the deadline of the next write from the minimum pace. A deadline that
// leaves most of the time is kept, as to set one is not free.
func (c *acceptedConn) paceWrite(now time.Time) {
	stall := c.clients.Answer.StallTime
	c.mu.Lock()
	defer c.mu.Unlock()
	until := now.Add(stall)
	if !c.writeUntil.IsZero() && c.writeUntil.Before(until) {
		until = c.writeUntil
	}
	if c.writeSet.IsZero() || until.Before(c.writeSet) || c.writeSet.Sub(now) < stall*3/4 {
		c.writeSet = until
		_ = c.Conn.SetWriteDeadline(until) // On a closed connection the write fails.
	}
}

// write writes p while the client reads at the minimum pace. A client that has not taken
// a write within the stall time may still have read: the kernel takes more only once a
// large part of the socket's buffer is free. It is given the stall time again if the
// buffer has become shorter, and once to find that out.
func (c *acceptedConn) write(p []byte) (int, error) {
	if c.clients == nil || c.clients.Answer.StallTime <= 0 {
		return c.Conn.Write(p)
	}
	c.paceWrite(time.Now())
	written, err := c.Conn.Write(p)
	received, known := int64(0), false
	for errors.Is(err, os.ErrDeadlineExceeded) {
		now := time.Now()
		unsent, ok := c.unsent()
		// A deadline of the handler, and TLS, which can't continue after a timeout, end it.
		if !ok || c.partial != nil || c.handlerExpired(now) {
			return written, err
		}
		before := received
		received = int64(written) - unsent
		if known && received-before < c.clients.Answer.StepBytes() {
			c.clients.Gate.Ended(memgate.Stalled, holderOf(c), membudget.Answer)
			return written, err
		}
		known = true
		c.paceWrite(now)
		var n int
		n, err = c.Conn.Write(p[written:])
		written += n
	}
	return written, err
}

func (c *acceptedConn) handlerExpired(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writeUntil.IsZero() && !now.Before(c.writeUntil)
}

// unsent returns how many written bytes the client's side has not received yet.
func (c *acceptedConn) unsent() (int64, bool) {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return 0, false
	}
	var queued int
	var ioctlErr error
	err = raw.Control(func(fd uintptr) { queued, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return int64(queued), err == nil && ioctlErr == nil
}
