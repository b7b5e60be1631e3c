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
	program := filepath.Join(t.TempDir(), "oleanderramp")
	build := exec.Command("go", "build", "-o", program, "oleanderramp/cmd/oleanderramp")
	build.Stderr = os.Stderr
	qt.Assert(t, build.Run(), qt.IsNil)
	tests := []struct {
		seed  uint64
		cause string
	}{
		{101, ""},
		{3, "stray bytes at the end of the log, left by no write, kept the control host from ever starting again"},
		{5, "as seed 3"},
		{6, "as seed 3"},
		{8, "as seed 3, on a control host that reads were sent to"},
		{12, "as seed 3; also a fault of the soak itself, which started an endpoint twice"},
		{2, "a fault of the soak itself, which started an endpoint twice"},
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
				Program: program, Folder: folder, Seed: test.seed, Faults: 5 * time.Second,
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
