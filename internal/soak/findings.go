package soak

import (
	"fmt"
	"sync"
	"time"
)

// Finding is a broken promise, or a step that could not be made.
type Finding struct {
	// At is the time since the start of the run.
	At time.Duration
	// Invariant is the one that was broken.
	Invariant string
	Detail    string
}

func (f Finding) String() string {
	return fmt.Sprintf("%7.3fs %s: %s", f.At.Seconds(), f.Invariant, f.Detail)
}

// maxFindings bounds what is kept.
const maxFindings = 50

// recorder collects findings and the faults of a run. It is safe for concurrent
// use.
type recorder struct {
	started time.Time

	mu       sync.Mutex
	findings []Finding
	faults   []string
}

// since returns the time since the start.
func (j *recorder) since() time.Duration { return time.Since(j.started) }

func (j *recorder) addFinding(invariant, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.findings) < maxFindings {
		j.findings = append(j.findings, Finding{At: j.since(), Invariant: invariant, Detail: fmt.Sprintf(format, args...)})
	}
}

func (j *recorder) addFault(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.faults = append(j.faults, fmt.Sprintf("%7.3fs %s", j.since().Seconds(), fmt.Sprintf(format, args...)))
}
