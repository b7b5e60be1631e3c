package peer

import (
	"errors"
	"net"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/wire"
)

// silentListener accepts connections that can be silenced. A silenced
// connection discards all that the server writes; connections accepted later
// work.
type silentListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*silentConn
}

type silentConn struct {
	net.Conn
	silent chan struct{}
}

func (l *silentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &silentConn{Conn: conn, silent: make(chan struct{})}
	l.conns = append(l.conns, s)
	return s, nil
}

// silence silences the open connections permanently.
func (l *silentListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		close(conn.silent)
	}
	l.conns = nil
}

// Write discards the data if the connection is silenced.
func (c *silentConn) Write(p []byte) (int, error) {
	select {
	case <-c.silent:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// fakeScheduler answers the first batch of each stream with one batch.
type fakeScheduler struct{}

type fakeSession struct{}

func (fakeSession) Receive(*wire.RouterBatch) {}
func (fakeSession) Leave()                    {}

func (fakeScheduler) Join(_ *wire.RouterBatch, send func(*wire.SchedulerBatch) bool) Session {
	send(&wire.SchedulerBatch{Scheduler: &wire.Process{Host: "s"}})
	return fakeSession{}
}
func (fakeScheduler) Exchange(*wire.ExchangeBatch)       {}
func (fakeScheduler) Schedules() *wire.SchedulesResponse { return &wire.SchedulesResponse{} }

// TestSilentLinkReconnects checks that a link over a connection that no longer
// delivers data is closed together with the connection, and that the next link
// works over a new connection.
func TestSilentLinkReconnects(t *testing.T) {
	c := qt.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	listener := &silentListener{Listener: inner}
	server := NewServer(listener, ServerConfig{Scheduling: fakeScheduler{}})
	defer func() { c.Check(server.Close(), qt.IsNil) }()
	dialer := NewDialer(map[string]Host{"s": {Address: inner.Addr().String()}}, nil)
	defer func() { c.Check(dialer.Close(), qt.IsNil) }()

	open := func() (*SchedulerLink, chan struct{}, chan error) {
		received, closed := make(chan struct{}, 1), make(chan error, 1)
		receive := func(batch *wire.SchedulerBatch) {
			if batch.GetScheduler() != nil {
				received <- struct{}{}
			}
		}
		link := OpenSchedulerLink(dialer, "s", receive, func(err error) { closed <- err })
		link.Send(&wire.RouterBatch{Router: &wire.Process{Host: "r"}})
		return link, received, closed
	}
	first, received, closed := open()
	<-received
	before, err := dialer.Conn("s")
	c.Assert(err, qt.IsNil)
	listener.silence()
	err = <-closed
	c.Assert(errors.Is(err, errLinkTimeout), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(first.Close(), qt.IsNil)

	second, received, _ := open()
	defer func() { c.Check(second.Close(), qt.IsNil) }()
	<-received
	after, err := dialer.Conn("s")
	c.Assert(err, qt.IsNil)
	c.Assert(after, qt.Not(qt.Equals), before)
}
