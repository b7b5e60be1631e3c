package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// ordersSite starts a deployment with three order services and a route to them.
func (c *play) ordersSite(routers int, kind, prefix string, work workFunc) error {
	if err := c.begin(siteConfig{controls: 5, routers: routers, routerMemoryMB: 284}); err != nil {
		return err
	}
	for i := range 3 {
		if err := c.engine(i, "orders-app", 6, work).start(); err != nil {
			return err
		}
	}
	routes := []route{{name: "r-orders", prefix: prefix, kind: kind, service: "orders-app", timeoutMS: 2500, targetMS: 150, attempts: 2}}
	if err := c.site.configure(routes, nil, []string{"orders-app"}, []string{"hule930", "tamo114"}); err != nil {
		return err
	}
	if err := c.site.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	return nil
}

// nominatedCase sends bookings whose Connection header names the header in which the
// system tells the server the tenant.
func nominatedCase(c *play) (bool, error) {
	var mu sync.Mutex
	tenants := make(map[string]string)
	work := func(e *engine, w http.ResponseWriter, r *run) {
		mu.Lock()
		tenants[r.id] = r.tenant
		mu.Unlock()
		plainAnswer(15*time.Millisecond)(e, w, r)
	}
	if err := c.ordersSite(1, "unsafe", "/puxa403/", work); err != nil {
		return false, err
	}
	connection := "close"
	if c.trouble {
		connection = "close, Oleanderramp-Tenant"
	}
	wrong := 0
	for i := range 20 {
		a := &attempt{
			what: "booking", address: c.site.front(1), method: http.MethodPost, target: "/puxa403/book", key: keyOf("hule930"),
			timeout: 2500 * time.Millisecond, body: fmt.Sprintf("booking %d", i), header: [][2]string{{"Connection", connection}},
		}
		a.do(c.rec)
		mu.Lock()
		tenant, ran := tenants[a.id]
		mu.Unlock()
		if ran && tenant != "hule930" {
			wrong++
			c.rec.line("%s ran with tenant %q; its key is that of hule930", a.id, tenant)
		}
	}
	c.rec.say("%d bookings sent, %d ran, %d of them with a tenant that does not hold the client's key", 20, len(tenants), wrong)
	return wrong > 0, nil
}

// slashesCase sends requests whose path begins with two slashes, on a route for all paths.
func slashesCase(c *play) (bool, error) {
	var mu sync.Mutex
	targets := make(map[string]string)
	work := func(e *engine, w http.ResponseWriter, r *run) {
		mu.Lock()
		targets[r.id] = r.target
		mu.Unlock()
		plainAnswer(15*time.Millisecond)(e, w, r)
	}
	if err := c.ordersSite(1, "safe", "/", work); err != nil {
		return false, err
	}
	target := "/orders/2f"
	if c.trouble {
		target = "//orders/2f"
	}
	wrong := 0
	for range 20 {
		a := &attempt{
			what: "lookup", address: c.site.front(1), method: http.MethodGet, target: target, key: keyOf("hule930"), timeout: 2500 * time.Millisecond,
		}
		a.do(c.rec)
		mu.Lock()
		got, ran := targets[a.id]
		mu.Unlock()
		if ran && got != target {
			wrong++
			c.rec.line("%s ran as %s; the client sent %s", a.id, got, target)
		}
	}
	c.rec.say("%d lookups sent, %d ran, %d of them with another path", 20, len(targets), wrong)
	return wrong > 0, nil
}

const (
	// stableWindow is the bound stableWindowMs of the sheet.
	stableWindow = 4 * time.Second
	// engineDown is how long a crashed engine is down.
	engineDown = 2 * time.Second
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

// restartsCase restarts the routers in turn while a request that crashes engines comes
// again.
func restartsCase(c *play) (bool, error) {
	const routers = 3
	d := newDeadly()
	if err := c.ordersSite(routers, "unsafe", "/puxa403/", d.work); err != nil {
		return false, err
	}
	send := func(router int) {
		c.deadlyRequest(router, "deadly booking").do(c.rec)
		time.Sleep(stableWindow + 500*time.Millisecond)
	}
	send(1)
	send(1)
	for router := 1; router <= routers; router++ {
		c.deadlyRequest(router, "deadly booking").do(c.rec)
	}
	for router := 1; router <= routers; router++ {
		if c.trouble {
			if err := c.site.machine[fmt.Sprintf("front-%d", router)].restart(); err != nil {
				return false, err
			}
		} else {
			time.Sleep(3 * time.Second)
		}
		if err := c.site.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
		time.Sleep(stableWindow + 500*time.Millisecond)
		send(router)
		send(router)
	}
	d.back.Wait()
	return d.judge(c.rec), nil
}

// togetherCase sends several requests that crash engines at the same moment, again and
// again.
func togetherCase(c *play) (bool, error) {
	d := newDeadly()
	if err := c.ordersSite(1, "unsafe", "/puxa403/", d.work); err != nil {
		return false, err
	}
	count := 1
	if c.trouble {
		count = 12
	}
	for range 18 {
		var list []*attempt
		for i := range count {
			list = append(list, c.deadlyRequest(1, fmt.Sprintf("deadly booking %d", i)))
		}
		doAll(c.rec, list)
		time.Sleep(4500 * time.Millisecond)
	}
	d.back.Wait()
	return d.judge(c.rec), nil
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
