package site

import (
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// headerTimeout bounds the head of a request; idleTimeout how long a
	// connection may be unused.
	headerTimeout = 10 * time.Second
	idleTimeout   = 75 * time.Second
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 64 << 10
	// clientKeepAlive is how long a connection is silent before it is probed.
	clientKeepAlive = 5 * time.Second
	// keepAliveProbes is how many unanswered probes end a connection.
	keepAliveProbes = 3
)

// server is one HTTP listener and its server.
type server struct {
	http *http.Server
	done sync.WaitGroup
}

// newServer opens the address and starts to serve.
func newServer(address string, handler http.Handler) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{http: &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		// What the server says of single connections is no news.
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}}
	s.done.Go(func() {
		_ = s.http.Serve(probedListener{listener.(*net.TCPListener)}) // It returns when the server is closed.
	})
	return s, nil
}

// close cuts what is under way.
func (s *server) close() error {
	err := s.http.Close()
	s.done.Wait()
	return err
}

// probedListener finds out when the other side of a connection is gone without
// a word.
type probedListener struct{ *net.TCPListener }

// Accept returns the next connection.
func (l probedListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	_ = conn.SetKeepAliveConfig(net.KeepAliveConfig{ // Without probes a dead connection ends later.
		Enable: true, Idle: clientKeepAlive, Interval: time.Second, Count: keepAliveProbes,
	})
	return conn, nil
}
