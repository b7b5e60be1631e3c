package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// memory returns the anonymous memory of a process in MB, which leaves out the program.
func (p *process) memory() (current float64) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// watcher is the part of the platform that kills a process which uses more memory than its
// machine has, and starts it again.
type watcher struct {
	most  []float64
	kills []int
}

func (v *watcher) run(w *world, until time.Time) error {
	down := make([]time.Time, len(w.routers))
	for time.Now().Before(until) {
		for i, p := range w.routers {
			if !down[i].IsZero() {
				if time.Since(down[i]) < 500*time.Millisecond {
					continue
				}
				down[i] = time.Time{}
				if err := p.start(); err != nil {
					return err
				}
				continue
			}
			used := p.memory()
			v.most[i] = max(v.most[i], used)
			if used > float64(p.memoryMB) {
				p.kill()
				v.kills[i]++
				down[i] = time.Now()
				w.note("%s uses %.0f MB of %d and is killed", p.name, used, p.memoryMB)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	for i, p := range w.routers {
		if !down[i].IsZero() {
			if err := p.start(); err != nil {
				return err
			}
		}
	}
	return nil
}

// flood plays engines in trouble, which send bytes that are no answer without end, five
// times for a few seconds.
func flood(w *world, trouble bool) (bool, error) {
	const (
		engines, fronts, memoryMB = 12, 7, 134
		episodes                  = 5
		length, pause             = 5 * time.Second, 8 * time.Second
		bytesPerS                 = 300 << 10
		writePeriod               = 20 * time.Millisecond
	)
	if err := w.addControl(5); err != nil {
		return false, err
	}
	w.addRouters(fronts, memoryMB)
	if err := w.startAll(); err != nil {
		return false, err
	}
	var bad atomic.Bool
	chunk := bytes.Repeat([]byte("x"), int(bytesPerS*writePeriod/time.Second))
	for i := range engines {
		e, err := newEngine(w, i, "v1")
		if err != nil {
			return false, err
		}
		e.spoil = func(rw http.ResponseWriter, r *http.Request) bool {
			if !bad.Load() {
				return false
			}
			control := http.NewResponseController(rw)
			ticker := time.NewTicker(writePeriod)
			defer ticker.Stop()
			for range ticker.C {
				if _, err := rw.Write(chunk); err != nil || control.Flush() != nil || r.Context().Err() != nil {
					break
				}
			}
			return true
		}
		e.announce()
		w.clean = append(w.clean, e.crash)
	}
	time.Sleep(2 * time.Second)
	p := newPlatform(w)
	var clients sync.WaitGroup
	stop := time.Now().Add(4*time.Second + episodes*(length+pause))
	var complete, all atomic.Int64
	clients.Go(func() {
		for time.Now().Before(stop) {
			clients.Go(func() {
				all.Add(1)
				if p.ask(12 * time.Second).complete {
					complete.Add(1)
				}
			})
			time.Sleep(6 * time.Millisecond)
		}
	})
	w.note("clients begin about 160 streams a second")
	v := &watcher{most: make([]float64, fronts), kills: make([]int, fronts)}
	if err := v.run(w, time.Now().Add(4*time.Second)); err != nil {
		return false, err
	}
	for range episodes {
		if trouble {
			bad.Store(true)
			w.note("the engines are in trouble: after its next event, each answer goes on with bytes that are no answer, without end, at %d KB/s", bytesPerS>>10)
		}
		if err := v.run(w, time.Now().Add(length)); err != nil {
			return false, err
		}
		if trouble {
			bad.Store(false)
			w.note("the engines answer well again")
		}
		if err := v.run(w, time.Now().Add(pause)); err != nil {
			return false, err
		}
	}
	clients.Wait()
	ended := 0
	for _, kills := range v.kills {
		if kills >= 3 {
			ended++
		}
	}
	w.note("%d streams, %d complete; most memory of each router in MB: %.0f; ends of each: %d", all.Load(), complete.Load(), v.most, v.kills)
	w.note("on %d of %d routers the process ended by itself three times (the rule allows 1)", ended, fronts)
	return ended >= 2, nil
}
