package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/standin"
	"oleanderramp/internal/wire"
)

// daemon is a test server that receives announcements through the handler of
// the real daemon.
type daemon struct {
	*httptest.Server
	announced chan *wire.Announcement
}

func newDaemon(t *testing.T, err error) *daemon {
	t.Helper()
	d := &daemon{announced: make(chan *wire.Announcement, 1000)}
	mux := http.NewServeMux()
	mux.Handle("/v1/announcements", endpoint.NewAnnouncements(func(m *wire.Announcement) error {
		d.announced <- m
		return err
	}, endpoint.AnnouncementLimits{}))
	d.Server = httptest.NewServer(mux)
	t.Cleanup(d.Close)
	return d
}

// waitFor waits for an announcement that satisfies wanted.
func (d *daemon) waitFor(t *testing.T, wanted func(*wire.Announcement) bool) *wire.Announcement {
	t.Helper()
	for {
		select {
		case m := <-d.announced:
			if wanted(m) {
				return m
			}
		case <-t.Context().Done():
			t.Fatal("test ended before a matching announcement arrived")
		}
	}
}

func newEngine(t *testing.T, change func(*standin.EngineConfig)) *standin.Engine {
	t.Helper()
	config := standin.EngineConfig{
		Config: standin.Config{
			Endpoint: "e1", Service: "manuals", Incarnation: 5, AnnounceInterval: 5 * time.Millisecond,
		},
		TokenInterval:   -1,
		FirstTokenDelay: -1,
	}
	if change != nil {
		change(&config)
	}
	engine, err := standin.NewEngine(config)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(engine.Close)
	return engine
}

// request sends a request and returns the status and body of the response. It
// checks that the request id is echoed, except on the control and order paths.
func request(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	r.Header.Set(endpoint.HeaderRequest, "r-"+t.Name())
	response, err := http.DefaultClient.Do(r)
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, response.Header.Get(endpoint.HeaderRequest) == "r-"+t.Name() ||
		strings.Contains(url, "/control/") || strings.Contains(url, "/v1/orders"), qt.IsTrue)
	return response.StatusCode, string(data)
}

func TestAnnouncementsGoToTheNextDaemon(t *testing.T) {
	refusing := newDaemon(t, &endpoint.RefusedError{Code: "unknown_service", Message: "no such service"})
	accepting := newDaemon(t, nil)
	engine := newEngine(t, func(c *standin.EngineConfig) {
		c.AnnounceTo = []string{"http://127.0.0.1:1", refusing.URL, accepting.URL + "/"}
		c.ChecksFencing = true
		c.Adapters = []string{"stands"}
	})
	first := accepting.waitFor(t, func(*wire.Announcement) bool { return true })
	qt.Check(t, first.Address, qt.Equals, engine.Addr())
	qt.Check(t, first.Incarnation, qt.Equals, uint64(5))
	qt.Check(t, first.ChecksFencing, qt.IsTrue)
	qt.Check(t, first.Adapters, qt.DeepEquals, []string{"stands"})
	next := accepting.waitFor(t, func(*wire.Announcement) bool { return true })
	qt.Check(t, next.Sequence > first.Sequence, qt.IsTrue)
}

func TestCachedPrefixesAndLoadedModelsAreAnnounced(t *testing.T) {
	d := newDaemon(t, nil)
	engine := newEngine(t, func(c *standin.EngineConfig) { c.AnnounceTo = []string{d.URL} })
	prompt := strings.Repeat("stand ", 100)
	status, _ := request(t, http.MethodPost, "http://"+engine.Addr()+"/v1/completions", `{"prompt":"`+prompt+`"}`)
	qt.Check(t, status, qt.Equals, http.StatusOK)
	got := d.waitFor(t, func(m *wire.Announcement) bool { return len(m.Cached) > 0 })
	qt.Check(t, got.Cached, qt.HasLen, 2)
	status, _ = request(t, http.MethodPost, "http://"+engine.Addr()+"/v1/orders", `{"order":"load_model","name":"m2"}`)
	qt.Check(t, status, qt.Equals, http.StatusOK)
	got = d.waitFor(t, func(m *wire.Announcement) bool { return len(m.Models) == 2 })
	qt.Check(t, got.Models, qt.DeepEquals, []string{"standin", "m2"})
}

// Each caller must receive the complete answer to its own request, also with
// more callers than slots.
func TestEachCallerReceivesItsOwnAnswer(t *testing.T) {
	engine := newEngine(t, func(c *standin.EngineConfig) { c.Slots = 2 })
	var callers sync.WaitGroup
	for i := range 20 {
		callers.Go(func() {
			prompt := fmt.Sprintf("caller %d asks", i)
			body := fmt.Sprintf(`{"messages":[{"role":"user","content":%q}],"max_tokens":%d}`, prompt, i+1)
			response, err := http.Post("http://"+engine.Addr()+"/v1/chat/completions", "application/json", strings.NewReader(body))
			if !qt.Check(t, err, qt.IsNil) {
				return
			}
			defer response.Body.Close()
			var answer struct {
				Choices []struct{ Message struct{ Content string } }
				Usage   struct {
					CompletionTokens int `json:"completion_tokens"`
				}
			}
			qt.Check(t, json.NewDecoder(response.Body).Decode(&answer), qt.IsNil)
			want := strings.Join(standin.Answer(prompt, i+1), "")
			qt.Check(t, answer.Choices[0].Message.Content, qt.Equals, want)
			qt.Check(t, answer.Usage.CompletionTokens, qt.Equals, i+1)
		})
	}
	callers.Wait()
	running, queued := engine.Load()
	qt.Check(t, running+queued, qt.Equals, 0)
}

func TestLeaveFinishesTheRequestsInFlight(t *testing.T) {
	d := newDaemon(t, nil)
	engine := newEngine(t, func(c *standin.EngineConfig) {
		c.AnnounceTo = []string{d.URL}
		c.TokenInterval = time.Millisecond
	})
	body := `{"prompt":"a b","max_tokens":200,"stream":true}`
	response, err := http.Post("http://"+engine.Addr()+"/v1/completions", "application/json", strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	left := make(chan error, 1)
	go func() { left <- engine.Leave(context.Background()) }()
	d.waitFor(t, func(m *wire.Announcement) bool { return m.Leaving })
	data, err := io.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, bytes.HasSuffix(data, []byte("data: [DONE]\n\n")), qt.IsTrue)
	qt.Check(t, <-left, qt.IsNil)
}

func TestFencing(t *testing.T) {
	tests := []struct {
		checks bool
		want   int
	}{{true, http.StatusConflict}, {false, http.StatusOK}}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.checks), func(t *testing.T) {
			engine := newEngine(t, func(c *standin.EngineConfig) { c.ChecksFencing = test.checks })
			url := "http://" + engine.Addr() + "/v1/orders"
			for _, order := range []struct {
				body string
				want int
			}{
				{`{"order":"load_model","name":"m","fence":3}`, http.StatusOK},
				{`{"order":"set_role","name":"prefill","fence":3}`, http.StatusOK},
				{`{"order":"load_model","name":"old","fence":2}`, test.want},
				{`{"order":"sing","name":"x","fence":4}`, http.StatusBadRequest},
				{`{"order":"load_model","fence":4}`, http.StatusBadRequest},
			} {
				status, _ := request(t, http.MethodPost, url, order.body)
				qt.Check(t, status, qt.Equals, order.want, qt.Commentf("%s", order.body))
			}
		})
	}
}

func TestOrders(t *testing.T) {
	orders, err := standin.NewOrders(standin.OrdersConfig{Config: standin.Config{Endpoint: "o1", Service: "orders"}})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(orders.Close)
	url := "http://" + orders.Addr()
	for _, step := range []struct {
		method, path, body string
		status             int
		want               string
	}{
		{"POST", "/bookings", `{"order":"power"}`, 201, `{"booking":1,"order":"power","run":1,"endpoint":"o1"}`},
		{"POST", "/bookings", `{"order":"power"}`, 201, `{"booking":2,"order":"power","run":2,"endpoint":"o1"}`},
		{"POST", "/bookings", `{}`, 400, ""},
		{"GET", "/bookings/2", "", 200, `{"booking":2,"order":"power","run":2,"endpoint":"o1"}`},
		{"GET", "/bookings/3", "", 404, ""},
		{"GET", "/bookings/0", "", 404, ""},
		{"GET", "/status", "", 200, `{"endpoint":"o1","bookings":2}`},
		{"GET", "/control/runs", "", 200, `{"runs":{"power":2}}`},
		{"POST", "/control/faults", `{"fault":"refuse","count":1}`, 204, ""},
		{"POST", "/bookings", `{"order":"power"}`, 503, ""},
		{"POST", "/control/faults", `{"fault":"tease"}`, 400, ""},
		{"GET", "/control/runs", "", 200, `{"runs":{"power":2}}`},
	} {
		status, body := request(t, step.method, url+step.path, step.body)
		qt.Check(t, status, qt.Equals, step.status, qt.Commentf("%s %s", step.method, step.path))
		if step.want != "" {
			qt.Check(t, strings.TrimSpace(body), qt.Equals, step.want)
		}
	}
}

func TestCrashOnMarkedRequest(t *testing.T) {
	engine := newEngine(t, func(c *standin.EngineConfig) { c.CrashMarker = "boom" })
	url := "http://" + engine.Addr() + "/v1/completions"
	status, _ := request(t, http.MethodPost, url, `{"prompt":"harmless"}`)
	qt.Check(t, status, qt.Equals, http.StatusOK)
	_, err := http.Post(url, "application/json", strings.NewReader(`{"prompt":"boom"}`))
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, engine.Crashed(), qt.IsTrue)
	_, err = http.Get("http://" + engine.Addr() + "/health")
	qt.Check(t, err, qt.IsNotNil)
}

// TestPausedEngineGoesOn checks that an engine that pauses sends nothing on open and on
// new connections, and then the whole answers.
func TestPausedEngineGoesOn(t *testing.T) {
	const pause = 200 * time.Millisecond
	c := qt.New(t)
	engine := newEngine(t, func(c *standin.EngineConfig) { c.TokenInterval = time.Millisecond })
	url := "http://" + engine.Addr()
	response, err := http.Post(url+"/v1/completions", "application/json", strings.NewReader(`{"prompt":"a b","max_tokens":50,"stream":true}`))
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	start := time.Now()
	status, _ := request(t, http.MethodPost, url+"/control/faults", fmt.Sprintf(`{"fault":"pause","pause_ms":%d}`, pause.Milliseconds()))
	c.Assert(status, qt.Equals, http.StatusNoContent)
	status, _ = request(t, http.MethodPost, url+"/v1/completions", `{"prompt":"a b"}`)
	c.Check(status, qt.Equals, http.StatusOK)
	c.Check(time.Since(start) >= pause, qt.IsTrue)
	data, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Check(bytes.HasSuffix(data, []byte("data: [DONE]\n\n")), qt.IsTrue)
	c.Check(bytes.Count(data, []byte("\n\n")) >= 50, qt.IsTrue)
}

func TestPauseNeedsALength(t *testing.T) {
	engine := newEngine(t, nil)
	err := engine.Inject(standin.Fault{Fault: standin.FaultPause})
	qt.Check(t, err, qt.ErrorMatches, `fault "pause": pause_ms must be at least 1, got 0`)
}

// TestPausedEngineCloses checks that a pause does not delay the end of an engine.
func TestPausedEngineCloses(t *testing.T) {
	engine := newEngine(t, nil)
	qt.Assert(t, engine.Inject(standin.Fault{Fault: standin.FaultPause, PauseMS: 3_600_000}), qt.IsNil)
	failed := make(chan error)
	go func() {
		_, err := http.Get("http://" + engine.Addr() + "/health")
		failed <- err
	}()
	engine.Close()
	qt.Check(t, <-failed, qt.IsNotNil)
}

func TestConfigFindings(t *testing.T) {
	_, err := standin.NewEngine(standin.EngineConfig{Config: standin.Config{Listen: "localhost:1", Slots: -1, AnswerDelay: -1}})
	qt.Check(t, err, qt.ErrorMatches, `(?s)engine: listen: must be IP:port.*slots: .*endpoint: .*service: .*late: .*`)
}
