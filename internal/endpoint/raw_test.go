package endpoint_test

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/endpoint"
)

// rawServer responds to each request with raw text and records the requests.
type rawServer struct {
	listener net.Listener
	done     sync.WaitGroup
	// health is the raw response to a probe. If empty, the server does not
	// respond to probes.
	health string

	mu       sync.Mutex
	requests []*http.Request
	conns    int
	// connNumbers holds, for each request, the number of its connection, counted
	// from 1.
	connNumbers []int
	// open is the number of connections with a request in progress, and mostOpen
	// its maximum.
	open, mostOpen int
}

// newRawServer starts a server. answer returns the raw response to the n-th
// request, counted from 0, and whether the connection stays open.
func newRawServer(t *testing.T, answer func(n int) (text string, keep bool)) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &rawServer{listener: listener, health: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}
	s.done.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			number := s.conns
			s.mu.Unlock()
			s.done.Go(func() { s.serve(conn, number, answer) })
		}
	})
	t.Cleanup(func() {
		listener.Close()
		s.done.Wait()
	})
	return s
}

func (s *rawServer) serve(conn net.Conn, number int, answer func(n int) (string, bool)) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/health" {
			_, _ = conn.Write([]byte(s.health))
			if s.health == "" {
				_, _ = reader.ReadByte()
			}
			return
		}
		if request.ContentLength > 0 {
			_, _ = reader.Discard(int(request.ContentLength))
		}
		s.mu.Lock()
		n := len(s.requests)
		s.requests = append(s.requests, request)
		s.connNumbers = append(s.connNumbers, number)
		s.open++
		s.mostOpen = max(s.mostOpen, s.open)
		s.mu.Unlock()
		text, keep := answer(n)
		s.mu.Lock()
		s.open--
		s.mu.Unlock()
		_, _ = conn.Write([]byte(text))
		if !keep {
			return
		}
	}
}

func (s *rawServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// The endpoint receives a request on a reused connection and closes the
// connection without a response. net/http's transport retries such a request if
// it can: for GET, for any method with an Idempotency-Key header, and for a
// request without a body. The request must be sent only once.
func TestRequestIsSentOnce(t *testing.T) {
	tests := []struct {
		name   string
		method string
		header http.Header
		body   string
		// reuses reports whether an idempotent call may use an idle connection.
		reuses bool
	}{
		{"GET", http.MethodGet, nil, "", true},
		{"GET with a body", http.MethodGet, nil, "x", true},
		{"POST", http.MethodPost, nil, "x", true},
		{"POST with a key", http.MethodPost, http.Header{"Idempotency-Key": {"k"}}, "x", true},
		{"POST with a key and no body", http.MethodPost, http.Header{"Idempotency-Key": {"k"}}, "", false},
		{"PUT with the other key", http.MethodPut, http.Header{"X-Idempotency-Key": {"k"}}, "", false},
		{"DELETE", http.MethodDelete, nil, "", true},
	}
	for _, test := range tests {
		for _, idempotent := range []bool{true, false} {
			t.Run(test.name, func(t *testing.T) {
				server := newRawServer(t, func(n int) (string, bool) {
					if n == 0 {
						return okAnswer, true
					}
					return "", false
				})
				client := newClient(t, endpoint.ClientConfig{})
				call := endpoint.Call{
					Address: server.listener.Addr().String(), Method: test.method, Path: "/x",
					Header: test.header, Body: []byte(test.body), Idempotent: idempotent,
				}
				_, err := client.Do(t.Context(), call, &recorder{})
				qt.Assert(t, err, qt.IsNil)
				_, err = client.Do(t.Context(), call, &recorder{})
				got := asCallError(t, err)
				qt.Check(t, got.Kind, qt.Equals, endpoint.ConnectionLost)
				qt.Check(t, got.Reused, qt.Equals, idempotent && test.reuses)
				qt.Check(t, got.MayHaveRun(), qt.IsTrue)
				qt.Check(t, got.Crashed(), qt.IsFalse)
				qt.Check(t, server.count(), qt.Equals, 2)
			})
		}
	}
}

func TestIncompleteOrInvalidResponses(t *testing.T) {
	const sse = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	tests := []struct {
		name   string
		answer string
		stream bool
		kind   endpoint.Kind
		bytes  int64
	}{
		{"short body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", false, endpoint.Truncated, 4},
		{"no end of chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false, endpoint.Truncated, 4},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nperhaps half", false, endpoint.Truncated, 0},
		{"head only in part", "HTTP/1.1 200 OK\r\nContent-Le", false, endpoint.ConnectionLost, 0},
		{"no HTTP", "hello\r\n\r\n", false, endpoint.ConnectionLost, 0},
		{"stream without DONE, closed", sse + "\r\ndata: 1\n\ndata: 2", true, endpoint.Truncated, 9},
		{"stream without DONE, ended", sse + "Content-Length: 9\r\n\r\ndata: 1\n\n", true, endpoint.Truncated, 9},
		{"too large by its head", "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n", false, endpoint.TooLarge, 0},
		{"too large by its body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(20), false, endpoint.TooLarge, 100},
		{"endpoint error", "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno", false, endpoint.EndpointError, 0},
		{"change of protocol", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", false, endpoint.WrongAnswer, 0},
		{"status 000", "HTTP/1.1 000 No\r\nContent-Length: 2\r\n\r\nok", false, endpoint.WrongAnswer, 0},
		{"status 600", "HTTP/1.1 600 No\r\nContent-Length: 2\r\n\r\nno", false, endpoint.WrongAnswer, 0},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n\r\nok", false, endpoint.WrongAnswer, 0},
		{"blank in a name of a stream", sse + "X Y: z\r\n\r\ndata: 1\n\ndata: [DONE]\n\n", true, endpoint.WrongAnswer, 0},
		{"control byte in a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX\x01: y\r\n\r\n", false, endpoint.Truncated, 0},
		{"trailer that ends early", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX: y\r\n", false, endpoint.Truncated, 0},
		{"other request id", "HTTP/1.1 200 OK\r\nOleanderramp-Request: r2\r\nContent-Length: 2\r\n\r\nok", false, endpoint.WrongAnswer, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := newRawServer(t, func(int) (string, bool) { return test.answer, false })
			client := newClient(t, endpoint.ClientConfig{})
			call := endpoint.Call{
				RequestID: "r1", Address: server.listener.Addr().String(), Method: http.MethodGet, Path: "/",
				Stream: test.stream, Idempotent: true, MaxAnswerBytes: 100,
			}
			result, err := client.Do(t.Context(), call, &recorder{})
			got := asCallError(t, err)
			qt.Check(t, got.Kind, qt.Equals, test.kind, qt.Commentf("%v", err))
			qt.Check(t, got.MayHaveRun(), qt.IsTrue)
			if test.kind != endpoint.TooLarge {
				qt.Check(t, result.Bytes, qt.Equals, test.bytes)
			}
			qt.Check(t, result.Bytes <= call.MaxAnswerBytes, qt.IsTrue)
			qt.Check(t, server.count(), qt.Equals, 1)
		})
	}
}

func chunks(n int) string {
	text := ""
	for range n {
		text += "a\r\n0123456789\r\n"
	}
	return text + "0\r\n\r\n"
}

// After a lost connection, the probe must distinguish a restarted and an
// unresponsive endpoint from one that is alive.
func TestHealthAfterConnectionLoss(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nOleanderramp-Incarnation: "
	tests := []struct {
		name    string
		health  string
		want    endpoint.Health
		crashed bool
	}{
		{"same incarnation", head + "7\r\n\r\n", endpoint.Alive, false},
		{"no incarnation", "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", endpoint.Alive, false},
		{"other incarnation", head + "8\r\n\r\n", endpoint.Restarted, true},
		{"no answer", "", endpoint.Unresponsive, true},
		{"status that is none", "HTTP/1.1 000 No\r\nContent-Length: 0\r\n\r\n", endpoint.Unresponsive, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := newRawServer(t, func(int) (string, bool) { return "", false })
			server.health = test.health
			config := endpoint.ClientConfig{}
			if test.want == endpoint.Unresponsive {
				config.ProbeTimeout = shortTimeout
			}
			client := newClient(t, config)
			call := endpoint.Call{Address: server.listener.Addr().String(), Method: http.MethodGet, Path: "/", Incarnation: 7}
			_, err := client.Do(t.Context(), call, &recorder{})
			got := asCallError(t, err)
			qt.Check(t, got.Kind, qt.Equals, endpoint.ConnectionLost)
			qt.Check(t, got.Health, qt.Equals, test.want)
			qt.Check(t, got.Crashed(), qt.Equals, test.crashed)
		})
	}
}

// A time-out alone, or one during a network partition, must not attribute a crash
// to the request.
func TestCrashedAfterSilence(t *testing.T) {
	for health, want := range map[endpoint.Health]bool{
		endpoint.Alive: false, endpoint.Unreachable: false, endpoint.Unresponsive: false,
		endpoint.Gone: true, endpoint.Restarted: true,
	} {
		err := &endpoint.CallError{Kind: endpoint.Silent, Health: health}
		qt.Check(t, err.Crashed(), qt.Equals, want, qt.Commentf("%v", health))
		qt.Check(t, err.MayHaveRun(), qt.IsTrue)
	}
}

// A connection on which a call failed must not be reused, even though the
// endpoint keeps it open. A connection with a complete error response may be
// reused if the response carries the request ID.
func TestFailedConnectionIsNotReused(t *testing.T) {
	tests := []struct {
		name   string
		answer string
		kind   endpoint.Kind
		reused bool
	}{
		{"wrong id", "HTTP/1.1 200 OK\r\nOleanderramp-Request: other\r\nContent-Length: 2\r\n\r\nok", endpoint.WrongAnswer, false},
		{"wrong id, no body", "HTTP/1.1 200 OK\r\nOleanderramp-Request: other\r\nContent-Length: 0\r\n\r\n", endpoint.WrongAnswer, false},
		{"too large", "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("x", 101), endpoint.TooLarge, false},
		{"too large, in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(20), endpoint.TooLarge, false},
		{"error", "HTTP/1.1 500 No\r\nOleanderramp-Request: r1\r\nContent-Length: 2\r\n\r\nno", endpoint.EndpointError, true},
		{"error without an id", "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno", endpoint.EndpointError, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := newRawServer(t, func(n int) (string, bool) {
				if n == 0 {
					return test.answer, true
				}
				return "HTTP/1.1 200 OK\r\nOleanderramp-Request: r1\r\nContent-Length: 2\r\n\r\nok", true
			})
			client := newClient(t, endpoint.ClientConfig{})
			call := endpoint.Call{
				RequestID: "r1", Address: server.listener.Addr().String(), Method: http.MethodGet, Path: "/",
				Idempotent: true, MaxAnswerBytes: 100,
			}
			_, err := client.Do(t.Context(), call, &recorder{})
			qt.Check(t, asCallError(t, err).Kind, qt.Equals, test.kind)
			for range 2 {
				_, err = client.Do(t.Context(), call, &recorder{})
				qt.Assert(t, err, qt.IsNil)
			}
			server.mu.Lock()
			defer server.mu.Unlock()
			qt.Check(t, server.connNumbers[1] == server.connNumbers[0], qt.Equals, test.reused)
			qt.Check(t, server.connNumbers[2] == server.connNumbers[0], qt.Equals, test.reused)
		})
	}
}

// The caller disconnects in the middle of a response. The rest of the response
// must not be taken for the response to the next call.
func TestConnectionIsNotReusedAfterCallerDisconnect(t *testing.T) {
	server := newRawServer(t, func(n int) (string, bool) {
		if n == 0 {
			return "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nsome", true
		}
		return okAnswer, true
	})
	client := newClient(t, endpoint.ClientConfig{})
	call := endpoint.Call{Address: server.listener.Addr().String(), Method: http.MethodGet, Path: "/", Idempotent: true}
	_, err := client.Do(t.Context(), call, &recorder{fail: errors.New("caller disconnected")})
	qt.Check(t, asCallError(t, err).Kind, qt.Equals, endpoint.CallerGone)
	var got recorder
	_, err = client.Do(t.Context(), call, &got)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got.body.String(), qt.Equals, "ok")
	server.mu.Lock()
	defer server.mu.Unlock()
	qt.Check(t, server.connNumbers, qt.DeepEquals, []int{1, 2})
}

func TestHopByHopHeadersAreRemoved(t *testing.T) {
	server := newRawServer(t, func(int) (string, bool) {
		return "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Kept: 1\r\nContent-Length: 0\r\n\r\n", true
	})
	client := newClient(t, endpoint.ClientConfig{})
	header := http.Header{
		"Connection": {"X-Hop, keep-alive"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Upgrade": {"h2c"},
		"Proxy-Authorization": {"secret"}, "X-Kept": {"1"},
	}
	call := endpoint.Call{
		RequestID: "r1", Address: server.listener.Addr().String(), Method: http.MethodGet, Path: "/", Header: header,
		HeaderTimeout: time.Minute, Idempotent: true,
	}
	var got recorder
	_, err := client.Do(t.Context(), call, &got)
	qt.Assert(t, err, qt.IsNil)
	sent := server.requests[0].Header
	for _, name := range []string{"Connection", "X-Hop", "Te", "Upgrade", "Proxy-Authorization"} {
		qt.Check(t, sent.Values(name), qt.HasLen, 0, qt.Commentf("%s", name))
	}
	qt.Check(t, sent.Get("X-Kept"), qt.Equals, "1")
	qt.Check(t, got.header.Values("X-Hop"), qt.HasLen, 0)
	qt.Check(t, got.header.Get("X-Kept"), qt.Equals, "1")
	qt.Check(t, header.Get("Upgrade"), qt.Equals, "h2c")
}

// Many concurrent calls must not use more connections than MaxConnections, and
// each must get its response. The server delays the first responses to leave time
// for an excess connection to appear.
func TestMaxConnections(t *testing.T) {
	const allowed = 3
	for _, idempotent := range []bool{true, false} {
		excessRequest := make(chan struct{})
		server := newRawServer(t, func(n int) (string, bool) {
			switch {
			case n < allowed:
				select {
				case <-excessRequest:
				case <-time.After(200 * time.Millisecond):
				}
			case n == allowed:
				close(excessRequest)
			}
			return okAnswer, idempotent
		})
		client := newClient(t, endpoint.ClientConfig{MaxConnections: allowed})
		call := endpoint.Call{
			Address: server.listener.Addr().String(), Method: http.MethodPost, Path: "/", Body: []byte("x"),
			Idempotent: idempotent,
		}
		var calls sync.WaitGroup
		for range 60 {
			calls.Go(func() {
				_, err := client.Do(t.Context(), call, &recorder{})
				qt.Check(t, err, qt.IsNil)
			})
		}
		calls.Wait()
		qt.Check(t, server.count(), qt.Equals, 60)
		server.mu.Lock()
		qt.Check(t, server.mostOpen <= allowed, qt.IsTrue, qt.Commentf("open at once: %d", server.mostOpen))
		server.mu.Unlock()
	}
}
