// Command soak runs sites under random faults and checks their promises.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"oleanderramp/internal/soak"
)

const help = `NAME
    soak - run a site under random faults

SYNOPSIS
    soak [--seed N] [--seeds N] [--jobs N] [--keep FOLDER] [--program FILE]

DESCRIPTION
    Each seed is a run of its own: control hosts, routers, stand-ins for
    endpoints, callers and operators, as processes and over relays on loopback.
    Faults come from outside: killed, stopped and paused processes, cut,
    delayed, reset and silent connections, lost disks, torn writes, endpoints
    that crash, leave and fail. What callers, endpoints and operators see is
    checked against the promises of the site. Only processes that the run
    started are ended.

    The exit code is 1 when a promise was broken. Folders of such runs are kept:
    each process's log is there as NAME.log.

EXAMPLES
    go build -o bin/ ./cmd/... && bin/soak --seeds 50
    bin/soak --seed 17 --controls 9 --routers 40 --endpoints 40
`

func main() {
	command := &cli.Command{
		Name: "soak", Usage: "run a site under random faults", Description: help, Action: run,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "how many seeds"},
			&cli.IntFlag{Name: "jobs", Value: 2, Usage: "how many runs at a time"},
			&cli.StringFlag{Name: "keep", Usage: "where to keep the folders of runs with findings; default: a temporary folder"},
			&cli.StringFlag{Name: "program", Usage: "the program; default: oleanderramp beside this one"},
			&cli.IntFlag{Name: "controls"}, &cli.IntFlag{Name: "routers"}, &cli.IntFlag{Name: "endpoints"}, &cli.IntFlag{Name: "callers"},
			&cli.DurationFlag{Name: "faults", Value: 12 * time.Second, Usage: "how long faults are made"},
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// errFindings says that a promise was broken.
var errFindings = errors.New("promises were broken")

func run(_ context.Context, c *cli.Command) error {
	program := c.String("program")
	if program == "" {
		executable, err := os.Executable()
		if err != nil {
			return fmt.Errorf("find the program: %w", err)
		}
		program = filepath.Join(filepath.Dir(executable), "oleanderramp")
	}
	folder := c.String("keep")
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "oleanderramp-soak-"); err != nil {
			return fmt.Errorf("make a folder: %w", err)
		}
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return fmt.Errorf("make a folder: %w", err)
	}
	seeds := make(chan uint64)
	var jobs sync.WaitGroup
	var mu sync.Mutex
	var failures []error
	for job := range max(c.Int("jobs"), 1) {
		jobs.Go(func() {
			for seed := range seeds {
				config := soak.Config{
					Program: program, Folder: filepath.Join(folder, fmt.Sprint("seed-", seed)), Seed: seed,
					Network:  [2]byte{byte(128 + os.Getpid()%100), byte(4 * job)},
					Controls: c.Int("controls"), Routers: c.Int("routers"), Endpoints: c.Int("endpoints"), Callers: c.Int("callers"),
					Faults: c.Duration("faults"),
				}
				text, err := runSeed(config)
				mu.Lock()
				fmt.Print(text)
				failures = append(failures, err)
				mu.Unlock()
			}
		})
	}
	for i := range c.Int("seeds") {
		seeds <- c.Uint64("seed") + uint64(i)
	}
	close(seeds)
	jobs.Wait()
	return errors.Join(failures...)
}

// runSeed makes one run and removes its folder unless something was found.
func runSeed(config soak.Config) (string, error) {
	// What another run has left there would spoil this one.
	if err := os.Mkdir(config.Folder, 0o700); err != nil {
		return "", fmt.Errorf("seed %d: %w", config.Seed, err)
	}
	report, err := soak.Run(config)
	if err != nil {
		return "", fmt.Errorf("seed %d: %w", config.Seed, err)
	}
	text := fmt.Sprintf("seed %d: %d findings; %d faults, %d of %d requests served, %d versions\n",
		config.Seed, len(report.Findings), len(report.Faults), report.Served, report.Requests, report.Versions)
	if len(report.Findings) == 0 {
		return text, os.RemoveAll(config.Folder)
	}
	for _, line := range report.Faults {
		text += "  " + line + "\n"
	}
	for _, f := range report.Findings {
		text += "  FOUND " + f.String() + "\n"
	}
	return text, fmt.Errorf("seed %d: %w (logs in %s)", config.Seed, errFindings, config.Folder)
}
