package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

func controlCommand() *cli.Command {
	return &cli.Command{
		Name:  "control",
		Usage: "control bytes per second of the busiest daemon",
		Flags: runFlags(),
		Action: func(_ context.Context, c *cli.Command) error {
			w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "workload\tfault\tpolicy\tbytes/s\tacross regions/s")
			for _, r := range results(c) {
				fmt.Fprintf(w, "%s\t%s\t%s\t%.0f\t%.0f\n", r.Workload, r.Fault, r.Policy, r.DaemonBytes, r.CrossRegionBytes)
			}
			return w.Flush()
		},
	}
}
