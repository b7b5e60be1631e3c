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
	// The timeouts count the time in which this process runs (runningClock).
	//
	// startTimeout limits the time until the first order is acknowledged. It is not
	// a performance criterion.
	startTimeout = time.Minute
	// propagationTimeout is how long after its acknowledgement a version may be
	// unknown to a router, and recoveryTimeout how long after the last fault the
	// site may be unable to serve.
	propagationTimeout = 2500 * time.Millisecond
	recoveryTimeout    = 15 * time.Second
)

// run executes the phases of a run in turn: the first order, faults, recovery,
// pauses of endpoints and planned operations without faults, the checks after them,
// and the final fault.
func (s *Site) run(random *rand.Rand) {
	runCtx, stopRun := context.WithCancel(context.Background())
	defer stopRun()
	version, body := s.versions.next(defaultTable(0), false)
	startCtx, stopStart := withRunningTimeout(runCtx, startTimeout)
	defer stopStart()
	if !s.order(startCtx, version, body, random) {
		s.recorder.addFinding("RECOVER", "the first order was not acknowledged within %v", startTimeout)
		return
	}
	for _, p := range slices.Concat(s.controls, s.routers) {
		if err := p.changeSettings(func(changed *settings.Site) { changed.FirstStart = false }); err != nil {
			s.recorder.addFinding("SOAK", "%v", err)
		}
	}
	// This has a random source of its own, so that a seed's faults do not depend on it.
	if first := rand.New(rand.NewPCG(s.config.Seed, 1)); s.config.FinalFault && first.IntN(2) == 0 {
		s.loseDisksAfterAck(runCtx, version, nil, first)
	}
	s.background.Go(func() { s.watchStalls(runCtx) })
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
	// This has a random source of its own, so that a seed's faults do not depend on it.
	evacuations := rand.New(rand.NewPCG(s.config.Seed, 2))
	operators.Go(func() { s.runEvacuations(faultCtx, runCtx, evacuations) })
	s.inject(faultCtx, newRandom(random))
	operators.Wait()
	s.activeFaults.Wait()
	s.awaitRecovery(runCtx, random)
	s.runPauses(runCtx, random)
	s.runPlannedOperations(runCtx, random)
	s.evacuate(runCtx, evacuations, func() { sleep(runCtx, evacuationTime) })
	s.checkConvergence(runCtx)
	if s.config.FinalFault {
		s.evacuate(runCtx, evacuations, func() { s.runFinalFault(runCtx, random) })
	}
	stopRun()
	s.background.Wait()
}

// newRandom derives a separate random source for a part of the run, so that its
// sequence does not depend on the timing of other parts.
func newRandom(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

// startCallers starts count more callers.
func (s *Site) startCallers(ctx context.Context, count int) {
	for range count {
		s.mu.Lock()
		number := s.callerCount
		s.callerCount++
		s.mu.Unlock()
		s.background.Go(func() { s.runCaller(ctx, number, rand.New(rand.NewPCG(s.config.Seed, uint64(number)+1))) })
	}
}

// stop stops a process gracefully with SIGTERM. It returns false if the process,
// which may be paused, had to be killed after shutdownTimeout.
func (s *Site) stop(p *Process) bool {
	p.signal(syscall.SIGTERM)
	ended := p.awaitEnd(shutdownTimeout)
	if !ended {
		p.kill()
	}
	return ended
}

// relayOf returns the relay in front of a control host.
func (s *Site) relayOf(p *Process) *relay.Relay { return s.relays[slices.Index(s.controls, p)] }

// awaitRecovery waits until the site serves again after the faults, and then until it
// has stabilized.
func (s *Site) awaitRecovery(ctx context.Context, random *rand.Rand) {
	if !s.awaitServing(ctx, random, "the last fault") {
		return
	}
	sleep(ctx, stabilizationTime)
	s.faultFreeFrom = s.since() - stabilizationTime
}

// awaitServing waits until the site acknowledges an order and every router serves
// each kind of request. It returns false, and reports it, if that takes longer than
// recoveryTimeout after the fault.
func (s *Site) awaitServing(ctx context.Context, random *rand.Rand, fault string) bool {
	bounded, cancel := withRunningTimeout(ctx, recoveryTimeout)
	defer cancel()
	version, body := s.versions.next(defaultTable(0), false)
	if !s.order(bounded, version, body, random) {
		s.recorder.addFinding("RECOVER", "no order was acknowledged within %v after %s", recoveryTimeout, fault)
		return false
	}
	for i := range s.routers {
		for served := 0; served < len(requestKinds); {
			r := s.newRequest(fmt.Sprintf("r%d-%d-%d", i, served, s.since()), requestKinds[served], i, i)
			s.exchange(newClient(), r, 0)
			if r.complete && r.status == http.StatusOK {
				served++
			} else if !sleep(bounded, probeInterval) {
				s.recorder.addFinding("RECOVER", "%s did not serve a %s within %v after %s: status %d, error %v", s.routers[i].name(), r.kind.name, recoveryTimeout, fault, r.status, r.failure)
				return false
			}
		}
	}
	return true
}

// runPlannedOperations restarts a router, lets an endpoint leave and sends an
// order, without faults. No request may be lost.
func (s *Site) runPlannedOperations(ctx context.Context, random *rand.Rand) {
	var work sync.WaitGroup
	defer work.Wait()
	work.Go(func() { s.restartPlanned(s.routers[0]) })
	work.Go(func() { s.endpoints[0].leave(ctx) })
	bounded, cancel := withRunningTimeout(ctx, recoveryTimeout)
	defer cancel()
	version, body := s.versions.next(defaultTable(0), false)
	if !s.order(bounded, version, body, random) {
		s.recorder.addFinding("RECOVER", "no order was acknowledged within %v without faults", recoveryTimeout)
		return
	}
	awaitWhileRunning(ctx.Done(), propagationTimeout)
	for i, p := range s.routers {
		if _, serving := p.state(); serving && s.probeVersion(ctx, i, version) == versionInactive {
			s.recorder.addFinding("CONFIG", "%s did not use version %d within %v of its acknowledgement", p.name(), version, propagationTimeout)
		}
	}
}

// restartPlanned stops a process gracefully and starts it again.
func (s *Site) restartPlanned(p *Process) {
	s.recorder.addFault("%s restarts as planned", p.name())
	if !s.stop(p) {
		s.recorder.addFinding("ENDED", "%s did not exit within %v of SIGTERM", p.name(), shutdownTimeout)
	}
	if err := p.start(); err != nil {
		s.recorder.addFinding("SOAK", "%v", err)
	}
}

// checkConvergence checks that all control hosts return the newest acknowledged
// routing table within recoveryTimeout.
func (s *Site) checkConvergence(ctx context.Context) {
	acknowledged, _ := s.versions.known()
	for i, p := range s.controls {
		if !s.awaitVersion(ctx, i, acknowledged) {
			s.recorder.addFinding("LOST", "%s did not return version %d or later within %v", p.name(), acknowledged, recoveryTimeout)
		}
	}
	s.faultFreeUntil = s.since()
}

// awaitVersion waits until a control host returns the version or a later one. It
// returns false if it does not within recoveryTimeout.
func (s *Site) awaitVersion(ctx context.Context, control, version int) bool {
	bounded, cancel := withRunningTimeout(ctx, recoveryTimeout)
	defer cancel()
	for s.readRoutingTable(ctx, control) < version {
		if !sleep(bounded, probeInterval) {
			return false
		}
	}
	return true
}
