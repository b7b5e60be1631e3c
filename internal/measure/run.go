package measure

import (
	"time"
)

// Result is what one run measured.
type Result struct {
	Workload string
	Policy   Policy
	Fault    Fault
	Seed     uint64
	// Gap is the largest difference in true cost between two accounts while
	// both had waiting requests, divided by the share, the smallest share
	// being 1.
	Gap float64
	// RunningCost is the mean true cost of all running requests of the service
	// while work waited. The target for Gap is twice that.
	RunningCost float64
	// Utilisation is the part of usable slots that were busy while work
	// waited.
	Utilisation float64
	// LongestWait is over all requests, SmallAccountWait over those of accounts with
	// the share 1. LongestExcess is beyond the wait that the account's share
	// explains. The last two leave an account that floods out.
	LongestWait, SmallAccountWait, LongestExcess time.Duration
	// DaemonBytes and CrossBytes are those of the busiest daemon a second,
	// all and across regions.
	DaemonBytes, CrossBytes float64
	// Completed, Refused, Failed and CrossRegion count requests: answered whole,
	// refused by a full queue, failed and repeated, run in another region.
	Completed, Refused, Failed, CrossRegion int
	// DuplicateStarts counts requests that were started twice by one attempt.
	DuplicateStarts int
}

// Run measures a workload for length under a policy and a fault.
func Run(w Workload, policy Policy, fault Fault, seed uint64, length time.Duration) Result {
	f := newFleet(w, policy, seed)
	f.scheduleFault(fault)
	f.clock.runUntil(epoch.Add(length), func() { f.meter.advance(f.clock.now) })
	m := f.meter
	return Result{
		Workload: w.Name, Policy: policy, Fault: fault, Seed: seed,
		Gap: m.gap, RunningCost: m.runningCost / max(m.loadedSeconds, 1), Utilisation: m.busy / max(m.usable, 1),
		LongestWait: m.longestWait, SmallAccountWait: m.smallAccountWait, LongestExcess: m.longestExcess,
		DaemonBytes: maxRate(f.traffic.daemonBytes, length), CrossBytes: maxRate(f.traffic.crossRegionBytes, length),
		Completed: m.completed, Refused: f.refused, Failed: f.failed, CrossRegion: f.traffic.crossRegionRequests, DuplicateStarts: f.duplicateStarts,
	}
}
