package main

import (
	"strings"
	"sync"
	"time"
)

// order plays a release whose first engine of a new software version crashes soon after
// its start, while one router is cut off from the control hosts.
func order(w *world, trouble bool) (bool, error) {
	const oldEngines, newEngines, fronts = 9, 3, 7
	if err := w.addControl(5); err != nil {
		return false, err
	}
	w.addRouters(fronts, 134)
	if err := w.startAll(); err != nil {
		return false, err
	}
	for i := range oldEngines {
		e, err := newEngine(w, i, "v1")
		if err != nil {
			return false, err
		}
		e.announce()
		w.clean = append(w.clean, e.crash)
	}
	time.Sleep(2 * time.Second)
	p := newPlatform(w)
	var clients sync.WaitGroup
	var mu sync.Mutex
	var streams []*stream
	stop := time.Now().Add(12 * time.Second)
	clients.Go(func() {
		for time.Now().Before(stop) {
			clients.Go(func() {
				s := p.ask(12 * time.Second)
				mu.Lock()
				defer mu.Unlock()
				streams = append(streams, s)
			})
			time.Sleep(6 * time.Millisecond)
		}
	})
	w.note("clients begin about 160 streams a second")
	time.Sleep(4 * time.Second)

	away := w.routers[1]
	if trouble {
		for _, r := range w.relays {
			r.setCut(away.ip, true)
		}
		w.note("%s is cut off from all control hosts", away.name)
	}
	var fresh []*engine
	for i := range newEngines {
		e, err := newEngine(w, oldEngines+i, "v2")
		if err != nil {
			return false, err
		}
		e.announce()
		fresh = append(fresh, e)
	}
	w.note("a release begins: %d engines of software version v2 are ready, at first beside those of v1", newEngines)
	time.Sleep(1600 * time.Millisecond)
	if trouble {
		for _, e := range fresh {
			e.crash()
			w.note("engine %s of v2 crashes after it has begun %d requests", e.id, e.ran.Load())
		}
		time.Sleep(2900 * time.Millisecond)
		for _, r := range w.relays {
			r.setCut(away.ip, false)
		}
		w.note("%s reaches the control hosts again", away.name)
	} else {
		for _, e := range fresh {
			w.clean = append(w.clean, e.crash)
		}
	}
	clients.Wait()

	joined, complete := 0, 0
	for _, s := range streams {
		if s.complete {
			complete++
		}
		if len(s.versions) > 1 {
			joined++
			w.detail("a stream of two versions: %s; tries: %s", strings.Join(s.events, ", "), strings.Join(s.tries, "; "))
		}
	}
	w.note("%d streams, %d complete, %d hold events of engines of two software versions (the rule allows 2)", len(streams), complete, joined)
	return joined > 2, nil
}
