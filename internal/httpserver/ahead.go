package httpserver

import (
	"context"
	"net/http"
	"time"

	"oleanderramp/internal/memgate"
)

const (
	// aheadCheckPeriod is of how many requests of a connection one is checked for more that
	// follow it before it is answered, as a check is a system call. aheadChecks is how many
	// checks in sequence must have found that for a connection to count as one that sends
	// ahead: an ordinary client can seem to when the server is slow to end a request.
	aheadCheckPeriod = 4
	aheadChecks      = 2
	// maxAhead is how many requests of such connections run at a time, so that clients
	// that send ahead and read nothing leave the endpoints to others.
	maxAhead = 4
	// aheadWait is how long such a request waits for its turn.
	aheadWait = 500 * time.Millisecond
)

// aheadRefusal is the body of the answer to a request whose turn did not come.
const aheadRefusal = `{"error":{"code":"sent_ahead","message":"too many clients send requests ahead of the answers","outcome":"not_run"}}`

// boundAhead bounds the requests in progress of connections that send ahead.
func (c *Connections) boundAhead(handler http.Handler) http.Handler {
	if c.limits.Clients.Gate == nil {
		return handler
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*acceptedConn)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		if conn.ahead.Load() >= aheadChecks {
			if !c.takeTurn(r.Context()) {
				c.limits.Clients.Gate.Ended(memgate.SentAhead, Host(r.RemoteAddr), 0)
				refuseAhead(w)
				return
			}
			defer func() { <-c.aheadTurns }()
		}
		handler.ServeHTTP(w, r)
		conn.checkAhead()
	})
}

// checkAhead checks, of some requests, whether more has arrived before its answer.
func (c *acceptedConn) checkAhead() {
	if c.requests.Add(1)%aheadCheckPeriod != 0 {
		return
	}
	if hasUnread(c.socket) {
		c.ahead.Add(1)
	} else {
		c.ahead.Store(0)
	}
}

// takeTurn waits a short time for one of maxAhead turns.
func (c *Connections) takeTurn(ctx context.Context) bool {
	timer := time.NewTimer(aheadWait)
	defer timer.Stop()
	select {
	case c.aheadTurns <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func refuseAhead(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Connection", "close")
	header.Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write([]byte(aheadRefusal)) // The client may be gone.
}
