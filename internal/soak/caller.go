package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"oleanderramp/platform/outside"
)

const (
	// patience is how long a caller waits for a whole answer.
	patience = 3 * time.Second
	// callerPause is the time between two requests of a caller, at the most.
	callerPause = 60 * time.Millisecond
	// leavingShare is the share of requests whose caller leaves early, in
	// percent.
	leavingShare = 5
	// promptTokens is the length of a prompt, outputTokens what is generated.
	promptTokens = 400
	outputTokens = 6 * streamEvents
	// siteHost is the host of all routes.
	siteHost = "soak.example"
)

// call sends requests through one router after the other until the context
// ends. It keeps its connection as long as that works.
func (s *Site) call(ctx context.Context, number int, random *rand.Rand) {
	client := newClient()
	defer client.CloseIdleConnections()
	router := number % len(s.routers)
	for count := 0; ctx.Err() == nil; count++ {
		k := kinds[random.IntN(len(kinds))]
		request := s.newRequest(fmt.Sprintf("c%d-%d", number, count), k, router, number)
		leaveAt := time.Duration(0)
		if random.IntN(100) < leavingShare {
			leaveAt = time.Duration(random.IntN(100)) * time.Millisecond
		}
		s.exchange(client, request, leaveAt)
		if request.failure != nil || outside.GuaranteesNotRun(request.status) {
			client.CloseIdleConnections()
			router = (router + 1) % len(s.routers)
		}
		sleep(ctx, time.Duration(random.Int64N(int64(callerPause))))
	}
}

// newClient returns a client that keeps connections and repeats nothing.
func newClient() *http.Transport { return &http.Transport{DisableCompression: true} }

func (s *Site) newRequest(id string, k kind, router, number int) *sent {
	account := number % len(accounts)
	return &sent{
		kind: k, id: id, path: k.prefix + id, body: "body of " + id, account: accounts[account],
		router: router, began: s.since(),
	}
}

// exchange sends one request, checks its answer and records both. A caller that
// leaves does so after a while; 0 for never.
func (s *Site) exchange(client *http.Transport, r *sent, leaveAt time.Duration) {
	s.ledger.begin(r)
	limit := patience
	if leaveAt > 0 {
		limit = leaveAt
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	status, whole, err := s.send(ctx, client, r)
	s.ledger.end(r, func(r *sent) {
		r.ended, r.status, r.whole, r.failure = s.since(), status, whole, err
		r.abandoned = ctx.Err() != nil
	})
}

// send sends the request and reads its answer. The error says that there is
// none that is whole.
func (s *Site) send(ctx context.Context, client *http.Transport, r *sent) (status int, whole bool, err error) {
	// The body can't be read twice, so that the client repeats nothing.
	body := io.NopCloser(strings.NewReader(r.body))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.routerAddress(r.router)+r.path, body)
	if err != nil {
		return 0, false, err
	}
	request.ContentLength = int64(len(r.body))
	request.Host = siteHost
	head := outside.Request{ID: r.id, Key: keyOf(r.account), Timeout: patience}
	if r.kind.stream {
		head.PromptTokens, head.OutputTokens, head.SharedPart = promptTokens, outputTokens, "a"+fmt.Sprint(len(r.id)%3)
	}
	request.Header = head.HTTPHeader()
	response, err := client.RoundTrip(request)
	if err != nil {
		return 0, false, err
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	s.checkAnswer(r, response, got, err == nil)
	return response.StatusCode, err == nil, err
}

// wantedAnswer returns the only right answer to a request.
func wantedAnswer(r *sent) []byte {
	if !r.kind.stream {
		return plainAnswer(r.id)
	}
	var events []byte
	for event := 1; event <= streamEvents; event++ {
		events = append(events, streamEvent(r.id, event)...)
	}
	return events
}

// checkAnswer checks what a caller got. Answers that broke off may be a part
// of the right one.
func (s *Site) checkAnswer(r *sent, response *http.Response, got []byte, whole bool) {
	if response.StatusCode != http.StatusOK {
		if response.StatusCode < http.StatusInternalServerError && !outside.GuaranteesNotRun(response.StatusCode) {
			s.journal.find("DENIED", "%s (%s) got %d: %s", r.id, r.kind.name, response.StatusCode, got)
		}
		return
	}
	want := wantedAnswer(r)
	switch {
	case outside.AnswerRequestID(response.Header) != r.id || outside.Stamp(response.Header) == "":
		s.journal.find("MIXED", "%s (%s) got the answer to %q", r.id, r.kind.name, outside.AnswerRequestID(response.Header))
	case !bytes.HasPrefix(want, got):
		s.journal.find("MIXED", "%s (%s) got other bytes: %q", r.id, r.kind.name, got)
	case whole && len(got) < len(want):
		s.journal.find("ORDER", "%s (%s) ended as whole after %d of %d bytes", r.id, r.kind.name, len(got), len(want))
	}
}

// errNoAnswer says that a call to the site got no answer.
var errNoAnswer = errors.New("no answer")

// send makes one call on a connection of its own.
func send(ctx context.Context, address, method, path string, body []byte, limit time.Duration) (int, []byte, error) {
	return sendTo(ctx, address, "", method, path, body, limit)
}

// sendTo is send for a host that the address does not name.
func sendTo(ctx context.Context, address, host, method, path string, body []byte, limit time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = host
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return 0, nil, errors.Join(errNoAnswer, err)
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, errors.Join(errNoAnswer, err)
	}
	return response.StatusCode, got, nil
}
