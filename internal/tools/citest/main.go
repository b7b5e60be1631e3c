// Command citest runs all tests with the race detector and fails on any failure
// that KNOWN-RED.txt doesn't list.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"

	"oleanderramp/internal/tools/knownred"
)

func main() {
	entries, err := readKnownRed("KNOWN-RED.txt")
	if err != nil {
		fmt.Fprintf(os.Stderr, "KNOWN-RED.txt: %v\n", err)
		os.Exit(1)
	}
	run, err := runTests()
	if err != nil {
		fmt.Fprintf(os.Stderr, "citest: %v\n", err)
		os.Exit(1)
	}
	os.Exit(report(os.Stdout, run, entries))
}

func readKnownRed(path string) ([]knownred.Entry, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return knownred.Parse(file)
}

func runTests() (*summary, error) {
	cmd := exec.Command("go", "test", "-race", "-count=1", "-timeout=20m", "-json", "./...")
	cmd.Stderr = os.Stderr
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	run := newSummary()
	scanner := bufio.NewScanner(stdout)
	scanner.Buffer(nil, 16<<20)
	for scanner.Scan() {
		var event testEvent
		if json.Unmarshal(scanner.Bytes(), &event) != nil {
			fmt.Println(scanner.Text())
			continue
		}
		if event.Action == actionPass && event.Test == "" {
			fmt.Printf("ok\t%s\n", event.Package)
		}
		run.add(event)
	}
	waitErr := cmd.Wait()
	if waitErr != nil && len(run.failures) == 0 {
		return nil, fmt.Errorf("go test: %w", waitErr)
	}
	return run, scanner.Err()
}
