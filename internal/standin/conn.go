package standin

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// connTable is a listener that tracks its open connections and can silence
// them: a silenced connection stays open, but no data passes any more, and its
// close does not reach the peer either. It can also pause all connections for a
// time, after which they go on.
type connTable struct {
	net.Listener

	mu   sync.Mutex
	open map[*faultConn]struct{}
	// pausedUntil is when the connections may send again. Before that, pauseExempt
	// may send once.
	pausedUntil time.Time
	pauseExempt net.Conn
	// done is closed to unblock reads on silenced connections.
	done   chan struct{}
	closed bool
}

func newConnTable(listener net.Listener) *connTable {
	return &connTable{
		Listener: listener,
		open:     make(map[*faultConn]struct{}),
		done:     make(chan struct{}),
	}
}

// Accept waits for the next connection.
func (t *connTable) Accept() (net.Conn, error) {
	conn, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &faultConn{Conn: conn, table: t}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	t.open[c] = struct{}{}
	return c, nil
}

// silence silences all open connections except one and returns how many it
// silenced.
func (t *connTable) silence(except net.Conn) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	silenced := 0
	for c := range t.open {
		if net.Conn(c) != except && !c.silent {
			c.silent = true
			silenced++
		}
	}
	return silenced
}

// pause stops all connections, old and new, from sending until d has passed. The
// connection exempt, which may be nil, sends the answer to the request that caused it.
func (t *connTable) pause(now time.Time, d time.Duration, exempt net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pausedUntil, t.pauseExempt = now.Add(d), exempt
}

// pauseLeft returns for how long the connection must not send.
func (t *connTable) pauseLeft(now time.Time, c net.Conn) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c == t.pauseExempt {
		t.pauseExempt = nil
		return 0
	}
	return t.pausedUntil.Sub(now)
}

// awaitPause blocks while the connection is paused. It returns an error if the table
// is aborted first.
func (t *connTable) awaitPause(c net.Conn) error {
	for left := t.pauseLeft(time.Now(), c); left > 0; left = t.pauseLeft(time.Now(), c) {
		select {
		case <-time.After(left):
		case <-t.done:
			return net.ErrClosed
		}
	}
	return nil
}

// abort closes the listener and all connections at once.
func (t *connTable) abort() {
	_ = t.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	t.closed = true
	close(t.done)
	for c := range t.open {
		_ = c.Conn.Close()
	}
}

// faultConn is a connection that can be silenced.
type faultConn struct {
	net.Conn
	table *connTable
	// silent is guarded by table.mu.
	silent bool
}

func (c *faultConn) isSilent() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.silent
}

// Read blocks on a silenced connection until the table is aborted, except that
// an exceeded deadline is still reported.
func (c *faultConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) || !c.isSilent() {
		return n, err
	}
	<-c.table.done
	return 0, net.ErrClosed
}

// Write waits for the end of a pause. It discards the bytes on a silenced connection
// and reports success.
func (c *faultConn) Write(p []byte) (int, error) {
	if err := c.table.awaitPause(c); err != nil {
		return 0, err
	}
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close leaves a silenced connection open, so that the peer does not see it
// close.
func (c *faultConn) Close() error {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.silent {
		return nil
	}
	delete(c.table.open, c)
	return c.Conn.Close()
}
