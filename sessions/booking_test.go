package sessions_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
)

// callerResponse is the response to a caller's request.
type callerResponse struct {
	status     int
	outcome    string
	code       string
	retryAfter string
	replayed   bool
	body       string
}

// call sends a request of the account to daemon n. An error means that no
// complete response arrived.
func (f *fleet) call(ctx context.Context, n int, account, method, path, key, body string) (callerResponse, error) {
	r, err := http.NewRequestWithContext(ctx, method, f.callersURL(n)+path, strings.NewReader(body))
	if err != nil {
		return callerResponse{}, err
	}
	r.Header.Set("Authorization", "Bearer key-of-"+account)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return callerResponse{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return callerResponse{}, err
	}
	a := callerResponse{
		status: response.StatusCode, outcome: response.Header.Get("Oleanderramp-Outcome"), body: string(data),
		retryAfter: response.Header.Get("Retry-After"), replayed: response.Header.Get("Oleanderramp-Replayed") != "",
	}
	var refusal struct {
		Error struct{ Code string }
	}
	if json.Unmarshal(data, &refusal) == nil {
		a.code = refusal.Error.Code
	}
	return a, nil
}

// book books an order through daemon n, with the order as the idempotency key.
func (f *fleet) book(ctx context.Context, n int, order string) (callerResponse, error) {
	return f.call(ctx, n, "exhibitor-01", http.MethodPost, "/services/orders/bookings", order, fmt.Sprintf("{%q:%q}", "order", order))
}

// chat requests a completion through daemon n, without streaming.
func (f *fleet) chat(ctx context.Context, n int, account, content string, tokens int) (callerResponse, error) {
	body := fmt.Sprintf(`{"model":"standin","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, content)
	return f.call(ctx, n, account, http.MethodPost, "/v1/chat/completions", "", body)
}

// bookingRuns counts how often each order ran, from the logs of all order
// services ever started. They log a run before they respond.
func (f *fleet) bookingRuns() map[string]int {
	runs := make(map[string]int)
	all := append([]*process(nil), f.previous...)
	for _, p := range f.procs {
		all = append(all, p)
	}
	for _, p := range all {
		for line := range strings.Lines(p.stderr.String()) {
			var entry struct {
				Message string
				Fields  struct{ Order string }
			}
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Message == "booking ran" {
				runs[entry.Fields.Order]++
			}
		}
	}
	return runs
}

// seedOf returns and logs the seed of a history: the environment variable SEED,
// or a random number.
func seedOf(c *qt.C) uint64 {
	seed, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		seed = rand.Uint64()
	}
	c.Logf("SEED=%d", seed)
	return seed
}

// history records the operations of concurrent clients.
type history struct {
	started time.Time
	mu      sync.Mutex
	ops     []porcupine.Operation
}

func (h *history) now() int64 { return time.Since(h.started).Nanoseconds() }

func (h *history) add(op porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

// Parameters of the booking history.
const (
	bookingClients = 16
	bookingTimeout = 4 * time.Second
	// concurrentKeys is how many idempotency keys the clients use at a time.
	concurrentKeys = 3
	// attemptsPerKey is how many attempts are made before a new key replaces the
	// oldest.
	attemptsPerKey = 8
	// freezeUntilAbandoned is how long a daemon is frozen: long enough for the
	// quorum to abandon its booking records, which takes 15 s.
	freezeUntilAbandoned = 16 * time.Second
)

// bookingDelay makes bookings take long enough for faults to hit them while they
// run.
var bookingDelay = []string{"--work", "100ms"}

// bookOnce makes one attempt to book an order and records its outcome.
func (h *history) bookOnce(f *fleet, client, n int, order string) {
	ctx, cancel := context.WithTimeout(context.Background(), bookingTimeout)
	defer cancel()
	op := porcupine.Operation{ClientId: client, Call: h.now(), Input: bookingInput{key: order}}
	a, err := f.book(ctx, n, order)
	op.Return = h.now()
	out := bookingOutput{outcome: a.outcome, answer: a.body}
	if err != nil {
		out.outcome = "unknown"
	}
	if out.outcome == "unknown" {
		op.Return = endOfHistory
	}
	op.Output = out
	h.add(op)
}

// TestBookingHistory books concurrently through all daemons while daemons, the
// leader among them, and endpoints are killed, frozen and disconnected. It
// checks the history, including the endpoints' own counts of runs, against
// bookingModel.
func TestBookingHistory(t *testing.T) {
	c := qt.New(t)
	seed := seedOf(c)
	f := startRelayedFleet(c, 5, 5)
	for i := 1; i <= 3; i++ {
		c.Assert(f.startOrderService(i, regionOf(i+1), bookingDelay...), qt.IsNil)
		c.Assert(f.awaitEndpoint(1, fmt.Sprintf("orders-%d", i), "available"), qt.IsNil)
	}
	h := &history{started: time.Now()}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	attempts := 0
	for id := range bookingClients {
		random := rand.New(rand.NewPCG(seed, uint64(id)))
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				mu.Lock()
				firstOrder := attempts / attemptsPerKey
				attempts++
				mu.Unlock()
				h.bookOnce(f, id, 1+random.IntN(f.size), fmt.Sprintf("order-%d", firstOrder+random.IntN(concurrentKeys)))
			}
		})
	}
	f.injectBookingFaults(c, rand.New(rand.NewPCG(seed, 99)))
	close(stop)
	clients.Wait()
	for n := 1; n <= f.size; n++ {
		c.Assert(f.awaitVersion(n, 1), qt.IsNil)
	}
	h.rebookAll(f, seed)
	h.addRunCounts(f.bookingRuns())
	outcomes := make(map[string]int)
	for _, op := range h.ops {
		outcomes[op.Output.(bookingOutput).outcome]++
	}
	c.Logf("outcomes of %d operations: %v", len(h.ops), outcomes)
	c.Assert(outcomes["ok"] > len(h.ops)/4, qt.IsTrue)
	checkHistory(c, bookingModel, h.ops)
}

// checkHistory checks a history against the model. If it violates the model, the
// violating parts are logged and a visualization is written to the folder that
// the environment variable SESSION_LOGS names.
func checkHistory(c *qt.C, model porcupine.Model, ops []porcupine.Operation) {
	result, info := porcupine.CheckOperationsVerbose(model, ops, 30*time.Second)
	if result == porcupine.Ok {
		return
	}
	if folder := os.Getenv("SESSION_LOGS"); folder != "" {
		_ = porcupine.VisualizePath(model, info, folder+"/history.html")
	}
	parts := [][]porcupine.Operation{ops}
	if model.Partition != nil {
		parts = model.Partition(ops)
	}
	for _, part := range parts {
		if !porcupine.CheckOperations(model, part) {
			for _, op := range part {
				c.Logf("client %d, %d to %d ms: %+v -> %+v", op.ClientId, op.Call/1e6, op.Return/1e6, op.Input, op.Output)
			}
		}
	}
	c.Fatalf("checking the history against the model: %s", result)
}

// rebookAll books every order of the history once more, after all faults have
// ended.
func (h *history) rebookAll(f *fleet, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 100))
	seen := make(map[string]bool)
	for _, op := range h.ops {
		key := op.Input.(bookingInput).key
		if !seen[key] {
			seen[key] = true
			h.bookOnce(f, bookingClients, 1+random.IntN(f.size), key)
		}
	}
}

// addRunCounts appends the number of runs of each order to the history.
func (h *history) addRunCounts(runs map[string]int) {
	seen := make(map[string]bool)
	for _, op := range append([]porcupine.Operation(nil), h.ops...) {
		key := op.Input.(bookingInput).key
		if !seen[key] {
			seen[key] = true
			h.add(porcupine.Operation{
				ClientId: bookingClients, Call: h.now(), Return: h.now() + 1,
				Input: bookingInput{key: key, count: true}, Output: bookingOutput{runs: runs[key]},
			})
		}
	}
}

// startOrderService starts the order service orders-i in a region.
func (f *fleet) startOrderService(i int, region string, args ...string) error {
	all := []string{"--service", "orders", "--region", region, "--zone", region + "-a", "--lease", "1500ms"}
	return f.startStandin("orders", fmt.Sprintf("orders-%d", i), i, append(all, args...)...)
}

// injectBookingFaults kills, freezes and disconnects daemons and endpoints in an
// order that the seed determines. One daemon is frozen throughout, for longer
// than the quorum waits before it abandons the daemon's records. A majority of
// the five replicas stays available.
func (f *fleet) injectBookingFaults(c *qt.C, random *rand.Rand) {
	frozen := 1 + random.IntN(f.size)
	c.Assert(f.signal(f.host(frozen), syscall.SIGSTOP), qt.IsNil)
	resumeAt := time.Now().Add(freezeUntilAbandoned)
	others := make([]int, 0, f.size)
	for n := 1; n <= f.size; n++ {
		if n != frozen {
			others = append(others, n)
		}
	}
	pick := func() int { return others[random.IntN(len(others))] }
	faults := map[string]func(){
		"kill leader": func() {
			target := f.leader(pick())
			if target == 0 || target == frozen {
				target = pick()
			}
			c.Check(f.restart(target), qt.IsNil)
		},
		"kill daemon": func() { c.Check(f.restart(pick()), qt.IsNil) },
		"kill endpoint": func() {
			c.Check(f.kill("orders-2"), qt.IsNil)
			c.Check(f.startOrderService(2, regionOf(3), bookingDelay...), qt.IsNil)
		},
		"freeze endpoint": func() {
			c.Check(f.signal("orders-3", syscall.SIGSTOP), qt.IsNil)
			time.Sleep(3500 * time.Millisecond) // Longer than the progress timeout of bookings.
			c.Check(f.signal("orders-3", syscall.SIGCONT), qt.IsNil)
		},
		"freeze daemon": func() {
			target := pick()
			c.Check(f.signal(f.host(target), syscall.SIGSTOP), qt.IsNil)
			time.Sleep(2 * time.Second)
			c.Check(f.signal(f.host(target), syscall.SIGCONT), qt.IsNil)
		},
		"cut": func() {
			target := pick()
			f.relays.cut([]int{target}, others)
			time.Sleep(1500 * time.Millisecond)
			f.relays.heal([]int{target}, others)
		},
		"silence": func() { f.relays.silence(others, others) },
	}
	names := []string{"kill leader", "kill daemon", "kill endpoint", "freeze endpoint", "freeze daemon", "cut", "silence"}
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	c.Logf("daemon %d is frozen; faults: %v", frozen, names)
	for i := 0; time.Now().Before(resumeAt); i++ {
		faults[names[i%len(names)]]()
		time.Sleep(700 * time.Millisecond) // Let clients make progress between faults.
	}
	c.Check(f.signal(f.host(frozen), syscall.SIGCONT), qt.IsNil)
}

// restart kills daemon n and starts it again with its data.
func (f *fleet) restart(n int) error {
	if err := f.kill(f.host(n)); err != nil {
		return err
	}
	return f.startDaemon(n, false)
}
