package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"oleanderramp/platform/outside"
)

const (
	// requestTimeout is the time limit of a request, and maxAnswerDelay how long after
	// it a caller still waits for the complete answer.
	requestTimeout = 3 * time.Second
	maxAnswerDelay = 500 * time.Millisecond
	// maxCallerPause is the maximum pause between two requests of a caller.
	maxCallerPause = 60 * time.Millisecond
	// cancelPercent is the percentage of requests that the caller cancels early.
	cancelPercent = 5
	// promptTokens and outputTokens are the announced lengths of the prompt and
	// of the output of a streaming request.
	promptTokens = 400
	outputTokens = 6 * streamEvents
	// siteHost is the host name of all routes.
	siteHost = "soak.example"
)

// runCaller sends requests until the context ends. It reuses its connection, and
// moves on to the next router when a request fails or is refused as not run.
func (s *Site) runCaller(ctx context.Context, number int, random *rand.Rand) {
	client := newClient()
	defer client.CloseIdleConnections()
	router := number % len(s.routers)
	for count := 0; ctx.Err() == nil; count++ {
		k := requestKinds[random.IntN(len(requestKinds))]
		request := s.newRequest(fmt.Sprintf("c%d-%d", number, count), k, router, number)
		cancelAfter := time.Duration(0)
		if random.IntN(100) < cancelPercent {
			cancelAfter = time.Duration(random.IntN(100)) * time.Millisecond
		}
		got := s.exchange(client, request, cancelAfter)
		s.takeUp(ctx, client, request, got)
		if request.failure != nil || outside.GuaranteesNotRun(request.status) {
			client.CloseIdleConnections()
			router = (router + 1) % len(s.routers)
		}
		sleep(ctx, time.Duration(random.Int64N(int64(maxCallerPause))))
	}
}

// newClient returns a transport that reuses connections and does not retry
// requests.
func newClient() *http.Transport { return &http.Transport{DisableCompression: true} }

func (s *Site) newRequest(id string, k requestKind, router, number int) *sentRequest {
	account := number % len(accounts)
	return &sentRequest{
		kind: k, id: id, stream: id, path: k.prefix + id, body: "body of " + id, account: accounts[account],
		router: router, began: s.since(),
	}
}

// takeUp continues a stream that has broken off at other routers, as long as it brings
// new events. got is what came of it.
func (s *Site) takeUp(ctx context.Context, client *http.Transport, r *sentRequest, got []byte) {
	for ctx.Err() == nil && r.kind.stream && !r.kind.atMostOnce && r.failure != nil && !r.abandoned && softwareOf(got) != "" {
		var next sentRequest
		s.ledger.update(r, func(r *sentRequest) { next = *r })
		next.id, next.software = r.id+"+", softwareOf(got)
		next.lastEvent = r.lastEvent + bytes.Count(got, []byte("\n\n"))
		next.router, next.began = (r.router+1)%len(s.routers), s.since()
		next.executions, next.failure, next.complete, next.status, next.sent = nil, nil, false, 0, 0
		r = &next
		client.CloseIdleConnections()
		got = s.exchange(client, r, 0)
	}
}

// exchange sends one request, checks the answer and records both in the ledger. It
// returns the bytes of the answer that came. The caller cancels the request after
// cancelAfter; 0 means never.
func (s *Site) exchange(client *http.Transport, r *sentRequest, cancelAfter time.Duration) []byte {
	s.ledger.begin(r)
	timeout := requestTimeout + maxAnswerDelay
	if cancelAfter > 0 {
		timeout = cancelAfter
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	status, got, err := s.send(ctx, client, r)
	s.ledger.update(r, func(r *sentRequest) {
		r.ended, r.status, r.complete, r.failure = s.since(), status, err == nil, err
		r.abandoned = cancelAfter > 0 && ctx.Err() != nil
	})
	return got
}

// send sends the request, then reads and checks the answer. It returns an error
// if no complete answer arrived, and what came of it.
func (s *Site) send(ctx context.Context, client *http.Transport, r *sentRequest) (status int, got []byte, err error) {
	// The body can be read only once, so that the transport cannot retry the
	// request.
	body := io.NopCloser(strings.NewReader(r.body))
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			s.ledger.update(r, func(r *sentRequest) { r.sent = s.since() })
		}
	}})
	request, err := http.NewRequestWithContext(traced, http.MethodPost, "http://"+s.routerAddress(r.router)+r.path, body)
	if err != nil {
		return 0, nil, err
	}
	request.ContentLength = int64(len(r.body))
	request.Host = siteHost
	head := outside.Request{ID: r.id, Key: accountKey(r.account), Timeout: requestTimeout, LastEvent: r.lastEvent, Resumes: r.stream}
	if r.kind.stream {
		head.PromptTokens, head.OutputTokens, head.SharedPart = promptTokens, outputTokens, "a"+fmt.Sprint(len(r.id)%3)
	}
	request.Header = head.HTTPHeader()
	response, err := client.RoundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	got, err = io.ReadAll(response.Body)
	s.checkAnswer(r, response, got, err == nil)
	return response.StatusCode, got, err
}

// expectedAnswer returns the only correct answer to a request; software is the version
// that began a stream.
func expectedAnswer(r *sentRequest, software string) []byte {
	if !r.kind.stream {
		return plainAnswer(r.id)
	}
	var events []byte
	for event := r.lastEvent + 1; event <= streamEvents; event++ {
		events = append(events, streamEvent(r.stream, software, event)...)
	}
	return events
}

// checkAnswer checks the status, the identity and the bytes of an answer. An
// incomplete answer must be a prefix of the expected one.
func (s *Site) checkAnswer(r *sentRequest, response *http.Response, got []byte, complete bool) {
	if response.StatusCode != http.StatusOK {
		if response.StatusCode < http.StatusInternalServerError && !outside.GuaranteesNotRun(response.StatusCode) {
			s.recorder.addFinding("DENIED", "%s (%s) was denied with status %d: %s", r.id, r.kind.name, response.StatusCode, got)
		}
		return
	}
	software := softwareOf(got)
	if software != "" && r.software != "" && software != r.software {
		s.recorder.addFinding("ORDER", "%s goes on at software %s a stream that began at %s", r.id, software, r.software)
	}
	want := expectedAnswer(r, software)
	switch {
	case outside.AnswerRequestID(response.Header) != r.id || outside.Stamp(response.Header) == "":
		s.recorder.addFinding("MIXED", "%s (%s) got an answer without stamp or with request id %q", r.id, r.kind.name, outside.AnswerRequestID(response.Header))
	case !bytes.HasPrefix(want, got):
		s.recorder.addFinding("MIXED", "%s (%s) got an answer with unexpected bytes: %q", r.id, r.kind.name, got)
	case complete && len(got) < len(want):
		s.recorder.addFinding("ORDER", "%s (%s) got an answer that ended without an error after %d of %d bytes", r.id, r.kind.name, len(got), len(want))
	}
}

// errNoResponse is returned when a request to the site gets no complete response.
var errNoResponse = errors.New("no complete response")

// send makes one request on a new connection and returns the status and body.
func send(ctx context.Context, address, method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	return sendWithHost(ctx, address, "", method, path, body, timeout)
}

// sendWithHost is like send, but sets the Host header to host.
func sendWithHost(ctx context.Context, address, host, method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = host
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return 0, nil, errors.Join(errNoResponse, err)
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, errors.Join(errNoResponse, err)
	}
	return response.StatusCode, got, nil
}
