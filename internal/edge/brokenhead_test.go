package edge_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/pkg/routing"
)

// rawAnswer answers with the text in place of an HTTP response, in which $ID stands for the
// header fields that each answer needs, and closes the connection.
func rawAnswer(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		id := "Oleanderramp-Server-Stamp: s\r\nOleanderramp-Request-Id: " + r.Header.Get("Oleanderramp-Request-Id")
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "$ID", id)) // The router may have closed the connection.
	}
}

// Parts of answers: lines is the rest of a sound head, streamLines that of a stream.
const (
	lines       = "\r\n$ID\r\nContent-Length: 4\r\n\r\nbody"
	streamLines = "\r\n$ID\r\nContent-Type: text/event-stream\r\n\r\nid: 4\ndata: x\n\n"
)

// TestBrokenHeadReachesNobody guards against answers with a broken head that reach callers:
// as an answer, or in the middle of a stream that the endpoint before did not complete.
func TestBrokenHeadReachesNobody(t *testing.T) {
	tests := []struct{ name, answer string }{
		{"status 000", "HTTP/1.1 000 No" + lines},
		{"status 099", "HTTP/1.1 099 No" + lines},
		{"status 600", "HTTP/1.1 600 No" + lines},
		{"status 999 of a stream", "HTTP/1.1 999 No" + streamLines},
		{"status of four digits", "HTTP/1.1 0200 OK" + lines},
		{"status of two digits", "HTTP/1.1 20 OK" + streamLines},
		{"signed status", "HTTP/1.1 +20 OK" + lines},
		{"no status", "HTTP/1.1" + lines},
		{"no HTTP", "error: out of memory\r\n\r\n"},
		{"new protocol", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x" + lines},

		{"blank in a name", "HTTP/1.1 200 OK\r\nX Y: z" + lines},
		{"blank in a name of a stream", "HTTP/1.1 200 OK\r\nX Y: z" + streamLines},
		{"blank after a name", "HTTP/1.1 200 OK\r\n$ID\r\nContent-Length : 4\r\n\r\nbody"},
		{"blank before a name", "HTTP/1.1 200 OK\r\n$ID\r\nX: y\r\n Content-Length: 4\r\n\r\nbody"},
		{"tab before a name", "HTTP/1.1 200 OK\r\n$ID\r\nX: y\r\n\tY: z\r\nContent-Length: 4\r\n\r\nbody"},
		{"blank before the first name", "HTTP/1.1 200 OK\r\n X: y" + lines},
		{"blank for a name", "HTTP/1.1 200 OK\r\nX: y\r\n : z" + streamLines},
		{"blank in a line without a colon", "HTTP/1.1 200 OK\r\nout of memory" + lines},
		{"blank in a name of an error", "HTTP/1.1 500 No\r\nX Y: z" + lines},
		{"blank in a name of a refusal", "HTTP/1.1 503 No\r\nOleanderramp-Not-Executed : 1" + lines},
		{"blank in a name of an interim answer", "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK" + lines},
		{"blank in a name after an interim answer", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nX Y: z" + lines},
		{"tab in a name", "HTTP/1.1 200 OK\r\nX\tY: z" + lines},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Y: z" + streamLines},
		{"NUL in a name", "HTTP/1.1 200 OK\r\nX\x00: z" + lines},
		{"DEL in a name", "HTTP/1.1 200 OK\r\n\x7fX: z" + lines},
		{"CR in a name", "HTTP/1.1 200 OK\r\nX\rY: z" + lines},
		{"byte beyond ASCII in a name", "HTTP/1.1 200 OK\r\nX\xe9: z" + lines},
		{"no name", "HTTP/1.1 200 OK\r\n: z" + streamLines},
		{"control byte in a value", "HTTP/1.1 200 OK\r\nX: y\x01z" + lines},
		{"CR in a value", "HTTP/1.1 200 OK\r\nX: y\rContent-Length: 0" + lines},

		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n$ID\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},

		{"ends in the status", "HTTP/1.1 20"},
		{"ends after the status", "HTTP/1.1 200 OK\r\n"},
		{"ends in a name", "HTTP/1.1 200 OK\r\n$ID\r\nContent-Le"},
		{"ends in a value", "HTTP/1.1 200 OK\r\n$ID\r\nContent-Length: 4"},
		{"ends after a line", "HTTP/1.1 200 OK\r\n$ID\r\nContent-Type: text/event-stream\r\n"},
		{"ends in the last line", "HTTP/1.1 200 OK\r\n$ID\r\nContent-Length: 0\r\n\r"},
		{"ends after an interim answer", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		{"ends in an interim answer", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n"},
	}
	for _, test := range tests {
		for _, route := range []string{"safe", "unsafe", "stream", "resumable"} {
			t.Run(fmt.Sprint(test.name, " ", route), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				answer := rawAnswer(test.answer)
				s := newSite(c, newEndpoint(c, answer), newEndpoint(c, answer))
				response, body, err := s.ask(c, "POST", "/"+route+"/", "x", map[string]string{"Oleanderramp-Key": "secret"})
				c.Assert(err, qt.IsNil)
				c.Check(response.StatusCode, qt.Equals, http.StatusBadGateway, qt.Commentf("%q", body))
				c.Check(response.Header.Get("Oleanderramp-Server-Stamp"), qt.Equals, "")
			})
		}
		t.Run(test.name+" resumed", func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := newSite(c, newEndpoint(c, events(1, 3, false)), newEndpoint(c, rawAnswer(test.answer)))
			_, body, err := s.ask(c, "POST", "/resumable/", "x", map[string]string{"Oleanderramp-Key": "secret"})
			c.Check(err, qt.IsNotNil)
			c.Check(body, qt.Equals, completeStream(1, 3))
		})
	}
}

// TestRequestsOutliveBrokenHeads checks that the answer of another endpoint is delivered in
// place of a broken one, that a silent endpoint is not given up for a broken answer, and that
// a request runs no second time if it must not.
func TestRequestsOutliveBrokenHeads(t *testing.T) {
	silent := late(200*time.Millisecond, ok("sound"))
	for _, answer := range []string{"HTTP/1.1 000 No" + lines, "HTTP/1.1 200 OK\r\nX Y: z" + lines, "HTTP/1.1 200 OK\r\n$ID\r\n"} {
		tests := []struct {
			name, route   string
			first, second http.HandlerFunc
			status, calls int
		}{
			{"retry", "safe", rawAnswer(answer), ok("sound"), http.StatusOK, 1},
			{"no retry", "unsafe", rawAnswer(answer), ok("sound"), http.StatusBadGateway, 0},
			{"hedge", "safe", silent, rawAnswer(answer), http.StatusOK, 1},
		}
		for _, test := range tests {
			t.Run(fmt.Sprintf("%s %q", test.name, answer), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				second := newEndpoint(c, test.second)
				s := newSite(c, newEndpoint(c, test.first), second)
				s.setRoute(c, test.route, func(r *routing.Route) { r.Objective = 20 * time.Millisecond })
				response, body, err := s.ask(c, "POST", "/"+test.route+"/", "x", nil)
				c.Assert(err, qt.IsNil)
				c.Check(response.StatusCode, qt.Equals, test.status)
				c.Check(body == "sound", qt.Equals, test.status == http.StatusOK)
				c.Check(second.seen(), qt.HasLen, test.calls)
			})
		}
	}
}

// TestOddHeadsAreSound checks that heads which are allowed, though rare, reach the caller.
func TestOddHeadsAreSound(t *testing.T) {
	tests := []struct{ name, answer string }{
		{"no reason", "HTTP/1.1 200 " + lines},
		{"neither reason nor blank", "HTTP/1.1 200" + lines},
		{"odd reason", "HTTP/1.1 200 200 : all\twell \xe9" + lines},
		{"HTTP/1.0", "HTTP/1.0 200 OK" + lines},
		{"empty values", "HTTP/1.1 200 OK\r\nX:\r\nY: \t" + lines},
		{"all bytes of a name", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: x" + lines},
		{"blanks and colons in a value", "HTTP/1.1 200 OK\r\nX: \t a : b\tc \xe9\t " + lines},
		{"lines that end with LF", strings.ReplaceAll("HTTP/1.1 200 OK"+lines, "\r\n", "\n")},
		{"interim answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK" + lines},
		{"a long line", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 10_000) + lines},
		{"no length", "HTTP/1.1 200 OK\r\n$ID\r\n\r\nbody"},
		{"trailer", "HTTP/1.1 200 OK\r\n$ID\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n4\r\nbody\r\n0\r\nX: y\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			response, body, err := newSite(c, newEndpoint(c, rawAnswer(test.answer))).ask(c, "POST", "/unsafe/", "x", nil)
			c.Assert(err, qt.IsNil)
			c.Check(response.StatusCode, qt.Equals, http.StatusOK)
			c.Check(body, qt.Equals, "body")
		})
	}
}
