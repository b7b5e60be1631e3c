package measure

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const testLength = 100 * time.Second

// TestTargetsUnderFaults checks the targets for the fairness gap and the
// utilisation. The cases whose utilisation is not checked here have their own
// tests below. During a split, fairness holds only within each partition, so the
// gap across the fleet is not bounded for that fault.
func TestTargetsUnderFaults(t *testing.T) {
	for _, w := range Workloads() {
		for _, fault := range Faults() {
			t.Run(w.Name+"/"+string(fault), func(t *testing.T) {
				t.Parallel()
				r := Run(w, PolicyFair, fault, 1, testLength)
				if fault != FaultSplit {
					qt.Check(t, r.Gap <= 2*r.RunningCost, qt.IsTrue, qt.Commentf("gap %v, running cost %v", r.Gap, r.RunningCost))
				}
				waxFreeze := w.Name == waxCaravan().Name && fault == FaultFreeze
				if w.Name != orders().Name && !waxFreeze {
					qt.Check(t, r.Utilisation >= 0.98, qt.IsTrue, qt.Commentf("utilisation %v", r.Utilisation))
				}
				qt.Check(t, r.DuplicateStarts, qt.Equals, 0)
			})
		}
	}
}

// TestUtilisationOfOrders checks the utilisation target for a service with three
// endpoints, one in each region, whose requests take one second.
func TestUtilisationOfOrders(t *testing.T) {
	r := Run(orders(), PolicyFair, FaultNone, 1, testLength)
	qt.Assert(t, r.Utilisation >= 0.98, qt.IsTrue, qt.Commentf("utilisation %v", r.Utilisation))
}

func TestUtilisationDuringSchedulerFreeze(t *testing.T) {
	r := Run(waxCaravan(), PolicyFair, FaultFreeze, 1, testLength)
	qt.Assert(t, r.Utilisation >= 0.98, qt.IsTrue, qt.Commentf("utilisation %v", r.Utilisation))
}

func TestRunsAreDeterministic(t *testing.T) {
	first := Run(orders(), PolicyFair, FaultFreeze, 7, testLength)
	qt.Assert(t, Run(orders(), PolicyFair, FaultFreeze, 7, testLength), qt.Equals, first)
}
