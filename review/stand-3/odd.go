package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["odd-entry"] = oddEntryCase }

const (
	// drainBound is the drainMs of the sites, and servesOn how long the engine serves after the ack
	// of its draining.
	drainBound = 2500 * time.Millisecond
	servesOn   = 9 * time.Second
)

// say sends a call of the engine to the control hosts in turn until one acknowledges it.
func (e *engine) say(path string, fields map[string]any) error {
	body, _ := json.Marshal(fields) // Texts and numbers can always be encoded.
	for range 5 {
		for _, d := range e.fleet.controls {
			status, _, err := call("POST", d.control, path+e.id, body, time.Second)
			if err == nil && status/100 == 2 {
				return nil
			}
		}
	}
	return fmt.Errorf("no control host acknowledges %s%s", path, e.id)
}

// oddEntryCase has another writer send a report with missing fields for an engine, which then
// leaves as planned, and looks for requests that reach it more than drainMs after the ack.
func oddEntryCase(rec *record, trouble bool) (bool, error) {
	f, err := begin(rec, 3, 3, 1, document(1, []map[string]any{route("r-orders", "/orders/", "unsafe", "desk")}, "desk"))
	if err != nil {
		return false, err
	}
	defer f.close()
	var mu sync.Mutex
	var leaving *engine
	var acked time.Time
	late, before, broken := 0, 0, 0
	var engines []*engine
	for i := range 3 {
		id := fmt.Sprintf("i-%d", i)
		e, err := f.startEngine(id, "desk", i, func(w http.ResponseWriter, r *http.Request) {
			request := r.Header.Get("Oleanderramp-Request-Id")
			mu.Lock()
			after := time.Duration(0)
			if leaving != nil && leaving.id == id && !acked.IsZero() {
				after = time.Since(acked)
			}
			switch {
			case after > drainBound:
				late++
				rec.printf("run of %s at %s, %d ms after the ack of its draining: LATE", request, id, after.Milliseconds())
			default:
				before++
			}
			mu.Unlock()
			time.Sleep(30 * time.Millisecond)
			w.Header().Set("Oleanderramp-Server-Stamp", "stamp-"+request)
			fmt.Fprintf(w, "order %s", request)
		})
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	time.Sleep(3 * time.Second)
	end := time.Now().Add(16 * time.Second)
	var clients sync.WaitGroup
	for i := range 6 {
		clients.Go(func() {
			for time.Now().Before(end) {
				id := newID()
				request := fmt.Sprintf("POST /orders/%d HTTP/1.1\r\nHost: %s\r\nOleanderramp-Request-Id: %s\r\nOleanderramp-Key: %s\r\n"+
					"Oleanderramp-Deadline-Ms: 2500\r\nContent-Length: 5\r\n\r\nhello", i, siteHost, id, goodKey)
				a := send(f.routers[i%len(f.routers)].callers, []byte(request), 3*time.Second)
				if a.err != nil || a.status != http.StatusOK && a.status != http.StatusServiceUnavailable {
					rec.printf("answer to %s: %d, %v", id, a.status, a.err)
					mu.Lock()
					broken++
					mu.Unlock()
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	e := engines[0]
	if trouble {
		// Without version, slots and coldRemainingMs, and with another start.
		odd := map[string]any{"service": "desk", "address": e.address, "zone": e.zone, "state": "ready", "sequence": 1, "born": time.Now().UnixMilli()}
		if err := e.say("/Instances.Heartbeat/", odd); err != nil {
			rec.printf("the odd report: %v", err)
		}
		rec.printf("another writer has sent a report for %s: %v", e.id, odd)
	}
	time.Sleep(2 * time.Second)
	// The engine leaves as the pages say: it reports draining, serves on after the ack, deregisters and exits.
	close(e.stop)
	e.beats.Wait()
	draining := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": 64, "state": "draining",
		"coldRemainingMs": 0, "sequence": e.seq.Add(1), "born": e.born,
	}
	if err := e.say("/Instances.Heartbeat/", draining); err != nil {
		return false, err
	}
	mu.Lock()
	leaving, acked = e, time.Now()
	mu.Unlock()
	rec.printf("%s reports draining, and that is acknowledged: %v", e.id, draining)
	time.Sleep(servesOn)
	if err := e.say("/Instances.Deregister/", map[string]any{"born": e.born}); err != nil {
		return false, err
	}
	rec.printf("%s has deregistered, and exits", e.id)
	_ = e.server.Close()
	clients.Wait()
	for _, other := range engines[1:] {
		other.close()
	}
	text := fmt.Sprintf("%d requests have run in time; %d reached the engine that leaves more than %v after the ack; %d answers broken or failed", before, late, drainBound, broken)
	rec.printf("%s", text)
	fmt.Println(text)
	if before == 0 {
		return false, fmt.Errorf("no request has run")
	}
	return late == 0, nil
}
