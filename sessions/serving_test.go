package sessions_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// requestTimeout bounds each request, also while a fault is present.
const requestTimeout = 10 * time.Second

// startEngine starts the model engine engine-i in a region.
func (f *fleet) startEngine(i int, region string, args ...string) error {
	all := []string{
		"--service", "assistant", "--region", region, "--zone", region + "-a",
		"--first-token", "1ms", "--token-interval", "1ms", "--lease", "1500ms",
	}
	return f.startStandin("engine", engineName(i), i, append(all, args...)...)
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i) }

// mustChat requests a completion through daemon n and checks that the response
// is complete and belongs to this request: the stand-in repeats the words of the
// prompt, here the ID.
func (f *fleet) mustChat(c *qt.C, n int, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	a, err := f.chat(ctx, n, "exhibitor-02", id, 4)
	if !c.Check(err, qt.IsNil, qt.Commentf("%s at daemon %d", id, n)) {
		return
	}
	c.Check(a.outcome, qt.Equals, "ok", qt.Commentf("%s at daemon %d: %+v", id, n, a))
	c.Check(strings.Count(a.body, id), qt.Equals, 4, qt.Commentf("%s: %s", id, a.body))
}

// load runs clients that send completion and booking requests until it is
// stopped.
type load struct {
	stopped chan struct{}
	clients sync.WaitGroup
	chats   atomic.Int32
	// orders counts the booked orders. Each must run exactly once.
	orders atomic.Int32
}

// startLoad starts one client for completions and one for bookings at each of
// the daemons.
func (f *fleet) startLoad(c *qt.C, daemons ...int) *load {
	l := &load{stopped: make(chan struct{})}
	for _, n := range daemons {
		l.repeat(func() { f.mustChat(c, n, fmt.Sprintf("chat-%d", l.chats.Add(1))) })
		l.repeat(func() { f.mustBook(c, n, fmt.Sprintf("order-%d", l.orders.Add(1)-1)) })
	}
	return l
}

func (l *load) repeat(work func()) {
	l.clients.Go(func() {
		for {
			select {
			case <-l.stopped:
				return
			default:
				work()
			}
		}
	})
}

// finish stops the load and checks that every order ran exactly once. It doesn't
// check how much was served; awaitProgress does.
func (l *load) finish(c *qt.C, f *fleet) {
	c.Helper()
	close(l.stopped)
	l.clients.Wait()
	c.Logf("%d chats, %d orders", l.chats.Load(), l.orders.Load())
	f.checkRanOnce(c, int(l.orders.Load()))
}

// awaitProgress waits until n more completions and n more bookings have started.
// A client starts a request only after its previous one was served, so this shows
// that requests are being served.
func (l *load) awaitProgress(c *qt.C, n int32) {
	c.Helper()
	chats, orders := l.chats.Load()+n, l.orders.Load()+n
	c.Assert(waitFor("progress of the load", func() error {
		if l.chats.Load() < chats || l.orders.Load() < orders {
			return fmt.Errorf("%d chats and %d orders, want %d and %d", l.chats.Load(), l.orders.Load(), chats, orders)
		}
		return nil
	}), qt.IsNil)
}

// startServingFleet starts a fleet with two engines and two order services in the
// region maz.
func startServingFleet(c *qt.C, size, replicas int) *fleet {
	f := startRelayedFleet(c, size, replicas)
	for i := 1; i <= 2; i++ {
		c.Assert(f.startEngine(i, "maz"), qt.IsNil)
		c.Assert(f.startOrderService(i+2, "maz"), qt.IsNil)
	}
	for n := 1; n <= size; n++ {
		for _, name := range []string{"engine-1", "engine-2", "orders-3", "orders-4"} {
			c.Assert(f.awaitEndpoint(n, name, "available"), qt.IsNil)
		}
	}
	return f
}

// TestSilentConnections twice drops all further data on the open connections
// between daemons without closing them, while new connections work. Every daemon
// must detect this and serve requests again within seconds.
func TestSilentConnections(t *testing.T) {
	c := qt.New(t)
	f := startServingFleet(c, 3, 3)
	l := f.startLoad(c, 1, 2, 3)
	for range 2 {
		l.awaitProgress(c, 10)
		f.relays.silence([]int{1, 2, 3}, []int{1, 2, 3})
		for n := 1; n <= f.size; n++ {
			f.mustChat(c, n, fmt.Sprintf("again-%d", n))
		}
	}
	l.awaitProgress(c, 10)
	l.finish(c, f)
}

// schedulerOf returns the daemon that last granted a slot of the service, from
// the logs, or 0.
func (f *fleet) schedulerOf(service string) int {
	latest, granter := "", 0
	for n := 1; n <= f.size; n++ {
		for line := range strings.Lines(f.procs[f.host(n)].stderr.String()) {
			var entry struct {
				Message, Timestamp string
				Fields             struct{ Service string }
			}
			if json.Unmarshal([]byte(line), &entry) != nil || entry.Message != "slot granted" || entry.Fields.Service != service {
				continue
			}
			if entry.Timestamp > latest {
				latest, granter = entry.Timestamp, n
			}
		}
	}
	return granter
}

// daemonsExcept returns all daemons but one.
func (f *fleet) daemonsExcept(without int) []int {
	var list []int
	for n := 1; n <= f.size; n++ {
		if n != without {
			list = append(list, n)
		}
	}
	return list
}

// TestSchedulerHostLost takes away the daemon that schedules a service and
// brings it back, under load at the other daemons: it kills and restarts the
// daemon, or freezes and continues it. Requests must be served throughout.
func TestSchedulerHostLost(t *testing.T) {
	tests := []struct {
		name    string
		fail    func(c *qt.C, f *fleet, n int)
		restore func(c *qt.C, f *fleet, n int)
	}{
		{"killed", func(c *qt.C, f *fleet, n int) { c.Assert(f.kill(f.host(n)), qt.IsNil) },
			func(c *qt.C, f *fleet, n int) { c.Assert(f.startDaemon(n, false), qt.IsNil) }},
		{"frozen", func(c *qt.C, f *fleet, n int) { c.Assert(f.signal(f.host(n), syscall.SIGSTOP), qt.IsNil) },
			func(c *qt.C, f *fleet, n int) { c.Assert(f.signal(f.host(n), syscall.SIGCONT), qt.IsNil) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := startServingFleet(c, 5, 3)
			for _, service := range []string{"assistant", "orders"} {
				f.mustChat(c, 1, "first")
				f.mustBook(c, 1, "first-"+service)
				target := f.schedulerOf(service)
				c.Assert(target, qt.Not(qt.Equals), 0)
				l := f.startLoad(c, f.daemonsExcept(target)...)
				l.awaitProgress(c, 5)
				test.fail(c, f, target)
				l.awaitProgress(c, 5)
				test.restore(c, f, target)
				c.Assert(f.awaitVersion(target, 1), qt.IsNil)
				l.awaitProgress(c, 5)
				l.finish(c, f)
			}
		})
	}
}

// TestRegionPartition disconnects the region with the majority of the replicas
// from the others. Both sides must serve idempotent requests, and the minority
// must refuse requests that may run only once. No daemon may go back to an
// earlier bundle version.
func TestRegionPartition(t *testing.T) {
	c := qt.New(t)
	f := startRelayedFleet(c, 5, 3)
	maz, others := []int{1, 2, 5}, []int{3, 4}
	for i, region := range []string{"maz", "wlkp"} {
		c.Assert(f.startEngine(1+i, region), qt.IsNil)
		c.Assert(f.startOrderService(3+i, region), qt.IsNil)
	}
	for n := 1; n <= f.size; n++ {
		for _, name := range []string{"engine-1", "engine-2", "orders-3", "orders-4"} {
			c.Assert(f.awaitEndpoint(n, name, "available"), qt.IsNil)
		}
	}
	stopWatching := make(chan struct{})
	var watchers sync.WaitGroup
	for n := 1; n <= f.size; n++ {
		watchers.Go(func() { f.watchVersions(c, n, stopWatching) })
	}
	f.relays.isolate(maz, others)
	l := &load{stopped: make(chan struct{})}
	for n := 1; n <= f.size; n++ {
		l.repeat(func() { f.mustChat(c, n, fmt.Sprintf("chat-%d", l.chats.Add(1))) })
	}
	for _, n := range maz {
		l.repeat(func() { f.mustBook(c, n, fmt.Sprintf("order-%d", l.orders.Add(1)-1)) })
	}
	l.awaitProgress(c, 20)
	c.Assert(f.acceptAt(1, newDocument(5, 1)), qt.IsNil)
	for _, n := range others {
		a, err := f.book(timeoutContext(c, requestTimeout), n, "minority")
		c.Assert(err, qt.IsNil)
		c.Check(a.outcome, qt.Equals, "not_run", qt.Commentf("%+v", a))
		c.Check(a.code, qt.Equals, "no_quorum")
		c.Check(a.retryAfter, qt.Not(qt.Equals), "")
	}
	l.awaitProgress(c, 20)
	f.relays.heal(maz, others)
	for n := 1; n <= f.size; n++ {
		c.Assert(f.awaitVersion(n, 2), qt.IsNil)
	}
	f.mustBook(c, 3, "minority")
	l.awaitProgress(c, 20)
	l.finish(c, f)
	c.Check(f.bookingRuns()["minority"], qt.Equals, 1)
	close(stopWatching)
	watchers.Wait()
}

// TestRoutersRestartedWithoutData kills a third of the routers and restarts them
// without their data folders, under load at the others.
func TestRoutersRestartedWithoutData(t *testing.T) {
	c := qt.New(t)
	f := startServingFleet(c, 6, 3)
	l := f.startLoad(c, 1, 2, 3, 4)
	l.awaitProgress(c, 5)
	for _, n := range []int{5, 6} {
		c.Assert(f.kill(f.host(n)), qt.IsNil)
		c.Assert(os.RemoveAll(f.dataFolder(n)), qt.IsNil)
		c.Assert(f.startDaemon(n, false), qt.IsNil)
	}
	for _, n := range []int{5, 6} {
		c.Assert(f.awaitVersion(n, 1), qt.IsNil)
		f.mustChat(c, n, "back")
		f.mustBook(c, n, fmt.Sprintf("back-%d", n))
	}
	l.awaitProgress(c, 5)
	l.finish(c, f)
}

// TestGracefulStop sends SIGTERM to a daemon during a stream. The stream must
// complete, new requests must be refused with the outcome not_run, and the exit
// code must be 0.
func TestGracefulStop(t *testing.T) {
	c := qt.New(t)
	f := startRelayedFleet(c, 3, 3)
	c.Assert(f.startEngine(1, "maz", "--token-interval", "20ms"), qt.IsNil)
	c.Assert(f.awaitEndpoint(2, "engine-1", "available"), qt.IsNil)
	const tokens = 100
	body := fmt.Sprintf(`{"model":"standin","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"whole"}]}`, tokens)
	response, err := sendRequest(f, []string{"2", "exhibitor-01", "POST", "/v1/chat/completions", body})
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	c.Assert(f.signal(f.host(2), syscall.SIGTERM), qt.IsNil)
	c.Assert(waitFor("refusal of new requests", func() error {
		a, err := f.chat(context.Background(), 2, "exhibitor-02", "refused", 1)
		if err != nil {
			return err
		}
		if a.outcome != "not_run" || a.code != "draining" || a.retryAfter == "" {
			return fmt.Errorf("response: %+v", a)
		}
		return nil
	}), qt.IsNil)
	data, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Check(bytes.Count(data, []byte(`"content":"whole`)), qt.Equals, tokens)
	c.Check(bytes.HasSuffix(bytes.TrimSpace(data), []byte("data: [DONE]")), qt.IsTrue)
	code, err := f.awaitExit(f.host(2))
	c.Assert(err, qt.IsNil)
	c.Check(code, qt.Equals, 0)
	f.mustChat(c, 1, "after")
}

// crashedStandins returns how many stand-ins were crashed by a request.
func (f *fleet) crashedStandins() int {
	count := 0
	for _, p := range f.procs {
		select {
		case <-p.exited:
			if p.cmd.ProcessState.ExitCode() == crashExitCode {
				count++
			}
		default:
		}
	}
	return count
}

// crashExitCode is the exit code of a stand-in that a request crashed.
const crashExitCode = 70

// TestCrashingRequest repeatedly sends a request that crashes each engine that
// runs it through all daemons: at once, unless an answer says that the report of the
// crash is unconfirmed. At most two engines may crash, further repeats must be refused
// as not run, and the other requests must be served.
func TestCrashingRequest(t *testing.T) { testCrashingRequest(t, 0) }

// TestCrashingRequestWithoutRetry does the same with routers that make only one
// attempt, so that each crash is seen by a different daemon.
func TestCrashingRequestWithoutRetry(t *testing.T) { testCrashingRequest(t, 1) }

func testCrashingRequest(t *testing.T, maxAttempts int) {
	c := qt.New(t)
	f := startRelayedFleet(c, 5, 3)
	document := newDocument(4, 1)
	document.Note = "attempts"
	kind := document.Services[0].Kinds[0]
	kind.Name, kind.MaxAttempts = "crashing", maxAttempts
	document.Services[0].Kinds = append(document.Services[0].Kinds, kind)
	c.Assert(f.accept(document), qt.IsNil)
	const engines = 8
	for i := 1; i <= engines; i++ {
		c.Assert(f.startEngine(i, "maz", "--crash-marker", "poison", "--token-interval", "30ms", "--slots", "2"), qt.IsNil)
	}
	for n := 1; n <= f.size; n++ {
		c.Assert(f.awaitVersion(n, 2), qt.IsNil)
		for i := 1; i <= engines; i++ {
			c.Assert(f.awaitEndpoint(n, engineName(i), "available"), qt.IsNil)
		}
	}
	l := &load{stopped: make(chan struct{})}
	for i := range engines {
		l.repeat(func() { f.mustChat(c, 1+i%f.size, fmt.Sprintf("chat-%d", l.chats.Add(1))) })
	}
	runs := 1
	if maxAttempts == 1 {
		runs = 2
	}
	for attempt := range 3 * f.size {
		n := fmt.Sprint(1 + attempt%f.size)
		start := time.Now()
		response, err := sendRequest(f, []string{n, "exhibitor-01", "POST", "/v1/chat/completions", "Oleanderramp-Kind=crashing",
			`{"model":"standin","max_tokens":4,"messages":[{"role":"user","content":"poison"}]}`})
		c.Assert(err, qt.IsNil)
		body, err := io.ReadAll(response.Body)
		c.Check(errors.Join(err, response.Body.Close()), qt.IsNil)
		outcome := response.Header.Get("Oleanderramp-Outcome")
		c.Check(outcome, qt.Equals, map[bool]string{true: "failed", false: "not_run"}[attempt < runs], qt.Commentf("attempt %d", attempt))
		c.Check(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "", qt.Commentf("attempt %d", attempt))
		awaitCrashReport(c, response.Header, string(body), time.Since(start))
	}
	close(l.stopped)
	l.clients.Wait()
	c.Check(l.chats.Load() >= engines, qt.IsTrue)
	c.Check(f.crashedStandins() <= 2, qt.IsTrue, qt.Commentf("%d engines crashed", f.crashedStandins()))
}

// awaitCrashReport waits as long as an answer asks whose report of a crash is
// unconfirmed. Such an answer must have waited for the slowest replica, or for the
// report.
func awaitCrashReport(c *qt.C, header http.Header, body string, took time.Duration) {
	c.Helper()
	if !strings.Contains(body, "unconfirmed") {
		return
	}
	const minWait, reportTimeout = 300 * time.Millisecond, 10 * time.Second
	c.Logf("a report was unconfirmed after %v: %s", took, body)
	c.Check(took >= minWait, qt.IsTrue, qt.Commentf("unconfirmed after %v", took))
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	c.Check(err, qt.IsNil)
	c.Check(seconds >= int(reportTimeout.Seconds()), qt.IsTrue, qt.Commentf("Retry-After %d", seconds))
	time.Sleep(reportTimeout)
}

// served returns how many requests stand-in i has started.
func (f *fleet) served(c *qt.C, i int) int {
	c.Helper()
	body, err := get(f.standinURL(i) + "/control/status")
	c.Assert(err, qt.IsNil)
	var status struct{ Served int }
	c.Assert(json.Unmarshal([]byte(body), &status), qt.IsNil)
	return status.Served
}

// TestEndpointRemoval removes an engine in each possible way. The engine must get
// no new requests after a few seconds, and no request may fail.
func TestEndpointRemoval(t *testing.T) {
	tests := []struct {
		name string
		// state is the endpoint state that operators see; empty if the engine has
		// exited.
		state  string
		remove func(c *qt.C, f *fleet) error
	}{
		{"leaving", "leaving", func(c *qt.C, f *fleet) error {
			response, err := http.Post(f.standinURL(1)+"/control/faults", "application/json", strings.NewReader(`{"fault":"leave"}`))
			if err == nil {
				err = response.Body.Close()
			}
			return err
		}},
		{"drained", "drained", func(c *qt.C, f *fleet) error {
			return f.operatorClient(2).Drain(timeoutContext(c, requestTimeout), "assistant", "engine-1")
		}},
		{"terminated", "", func(_ *qt.C, f *fleet) error { return f.signal("engine-1", syscall.SIGTERM) }},
		{"killed", "", func(_ *qt.C, f *fleet) error { return f.kill("engine-1") }},
		{"frozen", "expired", func(_ *qt.C, f *fleet) error { return f.signal("engine-1", syscall.SIGSTOP) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := startServingFleet(c, 3, 3)
			l := f.startLoad(c, 1, 2, 3)
			l.awaitProgress(c, 10)
			c.Assert(test.remove(c, f), qt.IsNil)
			if test.state == "" {
				code, err := f.awaitExit("engine-1")
				c.Assert(err, qt.IsNil)
				c.Check(code, qt.Equals, map[bool]int{true: 0, false: -1}[test.name == "terminated"])
			} else {
				for n := 1; n <= f.size; n++ {
					c.Assert(f.awaitEndpoint(n, "engine-1", test.state), qt.IsNil)
				}
			}
			if test.state == "leaving" || test.state == "drained" {
				l.awaitProgress(c, 5)
				before := f.served(c, 1)
				l.awaitProgress(c, 30)
				c.Check(f.served(c, 1), qt.Equals, before)
			}
			l.awaitProgress(c, 10)
			l.finish(c, f)
		})
	}
}
