package measure

import (
	"time"
)

// Fault is a fault that is injected into a run.
type Fault string

// The faults.
const (
	FaultNone    Fault = "none"
	FaultFlood   Fault = "flood"
	FaultKill    Fault = "kill"
	FaultFreeze  Fault = "freeze"
	FaultSplit   Fault = "split"
	FaultRestart Fault = "restart"
	FaultCrash   Fault = "crash"
)

// Faults returns all faults, with FaultNone first.
func Faults() []Fault {
	return []Fault{FaultNone, FaultFlood, FaultKill, FaultFreeze, FaultSplit, FaultRestart, FaultCrash}
}

// Start, durations and sizes of the faults. floodLoadFactor is the load of a
// flooding account in multiples of the fleet's capacity.
const (
	faultStart      = 60 * time.Second
	faultDuration   = 30 * time.Second
	floodLoadFactor = 5
	failoverDelay   = time.Second
	freezeDuration  = 10 * time.Second
	overlapDuration = 10 * time.Second
	restartDuration = 2 * time.Second
	crashDuration   = 10 * time.Second
)

// scheduleFault schedules the events of the fault.
func (f *fleet) scheduleFault(fault Fault) {
	switch fault {
	case FaultFlood:
		f.clock.after(faultStart, f.flood)
	case FaultKill:
		f.clock.after(faultStart, f.killScheduler)
	case FaultFreeze:
		f.clock.after(faultStart, f.freezeScheduler)
	case FaultSplit:
		f.clock.after(faultStart, f.splitRegion)
	case FaultRestart:
		f.clock.after(faultStart, f.restartRouters)
	case FaultCrash:
		f.clock.after(faultStart, func() { f.endpoints[0].crash(crashDuration) })
	}
}

// flood raises the request rate of the last small account for faultDuration.
func (f *fleet) flood() {
	account := len(f.workload.Accounts) - 1
	f.flooding[account] = true
	f.flooded[account] = true
	f.arrive(account)
	f.clock.after(faultDuration, func() { f.flooding[account] = false })
}

// killScheduler stops the scheduler of the first region. Another host replaces it
// after failoverDelay.
func (f *fleet) killScheduler() {
	region := f.workload.Regions[0].Name
	f.activeNode(region).up = false
	f.clock.after(failoverDelay, func() { f.startReplacement(region) })
}

// startReplacement starts a scheduler and connects the region's routers to it.
func (f *fleet) startReplacement(region string) *node {
	n := f.addNode(region)
	f.reconnect(region, func(*router) *node { return n })
	return n
}

func (f *fleet) reconnect(region string, choose func(*router) *node) {
	for _, r := range f.routers {
		if r.region == region {
			r.connect(choose(r))
		}
	}
}

// freezeScheduler suspends the scheduler of the first region. Its routers
// connect to a replacement. When the suspended scheduler resumes, every second
// router reconnects to it for overlapDuration, during which two schedulers grant
// the same slots. Then all routers use the replacement.
func (f *fleet) freezeScheduler() {
	region := f.workload.Regions[0].Name
	old := f.activeNode(region)
	old.frozen = true
	var replacement *node
	f.clock.after(failoverDelay, func() { replacement = f.startReplacement(region) })
	f.clock.after(freezeDuration, func() {
		old.resume()
		useOld := false
		f.reconnect(region, func(r *router) *node {
			useOld = !useOld
			if useOld {
				return old
			}
			return replacement
		})
	})
	f.clock.after(freezeDuration+overlapDuration, func() {
		f.reconnect(region, func(*router) *node { return replacement })
		old.up = false
	})
}

// splitRegion partitions the last region from the others for faultDuration.
// Requests that run across the partition fail.
func (f *fleet) splitRegion() {
	region := f.workload.Regions[len(f.workload.Regions)-1].Name
	f.partitioned[region] = true
	f.setRegions()
	for _, r := range f.routers {
		for _, j := range append([]*job(nil), r.jobs...) {
			if j.state == jobGranted && !f.reachable(r.region, j.endpoint.region) {
				r.requestEnded(j, false, true)
			}
		}
	}
	f.clock.after(faultDuration, func() {
		f.partitioned[region] = false
		f.setRegions()
	})
}

// restartRouters restarts every third router with empty state.
func (f *fleet) restartRouters() {
	for i, r := range f.routers {
		if i%3 == 0 {
			r.stop(restartDuration)
		}
	}
}
