package main

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"oleanderramp/internal/tools/knownred"
)

// The actions of test events that a summary handles.
const (
	actionRun         = "run"
	actionPass        = "pass"
	actionFail        = "fail"
	actionSkip        = "skip"
	actionOutput      = "output"
	actionBuildOutput = "build-output"
)

// panicPrefix is the start of the output of a panic.
const panicPrefix = "panic: "

// testEvent is one line of "go test -json".
type testEvent struct {
	Action  string
	Package string
	// Test is empty for an event of the whole package.
	Test   string
	Output string
	// ImportPath is the compiled package in build events.
	ImportPath string
	// FailedBuild is the ImportPath whose failed build made the package fail.
	FailedBuild string
}

// summary collects the results of a test run.
type summary struct {
	passed  int
	skipped int
	// failed holds the keys of failed tests and packages.
	failed map[string]bool
	// failures holds the failed tests and packages in the order of their events.
	failures []testEvent
	// running holds, by package, the tests that have started and not ended.
	running map[string]map[string]bool
	// panicked holds the packages in which a panic may have ended the run before
	// all tests had run.
	panicked map[string]bool
	// output holds test output by test key, and compiler output by ImportPath.
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

// independentFailures returns the failures except those of packages that failed
// only because some of their tests did. The failure of a package with a panic,
// or with a test that never ended, as after a timeout, is kept: not all of its
// tests have run.
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

// report prints the failures that entries don't cover, the state of the known
// ones and the totals. It returns the exit code.
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

// printOutput prints the compiler's output if the build failed, then, for a
// package, the names and output of tests that never ended, and last the output
// of the failed test or package itself.
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
