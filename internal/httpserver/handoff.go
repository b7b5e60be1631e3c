package httpserver

import (
	"net"
	"sync"
)

// handoff is a listener for connections that were accepted by another one.
type handoff struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newHandoff(address net.Addr) *handoff {
	return &handoff{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// pass gives the connection to Accept. It returns false if the listener is closed.
func (h *handoff) pass(conn net.Conn) bool {
	select {
	case h.conns <- conn:
		return true
	case <-h.closed:
		return false
	}
}

// Accept returns the next connection.
func (h *handoff) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept and pass fail.
func (h *handoff) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr returns the address of the listener that accepted the connections.
func (h *handoff) Addr() net.Addr { return h.address }
