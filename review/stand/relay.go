package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// relay passes connections on to a process. It keeps the source address of the other side,
// and passes nothing on for those that are cut off.
type relay struct {
	listener net.Listener
	target   string

	mu  sync.Mutex
	cut map[string]bool
}

func newRelay(address, _, target string) (*relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target, cut: make(map[string]bool)}
	go r.run()
	return r, nil
}

func (r *relay) run() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *relay) serve(conn net.Conn) {
	defer conn.Close()
	source, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	r.hold(source)
	target, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		return
	}
	defer target.Close()
	done := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			r.hold(source)
			if n > 0 {
				if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
					break
				}
			}
			if err != nil {
				if err == io.EOF {
					if half, ok := to.(*net.TCPConn); ok {
						_ = half.CloseWrite()
					}
				}
				break
			}
		}
		done <- struct{}{}
	}
	go pass(target, conn)
	go pass(conn, target)
	<-done
}

// hold waits while the source is cut off.
func (r *relay) hold(source string) {
	for r.isCut(source) {
		time.Sleep(10 * time.Millisecond)
	}
}

func (r *relay) isCut(source string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut[source]
}

func (r *relay) setCut(source string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[source] = cut
}

func (r *relay) close() { r.listener.Close() }
