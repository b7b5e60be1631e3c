package site

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"oleanderramp/internal/httpserver"
	"oleanderramp/internal/membudget"
)

const (
	// readHeaderTimeout bounds the time to read a request's header.
	readHeaderTimeout = 10 * time.Second
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 64 << 10
	// keepAliveIdle is how long a connection is silent before keep-alive probes
	// are sent.
	keepAliveIdle = 5 * time.Second
	// keepAliveProbes is how many unanswered probes close a connection.
	keepAliveProbes = 3
)

// newServer listens on the address and starts to serve.
func newServer(address string, handler http.Handler, open *httpserver.Connections) (*httpserver.Server, error) {
	// Keep-alive probes detect clients that disappear without closing their
	// connection.
	listenConfig := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: keepAliveProbes,
	}}
	listener, err := listenConfig.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return httpserver.New(listener, open, httpserver.Config{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes,
		// Errors of single connections are routine, and are not logged.
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}), nil
}

// clients returns the bounds of the clients of a listener.
func (d *Daemon) clients() httpserver.Clients {
	bounds := &d.settings.Clients
	return httpserver.Clients{
		Gate: d.memory, MaxHeaderFields: bounds.MaxHeaderFields,
		Body:   membudget.Pace{BytesPerSecond: bounds.MinBytesPerS, StallTime: bounds.BodyStall(), Total: bounds.BodyTimeout()},
		Answer: membudget.Pace{BytesPerSecond: bounds.MinBytesPerS, StallTime: bounds.AnswerStall()},
	}
}

// controlConnections returns the connection limits of the listener for endpoints and
// operators.
func (d *Daemon) controlConnections() *httpserver.Connections {
	return httpserver.NewConnections(httpserver.Limits{
		Soft: d.settings.MaxConnections, Hard: maxOpenConnections(d.settings), ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout: func() time.Duration { return 0 }, Overloaded: func(time.Time, int) bool { return false }, Clients: d.clients(),
	})
}

const (
	// maxProbeConnections bounds the connections of a listener for probes. Beyond it,
	// those without progress are closed.
	maxProbeConnections = 512
	// probeBodyTimeout bounds how long the body of a probe is waited for, which has none.
	probeBodyTimeout = 500 * time.Millisecond
)

// probeConnections returns the connection limits of a listener for readiness checks or
// metrics, whose requests have no body and take no time.
func (d *Daemon) probeConnections() *httpserver.Connections {
	clients := d.clients()
	clients.EvictActive, clients.Body.StallTime = true, probeBodyTimeout
	return httpserver.NewConnections(httpserver.Limits{
		Soft: maxProbeConnections, Hard: maxProbeConnections, ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout: func() time.Duration { return 0 }, Overloaded: func(time.Time, int) bool { return false }, Clients: clients,
	})
}

// withoutBody answers requests with a body before the body is read, and closes their
// connections.
func withoutBody(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}
