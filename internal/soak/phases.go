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
	// startTimeout bounds the start of a site. It is no part of a verdict on
	// speed.
	startTimeout = time.Minute
	// propagationTimeout is how long after its acknowledgement a version may be unknown
	// to a router, and recoverBound how long after the last fault a site may
	// not serve.
	propagationTimeout = 2500 * time.Millisecond
	recoveryTimeout    = 15 * time.Second
)

// run makes the parts of a run one after the other: a first order, faults, a
// calm time with planned work, and the last checks.
func (s *Site) run(random *rand.Rand) {
	runCtx, stopRun := context.WithCancel(context.Background())
	defer stopRun()
	version, body := s.versions.next(0, false)
	startCtx, stopStart := context.WithTimeout(runCtx, startTimeout)
	defer stopStart()
	if !s.order(startCtx, version, body, random) {
		s.recorder.addFinding("RECOVER", "the first order is not acknowledged within %v", startTimeout)
		return
	}
	for _, p := range slices.Concat(s.controls, s.routers) {
		if err := p.changeSettings(func(changed *settings.Site) { changed.FirstStart = false }); err != nil {
			s.recorder.addFinding("SOAK", "%v", err)
		}
	}
	s.startCallers(runCtx, s.config.Callers)
	reads := newRandom(random)
	s.background.Go(func() { s.readRoutingTables(runCtx, reads) })
	for i := range s.routers {
		s.background.Go(func() { s.probeRouter(runCtx, i) })
	}
	faultCtx, stopFaults := context.WithTimeout(runCtx, s.config.Faults)
	defer stopFaults()
	var operators sync.WaitGroup
	for operator := range 2 {
		orders := newRandom(random)
		operators.Go(func() { s.runOperator(faultCtx, operator, orders) })
	}
	s.inject(faultCtx, newRandom(random))
	operators.Wait()
	s.activeFaults.Wait()
	s.awaitRecovery(runCtx, random)
	s.runPlannedOperations(runCtx, random)
	s.checkConvergence(runCtx)
	stopRun()
	s.background.Wait()
}

// newRandom returns a source of its own for a part of the run, so that the times of
// other parts change nothing there.
func newRandom(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

// startCallers starts more startCallers.
func (s *Site) startCallers(ctx context.Context, count int) {
	for range count {
		s.mu.Lock()
		number := s.callerCount
		s.callerCount++
		s.mu.Unlock()
		s.background.Go(func() { s.runCaller(ctx, number, rand.New(rand.NewPCG(s.config.Seed, uint64(number)+1))) })
	}
}

// stop stops a process in good order. It returns false when the process, which
// may be paused, had to be killed.
func (s *Site) stop(p *Process) bool {
	p.signal(syscall.SIGTERM)
	ended := p.awaitEnd(shutdownTimeout)
	if !ended {
		p.kill()
	}
	return ended
}

// relayOf returns the relay before a control host.
func (s *Site) relayOf(p *Process) *relay.Relay { return s.relays[slices.Index(s.controls, p)] }

// awaitRecovery waits until the site serves again after the last fault.
func (s *Site) awaitRecovery(ctx context.Context, random *rand.Rand) {
	bounded, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	version, body := s.versions.next(0, false)
	if !s.order(bounded, version, body, random) {
		s.recorder.addFinding("RECOVER", "no order is acknowledged within %v after the last fault", recoveryTimeout)
		return
	}
	for i := range s.routers {
		for served := 0; served < len(requestKinds); {
			r := s.newRequest(fmt.Sprintf("r%d-%d-%d", i, served, s.since()), requestKinds[served], i, i)
			s.exchange(newClient(), r, 0)
			if r.complete && r.status == http.StatusOK {
				served++
			} else if !sleep(bounded, probeInterval) {
				s.recorder.addFinding("RECOVER", "%s does not serve a %s within %v after the last fault: %d %v", s.routers[i].name(), r.kind.name, recoveryTimeout, r.status, r.failure)
				return
			}
		}
	}
	sleep(ctx, stabilizationTime)
	s.faultFreeFrom = s.since() - stabilizationTime
}

// runPlannedOperations does what operators do on a calm day. Nothing may be lost by it.
func (s *Site) runPlannedOperations(ctx context.Context, random *rand.Rand) {
	var work sync.WaitGroup
	defer work.Wait()
	work.Go(func() {
		p := s.routers[0]
		if !s.stop(p) {
			s.recorder.addFinding("ENDED", "%s does not end within %v of SIGTERM", p.name(), shutdownTimeout)
		}
		if err := p.start(); err != nil {
			s.recorder.addFinding("SOAK", "%v", err)
		}
	})
	work.Go(func() { s.endpoints[0].leave(ctx) })
	bounded, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	version, body := s.versions.next(0, false)
	if !s.order(bounded, version, body, random) {
		s.recorder.addFinding("RECOVER", "no order is acknowledged within %v without faults", recoveryTimeout)
		return
	}
	sleep(ctx, propagationTimeout)
	for i, p := range s.routers {
		if _, serving := p.state(); serving && s.probeVersion(ctx, i, version) == versionInactive {
			s.recorder.addFinding("CONFIG", "%s does not know version %d %v after its acknowledgement", p.name(), version, propagationTimeout)
		}
	}
}

// checkConvergence checks that all control hosts give the same, newest table.
func (s *Site) checkConvergence(ctx context.Context) {
	acknowledged, _ := s.versions.known()
	for i, p := range s.controls {
		end := time.Now().Add(recoveryTimeout)
		for s.readRoutingTable(ctx, i) < acknowledged {
			if time.Now().After(end) {
				s.recorder.addFinding("LOST", "%s does not read version %d within %v", p.name(), acknowledged, recoveryTimeout)
				break
			}
			sleep(ctx, probeInterval)
		}
	}
	s.faultFreeUntil = s.since()
}
