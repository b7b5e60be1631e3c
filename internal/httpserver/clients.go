package httpserver

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"oleanderramp/internal/membudget"
	"oleanderramp/internal/memgate"
)

// Clients bounds what the clients of a server can make it hold. The zero value bounds
// nothing.
type Clients struct {
	// Gate is the memory budget of the process; nil for none.
	Gate *memgate.Gate
	// Body and Answer are the minimum progress of bodies that clients send and of
	// answers that they read. Without a StallTime there is none.
	Body, Answer membudget.Pace
	// MaxHeaderFields bounds the number of header fields of a request; 0 for no bound.
	MaxHeaderFields int
	// MaxHeaderBytes returns the bound on the bytes of a header, and HeaderTimeout the
	// time for it; 0 for the server's own. Optional.
	MaxHeaderBytes func() int
	HeaderTimeout  func() time.Duration
	// EvictActive is set for listeners whose requests take no time, so that connections
	// without progress may be closed also during a request.
	EvictActive bool
}

// headerSlackBytes is how much larger than MaxHeaderBytes a header may be, as in
// net/http.
const headerSlackBytes = 4 << 10

// overBounds returns the bound that a header exceeds.
func (c *Clients) overBounds(h *headerScan) (reason memgate.Reason, over bool) {
	if c.MaxHeaderFields > 0 && h.fields() > c.MaxHeaderFields {
		return memgate.TooManyHeaderFields, true
	}
	if c.MaxHeaderBytes == nil {
		return 0, false
	}
	limit := c.MaxHeaderBytes()
	return memgate.HeaderTooLarge, limit > 0 && h.bytes > limit+headerSlackBytes
}

// headerRefusal returns the whole answer to a request whose header is over its bounds, or
// for which there is no memory.
func headerRefusal(reason memgate.Reason) []byte {
	status, message, retry := http.StatusRequestHeaderFieldsTooLarge, "the header of the request is over its bounds", ""
	if reason == memgate.NoMemory {
		status, message, retry = http.StatusServiceUnavailable, "there is no memory for the header of the request", "Retry-After: 1\r\n"
	}
	body := fmt.Sprintf(`{"error":{"code":%q,"message":%q,"outcome":"not_run"}}`, reason, message)
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), retry, len(body), body)
}

// holderOf returns the address of a connection's client without its port.
func holderOf(conn net.Conn) string { return Host(conn.RemoteAddr().String()) }

// Host returns an address without its port.
func Host(address string) string {
	if at := strings.LastIndexByte(address, ':'); at >= 0 {
		return address[:at]
	}
	return address
}

// boundBodies ends requests whose bodies do not arrive at the minimum pace, also those
// that the handler leaves unread.
func (c *Clients) boundBodies(handler http.Handler) http.Handler {
	if c.Body.StallTime <= 0 {
		return handler
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			body := &pacedBody{ReadCloser: r.Body, clients: c, remote: r.RemoteAddr, control: http.NewResponseController(w)}
			body.start(time.Now())
			r.Body = body
		}
		handler.ServeHTTP(w, r)
	})
}
