package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// stableWindow is the bound stableWindowMs of the sheet.
	stableWindow = 4 * time.Second
	// deadlyWork is how long an engine works on a deadly request before it crashes.
	deadlyWork = 20 * time.Millisecond
)

// deadly keeps what became of the requests that crash engines, by their bodies.
type deadly struct {
	mu sync.Mutex
	// crashes holds the times at which a request has crashed an engine, and arrivals
	// those at which it reached one.
	crashes, arrivals map[string][]time.Time
	// dying holds the lifetimes that a request is crashing.
	dying map[string]bool
	back  sync.WaitGroup
}

func newDeadly() *deadly {
	return &deadly{crashes: make(map[string][]time.Time), arrivals: make(map[string][]time.Time), dying: make(map[string]bool)}
}

// work crashes the engine on which a deadly request begins to run. The crash counts for
// the first one that began.
func (d *deadly) work(e *engine, w http.ResponseWriter, r *run) {
	if !strings.HasPrefix(r.body, "deadly") {
		plainAnswer(15*time.Millisecond)(e, w, r)
		return
	}
	now := time.Now()
	d.mu.Lock()
	d.arrivals[r.body] = append(d.arrivals[r.body], now)
	first := !d.dying[r.instance]
	d.dying[r.instance] = true
	d.mu.Unlock()
	if !first {
		<-r.ctx.Done()
		return
	}
	time.Sleep(deadlyWork)
	if !e.crash(r.instance, "it runs "+r.body) {
		return
	}
	d.mu.Lock()
	d.crashes[r.body] = append(d.crashes[r.body], time.Now())
	d.mu.Unlock()
	d.back.Go(func() {
		time.Sleep(engineDown)
		if err := e.start(); err != nil {
			e.site.rec.say("engine %s does not start again: %v", e.name, err)
		}
	})
}

// judge applies the rule: a request that crashes the engines that run it reaches engines
// in no more than three retries later than stableWindowMs after its third crash.
func (d *deadly) judge(rec *recorder) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	wrong := false
	for body, crashes := range d.crashes {
		retries := 0
		if len(crashes) >= 3 {
			for _, at := range d.arrivals[body] {
				if at.After(crashes[2].Add(stableWindow)) {
					retries++
				}
			}
		}
		rec.say("%q reached engines %d times and crashed %d; %d retries later than stableWindowMs after the third crash", body, len(d.arrivals[body]), len(crashes), retries)
		wrong = wrong || retries > 3
	}
	return wrong
}

func (c *play) deadlyRequest(router int, body string) *attempt {
	return &attempt{
		what: body, address: c.site.front(router), method: http.MethodPost, target: "/puxa403/book", key: keyOf("hule930"),
		timeout: 2500 * time.Millisecond, body: body,
	}
}

// quarantineTime is how long the routers refuse a request that has crashed engines twice.
const quarantineTime = 60 * time.Second

// expiryCase sends a request that crashes engines to each of four routers, first until it
// is refused, and again after a minute.
func expiryCase(c *play) (bool, error) {
	const routers = 4
	d := newDeadly()
	if err := c.ordersSite(routers, "unsafe", "/puxa403/", d.work); err != nil {
		return false, err
	}
	body := "booking"
	if c.trouble {
		body = "deadly booking"
	}
	everywhere := func() {
		for router := 1; router <= routers; router++ {
			c.deadlyRequest(router, body).do(c.rec)
			time.Sleep(300 * time.Millisecond)
		}
	}
	for range 3 {
		everywhere()
		time.Sleep(stableWindow)
	}
	time.Sleep(quarantineTime)
	for range 2 {
		everywhere()
		time.Sleep(stableWindow)
	}
	d.back.Wait()
	return d.judge(c.rec), nil
}
