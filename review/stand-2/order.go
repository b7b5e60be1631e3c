package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// orderStreams streams of orderEvents events each begin within a fifth of a second.
	orderStreams = 40
	orderEvents  = 60
	// leaderDown is how long the killed control host is down.
	leaderDown = 3500 * time.Millisecond
)

// softwareAnswer is the work of a model engine whose events say which software version
// has written them.
func softwareAnswer(e *engine, w http.ResponseWriter, r *run) {
	e.mu.Lock()
	software := e.software
	e.mu.Unlock()
	first := 1
	if last, err := strconv.Atoi(r.header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i <= orderEvents; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s event %d of %s\n\n", i, software, i, r.id)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(50 * time.Millisecond):
		case <-r.ctx.Done():
			return
		}
	}
}

// orderCase starts an engine again under its id with another software version while the
// control hosts have no leader. Streams that begin there must not go on at the former
// version when the engine crashes.
func orderCase(c *play) (bool, error) {
	if err := c.begin(siteConfig{controls: 5, routers: 1, routerMemoryMB: 284}); err != nil {
		return false, err
	}
	for i := range 3 {
		e := c.engine(i, "lm-pool", 64, softwareAnswer)
		e.keepsID = true
		if err := e.start(); err != nil {
			return false, err
		}
	}
	if err := c.configurePrompts("streaming"); err != nil {
		return false, err
	}
	if c.trouble {
		leader := c.leader()
		if leader == nil {
			return false, fmt.Errorf("no control host says who leads")
		}
		c.rec.say("the leader %s is killed", leader.name)
		leader.signal(syscall.SIGKILL)
		go func() {
			time.Sleep(leaderDown)
			_ = leader.start(false) // The case may have ended.
		}()
	}
	upgraded := c.engines[0]
	upgraded.crash(upgraded.currentID(), "it starts again as v2")
	upgraded.mu.Lock()
	upgraded.software = "v2"
	upgraded.mu.Unlock()
	if err := upgraded.start(); err != nil {
		return false, err
	}
	time.Sleep(400 * time.Millisecond)
	var list []*attempt
	var all sync.WaitGroup
	for i := range orderStreams {
		a := c.prompt(i, fewParts)
		a.what = "stream"
		list = append(list, a)
		all.Go(func() { a.do(c.rec) })
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(150 * time.Millisecond)
	upgraded.crash(upgraded.currentID(), "the disruption srv_crash")
	all.Wait()
	return c.judgeVersions(list), nil
}

// leader returns the control host that the others last said leads.
func (c *play) leader() *process {
	var leader *process
	latest := ""
	for _, name := range c.site.names {
		log, err := os.ReadFile(filepath.Join(c.site.dir, name+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(log)) {
			_, rest, found := strings.Cut(line, `"leader":"`)
			if !found {
				continue
			}
			_, stamp, _ := strings.Cut(line, `"timestamp":"`)
			for _, p := range c.site.machine {
				if strings.HasPrefix(rest, p.ip+":") && stamp > latest {
					leader, latest = p, stamp
				}
			}
		}
	}
	return leader
}

// judgeVersions applies the rule: no more than two streams hold events from engines of two
// software versions.
func (c *play) judgeVersions(list []*attempt) bool {
	mixed, complete := 0, 0
	for _, a := range list {
		answer := string(a.answer)
		before, after := strings.Count(answer, "data: v1 "), strings.Count(answer, "data: v2 ")
		c.rec.line("stream %s: %d events of v1, %d of v2", a.id, before, after)
		if before > 0 && after > 0 {
			mixed++
		}
		if before+after == orderEvents {
			complete++
		}
	}
	c.rec.say("%d streams, %d with all events, %d with events of two software versions", len(list), complete, mixed)
	return mixed > 2
}
