package site

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// readHeaderTimeout bounds the head of a request.
	readHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout is how long a connection may be unused unless the routing
	// table says so; crowdedIdle is the same while too many are open.
	defaultIdleTimeout = 75 * time.Second
	crowdedIdleTimeout = time.Second
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 64 << 10
	// keepAliveIdle is how long a connection is silent before it is probed.
	keepAliveIdle = 5 * time.Second
	// keepAliveProbes is how many unanswered probes end a connection.
	keepAliveProbes = 3
	// nearlyFullFraction is the part of the room for connections from which a
	// router is not ready for more.
	nearlyFullFraction = 0.75
)

// server is one HTTP listener and its server.
type server struct {
	httpServer *http.Server
	done       sync.WaitGroup
}

// newServer opens the address and starts to serve.
func newServer(address string, handler http.Handler, open *connections) (*server, error) {
	// A client that is gone without a word is found out by probes.
	listenConfig := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: keepAliveProbes,
	}}
	listener, err := listenConfig.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	listener = &boundedListener{Listener: listener, open: open}
	s := &server{httpServer: &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: open.onStateChange, ConnContext: withConn,
		// What the server says of single connections is no news.
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}}
	s.done.Go(func() {
		_ = s.httpServer.Serve(listener) // It returns when the server is closed.
	})
	return s, nil
}

// close cuts what is under way.
func (s *server) close() error {
	err := s.httpServer.Close()
	s.done.Wait()
	return err
}

// boundedListener closes new connections at once while as many are open as there
// is room for. Their callers have sent nothing that was read, and try another
// daemon.
type boundedListener struct {
	net.Listener
	open *connections
}

func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || !l.open.full() {
			return conn, err
		}
		l.open.rejected.Add(1)
		_ = conn.Close() // The caller may be gone.
	}
}

// connections closes those connections of a server that were unused for too
// long. It is safe for concurrent use.
type connections struct {
	// softLimit is how many may be open before they count as too many, and hardLimit how
	// many may be open at all; 0 for no bound.
	softLimit, hardLimit int
	// configuredIdleTimeout returns how long a connection may be unused; 0 for no word on that.
	configuredIdleTimeout func() time.Duration

	// rejected counts those that were closed for want of room.
	rejected atomic.Int64

	mu sync.Mutex
	// open holds a timer for each connection that is unused, and nil for the
	// others.
	open map[net.Conn]*time.Timer
}

func newConnections(most, room int, idle func() time.Duration) *connections {
	return &connections{softLimit: most, hardLimit: room, configuredIdleTimeout: idle, open: make(map[net.Conn]*time.Timer)}
}

// full tells whether there is no room for another connection, and nearlyFull
// whether there soon will be none.
func (c *connections) full() bool { return c.hardLimit > 0 && c.count() >= c.hardLimit }

func (c *connections) nearlyFull() bool {
	return c.hardLimit > 0 && float64(c.count()) >= nearlyFullFraction*float64(c.hardLimit)
}

func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// crowded tells whether too many connections are open.
func (c *connections) crowded() bool {
	return c.count() > c.softLimit
}

// onStateChange follows the state of a connection.
func (c *connections) onStateChange(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timer := c.open[conn]; timer != nil {
		timer.Stop()
	}
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	case http.StateIdle:
		var timer *time.Timer
		timer = time.AfterFunc(c.idleTimeout(), func() { c.expire(conn, &timer) })
		c.open[conn] = timer
	default:
		c.open[conn] = nil
	}
}

// expire ends a connection that is unused yet. It only lets the server read no
// more from it: of a request that has come in after all nothing is lost that was
// passed on.
func (c *connections) expire(conn net.Conn, timer **time.Timer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[conn] == *timer {
		_ = conn.SetReadDeadline(time.Unix(1, 0)) // A connection without deadlines stays open.
	}
}

// idleTimeout returns how long a connection may be unused now. c.mu is held.
func (c *connections) idleTimeout() time.Duration {
	if len(c.open) > c.softLimit {
		return crowdedIdleTimeout
	}
	if idle := c.configuredIdleTimeout(); idle > 0 {
		return idle
	}
	return defaultIdleTimeout
}
