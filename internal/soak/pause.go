package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"oleanderramp/platform/outside"
)

const (
	// minEndpointPause and maxEndpointPause bound how long a sound endpoint pauses.
	minEndpointPause = time.Second
	maxEndpointPause = 2 * time.Second
	// pauseRest is the time between two series of pauses. A request takes less, so
	// that it meets only one of them.
	pauseRest = time.Second
	// maxVariantInterval is the maximum time between two routing tables while
	// endpoints pause.
	maxVariantInterval = 600 * time.Millisecond
)

// gate blocks what passes it while it is closed. It is safe for concurrent use.
type gate struct {
	mu sync.Mutex
	// opened is closed when the gate opens; nil while it is open.
	opened chan struct{}
}

// shut closes the gate. It does nothing if the gate is closed.
func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
}

// open opens the gate. It does nothing if the gate is open.
func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// pass blocks until the gate is open. It returns false if the context ends first.
func (g *gate) pass(ctx context.Context) bool {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	if opened == nil {
		return true
	}
	select {
	case <-opened:
		return true
	case <-ctx.Done():
		return false
	}
}

// endpointPause is a period in which an endpoint sent nothing and then went on.
type endpointPause struct {
	endpoint    string
	from, until time.Duration
}

// pausedBeside reports whether an endpoint that ran the request paused before the
// request ended. The caller must not change the pauses meanwhile.
func (s *Site) pausedBeside(r *sentRequest) bool {
	for _, e := range r.executions {
		for _, p := range s.pauses {
			if p.endpoint == e.endpoint && p.from <= r.ended && p.until >= e.at {
				return true
			}
		}
	}
	return false
}

// checkPaused checks that the request was not given up because an endpoint paused.
func (s *Site) checkPaused(r *sentRequest) {
	failed := r.complete && r.status >= http.StatusInternalServerError && !outside.GuaranteesNotRun(r.status)
	if failed && s.pausedBeside(r) && s.faultFree(r.began-stabilizationTime, r.ended) {
		s.recorder.addFinding("LOST", "%s (%s) ran at an endpoint that paused and was answered with status %d after %v", r.id, r.kind.name, r.status, r.ended-r.began)
	}
}

// runPauses lets endpoints pause, without faults, while the routing table changes
// and a router is restarted as planned.
func (s *Site) runPauses(ctx context.Context, random *rand.Rand) {
	if s.config.Pauses == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.Pauses)
	defer cancel()
	var work sync.WaitGroup
	defer work.Wait()
	tables, restart := newRandom(random), newRandom(random)
	work.Go(func() { s.changeTables(ctx, tables) })
	work.Go(func() {
		sleep(ctx, randomDuration(restart, 0, s.config.Pauses/2))
		s.restartPlanned(s.routers[restart.IntN(len(s.routers))])
	})
	for ctx.Err() == nil {
		s.pauseEndpoints(random)
		sleep(ctx, pauseRest)
	}
}

// changeTables sends routing tables with other timeouts, idle timeouts, weights and
// routes until the context ends.
func (s *Site) changeTables(ctx context.Context, random *rand.Rand) {
	for sleep(ctx, randomDuration(random, 0, maxVariantInterval)) {
		version, body := s.versions.next(randomTable(random), false)
		s.order(ctx, version, body, random)
	}
}

// pauseEndpoints lets all endpoints or a random share of them pause from the same
// moment on, and returns when all go on.
func (s *Site) pauseEndpoints(random *rand.Rand) {
	var work sync.WaitGroup
	defer work.Wait()
	percent := 100
	if random.IntN(2) == 0 {
		percent = random.IntN(100)
	}
	for _, e := range s.endpoints {
		length, announces := randomDuration(random, minEndpointPause, maxEndpointPause), random.IntN(2) == 0
		if random.IntN(100) < percent {
			work.Go(func() { s.pauseEndpoint(e, length, announces) })
		}
	}
}

// pauseEndpoint lets an endpoint send nothing on any connection, old or new, and go
// on where it was. announces means that its announcements continue.
func (s *Site) pauseEndpoint(e *Endpoint, length time.Duration, announces bool) {
	incarnation := e.incarnation()
	if incarnation == nil {
		return
	}
	p := endpointPause{endpoint: incarnation.id, from: s.since()}
	s.recorder.addFault("%s pauses for %v, announces: %v", p.endpoint, length, announces)
	e.answers.shut()
	if !announces {
		e.announcements.shut()
	}
	time.Sleep(length)
	e.answers.open()
	e.announcements.open()
	p.until = s.since()
	s.recorder.addFault("%s goes on", p.endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pauses = append(s.pauses, p)
}
