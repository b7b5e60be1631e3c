package httpserver

import (
	"time"
)

// setIdleDeadline sets the deadline of the next read of an idle connection. What
// has already arrived is read, however late.
func (c *acceptedConn) setIdleDeadline(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = true
	_ = c.SetReadDeadline(c.openUntil(now)) // On a closed connection the read fails.
}

// expired reports whether the connection has been idle for too long and nothing
// has arrived. The limit may have changed since the deadline was set.
func (c *acceptedConn) expired(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.openUntil(now).After(now)
}

// openUntil returns until when the connection may stay open without a request, of
// which something may have arrived. The caller holds c.mu.
func (c *acceptedConn) openUntil(now time.Time) time.Time {
	until := c.idleUntil()
	switch {
	case until.After(now):
		return until
	case c.partial != nil && c.partial():
		if c.recordUntil.IsZero() {
			c.recordUntil = now.Add(c.limit.headerTimeout())
		}
		return c.recordUntil
	case hasUnread(c.socket):
		return now.Add(c.limit.headerTimeout())
	default:
		return until
	}
}

// idleUntil returns until when the idle connection may stay open. The caller
// holds c.mu.
func (c *acceptedConn) idleUntil() time.Time {
	if c.ended {
		return c.idleSince
	}
	until, header := c.limit.idleUntil(c.idleSince, c.first), c.idleSince.Add(c.limit.headerTimeout())
	if c.begun && until.Before(header) {
		return header
	}
	if graceEnd := c.idleSince.Add(c.grace); c.first && until.Before(graceEnd) {
		return graceEnd
	}
	return until
}
