package caller_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/caller"
	"oleanderramp/internal/router"
	"oleanderramp/pkg/bundle"
)

const (
	key         = "key-of-label-01"
	bodyTimeout = 10 * time.Second
	stall       = 20 * time.Second
	maxBody     = 200
)

func document() *bundle.Document {
	sum := sha256.Sum256([]byte(key))
	post := func(prefix string) []bundle.Route { return []bundle.Route{{Method: "POST", PathPrefix: prefix}} }
	return &bundle.Document{
		Version: 1, Regions: []bundle.Region{{Name: "maz", Zones: []string{"maz-a"}}},
		ClientAccounts: []bundle.ClientAccount{{
			Name: "label-01", Share: 1, KeySHA256: []string{hex.EncodeToString(sum[:])}, Services: []string{"assistant", "orders"},
		}},
		Services: []bundle.Service{
			{Name: "assistant", Protocol: bundle.ProtocolOpenAI, Cost: bundle.CostTokens, Models: []string{"small"},
				Kinds: []bundle.Kind{{Name: "chat", Idempotent: true}}},
			{Name: "hidden", Protocol: bundle.ProtocolOpenAI, Cost: bundle.CostTokens, Models: []string{"large"},
				Kinds: []bundle.Kind{{Name: "chat", Idempotent: true}}},
			{Name: "orders", Protocol: bundle.ProtocolPlain, Cost: bundle.CostRequests, Kinds: []bundle.Kind{
				{Name: "booking", Routes: post("/bookings")}, {Name: "quote", Idempotent: true, Routes: post("/quotes")},
			}},
		},
	}
}

// fakeBundles returns one bundle, or an error when there is none.
type fakeBundles struct {
	held     *bundle.Bundle
	notReady *router.Error
}

func (f *fakeBundles) Admit(time.Time, bool) (*bundle.Bundle, *router.Error) {
	return f.held, f.notReady
}
func (f *fakeBundles) Current() *bundle.Bundle { return f.held }

// fakeRouter handles each request with respond, and records the last one.
type fakeRouter struct {
	respond func(ctx context.Context, sink router.Sink) error
	last    *router.Request
}

func (f *fakeRouter) Serve(ctx context.Context, request *router.Request, sink router.Sink) error {
	f.last = request
	return f.respond(ctx, sink)
}

// answers returns a fakeRouter.respond that writes a response with status 200.
func answers(header http.Header, body string) func(context.Context, router.Sink) error {
	return func(_ context.Context, sink router.Sink) error {
		return errors.Join(sink.Head(http.StatusOK, header), sink.Data([]byte(body)))
	}
}

// pipeListener accepts in-memory pipes, so that deadlines follow the test's
// fake clock.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (*pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "unix"} }

// testEnv is a handler behind a server whose connections are pipes.
type testEnv struct {
	bundles  *fakeBundles
	router   *fakeRouter
	listener *pipeListener
	client   *http.Client
}

func newTestEnv(t *testing.T) *testEnv {
	c := qt.New(t)
	data, err := json.Marshal(document())
	c.Assert(err, qt.IsNil)
	held, err := bundle.Parse(data)
	c.Assert(err, qt.IsNil)
	b := &testEnv{
		bundles: &fakeBundles{held: held}, router: &fakeRouter{respond: answers(nil, "done")},
		listener: &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})},
	}
	server := &http.Server{Handler: caller.New(caller.Config{
		Bundles: b.bundles, Router: b.router, Log: &log.Logger{Handler: discard.Default, Level: log.ErrorLevel},
		MaxBodyBytes: maxBody, ReadBodyTimeout: bodyTimeout, WriteStallTimeout: stall,
	})}
	var done sync.WaitGroup
	done.Go(func() { _ = server.Serve(b.listener) })
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return b.dial(), nil }}
	b.client = &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = server.Close()
		done.Wait()
		time.Sleep(time.Minute) // The server closes some connections after a delay.
	})
	return b
}

func (b *testEnv) dial() net.Conn {
	near, far := net.Pipe()
	b.listener.conns <- far
	return near
}

// refusalTest is a request and the expected response.
type refusalTest struct {
	name, method, path string
	header             http.Header
	body               string
	status             int
	code               router.Code
}

func (b *testEnv) do(method, path string, header http.Header, body string) (*http.Response, []byte, error) {
	request, err := http.NewRequest(method, "http://ramp"+path, strings.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := b.client.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response, data, err
}

// refusedWith returns the code and the outcome of an error response, and checks
// that they match its headers.
func refusedWith(c *qt.C, response *http.Response, body []byte) (router.Code, router.Outcome) {
	var answer struct {
		Error struct {
			Code             router.Code
			Outcome          router.Outcome
			Request, Message string
		}
	}
	c.Assert(json.Unmarshal(body, &answer), qt.IsNil, qt.Commentf("%s", body))
	c.Check(response.Header.Get("Oleanderramp-Outcome"), qt.Equals, string(answer.Error.Outcome))
	c.Check(response.Header.Get("Oleanderramp-Request"), qt.Equals, answer.Error.Request)
	c.Check(answer.Error.Message, qt.Not(qt.Equals), "")
	return answer.Error.Code, answer.Error.Outcome
}

var refusals = []refusalTest{
	{"no key", "POST", "/v1/completions", http.Header{"Authorization": nil}, `{}`, 401, "unauthorized"},
	{"wrong key", "POST", "/v1/completions", http.Header{"Authorization": {"Bearer other"}}, `{}`, 401, "unauthorized"},
	{"wrong key, unread body", "POST", "/v1/completions", http.Header{"Authorization": {"Bearer x"}}, strings.Repeat("x", 1<<20), 401, "unauthorized"},
	{"no JSON", "POST", "/v1/completions", nil, `{"model":`, 400, "bad_request"},
	{"no object", "POST", "/v1/completions", nil, `[1]`, 400, "bad_request"},
	{"wrong type", "POST", "/v1/completions", nil, `{"model":1}`, 400, "bad_request"},
	{"no model", "POST", "/v1/completions", nil, `{}`, 404, "unknown_model"},
	{"other case", "POST", "/v1/completions", nil, `{"Model":"small"}`, 404, "unknown_model"},
	{"unknown model", "POST", "/v1/completions", nil, `{"model":"other"}`, 404, "unknown_model"},
	{"not allowed", "POST", "/v1/completions", nil, `{"model":"large"}`, 403, "account_not_allowed"},
	{"unknown kind", "POST", "/v1/completions", http.Header{"Oleanderramp-Kind": {"other"}}, `{"model":"small"}`, 400, "unknown_kind"},
	{"too large", "POST", "/v1/completions", nil, strings.Repeat("x", maxBody+1), 413, "body_too_large"},
	{"much too large", "POST", "/v1/completions", nil, strings.Repeat("x", 1<<20), 413, "body_too_large"},
	{"unknown path", "POST", "/v2/completions", nil, `{}`, 404, "unknown_service"},
	{"wrong method", "GET", "/v1/completions", nil, ``, 404, "unknown_service"},
	{"unknown service", "POST", "/services/other/quotes", nil, `{}`, 404, "unknown_service"},
	{"service alone", "POST", "/services/orders", nil, `{}`, 404, "unknown_service"},
	{"no route", "POST", "/services/orders/other", nil, `{}`, 400, "unknown_kind"},
	{"no idempotency key", "POST", "/services/orders/bookings", nil, `{}`, 400, "idempotency_key_required"},
	{"long idempotency key", "POST", "/services/orders/bookings", http.Header{"Idempotency-Key": {strings.Repeat("k", 257)}}, `{}`, 400, "bad_request"},
	{"booking as quote", "POST", "/services/orders/bookings", http.Header{"Oleanderramp-Kind": {"quote"}}, `{}`, 400, "unknown_kind"},
	{"dots", "POST", "/services/orders/quotes/../bookings", nil, `{}`, 400, "bad_request"},
	{"encoded dots", "POST", "/services/orders/quotes/%2e%2e/bookings", nil, `{}`, 400, "bad_request"},
	{"encoded slash and dots", "POST", "/services/orders/quotes%2F..%2Fbookings", nil, `{}`, 400, "bad_request"},
	{"dots in the service", "POST", "/services/..%2Fx/quotes", nil, `{}`, 400, "bad_request"},
	{"two slashes", "POST", "/services/orders//bookings", nil, `{}`, 400, "bad_request"},
	{"trace", "TRACE", "/services/orders/quotes", nil, ``, 400, "bad_request"},
}

func TestRefusals(t *testing.T) {
	for _, test := range refusals {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				b := newTestEnv(t)
				response, body, err := b.do(test.method, test.path, test.header, test.body)
				c.Assert(err, qt.IsNil)
				code, outcome := refusedWith(c, response, body)
				c.Check(code, qt.Equals, test.code)
				c.Check(outcome, qt.Equals, router.OutcomeNotRun)
				c.Check(response.StatusCode, qt.Equals, test.status)
				c.Check(b.router.last, qt.IsNil)
				_, body, err = b.do("POST", "/v1/completions", nil, `{"model":"small"}`)
				c.Check(err, qt.IsNil)
				c.Check(string(body), qt.Equals, "done")
			})
		})
	}
}

func TestRetryAfterIsRoundedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newTestEnv(t)
		b.bundles.notReady = router.NewError(router.CodeNotReady, router.OutcomeNotRun, 1400*time.Millisecond, "none yet")
		response, body, err := b.do("GET", "/v1/models", nil, "")
		c.Assert(err, qt.IsNil)
		code, _ := refusedWith(c, response, body)
		c.Check(code, qt.Equals, router.CodeNotReady)
		c.Check(response.Header.Get("Retry-After"), qt.Equals, "2")
	})
}

func TestForwardedPath(t *testing.T) {
	tests := []struct{ path, want string }{
		{"/quotes", "/quotes"}, {"/quotes/", "/quotes/"}, {"/quotes/a%2Fb?x=1&y=%20", "/quotes/a%2Fb?x=1&y=%20"},
		{"/quotes/%C3%A9%20e", "/quotes/%C3%A9%20e"}, {"/quotes/a%3Fb", "/quotes/a%3Fb"},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			b := newTestEnv(t)
			_, _, err := b.do("POST", "/services/orders"+test.path, nil, "{}")
			c.Assert(err, qt.IsNil)
			c.Check(b.router.last.Path, qt.Equals, test.want)
		})
	}
}

func TestHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newTestEnv(t)
		b.router.respond = answers(http.Header{
			"Content-Type": {"text/plain"}, "Oleanderramp-Outcome": {"unknown"}, "Oleanderramp-Request": {"other"},
			"Oleanderramp-Replayed": {"true"}, "X-Seat": {"7"},
		}, "done")
		response, _, err := b.do("POST", "/v1/completions", http.Header{
			"Connection": {"X-Hop, Oleanderramp-Account"}, "X-Hop": {"1"}, "X-Kept": {"1"},
			"Oleanderramp-Account": {"other"}, "Oleanderramp-Request": {"other"}, "Oleanderramp-Outcome": {"ok"},
		}, `{"model":"small"}`)
		c.Assert(err, qt.IsNil)
		c.Check(response.Header.Get("Oleanderramp-Outcome"), qt.Equals, "ok")
		c.Check(response.Header.Get("Oleanderramp-Request"), qt.Equals, b.router.last.ID)
		c.Check(response.Header.Get("Oleanderramp-Replayed"), qt.Equals, "")
		c.Check(response.Header.Get("X-Seat"), qt.Equals, "7")
		for _, name := range []string{"Authorization", "Connection", "X-Hop", "Oleanderramp-Account", "Oleanderramp-Request", "Oleanderramp-Outcome"} {
			c.Check(b.router.last.Header.Get(name), qt.Equals, "", qt.Commentf("%s", name))
		}
		c.Check(b.router.last.Header.Get("X-Kept"), qt.Equals, "1")
	})
}

// sendIncompleteBody sends a request with an incomplete body and reads the
// response.
func sendIncompleteBody(c *qt.C, b *testEnv, key string) (*http.Response, []byte, time.Duration) {
	conn := b.dial()
	defer conn.Close()
	start := time.Now()
	_, err := fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: ramp\r\nAuthorization: Bearer %s\r\nContent-Length: 20\r\n\r\n{", key)
	c.Assert(err, qt.IsNil)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	took := time.Since(start)
	_, err = reader.ReadByte()
	c.Check(err, qt.Equals, io.EOF)
	c.Check(time.Since(start) <= bodyTimeout+time.Second, qt.IsTrue, qt.Commentf("closed after %v", time.Since(start)))
	return response, body, took
}

// A caller that does not send its whole body must not hold the connection longer
// than the body timeout. Without a valid key it must be refused at once.
func TestSlowWriter(t *testing.T) {
	tests := []struct {
		name, key string
		code      router.Code
		took      time.Duration
	}{
		{"with a key", key, router.CodeBadRequest, bodyTimeout},
		{"without a key", "other", router.CodeUnauthorized, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				response, body, took := sendIncompleteBody(c, newTestEnv(t), test.key)
				code, outcome := refusedWith(c, response, body)
				c.Check(code, qt.Equals, test.code)
				c.Check(outcome, qt.Equals, router.OutcomeNotRun)
				c.Check(took, qt.Equals, test.took)
			})
		})
	}
}

// readSlowly sends a request and reads its response in small parts, with a
// pause before each, until the connection ends. It returns everything read.
func readSlowly(c *qt.C, b *testEnv, bytes int, pause time.Duration) string {
	conn := b.dial()
	defer conn.Close()
	_, err := fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: ramp\r\nAuthorization: Bearer %s\r\nContent-Length: 17\r\n\r\n%s", key, `{"model":"small"}`)
	c.Assert(err, qt.IsNil)
	var all []byte
	piece := make([]byte, bytes)
	for {
		time.Sleep(pause)
		n, err := conn.Read(piece)
		all = append(all, piece[:n]...)
		if err != nil || strings.HasSuffix(string(all), "0\r\n\r\n") {
			return string(all)
		}
	}
}

// The write stall timeout applies to each chunk of a response. A caller that
// reads steadily must receive a large response whole, and the response to a
// caller that reads too slowly must be aborted.
func TestSlowReader(t *testing.T) {
	tests := []struct {
		name  string
		bytes int
		pause time.Duration
		whole bool
	}{
		{"steady", 4096, stall / 20, true},
		{"too slow", 1, stall + time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				b := newTestEnv(t)
				ended := make(chan error, 1)
				b.router.respond = func(_ context.Context, sink router.Sink) error {
					err := errors.Join(sink.Head(200, nil), sink.Data([]byte(strings.Repeat("x", 1<<20))))
					ended <- err
					return err
				}
				got := readSlowly(c, b, test.bytes, test.pause)
				c.Check(strings.HasSuffix(got, "\r\n0\r\n\r\n"), qt.Equals, test.whole)
				c.Check(<-ended == nil, qt.Equals, test.whole)
			})
		})
	}
}

// The deadlines for a request's body and for an earlier write must not end a
// response that begins after them.
func TestDeadlinesAreResetBetweenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newTestEnv(t)
		b.router.respond = func(ctx context.Context, sink router.Sink) error {
			select {
			case <-time.After(2 * bodyTimeout):
			case <-ctx.Done():
			}
			return errors.Join(ctx.Err(), sink.Head(200, nil), sink.Data([]byte("done")))
		}
		for _, test := range []struct{ method, path string }{{"POST", "/v1/completions"}, {"POST", "/services/orders/quotes"}} {
			_, body, err := b.do(test.method, test.path, nil, `{"model":"small"}`)
			c.Check(err, qt.IsNil)
			c.Check(string(body), qt.Equals, "done")
			time.Sleep(2 * stall)
		}
	})
}

// A caller must not mistake a partial response for a complete one: the
// connection ends without the last chunk, after an error event if the response
// is an event stream.
func TestTruncatedResponses(t *testing.T) {
	failure := router.NewError(router.CodeAnswerTruncated, router.OutcomeFailed, time.Second, "it ended early")
	tests := []struct{ name, kind, want string }{
		{"stream", "text/event-stream", "data: 1\n\nevent: error\ndata: {\"error\":{\"code\":\"answer_truncated\""},
		{"other", "application/json", "data: 1\n\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				b := newTestEnv(t)
				b.router.respond = func(ctx context.Context, sink router.Sink) error {
					_ = answers(http.Header{"Content-Type": {test.kind}}, "data: 1\n\n")(ctx, sink)
					return failure
				}
				_, body, err := b.do("POST", "/v1/completions", nil, `{"model":"small","stream":true}`)
				c.Check(errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue, qt.Commentf("%v", err))
				c.Check(strings.HasPrefix(string(body), test.want), qt.IsTrue, qt.Commentf("%s", body))
			})
		})
	}
}

func TestModels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		_, body, err := newTestEnv(t).do("GET", "/v1/models", nil, "")
		c.Check(err, qt.IsNil)
		c.Check(string(body), qt.Equals, `{"object":"list","data":[{"id":"small","object":"model","owned_by":"assistant"}]}`+"\n")
	})
}
