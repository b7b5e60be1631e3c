package measure

import (
	"time"
)

// Result holds the measurements of one run.
type Result struct {
	Workload string
	Policy   Policy
	Fault    Fault
	Seed     uint64
	// Gap is the fairness gap: the largest change, while two accounts both had
	// waiting requests, of the difference in their completed true cost divided
	// by the share. The smallest share is 1.
	Gap float64
	// RunningCost is the mean true cost of all running requests of the service
	// while work waited. The target for Gap is twice that.
	RunningCost float64
	// Utilisation is the fraction of the available slots that were busy while
	// work waited.
	Utilisation float64
	// LongestWait is the longest time from the arrival to the start of all
	// requests, SmallAccountWait that of requests of accounts with share 1.
	// LongestExcess is the longest delay of a start beyond the time at which the
	// request would have started if its account had been served at exactly the
	// rate of its share. The last two exclude accounts that flood.
	LongestWait, SmallAccountWait, LongestExcess time.Duration
	// DaemonBytes and CrossRegionBytes are the control bytes per second of the
	// busiest daemon, in total and across regions.
	DaemonBytes, CrossRegionBytes float64
	// Completed, Refused, Failed and CrossRegion count requests: completed,
	// refused by a full queue or by the scheduler, failed and retried, and sent
	// to another region.
	Completed, Refused, Failed, CrossRegion int
	// DuplicateStarts counts the second and later starts of one attempt of a
	// request.
	DuplicateStarts int
}

// Run simulates a workload for the given length under a policy and a fault.
func Run(w Workload, policy Policy, fault Fault, seed uint64, length time.Duration) Result {
	f := newFleet(w, policy, seed)
	f.scheduleFault(fault)
	f.clock.runUntil(epoch.Add(length), func() { f.meter.advance(f.clock.now) })
	m := f.meter
	return Result{
		Workload: w.Name, Policy: policy, Fault: fault, Seed: seed,
		Gap: m.gap, RunningCost: m.runningCost / max(m.loadedSeconds, 1), Utilisation: m.busy / max(m.usable, 1),
		LongestWait: m.longestWait, SmallAccountWait: m.smallAccountWait, LongestExcess: m.longestExcess,
		DaemonBytes: maxRate(f.traffic.daemonBytes, length), CrossRegionBytes: maxRate(f.traffic.crossRegionBytes, length),
		Completed: m.completed, Refused: f.refused, Failed: f.failed, CrossRegion: f.traffic.crossRegionRequests, DuplicateStarts: f.duplicateStarts,
	}
}
