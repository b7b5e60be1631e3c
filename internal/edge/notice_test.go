package edge_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/directory"
)

// withHeader answers as the handler does, with an additional header.
func withHeader(name, value string, answer http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(name, value)
		answer(w, r)
	}
}

// TestLeavingEndpointGetsNoRequests guards against requests for an endpoint that has
// said in an answer that it leaves, before or without an announcement.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	tests := []struct {
		name   string
		answer http.HandlerFunc
		path   string
	}{
		{"said in an answer", ok("a"), "/safe/"},
		{"said in an answer that fails", status(500), "/unsafe/"},
		{"said in a refusal", notRun, "/unsafe/"},
		{"said at the begin of a stream", events(1, 3, true), "/stream/"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			leaving, other := newEndpoint(c, withHeader("Server-Leaving", "1", test.answer)), newEndpoint(c, ok("b"))
			s := newSite(c, leaving, other)
			send := func() int {
				response, _, _ := s.ask(c, "POST", test.path, "x", map[string]string{"Oleanderramp-Key": "secret"})
				return response.StatusCode
			}
			send()
			c.Check(leaving.seen(), qt.HasLen, 1)
			for range 3 {
				c.Check(send(), qt.Equals, http.StatusOK)
			}
			c.Check(leaving.seen(), qt.HasLen, 1)

			// Its next start is another endpoint, whatever its ID is.
			s.setEndpoints([]directory.Entry{{ID: "e0", Service: "s", Address: leaving.address(), Region: "r", Slots: 10, LastSeen: time.Now(), Started: time.Now()}})
			send()
			c.Check(leaving.seen(), qt.HasLen, 2)
		})
	}
}

// TestEndpointIsLeftAloneForItsRetryAfter guards against requests for an endpoint that
// has refused one with a time for which it wants none.
func TestEndpointIsLeftAloneForItsRetryAfter(t *testing.T) {
	tests := []struct {
		name, retryAfter string
		want             int
	}{
		{"no time", "", 2},
		{"not a time", "soon", 2},
		{"a fraction of a second", "0.4", 2},
		{"for a minute", "60", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			full, other := newEndpoint(c, withHeader("Retry-After", test.retryAfter, notRun)), newEndpoint(c, ok("b"))
			s := newSite(c, full, other)
			for range 2 {
				response, _, _ := s.ask(c, "POST", "/safe/", "x", nil)
				c.Check(response.StatusCode, qt.Equals, http.StatusOK)
				time.Sleep(600 * time.Millisecond) // Longer than an endpoint is left alone that names no time.
				s.setEndpoints([]directory.Entry{
					{ID: "e0", Service: "s", Address: full.address(), Region: "r", Slots: 10, LastSeen: time.Now()},
					{ID: "e1", Service: "s", Address: other.address(), Region: "other", Slots: 10, LastSeen: time.Now()},
				})
			}
			c.Check(full.seen(), qt.HasLen, test.want)
		})
	}
}

// endless writes bytes until the caller closes the connection.
func endless(w http.ResponseWriter, line string) {
	for {
		if _, err := io.WriteString(w, line); err != nil {
			return
		}
	}
}

// TestAnswerWithoutEnd guards against an endpoint that sends bytes without end, which
// would fill the router's memory or keep the request until its deadline.
func TestAnswerWithoutEnd(t *testing.T) {
	raw := func(start, line string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			conn, writer, err := w.(http.Hijacker).Hijack()
			if err != nil {
				panic(err)
			}
			defer conn.Close()
			_, _ = writer.WriteString(start) // The router may have closed the connection.
			for err == nil {
				_, err = writer.WriteString(line)
			}
		}
	}
	tests := []struct {
		name, path string
		answer     http.HandlerFunc
	}{
		{"in a status line", "/safe/", raw("HTTP/1.1 200 ", "noise ")},
		{"in a header", "/safe/", raw("HTTP/1.1 200 OK\r\n", "A: noise\r\n")},
		{"in place of an answer", "/safe/", raw("", "noise\r\n")},
		{"in an event of a stream", "/resumable/", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			endless(w, "noise ")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			noisy, other := newEndpoint(c, test.answer), newEndpoint(c, ok("b"))
			start := time.Now()
			response, body, _ := newSite(c, noisy, other).ask(c, "POST", test.path, "x", map[string]string{"Oleanderramp-Key": "secret"})
			c.Check(response.StatusCode, qt.Equals, http.StatusOK)
			c.Check(body, qt.Equals, "b")
			c.Check(time.Since(start) < 5*time.Second, qt.IsTrue)
		})
	}
}

// earlierRefusal answers with the refusal of another request.
func earlierRefusal(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Oleanderramp-Request-Id", "earlier")
	notRun(w, r)
}

// TestNoticeOfAnotherAnswerIsIgnored guards against an endpoint that gets no requests for
// as long as an earlier refusal asked for, because it has written that refusal once more.
func TestNoticeOfAnotherAnswerIsIgnored(t *testing.T) {
	for _, notice := range []struct{ name, value string }{{"Retry-After", "60"}, {"Server-Leaving", "1"}} {
		t.Run(notice.name, func(t *testing.T) {
			c := qt.New(t)
			confused := newEndpoint(c, withHeader(notice.name, notice.value, earlierRefusal))
			s := newSite(c, confused)
			for range 2 {
				response, _, _ := s.ask(c, "POST", "/unsafe/", "x", nil)
				c.Check(response.StatusCode, qt.Equals, http.StatusBadGateway) // It may have run.
			}
			c.Check(confused.seen(), qt.HasLen, 2)
		})
	}
}

// TestRefusedRequestIsNotSentThereAgain guards against a refusal that an endpoint writes
// once more on a kept connection and that belongs to the same request, which runs by then.
func TestRefusedRequestIsNotSentThereAgain(t *testing.T) {
	for _, path := range []string{"/safe/", "/unsafe/", "/stream/", "/resumable/"} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			first, second := newEndpoint(c, notRun), newEndpoint(c, notRun)
			response, _, _ := newSite(c, first, second).ask(c, "POST", path, "x", map[string]string{"Oleanderramp-Key": "secret"})
			c.Check(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			c.Check(len(first.seen()) <= 1 && len(second.seen()) <= 1, qt.IsTrue, qt.Commentf("%d and %d times", len(first.seen()), len(second.seen())))
		})
	}
}
