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
	// readHeaderTimeout bounds the time to read a request's header.
	readHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout is how long a connection may be idle unless the
	// routing table sets a limit. overLimitIdleTimeout applies while more
	// connections than the soft limit are open.
	defaultIdleTimeout   = 75 * time.Second
	overLimitIdleTimeout = time.Second
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 64 << 10
	// keepAliveIdle is how long a connection is silent before keep-alive probes
	// are sent.
	keepAliveIdle = 5 * time.Second
	// keepAliveProbes is how many unanswered probes close a connection.
	keepAliveProbes = 3
	// nearlyFullFraction is the fraction of the hard limit at which a router
	// reports that it is not ready for more connections.
	nearlyFullFraction = 0.75
)

// server is an HTTP server with one listener.
type server struct {
	httpServer *http.Server
	listener   net.Listener
	open       *connections
	done       sync.WaitGroup
}

// newServer listens on the address and starts to serve.
func newServer(address string, handler http.Handler, open *connections) (*server, error) {
	// Keep-alive probes detect clients that disappear without closing their
	// connection.
	listenConfig := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: keepAliveProbes,
	}}
	listener, err := listenConfig.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	bounded := &boundedListener{Listener: listener, open: open}
	s := &server{listener: listener, open: open, httpServer: &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: open.onStateChange, ConnContext: withConn,
		// Errors of single connections are routine, and are not logged.
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}}
	s.done.Go(func() {
		_ = s.httpServer.Serve(bounded) // Returns when the listener is closed.
	})
	return s, nil
}

// drain accepts no more connections, closes those that are idle, and waits until
// the others have answered their requests and are closed as well, or until the
// context ends.
func (s *server) drain(ctx context.Context) {
	_ = s.listener.Close() // It may be closed already.
	s.done.Wait()
	s.open.closeIdle()
	ticker := time.NewTicker(drainPollPeriod)
	defer ticker.Stop()
	for s.open.count() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// close closes the server and the connections of requests in progress.
func (s *server) close() error {
	err := s.httpServer.Close()
	s.done.Wait()
	return err
}

// boundedListener closes new connections on arrival while the hard limit is
// reached, or while there is no processor time to read further requests. Nothing has
// been read from them, so their callers can safely try another daemon, and closing them
// costs far less than reading requests in order to refuse them.
type boundedListener struct {
	net.Listener
	open *connections
}

func (l *boundedListener) Accept() (net.Conn, error) {
	// accept is set once the next connection is to be accepted. Each is decided on once.
	accept := false
	rejectNext := func() bool {
		accept = !l.rejects()
		return !accept
	}
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if accept || !l.rejects() {
			return newAcceptedConn(time.Now(), conn, l.open), nil
		}
		l.open.rejected.Add(1)
		_ = conn.Close() // The caller may have disconnected.
		l.open.rejected.Add(closeQueued(l.Listener, rejectNext))
	}
}

// rejects reports whether new connections are closed.
func (l *boundedListener) rejects() bool { return l.open.full() || l.open.overloaded() }

// connections tracks the open connections of a server and limits how long they
// may be idle. It is safe for concurrent use.
type connections struct {
	// softLimit is the number of connections above which idle ones are closed
	// early. hardLimit is the number at which new ones are refused; 0 for no
	// limit.
	softLimit, hardLimit int
	// configuredIdleTimeout returns how long a connection may be idle; 0 if
	// this is not configured.
	configuredIdleTimeout func() time.Duration
	// overloaded reports whether there is no processor time to read the request of the
	// next connection. It is asked once for each.
	overloaded func() bool

	// rejected counts the connections closed on arrival.
	rejected atomic.Int64
	// closing is true once idle connections are closed without delay.
	closing atomic.Bool

	mu   sync.Mutex
	open map[net.Conn]struct{}
}

func newConnections(softLimit, hardLimit int, idleTimeout func() time.Duration, overloaded func() bool) *connections {
	return &connections{
		softLimit: softLimit, hardLimit: hardLimit, configuredIdleTimeout: idleTimeout, overloaded: overloaded, open: make(map[net.Conn]struct{}),
	}
}

// full reports whether the hard limit is reached.
func (c *connections) full() bool { return c.hardLimit > 0 && c.count() >= c.hardLimit }

// nearlyFull reports whether nearlyFullFraction of the hard limit is reached.
func (c *connections) nearlyFull() bool {
	return c.hardLimit > 0 && float64(c.count()) >= nearlyFullFraction*float64(c.hardLimit)
}

func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// overSoftLimit reports whether more connections than the soft limit are
// open.
func (c *connections) overSoftLimit() bool {
	return c.count() > c.softLimit
}

// onStateChange tracks the state of a connection.
func (c *connections) onStateChange(conn net.Conn, state http.ConnState) {
	c.track(conn, state)
	accepted, ok := conn.(*acceptedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		accepted.setIdle(time.Now())
	case http.StateActive:
		// Nothing is read for a pipelined request that is in the server's buffer.
		accepted.setActive()
	}
}

// track adds the connection to the open ones or removes it.
func (c *connections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	default:
		c.open[conn] = struct{}{}
	}
}

// closeIdle closes the connections that are idle, and from now on any other as
// soon as it is idle.
func (c *connections) closeIdle() {
	c.closing.Store(true)
	for _, conn := range c.accepted() {
		conn.recheckLimit()
	}
}

// accepted returns the open connections.
func (c *connections) accepted() []*acceptedConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*acceptedConn
	for conn := range c.open {
		if accepted, ok := conn.(*acceptedConn); ok {
			list = append(list, accepted)
		}
	}
	return list
}

// busy returns the number of connections on which a request is in progress.
func (c *connections) busy() int {
	count := 0
	for _, conn := range c.accepted() {
		if !conn.isIdle() {
			count++
		}
	}
	return count
}

// idleUntil returns until when a connection may stay open that is idle since
// the given time. first is true before its first request.
func (c *connections) idleUntil(since time.Time, first bool) time.Time {
	switch {
	case c.closing.Load():
		return since
	case first:
		return since.Add(readHeaderTimeout)
	default:
		return since.Add(c.idleTimeout())
	}
}

// idleTimeout returns how long a connection may be idle at present.
func (c *connections) idleTimeout() time.Duration {
	if c.overSoftLimit() {
		return overLimitIdleTimeout
	}
	if idle := c.configuredIdleTimeout(); idle > 0 {
		return idle
	}
	return defaultIdleTimeout
}
