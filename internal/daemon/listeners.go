package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"oleanderramp/internal/caller"
	"oleanderramp/internal/httpserver"
	"oleanderramp/internal/membudget"
	"oleanderramp/internal/memgate"
	"oleanderramp/internal/settings"
)

// idleTimeout is how long an idle keep-alive connection stays open.
const idleTimeout = 2 * time.Minute

// loadTLS returns the TLS configuration of a listener, or nil for plain TCP.
func loadTLS(pair *settings.KeyPair) (*tls.Config, error) {
	if pair == nil {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(pair.CertFile, pair.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("load certificate %s: %w", pair.CertFile, err)
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}}
	if pair.CAFile == "" {
		return cfg, nil
	}
	pem, err := os.ReadFile(pair.CAFile)
	if err != nil {
		return nil, fmt.Errorf("load authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("load authorities: %s holds no certificate", pair.CAFile)
	}
	cfg.ClientCAs, cfg.RootCAs = pool, pool
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	return cfg, nil
}

// httpServer is one HTTP listener and its server.
type httpServer struct {
	bounded *boundedListener
	open    *httpserver.Connections
	server  *httpserver.Server
}

// newHTTPServer opens the address and starts to serve.
func newHTTPServer(address string, pair *settings.KeyPair, limits settings.Limits, memory *memgate.Gate, handler http.Handler) (*httpServer, error) {
	cfg, err := loadTLS(pair)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	bounded := newBoundedListener(listener.(*net.TCPListener), maxConnections(limits), cfg == nil)
	open := httpserver.NewConnections(httpserver.Limits{
		Soft:              math.MaxInt, // The listener refuses what is beyond its limit.
		ReadHeaderTimeout: time.Duration(limits.ReadHeaderTimeoutMS) * time.Millisecond,
		IdleTimeout:       func() time.Duration { return idleTimeout },
		Overloaded:        func(time.Time, int) bool { return false },
		Clients:           clients(limits, memory),
	})
	return &httpServer{bounded: bounded, open: open, server: httpserver.New(bounded, open, httpserver.Config{
		Handler: closeWhileDraining(open, withWriteDeadlines(handler, limits)), TLS: cfg, MaxHeaderBytes: limits.MaxHeaderBytes,
	})}, nil
}

// address returns the address that the server listens on.
func (h *httpServer) address() string { return h.server.Address() }

// shutdown closes the listener and the idle connections, waits until the context
// ends for the requests that have begun to arrive, and then closes the remaining
// connections.
func (h *httpServer) shutdown(ctx context.Context) error {
	h.server.Drain(ctx)
	err := h.server.Close()
	h.bounded.refusing.Wait()
	return err
}

// closeWhileDraining tells callers that get an answer during a drain that their
// connection ends with it.
func closeWhileDraining(open *httpserver.Connections, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if open.Closing() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// Limits for refused connections.
const (
	// maxRefusals is the number of connections that may be answered with a
	// refusal at the same time.
	maxRefusals = 64
	// refuseTimeout limits how long a refused connection stays open.
	refuseTimeout = 500 * time.Millisecond
)

// boundedListener limits the number of open connections, and refuses those
// beyond the limit.
type boundedListener struct {
	*net.TCPListener
	semaphore chan struct{}
	// answersRefused is true if refused connections get an HTTP answer, which
	// is the case for plain TCP only.
	answersRefused bool
	// refusalSemaphore limits the refused connections that get an answer.
	refusalSemaphore chan struct{}
	refusing         sync.WaitGroup
}

func newBoundedListener(listener *net.TCPListener, maxConnections int, answersRefused bool) *boundedListener {
	return &boundedListener{
		TCPListener: listener, semaphore: make(chan struct{}, maxConnections), answersRefused: answersRefused,
		refusalSemaphore: make(chan struct{}, maxRefusals),
	}
}

// Accept returns the next connection. Connections that arrive while the limit
// is reached are refused.
func (b *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := b.AcceptTCP()
		if err != nil {
			return nil, err
		}
		select {
		case b.semaphore <- struct{}{}:
			return &boundedConn{TCPConn: conn, semaphore: b.semaphore}, nil
		default:
			b.refuse(conn)
		}
	}
}

// refuse closes the connection. On plain TCP it sends an answer first, unless
// maxRefusals connections are being answered already.
func (b *boundedListener) refuse(conn *net.TCPConn) {
	if !b.answersRefused {
		_ = conn.Close() // The caller may have disconnected.
		return
	}
	select {
	case b.refusalSemaphore <- struct{}{}:
	default:
		_ = conn.Close() // The caller may have disconnected.
		return
	}
	b.refusing.Go(func() {
		defer func() { <-b.refusalSemaphore }()
		defer func() { _ = conn.Close() }()                 // The caller may have disconnected.
		_ = conn.SetDeadline(time.Now().Add(refuseTimeout)) // On a closed connection the write below fails.
		if caller.RefuseConnection(conn) != nil || conn.CloseWrite() != nil {
			return
		}
		// Closing a socket with unread bytes sends a reset, and the client may
		// then lose the answer.
		_, _ = io.Copy(io.Discard, conn)
	})
}

// boundedConn releases the listener's semaphore when it is closed.
type boundedConn struct {
	*net.TCPConn
	semaphore chan struct{}
	once      sync.Once
}

// Close closes the connection.
func (c *boundedConn) Close() error {
	c.once.Do(func() { <-c.semaphore })
	return c.TCPConn.Close()
}

// connectionMemoryFraction is the part of the memory that is for connections.
const connectionMemoryFraction = 0.5

// maxConnections returns how many connections a listener may have, given the memory.
func maxConnections(limits settings.Limits) int {
	if limits.MemoryMB == 0 {
		return limits.MaxConnections
	}
	return max(min(limits.MaxConnections, int(connectionMemoryFraction*float64(limits.MemoryMB<<20))/memgate.ConnectionBytes), 1)
}

// clients returns the bounds of the clients of a listener.
func clients(limits settings.Limits, memory *memgate.Gate) httpserver.Clients {
	return httpserver.Clients{
		Gate: memory, MaxHeaderFields: limits.MaxHeaderFields,
		Body: membudget.Pace{
			BytesPerSecond: limits.MinBytesPerS, StallTime: time.Duration(limits.BodyStallTimeoutMS) * time.Millisecond,
			Total: time.Duration(limits.ReadBodyTimeoutMS) * time.Millisecond,
		},
		Answer: membudget.Pace{BytesPerSecond: limits.MinBytesPerS, StallTime: time.Duration(limits.WriteStallTimeoutMS) * time.Millisecond},
	}
}

// withWriteDeadlines limits the time for each write of an answer.
func withWriteDeadlines(handler http.Handler, limits settings.Limits) http.Handler {
	stall := time.Duration(limits.WriteStallTimeoutMS) * time.Millisecond
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(&deadlineWriter{ResponseWriter: w, control: http.NewResponseController(w), stall: stall}, r)
	})
}

// deadlineWriter sets a deadline for each write.
type deadlineWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	stall   time.Duration
}

// Unwrap returns the server's own writer, for http.ResponseController.
func (w *deadlineWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader extends the deadline and sends the header.
func (w *deadlineWriter) WriteHeader(status int) {
	w.extendDeadline()
	w.ResponseWriter.WriteHeader(status)
}

// Write extends the deadline and sends a part of the body.
func (w *deadlineWriter) Write(p []byte) (int, error) {
	w.extendDeadline()
	return w.ResponseWriter.Write(p)
}

func (w *deadlineWriter) extendDeadline() {
	_ = w.control.SetWriteDeadline(time.Now().Add(w.stall)) // On a closed connection the write fails.
}
