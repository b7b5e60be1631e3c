package soak_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/soak"
)

// TestSeeds runs a short soak with one arbitrary seed and with each seed that
// has exposed a fault before.
func TestSeeds(t *testing.T) {
	programs := t.TempDir()
	build := exec.Command("go", "build", "-o", programs, "oleanderramp/cmd/oleanderramp", "oleanderramp/cmd/soak")
	build.Stderr = os.Stderr
	qt.Assert(t, build.Run(), qt.IsNil)
	program, losingPower := filepath.Join(programs, "oleanderramp"), filepath.Join(programs, "soak")
	const faults, briefFaults = 5 * time.Second, time.Second
	tests := []struct {
		seed           uint64
		faults, pauses time.Duration
		finalFault     bool
		// controls is the program of control hosts; program if empty.
		controls string
		cause    string
	}{
		{seed: 101, faults: faults},
		{seed: 2901, faults: briefFaults, pauses: 6 * time.Second, cause: "requests to endpoints that paused were given up"},
		{seed: 3101, faults: briefFaults, finalFault: true},
		{seed: 5101, faults: briefFaults, finalFault: true, controls: losingPower},
		{seed: 3, faults: faults, cause: "stray bytes at the end of the log, left by no write, kept the control host from ever starting again"},
		{seed: 5, faults: faults, cause: "as seed 3"},
		{seed: 6, faults: faults, cause: "as seed 3"},
		{seed: 8, faults: faults, cause: "as seed 3, on a control host that reads were sent to"},
		{seed: 12, faults: faults, cause: "as seed 3; also a fault of the soak itself, which started an endpoint twice"},
		{seed: 2, faults: faults, cause: "a fault of the soak itself, which started an endpoint twice"},
		{seed: 7001, faults: faults, cause: "answers with broken heads reached callers, and were joined to streams"},
	}
	// Each run starts a whole site of processes, so only a few may run at the
	// same time.
	const maxParallel = 2
	semaphore := make(chan struct{}, maxParallel)
	for i, test := range tests {
		t.Run(fmt.Sprintf("seed %d", test.seed), func(t *testing.T) {
			t.Parallel()
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			folder := t.TempDir()
			report, err := soak.Run(soak.Config{
				Program: program, ControlProgram: test.controls, Folder: folder, Seed: test.seed, Faults: test.faults, Pauses: test.pauses, FinalFault: test.finalFault,
				Network:  [2]byte{byte(30 + os.Getpid()%90), byte(4 * i)},
				Controls: 5, Routers: 2, Endpoints: 4, Callers: 6,
			})
			qt.Assert(t, err, qt.IsNil)
			for _, f := range report.Findings {
				t.Errorf("%v", f)
			}
			if t.Failed() {
				t.Logf("earlier failure with this seed: %s", test.cause)
				for _, line := range report.Faults {
					t.Log(line)
				}
			}
			qt.Check(t, report.Served > 0, qt.IsTrue)
		})
	}
}
