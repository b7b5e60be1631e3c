package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = memoryCase }

const (
	// routerMemoryMB is the memory of the entry machines of the second site (SYSTEM.md: 134 MB).
	routerMemoryMB = 134
	// crowd is how many clients each router has, and crowdParts how many parts their prompts have.
	crowd      = 700
	crowdParts = 2500
	// shortParts is how many parts an ordinary prompt has.
	shortParts = 3
	// endsThatCount is how often a machine's processes must end by themselves (RULES.md, Fault).
	endsThatCount = 3
)

// anonymousMB returns the memory of the process that is not of files.
func (d *daemon) anonymousMB() int {
	d.mu.Lock()
	pid := d.cmd.Process.Pid
	d.mu.Unlock()
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) // The process may have ended.
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb / 1024
		}
	}
	return 0
}

// watchMemory does what the platform does (DEPLOY.md): it kills a process that uses more than its
// memory, and starts it again after a short delay. It returns how often, and the highest use.
func (d *daemon) watchMemory(end time.Time) (kills, highest int, err error) {
	for time.Now().Before(end) {
		used := d.anonymousMB()
		highest = max(highest, used)
		if used > routerMemoryMB {
			kills++
			d.fleet.rec.printf("%s uses %d MB of %d: the platform kills it", d.name, used, routerMemoryMB)
			d.signal(syscall.SIGKILL)
			<-d.exited
			time.Sleep(time.Second)
			if err := d.start(); err != nil {
				return kills, highest, err
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return kills, highest, nil
}

// crowdRequest returns a request for a long stream whose prompt has so many parts.
func crowdRequest(number, parts int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /digest/%d HTTP/1.1\r\nHost: %s\r\nOleanderramp-Request-Id: %s\r\nOleanderramp-Key: %s\r\nOleanderramp-Model: m\r\n"+
		"Oleanderramp-Deadline-Ms: 12000\r\nOleanderramp-Token-Count: %d,10\r\nOleanderramp-Prompt-Prefix: ", number, siteHost, newID(), goodKey, parts)
	const ids = 4096
	for first, i := rand.IntN(ids), 0; i < parts; i++ {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%x:1", (first+i)%ids)
	}
	b.WriteString("\r\nContent-Length: 5\r\n\r\nhello")
	return []byte(b.String())
}

// memoryCase sends crowds with prompts of many parts to two routers, and counts how often the
// platform ends these because they use more than their memory.
func memoryCase(rec *record, trouble bool) (bool, error) {
	parts := shortParts
	if trouble {
		parts = crowdParts
	}
	digests := route("r-digest", "/digest/", "streaming", "lm")
	digests["sticky"], digests["timeoutMs"] = true, 12000
	f, err := newFleet(rec, 3, 2, 1)
	if err != nil {
		return false, err
	}
	defer f.close()
	for _, d := range f.routers {
		d.settings["memory_mb"] = routerMemoryMB
	}
	if err := f.run(document(1, []map[string]any{digests}, "lm")); err != nil {
		return false, err
	}
	var runs atomic.Int64
	for i := range 24 {
		e, err := f.startEngine(fmt.Sprintf("m-%d", i), "lm", i, func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			w.Header().Set("Oleanderramp-Server-Stamp", "stamp-"+r.Header.Get("Oleanderramp-Request-Id"))
			w.Header().Set("Content-Type", "text/event-stream")
			for k := range 30 {
				if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", k+1); err != nil {
					return
				}
				_ = http.NewResponseController(w).Flush()
				time.Sleep(300 * time.Millisecond)
			}
		})
		if err != nil {
			return false, err
		}
		defer e.close()
	}
	time.Sleep(3 * time.Second)
	end := time.Now().Add(50 * time.Second)
	var clients, watchers sync.WaitGroup
	machines := 0
	var mu sync.Mutex
	for _, d := range f.routers {
		for i := range crowd {
			clients.Go(func() {
				for time.Now().Before(end) {
					request := crowdRequest(i, parts)
					a := send(d.callers, request, 13*time.Second)
					if a.err == nil && a.status == http.StatusOK {
						rec.printf("%s: a prompt of %d parts in %d bytes has its whole stream", d.name, parts, len(request))
					}
					time.Sleep(500 * time.Millisecond)
				}
			})
		}
		watchers.Go(func() {
			kills, highest, watchErr := d.watchMemory(end)
			mu.Lock()
			defer mu.Unlock()
			text := fmt.Sprintf("%s: at most %d MB of %d; ended %d times for its memory, %d times otherwise", d.name, highest, routerMemoryMB, kills, d.endedByItself())
			rec.printf("%s", text)
			fmt.Println(text)
			if kills+d.endedByItself() >= endsThatCount {
				machines++
			}
			if watchErr != nil {
				err = watchErr
			}
		})
	}
	watchers.Wait()
	clients.Wait()
	rec.printf("%d runs", runs.Load())
	if runs.Load() == 0 {
		return false, fmt.Errorf("no prompt has run")
	}
	// Fault: two machines at least, and a tenth of those in use, which are five.
	return machines < 2, err
}
