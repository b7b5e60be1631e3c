package main

import (
	"fmt"
	"net/http"
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
