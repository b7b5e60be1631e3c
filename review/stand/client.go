package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// platform chooses the routers that get new connections: it asks each whether it is ready
// once a second, and leaves one out after two misses.
type platform struct {
	w *world

	mu     sync.Mutex
	misses []int
}

func newPlatform(w *world) *platform {
	p := &platform{w: w, misses: make([]int, len(w.routers))}
	go func() {
		for range time.Tick(time.Second) {
			for i, r := range w.routers {
				ready := r.ready()
				p.mu.Lock()
				if ready {
					p.misses[i] = 0
				} else {
					p.misses[i]++
				}
				p.mu.Unlock()
			}
		}
	}()
	return p
}

// choose returns a router for a new connection, other than the one given.
func (p *platform) choose(other *process) *process {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ready []*process
	for i, r := range p.w.routers {
		if p.misses[i] < 2 && r != other {
			ready = append(ready, r)
		}
	}
	if len(ready) == 0 {
		return p.w.routers[rand.IntN(len(p.w.routers))]
	}
	return ready[rand.IntN(len(ready))]
}

// stream is what a client got of one stream over all of its tries.
type stream struct {
	id       string // Of the try that brought the first event.
	versions map[string]bool
	last     int
	complete bool
	tries    []string
	events   []string
}

var requests atomic.Int64

func newRequestID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), requests.Add(1)) }

// ask sends one client's request and takes the stream up again as PROTOCOL.md allows,
// within its time limit.
func (p *platform) ask(limit time.Duration) *stream {
	s := &stream{versions: make(map[string]bool)}
	defer func() { p.w.detail("client: sent and answered: %s", strings.Join(s.tries, "; ")) }()
	deadline := time.Now().Add(limit)
	var before *process
	for try := 0; try < 3 && time.Until(deadline) > 200*time.Millisecond; try++ {
		router := p.choose(before)
		before = router
		wait, again := p.try(s, router, time.Until(deadline))
		if !again {
			return s
		}
		time.Sleep(wait)
	}
	return s
}

// try makes one attempt. It returns how long to wait before the next one, and whether
// there may be one.
func (p *platform) try(s *stream, router *process, left time.Duration) (time.Duration, bool) {
	id := newRequestID()
	conn, err := net.DialTimeout("tcp", router.callers(), time.Second)
	if err != nil {
		s.tries = append(s.tries, fmt.Sprintf("%s at %s: no connection", id, router.name))
		return 20 * time.Millisecond, true
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(left))
	body := "{}"
	resume := ""
	if s.last > 0 {
		resume = fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", s.last, s.id)
	}
	part := rand.Uint32()
	_, err = fmt.Fprintf(conn, "POST %sx%x HTTP/1.1\r\nHost: %s\r\nOleanderramp-Request-Id: %s\r\nOleanderramp-Model: m\r\nOleanderramp-Token-Count: 826,280\r\n"+
		"Oleanderramp-Prompt-Prefix: %08x:198,%08x:628\r\nOleanderramp-Deadline-Ms: %d\r\nOleanderramp-Key: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		streamPrefix, part, host, id, 0x5c1e0000+rand.IntN(2000), part, left.Milliseconds(), key, resume, len(body), body)
	if err != nil {
		s.tries = append(s.tries, fmt.Sprintf("%s at %s: not sent (%v)", id, router.name, err))
		return 20 * time.Millisecond, true
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		s.tries = append(s.tries, fmt.Sprintf("%s at %s: no answer (%v)", id, router.name, err))
		return 20 * time.Millisecond, true
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		s.tries = append(s.tries, fmt.Sprintf("%s at %s: %d", id, router.name, response.StatusCode))
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		_, _ = io.Copy(io.Discard, response.Body)
		return time.Duration(seconds * float64(time.Second)), response.StatusCode == 503 || response.StatusCode == 429 || response.StatusCode >= 502
	}
	from := s.last
	err = p.read(s, id, response.Body)
	s.tries = append(s.tries, fmt.Sprintf("%s at %s: 200, events %d to %d, end %v", id, router.name, from+1, s.last, err))
	s.complete = err == nil
	return 20 * time.Millisecond, err != nil
}

// read reads events until the stream ends or nothing came for the longest gap.
func (p *platform) read(s *stream, id string, body io.Reader) error {
	scanner := bufio.NewReader(body)
	next := 0
	for {
		line, err := scanner.ReadString('\n')
		if err == io.EOF && line == "" {
			return nil
		}
		if err != nil {
			return err
		}
		line = strings.TrimSpace(line)
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			next, _ = strconv.Atoi(value)
		}
		if value, ok := strings.CutPrefix(line, "data: "); ok {
			if s.last == 0 {
				s.id = id
			}
			version, rest, _ := strings.Cut(value, " ")
			s.versions[version] = true
			if len(s.events) == 0 || !strings.HasPrefix(s.events[len(s.events)-1], version+" "+strings.Fields(rest)[0]) {
				s.events = append(s.events, fmt.Sprintf("%s %s from event %d", version, strings.Fields(rest)[0], next))
			}
			s.last = next
		}
	}
}
