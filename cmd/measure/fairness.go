package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
)

// gapTarget is the maximum allowed gap, in units of a full set of running
// requests.
const gapTarget = 2

func fairnessCommand() *cli.Command {
	return &cli.Command{
		Name:  "fairness",
		Usage: "gap between backlogged accounts, and longest waits",
		Flags: runFlags(),
		Action: func(_ context.Context, c *cli.Command) error {
			w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "workload\tfault\tpolicy\tgap\ttarget\tgap/full set\tlongest wait\tsmall accounts\tbeyond share\tcompleted\trefused\tfailed")
			for _, r := range results(c) {
				fmt.Fprintf(w, "%s\t%s\t%s\t%.0f\t%.0f\t%.2f\t%v\t%v\t%v\t%d\t%d\t%d\n", r.Workload, r.Fault, r.Policy, r.Gap,
					gapTarget*r.RunningCost, r.Gap/max(r.RunningCost, 1), r.LongestWait.Round(time.Millisecond), r.SmallAccountWait.Round(time.Millisecond),
					r.LongestExcess.Round(time.Millisecond), r.Completed, r.Refused, r.Failed)
			}
			return w.Flush()
		},
	}
}
