package site

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"oleanderramp/internal/httpserver"
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

// internalConnections returns the connection limits of a listener that does not
// serve callers.
func (d *Daemon) internalConnections() *httpserver.Connections {
	return httpserver.NewConnections(httpserver.Limits{
		Soft: d.settings.MaxConnections, ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout: func() time.Duration { return 0 }, Overloaded: func(time.Time, int) bool { return false },
	})
}
