package httpserver

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"
)

// acceptRetryDelay is the delay after a failed Accept, for instance when the
// process has no descriptor left.
const acceptRetryDelay = 50 * time.Millisecond

// protocolHTTP2 is HTTP/2 in the negotiation of TLS.
const protocolHTTP2 = "h2"

// handshakes completes the TLS handshakes of new connections and passes each on to
// the server of its protocol. http.Server could do both, but then the tracked
// connection would be below TLS, where a handshake can't be told from a request.
type handshakes struct {
	config *tls.Config
	open   *Connections
	log    *stdlog.Logger
	// http1 and http2 are the listeners of the two protocols' servers.
	http1, http2 *handoff
	// ctx ends the handshakes in progress.
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
}

func newHandshakes(address net.Addr, open *Connections, config Config) *handshakes {
	h := &handshakes{config: config.TLS.Clone(), open: open, log: config.ErrorLog, http1: newHandoff(address), http2: newHandoff(address)}
	h.config.NextProtos = []string{protocolHTTP2, "http/1.1"}
	h.ctx, h.stop = context.WithCancel(context.Background())
	return h
}

// acceptAll accepts connections until the listener is closed.
func (h *handshakes) acceptAll(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			h.logf("http: accept: %v", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		h.open.track(conn, http.StateNew)
		h.running.Go(func() {
			defer h.open.track(conn, http.StateClosed)
			h.handshake(conn)
		})
	}
}

// handshake completes the handshake and passes the connection on.
func (h *handshakes) handshake(conn net.Conn) {
	below := &recordConn{Conn: conn}
	secure := tls.Server(below, h.config)
	_ = conn.SetWriteDeadline(time.Now().Add(h.open.headerTimeout())) // On a closed connection the handshake fails.
	if err := secure.HandshakeContext(h.ctx); err != nil {
		h.fail(conn, err)
		return
	}
	_ = conn.SetDeadline(time.Time{}) // On a closed connection the next read fails.
	if secure.ConnectionState().NegotiatedProtocol == protocolHTTP2 {
		passTo(h.http2, secure)
		return
	}
	accepted := newSecureConn(time.Now(), secure, below, h.open)
	if secured, ok := tracked(accepted); ok {
		secured.clients = &h.open.limits.Clients
	}
	h.open.track(accepted, http.StateNew) // The server does so later, when conn may no longer be tracked.
	if !passTo(h.http1, accepted) {
		h.open.track(accepted, http.StateClosed)
	}
}

// passTo passes the connection to the listener, or closes it if the listener is
// closed, and reports which.
func passTo(listener *handoff, conn net.Conn) bool {
	passed := listener.pass(conn)
	if !passed {
		_ = conn.Close() // The caller may have disconnected.
	}
	return passed
}

// fail ends a connection whose handshake has failed. A caller that speaks HTTP
// without TLS gets an answer that says so.
func (h *handshakes) fail(conn net.Conn, err error) {
	var header tls.RecordHeaderError
	if errors.As(err, &header) && header.Conn != nil && looksLikeHTTP(header.RecordHeader) {
		_, _ = io.WriteString(conn, "HTTP/1.0 400 Bad Request\r\n\r\nClient sent an HTTP request to an HTTPS server.\n") // The caller may have disconnected.
		err = errors.New("the client sent an HTTP request without TLS")
	}
	h.logf("http: TLS handshake error from %s: %v", conn.RemoteAddr(), err)
	_ = conn.Close() // The caller may have disconnected.
}

func (h *handshakes) logf(format string, args ...any) {
	if h.log != nil {
		h.log.Printf(format, args...)
		return
	}
	stdlog.Printf(format, args...)
}

// looksLikeHTTP reports whether the first bytes of a connection begin an HTTP
// request.
func looksLikeHTTP(first [recordHeaderBytes]byte) bool {
	switch string(first[:]) {
	case "GET /", "HEAD ", "POST ", "PUT /", "OPTIO":
		return true
	default:
		return false
	}
}

// wait waits until no handshake is in progress, or until the context ends.
func (h *handshakes) wait(ctx context.Context) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		h.running.Wait()
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// close ends the handshakes in progress and closes the listeners of the two
// protocols' servers. No connection may be accepted any more.
func (h *handshakes) close() {
	h.stop()
	h.running.Wait()
	_ = h.http1.Close() // It never fails.
	_ = h.http2.Close() // It never fails.
}
