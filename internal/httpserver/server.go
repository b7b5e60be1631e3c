// Package httpserver serves HTTP on one listener, and ends no connection on which a
// request has begun to arrive or an answer is not yet written: only the reader of a
// connection ends it as idle, and a drain waits for the last connection.
package httpserver

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"
)

// drainPollPeriod is the interval between two checks for open connections.
const drainPollPeriod = 20 * time.Millisecond

// Config configures a server.
type Config struct {
	Handler        http.Handler
	MaxHeaderBytes int
	// ErrorLog gets the errors of single connections; nil for the standard logger.
	ErrorLog *stdlog.Logger
}

// Server is an HTTP server with one listener.
type Server struct {
	httpServer *http.Server
	listener   net.Listener
	open       *Connections
	done       sync.WaitGroup
}

// New starts to serve on the listener.
func New(listener net.Listener, open *Connections, config Config) *Server {
	bounded := &boundedListener{Listener: listener, open: open}
	s := &Server{listener: listener, open: open, httpServer: &http.Server{
		Handler: config.Handler, ReadHeaderTimeout: open.headerTimeout(), MaxHeaderBytes: config.MaxHeaderBytes,
		ConnState: open.onStateChange, ConnContext: withConn, ErrorLog: config.ErrorLog,
	}}
	s.done.Go(func() {
		_ = s.httpServer.Serve(bounded) // Returns when the listener is closed.
	})
	return s
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Drain accepts no more connections, closes those that are idle, and waits until
// the others have answered their requests and are closed as well, or until the
// context ends.
func (s *Server) Drain(ctx context.Context) {
	awaitQueued(ctx, s.listener)
	_ = s.listener.Close() // It may be closed already.
	s.done.Wait()
	s.open.closeIdle()
	ticker := time.NewTicker(drainPollPeriod)
	defer ticker.Stop()
	for s.open.Count() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Close closes the server and the connections of requests in progress.
func (s *Server) Close() error {
	err := s.httpServer.Close()
	s.done.Wait()
	return err
}
