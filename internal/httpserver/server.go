// Package httpserver serves HTTP on one listener, and ends no connection on which a
// request has begun to arrive or an answer is not yet written: only the reader of a
// connection ends it as idle, and a drain waits for the last connection.
package httpserver

import (
	"context"
	"crypto/tls"
	"errors"
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
	Handler http.Handler
	// TLS is nil for plain TCP. With TLS, HTTP/2 is served as well.
	TLS            *tls.Config
	MaxHeaderBytes int
	// ErrorLog gets the errors of single connections; nil for the standard logger.
	ErrorLog *stdlog.Logger
}

// Server is an HTTP server with one listener.
type Server struct {
	listener net.Listener
	open     *Connections
	// http1 serves HTTP/1. It is not shut down but closed after a drain: at a
	// shutdown net/http drops requests that have begun to arrive.
	http1 *http.Server
	// http2 serves HTTP/2 and handshakes precede both; nil without TLS. A shutdown
	// of net/http names the last request that it answers to each caller.
	http2      *http.Server
	handshakes *handshakes
	refuser    *refuser
	// accepting counts the goroutine that accepts connections, and serving those
	// that serve what was accepted elsewhere.
	accepting, serving sync.WaitGroup
}

// New starts to serve on the listener.
func New(listener net.Listener, open *Connections, config Config) *Server {
	s := &Server{listener: listener, open: open, http1: newHTTPServer(open, config), refuser: newRefuser(open.limits.Refusal)}
	s.http1.ConnState, s.http1.ConnContext = open.onStateChange, withConn
	bounded := &boundedListener{Listener: listener, open: open, refuser: s.refuser, secure: config.TLS != nil}
	if config.TLS != nil {
		s.startTLS(bounded, config)
		return s
	}
	s.accepting.Go(func() {
		_ = s.http1.Serve(bounded) // Returns when the listener is closed.
	})
	return s
}

func newHTTPServer(open *Connections, config Config) *http.Server {
	return &http.Server{
		Handler:           resetUnfinished(open.boundAhead(open.limits.Clients.boundBodies(config.Handler))),
		ReadHeaderTimeout: open.headerTimeout(), MaxHeaderBytes: config.MaxHeaderBytes, ErrorLog: config.ErrorLog,
	}
}

func (s *Server) startTLS(listener net.Listener, config Config) {
	s.http2 = newHTTPServer(s.open, config)
	s.http2.IdleTimeout = s.open.idleTimeout()
	s.handshakes = newHandshakes(listener.Addr(), s.open, config)
	s.accepting.Go(func() { s.handshakes.acceptAll(listener) })
	s.serving.Go(func() {
		_ = s.http1.Serve(s.handshakes.http1) // Returns when the handshakes are closed.
	})
	s.serving.Go(func() {
		_ = s.http2.Serve(s.handshakes.http2) // Returns when the server is shut down or the handshakes are closed.
	})
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Drain accepts no more connections, closes those that are idle, and waits until
// the others have answered their requests and are closed as well, or until the
// context ends.
func (s *Server) Drain(ctx context.Context) {
	awaitQueued(ctx, s.listener)
	_ = s.listener.Close() // It may be closed already.
	s.accepting.Wait()
	s.refuser.close()
	s.open.closeIdle()
	var streams sync.WaitGroup
	if s.http2 != nil {
		streams.Go(func() { s.drainHTTP2(ctx) })
	}
	s.awaitClosed(ctx)
	streams.Wait()
}

// drainHTTP2 shuts HTTP/2 down once no more connections can come from a handshake.
func (s *Server) drainHTTP2(ctx context.Context) {
	s.handshakes.wait(ctx)
	_ = s.http2.Shutdown(ctx) // Close ends what remains when the context ends.
}

// awaitClosed waits until no connection is open, or until the context ends.
func (s *Server) awaitClosed(ctx context.Context) {
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
	if s.handshakes != nil {
		return s.closeTLS()
	}
	err := s.http1.Close()
	s.accepting.Wait()
	s.refuser.close()
	return err
}

func (s *Server) closeTLS() error {
	_ = s.listener.Close() // It may be closed already.
	s.accepting.Wait()
	s.refuser.close()
	s.handshakes.close()
	s.serving.Wait()
	return errors.Join(s.http1.Close(), s.http2.Close())
}
