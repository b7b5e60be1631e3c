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

// TestSeeds runs a short soak, and the seeds that have ever found something.
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
		{3, "bytes that no write left at the end of the log kept the control host from starting for good"},
		{5, "as seed 3"},
		{6, "as seed 3"},
		{8, "as seed 3, at a control host that reads were sent to"},
		{12, "as seed 3; a fault of the soak, which started an endpoint twice, besides"},
		{2, "a fault of the soak, which started an endpoint twice"},
	}
	// Each run is a site of processes: a few at once are what the machine bears.
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
				t.Logf("what it was for: %s", test.cause)
				for _, line := range report.Faults {
					t.Log(line)
				}
			}
			qt.Check(t, report.Served > 0, qt.IsTrue)
		})
	}
}
