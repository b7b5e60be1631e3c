package main

import (
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// drain plays an engine that leaves, and a final fault right after its departure was
// acknowledged: all control hosts lose power, and the one that acknowledged it its disk.
func drain(w *world, trouble bool) (bool, error) {
	const engines, fronts = 6, 7
	const drainTime = 2500 * time.Millisecond
	// lingers is how long the engine serves after the ack of its departure: drainMs and
	// some seconds more.
	const lingers = 16 * time.Second
	const stableWindow = 4 * time.Second
	if err := w.addControl(5); err != nil {
		return false, err
	}
	w.addRouters(fronts, 134)
	if err := w.startAll(); err != nil {
		return false, err
	}
	var leaving *engine
	for i := range engines {
		e, err := newEngine(w, i, "v1")
		if err != nil {
			return false, err
		}
		e.events = 12
		e.announce()
		w.clean = append(w.clean, e.crash)
		leaving = e
	}
	time.Sleep(2 * time.Second)
	p := newPlatform(w)
	var clients sync.WaitGroup
	stop := time.Now().Add(24 * time.Second)
	clients.Go(func() {
		for time.Now().Before(stop) {
			clients.Go(func() { p.ask(12 * time.Second) })
			time.Sleep(12 * time.Millisecond)
		}
	})
	w.note("clients begin about 80 streams a second")
	time.Sleep(6 * time.Second)

	var late, counted atomic.Int64
	host := w.control[3]
	leaving.stopAnnouncing()
	called := time.Now()
	if !leaving.call(host, "Instances.Deregister", "ready") {
		w.note("the departure was not acknowledged")
		return false, nil
	}
	ackedAt := time.Now()
	touchAt := ackedAt.Add(drainTime)
	w.note("engine %s says that it leaves; %s acknowledges that after %d ms", leaving.id, host.name, ackedAt.Sub(called).Milliseconds())
	if trouble {
		for _, p := range w.control {
			_ = p.cmd.Process.Kill()
		}
		for _, p := range w.control {
			<-p.exited
		}
		if err := os.RemoveAll(host.dataFolder()); err != nil {
			return false, err
		}
		w.note("final fault: all control hosts have lost power, and %s its disk", host.name)
		time.Sleep(1200 * time.Millisecond)
		for _, p := range w.control {
			if err := p.start(); err != nil {
				return false, err
			}
		}
		w.note("all control hosts are back, %s with an empty disk", host.name)
		// A final fault that took most of the core: the machines are in touch again
		// after twice stableWindowMs.
		touchAt = time.Now().Add(2 * stableWindow)
	}
	leaving.onRun = func(id string) {
		now := time.Now()
		if now.Sub(ackedAt) > drainTime+500*time.Millisecond {
			late.Add(1)
		}
		if now.After(touchAt.Add(500 * time.Millisecond)) {
			counted.Add(1)
			w.detail("engine %s runs request %s, %.1f s after its departure was acknowledged", leaving.id, id, now.Sub(ackedAt).Seconds())
		}
	}
	time.Sleep(time.Until(ackedAt.Add(lingers)))
	leaving.crash()
	w.note("engine %s exits", leaving.id)
	clients.Wait()
	w.note("%d requests reached the engine later than drainMs after the ack, %d of them from machines in touch again", late.Load(), counted.Load())
	return counted.Load() > 0, nil
}
