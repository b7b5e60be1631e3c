package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"oleanderramp/internal/relay"
	"oleanderramp/internal/settings"
)

const (
	// startLimit bounds the start of a site. It is no part of a verdict on
	// speed.
	startLimit = time.Minute
	// applyBound is how long after its acknowledgement a version may be unknown
	// to a router, and recoverBound how long after the last fault a site may
	// not serve.
	applyBound   = 2500 * time.Millisecond
	recoverBound = 15 * time.Second
)

// run makes the parts of a run one after the other: a first order, faults, a
// calm time with planned work, and the last checks.
func (s *Site) run(random *rand.Rand) {
	all, stopAll := context.WithCancel(context.Background())
	defer stopAll()
	version, body := s.versions.next(0, false)
	first, stopFirst := context.WithTimeout(all, startLimit)
	defer stopFirst()
	if !s.order(first, version, body, random) {
		s.journal.find("RECOVER", "the first order is not acknowledged within %v", startLimit)
		return
	}
	for _, p := range slices.Concat(s.controls, s.routers) {
		if err := p.changeSettings(func(changed *settings.Site) { changed.FirstStart = false }); err != nil {
			s.journal.find("SOAK", "%v", err)
		}
	}
	s.callers(all, s.config.Callers)
	reads := branch(random)
	s.work.Go(func() { s.read(all, reads) })
	for i := range s.routers {
		s.work.Go(func() { s.probe(all, i) })
	}
	trouble, stopTrouble := context.WithTimeout(all, s.config.Faults)
	defer stopTrouble()
	var operators sync.WaitGroup
	for operator := range 2 {
		orders := branch(random)
		operators.Go(func() { s.operate(trouble, operator, orders) })
	}
	s.inject(trouble, branch(random))
	operators.Wait()
	s.troubles.Wait()
	s.recover(all, random)
	s.planned(all, random)
	s.settled(all)
	stopAll()
	s.work.Wait()
}

// branch returns a source of its own for a part of the run, so that the times of
// other parts change nothing there.
func branch(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

// callers starts more callers.
func (s *Site) callers(ctx context.Context, count int) {
	for range count {
		s.mu.Lock()
		number := s.callerCount
		s.callerCount++
		s.mu.Unlock()
		s.work.Go(func() { s.call(ctx, number, rand.New(rand.NewPCG(s.config.Seed, uint64(number)+1))) })
	}
}

// stop stops a process in good order. It returns false when the process, which
// may be paused, had to be killed.
func (s *Site) stop(p *Process) bool {
	p.signal(syscall.SIGTERM)
	ended := p.awaitEnd(shutdown)
	if !ended {
		p.kill()
	}
	return ended
}

// relayOf returns the relay before a control host.
func (s *Site) relayOf(p *Process) *relay.Relay { return s.relays[slices.Index(s.controls, p)] }

// recover waits until the site serves again after the last fault.
func (s *Site) recover(ctx context.Context, random *rand.Rand) {
	bounded, cancel := context.WithTimeout(ctx, recoverBound)
	defer cancel()
	version, body := s.versions.next(0, false)
	if !s.order(bounded, version, body, random) {
		s.journal.find("RECOVER", "no order is acknowledged within %v after the last fault", recoverBound)
		return
	}
	for i := range s.routers {
		for served := 0; served < len(kinds); {
			r := s.newRequest(fmt.Sprintf("r%d-%d-%d", i, served, s.since()), kinds[served], i, i)
			s.exchange(newClient(), r, 0)
			if r.whole && r.status == http.StatusOK {
				served++
			} else if !sleep(bounded, probePause) {
				s.journal.find("RECOVER", "%s does not serve a %s within %v after the last fault: %d %v", s.routers[i].name(), r.kind.name, recoverBound, r.status, r.failure)
				return
			}
		}
	}
	sleep(ctx, stableFor)
	s.calmFrom = s.since() - stableFor
}

// planned does what operators do on a calm day. Nothing may be lost by it.
func (s *Site) planned(ctx context.Context, random *rand.Rand) {
	var work sync.WaitGroup
	defer work.Wait()
	work.Go(func() {
		p := s.routers[0]
		if !s.stop(p) {
			s.journal.find("ENDED", "%s does not end within %v of SIGTERM", p.name(), shutdown)
		}
		if err := p.start(); err != nil {
			s.journal.find("SOAK", "%v", err)
		}
	})
	work.Go(func() { s.endpoints[0].leave(ctx) })
	bounded, cancel := context.WithTimeout(ctx, recoverBound)
	defer cancel()
	version, body := s.versions.next(0, false)
	if !s.order(bounded, version, body, random) {
		s.journal.find("RECOVER", "no order is acknowledged within %v without faults", recoverBound)
		return
	}
	sleep(ctx, applyBound)
	for i, p := range s.routers {
		if _, serving := p.state(); serving && s.knows(ctx, i, version) == unknownVersion {
			s.journal.find("CONFIG", "%s does not know version %d %v after its acknowledgement", p.name(), version, applyBound)
		}
	}
}

// settled checks that all control hosts give the same, newest table.
func (s *Site) settled(ctx context.Context) {
	acknowledged, _ := s.versions.known()
	for i, p := range s.controls {
		end := time.Now().Add(recoverBound)
		for s.readOne(ctx, i) < acknowledged {
			if time.Now().After(end) {
				s.journal.find("LOST", "%s does not read version %d within %v", p.name(), acknowledged, recoverBound)
				break
			}
			sleep(ctx, probePause)
		}
	}
	s.calmTo = s.since()
}
