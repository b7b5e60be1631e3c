package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"
	"time"
)

const (
	// maxStartDelay bounds how long after the final fault a process starts again.
	maxStartDelay = time.Second
	// maxRepairTime bounds how long before the final fault a control host may have lost its
	// disk, so that the quorum may still be replacing its member.
	maxRepairTime = 2 * time.Second
	// killTimeout bounds the time until a killed process has ended.
	killTimeout = time.Minute
)

// runFinalFault ends a run with a loss of disks right after an acknowledged order,
// while all other processes are killed at the same moment. What was acknowledged must
// be there afterwards, and the site must serve again.
func (s *Site) runFinalFault(ctx context.Context, random *rand.Rand) {
	bounded, cancel := withRunningTimeout(ctx, recoveryTimeout)
	defer cancel()
	var repaired *Process
	if random.IntN(2) == 0 && s.tolerated() > 0 {
		repaired = s.beginRepair(ctx, random)
	}
	version, body := s.versions.next(randomTable(random), false)
	if !s.order(bounded, version, body, random) {
		s.recorder.addFinding("RECOVER", "no order was acknowledged within %v before the final fault", recoveryTimeout)
		return
	}
	s.loseDisksAfterAck(ctx, version, repaired, random)
}

// beginRepair makes a control host lose its disk and start again, and waits until its
// member is added, has caught up, or has replaced the former one.
func (s *Site) beginRepair(ctx context.Context, random *rand.Rand) *Process {
	p := s.controls[random.IntN(len(s.controls))]
	p.kill()
	s.damageAfterLoss(p, true, random)
	if err := p.start(); err != nil {
		s.recorder.addFinding("SOAK", "start after a lost disk: %v", err)
	}
	sleep(ctx, randomDuration(random, 0, maxRepairTime))
	return p
}

// loseDisksAfterAck loses disks right after the version was acknowledged, and checks that
// it is there afterwards. The process repaired, if any, counts as one of the lost disks.
func (s *Site) loseDisksAfterAck(ctx context.Context, version int, repaired *Process, random *rand.Rand) {
	s.loseDisks(random, s.chooseLost(random, repaired))
	recovery, cancelRecovery := withRunningTimeout(ctx, recoveryTimeout)
	defer cancelRecovery()
	s.checkAcknowledged(recovery, version)
	s.awaitServing(recovery, random, "the final fault")
	for i, p := range s.routers {
		if s.probeVersion(ctx, i, version) == versionInactive {
			s.recorder.addFinding("LOST", "%s serves without version %d, which was acknowledged before the final fault", p.name(), version)
		}
	}
}

// chooseLost returns up to the tolerated number of control hosts. The process repaired,
// if any, counts as one of them, but may keep its new disk.
func (s *Site) chooseLost(random *rand.Rand, repaired *Process) []*Process {
	chosen := slices.Clone(s.controls)
	random.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	if repaired == nil {
		return chosen[:random.IntN(s.tolerated()+1)]
	}
	chosen = slices.DeleteFunc(chosen, func(p *Process) bool { return p == repaired })[:random.IntN(s.tolerated())]
	if random.IntN(2) == 0 {
		chosen = append(chosen, repaired)
	}
	return chosen
}

// loseDisks kills all processes at the same moment and removes the data folders of those
// that are lost, with torn writes on some of the others. It starts all processes again.
func (s *Site) loseDisks(random *rand.Rand, lost []*Process) {
	processes := slices.Concat(s.controls, s.routers)
	for _, p := range processes {
		p.signal(syscall.SIGKILL)
	}
	s.recorder.addFault("all processes are killed")
	for _, p := range processes {
		if !p.awaitEnd(killTimeout) {
			s.recorder.addFinding("SOAK", "%s did not end within %v of SIGKILL", p.name(), killTimeout)
		}
	}
	for _, p := range s.controls {
		s.damageAfterLoss(p, slices.Contains(lost, p), random)
	}
	random.Shuffle(len(processes), func(i, j int) { processes[i], processes[j] = processes[j], processes[i] })
	for _, p := range processes {
		time.Sleep(randomDuration(random, 0, maxStartDelay) / time.Duration(len(processes)))
		if err := p.start(); err != nil {
			s.recorder.addFinding("SOAK", "start after the final fault: %v", err)
		}
	}
	s.recorder.addFault("all processes are started again")
}

// damageAfterLoss removes the data folder of a control host, or leaves a torn write at
// the end of its log, or leaves it as it is.
func (s *Site) damageAfterLoss(p *Process, lost bool, random *rand.Rand) {
	var err error
	torn := random.IntN(2) == 0
	switch {
	case lost:
		s.recorder.addFault("%s loses its disk", p.name())
		err = os.RemoveAll(p.settings.DataFolder)
	case torn:
		s.recorder.addFault("%s has a torn write", p.name())
		err = appendToLog(p.settings.DataFolder, make([]byte, 1+random.IntN(maxTornBytes)))
	}
	if err != nil {
		s.recorder.addFinding("SOAK", "%s: %v", p.name(), err)
	}
}

// checkAcknowledged checks that each control host returns the version, which is the
// last that was sent, before the context ends. readRoutingTable checks the bytes.
func (s *Site) checkAcknowledged(ctx context.Context, version int) {
	for i, p := range s.controls {
		got := s.readRoutingTable(ctx, i)
		for got != version && sleep(ctx, probeInterval) {
			got = s.readRoutingTable(ctx, i)
		}
		if got != version {
			s.recorder.addFinding("LOST", "%s did not return the acknowledged version %d within %v of the final fault; last read: %d", p.name(), version, recoveryTimeout, got)
		}
	}
}
