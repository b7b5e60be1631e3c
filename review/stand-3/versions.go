package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["versions"] = versionsCase }

const (
	// streamEvents is how many events each stream has, one each eventPause.
	streamEvents = 80
	eventPause   = 100 * time.Millisecond
	// engineDown is how long the engine that crashes is down.
	engineDown = 500 * time.Millisecond
	// heartbeat is the heartbeatMs of the sites: the first liveness report of the next lifetime
	// comes that long after its start.
	heartbeat = 1200 * time.Millisecond
)

// streamHandler serves streams of an engine of a software version, from the event after
// Last-Event-Id on.
func streamHandler(rec *record, id, version string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		rec.printf("run of %s at %s, version %s, after event %d", r.Header.Get("Oleanderramp-Request-Id"), id, version, last)
		w.Header().Set("Oleanderramp-Server-Stamp", "stamp-"+r.Header.Get("Oleanderramp-Request-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		for n := last + 1; n <= streamEvents; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, version); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(eventPause):
			case <-r.Context().Done():
				return
			}
		}
	}
}

// counted returns a handler that counts the requests in progress.
func counted(running *atomic.Int64, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		running.Add(1)
		defer running.Add(-1)
		handler(w, r)
	}
}

// stream is what a client has of a stream, over its tries.
type stream struct {
	first    string // The id of the client attempt that brought the first event.
	last     int
	versions map[string]int
	tries    int
	status   int
}

// try makes one client attempt, until the stream ends or breaks off, or until the channel is
// closed. It reports whether the stream is complete.
func (s *stream) try(rec *record, address string, leave <-chan struct{}) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-leave:
			conn.Close()
		case <-done:
		}
	}()
	_ = conn.SetDeadline(time.Now().Add(12 * time.Second))
	id := newID()
	more := ""
	if s.last > 0 {
		more = fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", s.last, s.first)
	}
	s.tries++
	fmt.Fprintf(conn, "POST /chat/1 HTTP/1.1\r\nHost: %s\r\nOleanderramp-Request-Id: %s\r\nOleanderramp-Key: %s\r\nOleanderramp-Model: m\r\n"+
		"Oleanderramp-Token-Count: 800,80\r\nOleanderramp-Prompt-Prefix: a1:200,%s:600\r\nOleanderramp-Deadline-Ms: 12000\r\n%sContent-Length: 5\r\n\r\nhello",
		siteHost, id, goodKey, newID(), more)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		rec.printf("%s at %s after event %d: %v", id, address, s.last, err)
		return false
	}
	defer response.Body.Close()
	s.status = response.StatusCode
	if response.StatusCode != http.StatusOK {
		rec.printf("%s at %s after event %d: status %d", id, address, s.last, response.StatusCode)
		return false
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if number, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			s.last, _ = strconv.Atoi(number)
			if s.first == "" {
				s.first = id
			}
		}
		if version, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			s.versions[version]++
		}
	}
	rec.printf("%s at %s has come to event %d: %v, %v", id, address, s.last, s.versions, lines.Err())
	return s.last == streamEvents
}

// versionsCase lets an engine crash and start again under its id with another software version,
// and has its streams taken up again.
func versionsCase(rec *record, trouble bool) (bool, error) {
	chat := route("r-chat", "/chat/", "streaming", "lm")
	chat["sticky"], chat["resumable"], chat["maxAttempts"], chat["timeoutMs"] = true, true, 1, 12000
	f, err := begin(rec, 3, 4, 1, document(1, []map[string]any{chat}, "lm"))
	if err != nil {
		return false, err
	}
	defer f.close()
	// The routers of the first zone are number 0 and 3.
	var first, second *daemon
	for _, d := range f.routers {
		switch {
		case d.settings["zone"] != zones[0]["zone"]:
		case first == nil:
			first = d
		default:
			second = d
		}
	}
	if first == nil || second == nil {
		return false, fmt.Errorf("there are no two routers in a zone")
	}
	var engines []*engine
	var running [6]atomic.Int64
	for i := range running {
		id := fmt.Sprintf("m-%d", i)
		e, err := f.startEngine(id, "lm", i, counted(&running[i], streamHandler(rec, id, "v1")))
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	time.Sleep(3 * time.Second)
	const clients = 48
	streams := make([]*stream, clients)
	leave := make(chan struct{})
	never := make(chan struct{})
	var all sync.WaitGroup
	for i := range streams {
		s := &stream{versions: make(map[string]int)}
		streams[i] = s
		all.Go(func() {
			complete := s.try(rec, first.callers, leave)
			// Half of the clients come to another router, half to the one that has seen the crash.
			next := []*daemon{first, second}[i%2]
			for begin := time.Now(); !complete && s.tries < 4 && time.Since(begin) < 8*time.Second; {
				// A pause of the client's own.
				time.Sleep(time.Duration(700+rand.IntN(400)) * time.Millisecond)
				complete = s.try(rec, next.callers, never)
			}
		})
	}
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		// Each client whose stream breaks off takes it up again.
		most := 0
		for i := range running {
			if running[i].Load() > running[most].Load() {
				most = i
			}
		}
		crashed := engines[most]
		rec.printf("engine %s at %s crashes, with %d streams", crashed.id, crashed.address, running[most].Load())
		crashed.close()
		time.Sleep(engineDown)
		again := &engine{id: crashed.id, service: "lm", late: heartbeat, version: "v2"}
		if engines[most], err = f.listen(again, most, crashed.address, counted(&running[most], streamHandler(rec, crashed.id, "v2"))); err != nil {
			return false, err
		}
		rec.printf("engine %s starts again at %s with version v2; its first liveness report comes after %v", crashed.id, crashed.address, heartbeat)
	} else {
		// The clients break off themselves, and take their streams up again.
		rec.printf("all clients break off")
		close(leave)
	}
	all.Wait()
	for _, e := range engines {
		e.close()
	}
	taken, complete, mixed, mixedAt := 0, 0, 0, [2]int{}
	for i, s := range streams {
		if s.tries > 1 {
			taken++
		}
		if s.last == streamEvents {
			complete++
		}
		if len(s.versions) > 1 {
			mixed++
			mixedAt[i%2]++
			rec.printf("stream %d holds events of two versions: %v", i, s.versions)
		}
	}
	text := fmt.Sprintf("%d streams, %d taken up again, %d complete, %d with events of two versions (%d at the same router, %d at another)",
		clients, taken, complete, mixed, mixedAt[0], mixedAt[1])
	rec.printf("%s", text)
	fmt.Println(text)
	if taken == 0 {
		return false, fmt.Errorf("no stream was taken up again")
	}
	return mixed <= 2, nil // ORDER: more than two streams.
}
