package soak

import (
	"fmt"
	"sync"
	"time"
)

// Finding is a violated invariant, or a step of the soak that failed.
type Finding struct {
	// At is the time since the start of the run.
	At time.Duration
	// Invariant is the code of the invariant that was violated.
	Invariant string
	Detail    string
}

func (f Finding) String() string {
	return fmt.Sprintf("%7.3fs %s: %s", f.At.Seconds(), f.Invariant, f.Detail)
}

// maxFindings is the maximum number of findings that are kept.
const maxFindings = 50

// recorder collects the findings and the faults of a run. It is safe for
// concurrent use.
type recorder struct {
	started time.Time

	mu       sync.Mutex
	findings []Finding
	faults   []string
}

// since returns the time since the start of the run.
func (r *recorder) since() time.Duration { return time.Since(r.started) }

func (r *recorder) addFinding(invariant, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.findings) < maxFindings {
		r.findings = append(r.findings, Finding{At: r.since(), Invariant: invariant, Detail: fmt.Sprintf(format, args...)})
	}
}

func (r *recorder) addFault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf("%7.3fs %s", r.since().Seconds(), fmt.Sprintf(format, args...)))
}
