package main

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"oleanderramp/internal/tools/knownred"
)

// The actions of test events that a summary takes in.
const (
	actionRun         = "run"
	actionPass        = "pass"
	actionFail        = "fail"
	actionSkip        = "skip"
	actionOutput      = "output"
	actionBuildOutput = "build-output"
)

// panicPrefix begins the output of a panic.
const panicPrefix = "panic: "

// testEvent is one line of "go test -json".
type testEvent struct {
	Action  string
	Package string
	// Test is empty for an event of the package as a whole.
	Test   string
	Output string
	// ImportPath names the compiled package in events of the build.
	ImportPath string
	// FailedBuild is the ImportPath whose build made the package fail.
	FailedBuild string
}

// summary is what a run came to.
type summary struct {
	passed  int
	skipped int
	// failed holds the keys of failed tests and packages.
	failed map[string]bool
	// failures holds the failed tests and packages in order.
	failures []testEvent
	// running holds the tests of each package that have begun and not ended.
	running map[string]map[string]bool
	// panicked holds the packages that a panic ended before all tests ran.
	panicked map[string]bool
	// output holds the output by test, and by ImportPath for the compiler's.
	output map[string][]string
}

func newSummary() *summary {
	return &summary{
		failed:   make(map[string]bool),
		running:  make(map[string]map[string]bool),
		panicked: make(map[string]bool),
		output:   make(map[string][]string),
	}
}

func (s *summary) add(event testEvent) {
	key := knownred.Key(event.Package, event.Test)
	switch event.Action {
	case actionRun:
		if s.running[event.Package] == nil {
			s.running[event.Package] = make(map[string]bool)
		}
		s.running[event.Package][event.Test] = true
	case actionOutput:
		if strings.HasPrefix(event.Output, panicPrefix) {
			s.panicked[event.Package] = true
		}
		s.output[key] = append(s.output[key], event.Output)
	case actionBuildOutput:
		s.output[event.ImportPath] = append(s.output[event.ImportPath], event.Output)
	case actionPass:
		delete(s.running[event.Package], event.Test)
		if event.Test != "" {
			s.passed++
			delete(s.output, key)
		}
	case actionSkip:
		delete(s.running[event.Package], event.Test)
		if event.Test != "" {
			s.skipped++
		}
	case actionFail:
		delete(s.running[event.Package], event.Test)
		s.failed[key] = true
		s.failures = append(s.failures, event)
	}
}

// independentFailures returns the failures without those of packages that failed only
// because some of their tests did. A package with a test that never ended, as
// after a timeout, or with a panic stays: not all of its tests have run.
func (s *summary) independentFailures() []testEvent {
	testFailedIn := make(map[string]bool)
	for _, event := range s.failures {
		if event.Test != "" {
			testFailedIn[event.Package] = true
		}
	}
	var failures []testEvent
	for _, event := range s.failures {
		complete := len(s.running[event.Package]) == 0 && !s.panicked[event.Package]
		if event.Test == "" && testFailedIn[event.Package] && complete {
			continue
		}
		failures = append(failures, event)
	}
	return failures
}

// report prints the failures and returns the exit code.
func report(w io.Writer, run *summary, entries []knownred.Entry) int {
	unexpected := 0
	failures := run.independentFailures()
	for _, event := range failures {
		if knownred.Covers(entries, run.failed, event.Package, event.Test) {
			continue
		}
		unexpected++
		fmt.Fprintf(w, "FAIL %s %s\n", event.Package, event.Test)
		run.printOutput(w, event)
	}
	printKnownFailures(w, run, entries)
	fmt.Fprintf(w, "%d passed, %d failed, %d skipped\n", run.passed, len(failures), run.skipped)
	if unexpected > 0 {
		return 1
	}
	return 0
}

// printOutput prints the compiler's output if the build failed, the names and
// output of tests that never ended, and the failure's own output.
func (s *summary) printOutput(w io.Writer, event testEvent) {
	keys := []string{event.FailedBuild}
	if event.Test == "" {
		var unfinished []string
		for test := range s.running[event.Package] {
			unfinished = append(unfinished, test)
		}
		sort.Strings(unfinished)
		if len(unfinished) > 0 {
			fmt.Fprintf(w, "not ended: %s\n", strings.Join(unfinished, ", "))
		}
		for _, test := range unfinished {
			keys = append(keys, knownred.Key(event.Package, test))
		}
	}
	if event.Test == "" && s.panicked[event.Package] {
		fmt.Fprintln(w, "ended by a panic")
	}
	keys = append(keys, knownred.Key(event.Package, event.Test))
	for _, key := range keys {
		for _, line := range s.output[key] {
			fmt.Fprint(w, line)
		}
	}
}

func printKnownFailures(w io.Writer, run *summary, entries []knownred.Entry) {
	var lines []string
	for _, entry := range entries {
		state := "passed this time"
		if run.failed[knownred.Key(entry.Package(), entry.Test())] {
			state = "failed"
		}
		lines = append(lines, fmt.Sprintf("known red, %s: %s", state, entry))
	}
	sort.Strings(lines)
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
}
