package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["prompt-parts"] = promptPartsCase
	cases["crash-parts"] = crashPartsCase
}

const (
	// longParts is how many parts a long prompt has. The header of its request stays below
	// maxHeaderBytes. shortParts is how many an ordinary prompt has.
	longParts  = 1900
	shortParts = 3
	// orderTimeout is the timeoutMs of the route of the ordinary requests.
	orderTimeout = 2500 * time.Millisecond
	// answerSlack is how long after that the rule CONFIG waits for the final answer.
	answerSlack = 500 * time.Millisecond
)

// crash ends the engine as a crash does: its connections break, and its address refuses new ones.
func (e *engine) crash() {
	e.fleet.rec.printf("engine %s at %s crashes", e.id, e.address)
	e.close()
}

// ordinary counts the ordinary requests at one router.
type ordinary struct {
	name             string
	mu               sync.Mutex
	sent, ok, failed int // failed got another final answer in time.
	// late had no final answer at the route's timeoutMs, and missing not answerSlack later either.
	late, missing int
}

// callOrdinarily sends an ordinary request each 100 ms until the end, and waits for the answers.
func (o *ordinary) callOrdinarily(rec *record, address string, end time.Time) {
	var calls sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		calls.Go(func() {
			id := newID()
			request := fmt.Sprintf("GET /orders/%d HTTP/1.1\r\nHost: %s\r\nOleanderramp-Request-Id: %s\r\nOleanderramp-Key: %s\r\n"+
				"Oleanderramp-Deadline-Ms: 4000\r\n\r\n", n, siteHost, id, otherKey)
			begin := time.Now()
			a := send(address, []byte(request), 4*time.Second)
			took := time.Since(begin)
			rec.printf("%s: ordinary %s: status %d after %d ms, error %v", o.name, id, a.status, took.Milliseconds(), a.err)
			o.mu.Lock()
			defer o.mu.Unlock()
			o.sent++
			switch {
			case took <= orderTimeout && a.status == http.StatusOK && a.err == nil:
				o.ok++
			case took <= orderTimeout:
				o.failed++
			default:
				o.late++
				if took > orderTimeout+answerSlack {
					o.missing++
				}
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	calls.Wait()
}

// prompt returns a request with so many prompt parts, none of which any other request has.
func prompt(number, parts int, part *atomic.Int64) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /digest/%d HTTP/1.1\r\nHost: %s\r\nOleanderramp-Request-Id: %s\r\nOleanderramp-Key: %s\r\nOleanderramp-Model: m\r\n"+
		"Oleanderramp-Deadline-Ms: 50000\r\nOleanderramp-Token-Count: %d,10\r\nOleanderramp-Prompt-Prefix: ", number, siteHost, newID(), goodKey, parts)
	for i := range parts {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%x:1", part.Add(1))
	}
	b.WriteString("\r\nContent-Length: 5\r\n\r\nhello")
	return []byte(b.String())
}

// held reports whether the rule CONFIG held: of the requests that last longer than timeoutMs,
// eight or more, and over a quarter, must not be without a final answer 0.5 s after it.
func (o *ordinary) held(rec *record) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	text := fmt.Sprintf("%s: %d ordinary requests: %d answered with 200 and %d otherwise within timeoutMs; %d unanswered then, %d of them also %v later",
		o.name, o.sent, o.ok, o.failed, o.late, o.missing, answerSlack)
	rec.printf("%s", text)
	fmt.Println(text)
	return o.missing < 8 || 4*o.missing <= o.late
}

// promptSite starts a site with a route for prompts and one for ordinary requests, six model
// engines and two others, and returns also the model engines. model gets the number of the engine.
func promptSite(rec *record, model func(number int, w http.ResponseWriter, r *http.Request)) (f *fleet, models []*engine, closeAll func(), err error) {
	digests, orders := route("r-digest", "/digest/", "streaming", "lm"), route("r-orders", "/orders/", "safe", "desk")
	digests["sticky"], digests["timeoutMs"], orders["timeoutMs"] = true, 50000, orderTimeout.Milliseconds()
	if f, err = begin(rec, 3, 2, 1, document(1, []map[string]any{digests, orders}, "lm", "desk")); err != nil {
		return nil, nil, nil, err
	}
	var others []*engine
	closeAll = func() {
		for _, e := range append(others, models...) {
			e.close()
		}
		f.close()
	}
	for i := range 6 {
		e, err := f.startEngine(fmt.Sprintf("m-%d", i), "lm", i, func(w http.ResponseWriter, r *http.Request) { model(i, w, r) })
		if err != nil {
			return nil, nil, nil, err
		}
		models = append(models, e)
	}
	for i := range 2 {
		e, err := f.startEngine(fmt.Sprintf("o-%d", i), "desk", 10+i, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Oleanderramp-Server-Stamp", "stamp-"+r.Header.Get("Oleanderramp-Request-Id"))
			fmt.Fprint(w, "ok")
		})
		if err != nil {
			return nil, nil, nil, err
		}
		others = append(others, e)
	}
	time.Sleep(3 * time.Second)
	return f, models, closeAll, nil
}

// promptPartsCase sends prompts of many parts, and checks that ordinary requests at the same
// router still get their final answers in time. Without trouble the prompts have few parts.
func promptPartsCase(rec *record, trouble bool) (bool, error) {
	parts := shortParts
	if trouble {
		parts = longParts
	}
	var runs atomic.Int64
	f, _, closeAll, err := promptSite(rec, func(_ int, w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Oleanderramp-Request-Id")
		rec.printf("run of %s at a model engine, %d bytes of Oleanderramp-Prompt-Prefix", id, len(r.Header.Get("Oleanderramp-Prompt-Prefix")))
		runs.Add(1)
		time.Sleep(100 * time.Millisecond)
		w.Header().Set("Oleanderramp-Server-Stamp", "stamp-"+id)
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n")
	})
	if err != nil {
		return false, err
	}
	defer closeAll()
	end := time.Now().Add(20 * time.Second)
	first, second := &ordinary{name: f.routers[0].name}, &ordinary{name: f.routers[1].name}
	var clients sync.WaitGroup
	clients.Go(func() { first.callOrdinarily(rec, f.routers[0].callers, end) })
	clients.Go(func() { second.callOrdinarily(rec, f.routers[1].callers, end) })
	time.Sleep(2 * time.Second)
	const promptClients = 60
	var part atomic.Int64
	var sent atomic.Int64
	for i := range promptClients {
		clients.Go(func() {
			for time.Now().Before(end) {
				request := prompt(i, parts, &part)
				a := send(f.routers[0].callers, request, 51*time.Second)
				sent.Add(1)
				rec.printf("%s: prompt of %d parts in %d bytes: status %d, error %v", f.routers[0].name, parts, len(request), a.status, a.err)
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	rec.printf("%d prompts sent, %d runs", sent.Load(), runs.Load())
	if runs.Load() == 0 {
		return false, fmt.Errorf("no prompt has run")
	}
	held := first.held(rec)
	return second.held(rec) && held, nil
}

// crashPartsCase lets an engine crash while it runs prompts of many parts, and checks that
// ordinary requests at the same router still get their final answers in time.
func crashPartsCase(rec *record, trouble bool) (bool, error) {
	const prompts = 120
	var running [6]atomic.Int64
	over := make(chan struct{})
	// The engines answer the prompts after the end of the script.
	f, models, closeAll, err := promptSite(rec, func(number int, _ http.ResponseWriter, r *http.Request) {
		rec.printf("run of %s at m-%d, %d bytes of Oleanderramp-Prompt-Prefix", r.Header.Get("Oleanderramp-Request-Id"), number, len(r.Header.Get("Oleanderramp-Prompt-Prefix")))
		running[number].Add(1)
		select {
		case <-over:
		case <-r.Context().Done():
		}
	})
	if err != nil {
		return false, err
	}
	defer closeAll()
	defer close(over)
	end := time.Now().Add(40 * time.Second)
	first, second := &ordinary{name: f.routers[0].name}, &ordinary{name: f.routers[1].name}
	var clients sync.WaitGroup
	clients.Go(func() { first.callOrdinarily(rec, f.routers[0].callers, end) })
	clients.Go(func() { second.callOrdinarily(rec, f.routers[1].callers, end) })
	time.Sleep(time.Second)
	var part atomic.Int64
	for i := range prompts {
		go func() {
			request := prompt(i, longParts, &part)
			a := send(f.routers[0].callers, request, 51*time.Second)
			rec.printf("%s: prompt %d of %d parts in %d bytes: status %d, error %v", f.routers[0].name, i, longParts, len(request), a.status, a.err)
		}()
	}
	time.Sleep(2 * time.Second)
	most := 0
	for i := range running {
		rec.printf("m-%d runs %d prompts", i, running[i].Load())
		if running[i].Load() > running[most].Load() {
			most = i
		}
	}
	if running[most].Load() < 10 {
		return false, fmt.Errorf("no engine runs 10 prompts")
	}
	if trouble {
		e := models[most]
		e.crash()
		time.Sleep(4 * time.Second)
		if models[most], err = f.startEngineAt(e.id+"-again", "lm", most, e.address, e.handler); err != nil {
			return false, err
		}
		rec.printf("engine %s starts at %s", models[most].id, e.address)
	}
	clients.Wait()
	held := first.held(rec)
	return second.held(rec) && held, nil
}
