package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// manyParts is how many parts the prompts of partsCase list: with IDs of four digits
	// a header of 15 KB, below maxHeaderBytes. fewParts is how many they list without the
	// disruption.
	manyParts = 2100
	fewParts  = 3
	// promptTokens is the size of each prompt, and promptsPerSecond how many come.
	promptTokens     = 2100
	promptsPerSecond = 20
	promptSeconds    = 12
	ordersTimeoutMS  = 2500
)

// partsCase sends prompts that list very many short parts, which are legal in size.
// Ordinary callers of the order service must get their answers.
func partsCase(c *play) (bool, error) {
	if err := c.begin(siteConfig{controls: 5, routers: 2, routerMemoryMB: 284}); err != nil {
		return false, err
	}
	if err := c.startServers(12, 3, streamAnswer(49)); err != nil {
		return false, err
	}
	if err := c.configurePrompts("streaming"); err != nil {
		return false, err
	}
	stop, ordinary := make(chan struct{}), make([]chan []*attempt, c.site.config.routers)
	for i := range ordinary {
		ordinary[i] = make(chan []*attempt, 1)
		go func() { ordinary[i] <- c.ordinaryCallers(i+1, stop) }()
	}
	time.Sleep(3 * time.Second)
	parts := fewParts
	if c.trouble {
		parts = manyParts
	}
	c.rec.say("a client begins to send %d prompts a second of %d parts to front-1", promptsPerSecond, parts)
	var prompts sync.WaitGroup
	for i := range promptsPerSecond * promptSeconds {
		prompts.Go(func() { c.prompt(i, parts).do(c.rec) })
		time.Sleep(time.Second / promptsPerSecond)
	}
	time.Sleep(10 * time.Second)
	close(stop)
	prompts.Wait()
	wrong := false
	for i := range ordinary {
		wrong = c.judgeUnanswered(i+1, <-ordinary[i]) || wrong
	}
	return wrong, nil
}

// configurePrompts puts a route for prompts, of the kind, and one for orders in force.
func (c *play) configurePrompts(kind string) error {
	routes := []route{
		{name: "r-prompts", prefix: "/lohu930/", kind: kind, service: "lm-pool", timeoutMS: 12000, targetMS: 1000, attempts: 2, resumable: kind == "streaming"},
		{name: "r-orders", prefix: "/puxa403/", kind: "safe", service: "orders-app", timeoutMS: ordersTimeoutMS, targetMS: 150, attempts: 2},
	}
	if err := c.site.configure(routes, []string{"lm-pool"}, []string{"orders-app"}, []string{"hule930", "tamo114"}); err != nil {
		return err
	}
	if err := c.site.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	return nil
}

// startServers starts so many model engines and order services.
func (c *play) startServers(models, orders int, model workFunc) error {
	for i := range models {
		if err := c.engine(i, "lm-pool", 64, model).start(); err != nil {
			return err
		}
	}
	for i := range orders {
		if err := c.engine(models+i, "orders-app", 6, plainAnswer(15*time.Millisecond)).start(); err != nil {
			return err
		}
	}
	return nil
}

// prompt returns a request with a prompt of so many parts, all of the same size.
func (c *play) prompt(number, parts int) *attempt {
	var list strings.Builder
	for i := range parts {
		if i > 0 {
			list.WriteByte(',')
		}
		fmt.Fprintf(&list, "%04x:%d", (number*parts+i)%65536, promptTokens/parts)
	}
	return &attempt{
		what: "prompt", address: c.site.front(1), method: http.MethodPost, target: "/lohu930/2f", key: keyOf("hule930"), timeout: 12 * time.Second,
		body: fmt.Sprintf("prompt %d", number),
		header: [][2]string{
			{"Oleanderramp-Model", "m"}, {"Oleanderramp-Token-Count", fmt.Sprintf("%d,294", promptTokens)}, {"Oleanderramp-Prompt-Prefix", list.String()},
		},
	}
}

// ordinaryCallers sends ten requests a second to the order service through a router. Their
// callers wait longer than the route's timeoutMs.
func (c *play) ordinaryCallers(router int, stop chan struct{}) []*attempt {
	var list []*attempt
	var all sync.WaitGroup
	for ticker := time.NewTicker(100 * time.Millisecond); ; {
		select {
		case <-stop:
			ticker.Stop()
			all.Wait()
			return list
		case <-ticker.C:
		}
		a := &attempt{
			what: "ordinary", address: c.site.front(router), method: http.MethodGet, target: fmt.Sprintf("/puxa403/order-%d", len(list)),
			key: keyOf("tamo114"), timeout: 6 * time.Second,
		}
		list = append(list, a)
		all.Go(func() { a.do(c.rec) })
	}
}

// judgeUnanswered applies the rule to the ordinary requests: of those without an answer at
// the route's timeoutMs, more than half have none half a second later. Eight or more
// are asked for, so that one that came late by chance does not count.
func (c *play) judgeUnanswered(router int, list []*attempt) bool {
	late, never, answered, served := 0, 0, 0, 0
	for _, a := range list {
		took := a.took()
		if a.status == 0 {
			took = a.timeout
		} else {
			answered++
		}
		if a.status == http.StatusOK {
			served++
		}
		if took > ordersTimeoutMS*time.Millisecond {
			late++
		}
		if took > (ordersTimeoutMS+500)*time.Millisecond {
			never++
		}
	}
	c.rec.say("ordinary requests through front-%d: %d sent, %d answered, %d served; %d had no answer at the route's timeoutMs, %d none half a second later",
		router, len(list), answered, served, late, never)
	return late >= 8 && never*2 > late
}
