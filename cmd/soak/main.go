// Command soak runs sites under random faults and checks their guarantees.
package main

import (
	"cmp"
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
    Each seed is a separate run of control hosts, routers, stand-in endpoints,
    callers and operators, as processes connected by relays on loopback. Faults
    are injected from outside: killed, stopped and paused processes, severed,
    delayed, reset and silent connections, lost disks, torn and lost writes, and
    endpoints that crash, leave and fail. What callers, endpoints and operators
    observe is checked against the guarantees of the site. A run ends only
    processes that it has started.

    The exit code is 1 if a guarantee was violated. The folders of such runs
    are kept, with the log of each process in NAME.log.

EXAMPLES
    go build -o bin/ ./cmd/... && bin/soak --seeds 50
    bin/soak --seed 17 --controls 9 --routers 40 --endpoints 40
`

func main() {
	command := &cli.Command{
		Name: "soak", Usage: "run a site under random faults", Description: help, Action: run,
		Commands: []*cli.Command{controlHostCommand},
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds"},
			&cli.IntFlag{Name: "jobs", Value: 2, Usage: "number of concurrent runs"},
			&cli.StringFlag{Name: "keep", Usage: "parent folder for the folders of runs with findings; default: a temporary folder"},
			&cli.StringFlag{Name: "program", Usage: "path of the program; default: oleanderramp in the folder of this program"},
			&cli.BoolFlag{Name: "power-loss", Value: true, Usage: "control hosts lose at a kill what they did not sync"},
			&cli.IntFlag{Name: "controls"}, &cli.IntFlag{Name: "routers"}, &cli.IntFlag{Name: "endpoints"}, &cli.IntFlag{Name: "callers"},
			&cli.DurationFlag{Name: "faults", Value: 12 * time.Second, Usage: "duration of fault injection"},
			&cli.DurationFlag{Name: "pauses", Value: 10 * time.Second, Usage: "duration of the pauses of sound endpoints"},
			&cli.BoolFlag{Name: "final-fault", Value: true, Usage: "end with a loss of disks while all processes are killed"},
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// errFindings reports that a run violated a guarantee.
var errFindings = errors.New("guarantees were violated")

func run(_ context.Context, c *cli.Command) error {
	executable, err := os.Executable()
	if err != nil {
		return fmt.Errorf("locate the program: %w", err)
	}
	program := cmp.Or(c.String("program"), filepath.Join(filepath.Dir(executable), "oleanderramp"))
	controlProgram := program
	if c.Bool("power-loss") {
		controlProgram = executable
	}
	folder := c.String("keep")
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "oleanderramp-soak-"); err != nil {
			return fmt.Errorf("create folder: %w", err)
		}
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	seeds := make(chan uint64)
	var jobs sync.WaitGroup
	var mu sync.Mutex
	var failures []error
	for job := range max(c.Int("jobs"), 1) {
		jobs.Go(func() {
			for seed := range seeds {
				config := soak.Config{
					Program: program, ControlProgram: controlProgram, Folder: filepath.Join(folder, fmt.Sprint("seed-", seed)), Seed: seed,
					Network:  [2]byte{byte(128 + os.Getpid()%100), byte(4 * job)},
					Controls: c.Int("controls"), Routers: c.Int("routers"), Endpoints: c.Int("endpoints"), Callers: c.Int("callers"),
					Faults: c.Duration("faults"), Pauses: c.Duration("pauses"), FinalFault: c.Bool("final-fault"),
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

// runSeed executes one run. It removes the run's folder unless there are
// findings.
func runSeed(config soak.Config) (string, error) {
	// Mkdir fails if the folder exists, since files of an earlier run would
	// affect this one.
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
