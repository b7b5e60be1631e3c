package endpoint

import (
	"context"
	"net/http/httptrace"
	"time"
)

// gotConn is called when the attempt has a connection, before the request is written.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	if a.call.OnConnected != nil {
		a.call.OnConnected(a.requestHeader)
	}
	conn, ok := info.Conn.(*endpointConn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = conn
	a.writesBefore = conn.beginRequest(a.stillWanted)
	a.reused = info.Reused
}

// stillWanted reports whether the caller still waits for the response. If not, the call
// ends. It is asked right before the request is written: to get a connection, and
// processor time, may have taken long.
func (a *attempt) stillWanted() bool {
	now := time.Now()
	if deadline, ok := a.ctx.Deadline(); ok && !now.Before(deadline) {
		a.cancel(context.DeadlineExceeded)
	}
	if a.call.CallerDisconnected != nil && a.call.CallerDisconnected() {
		a.cancel(ErrCallerDisconnected)
	}
	return a.ctx.Err() == nil
}

// connection returns the connection in use, nil until there is one.
func (a *attempt) connection() *endpointConn {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn
}

// spendConn lets the connection carry no further request, whether or not it is in the
// pool already.
func (a *attempt) spendConn() {
	if conn := a.connection(); conn != nil {
		conn.spend()
	}
}

// connSpent reports whether the connection may carry no further request.
func (a *attempt) connSpent() bool {
	conn := a.connection()
	return conn != nil && conn.isSpent()
}

// headScanned reports whether the head of the answer has arrived after its request had begun,
// and so has been checked.
func (a *attempt) headScanned() bool {
	conn := a.connection()
	return conn != nil && conn.headScanned()
}

// abandonedConn describes the connection of a call that was given up.
type abandonedConn struct {
	// connected reports whether there was a connection, and reused whether it
	// had served an earlier call.
	connected, reused bool
	// sent reports whether a byte of the request may have been sent.
	sent bool
}

// abandonConn closes the connection, if there is one, and describes it.
func (a *attempt) abandonConn() abandonedConn {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil {
		return abandonedConn{}
	}
	return abandonedConn{connected: true, reused: a.reused, sent: a.conn.abort() > a.writesBefore}
}
