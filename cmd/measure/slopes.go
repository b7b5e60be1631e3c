package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"oleanderramp/internal/measure"
)

func slopesCommand() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "processor time, memory and exchange bytes of one scheduler by load",
		Flags: []cli.Flag{&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random source"}},
		Action: func(_ context.Context, c *cli.Command) error {
			w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "slope\taccounts\tendpoints\trouters\trequests/s\tgrants/s\ttime/grant\tcore %\theap MB\texchange bytes/s")
			for _, p := range slopePoints() {
				cost := measure.SchedulerCost(p.size, c.Uint64("seed"))
				fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.0f\t%v\t%.2f\t%.2f\t%.0f\n", p.name, cost.Accounts, cost.Endpoints, cost.Routers, cost.Rate, cost.Grants,
					cost.GrantTime.Round(10*time.Nanosecond), 100*cost.Cores, float64(cost.Heap)/(1<<20), cost.ExchangeBytes)
			}
			return w.Flush()
		},
	}
}

type slopePoint struct {
	name string
	size measure.Size
}

// slopePoints returns sizes in which one dimension varies and the others are at
// the target.
func slopePoints() []slopePoint {
	var points []slopePoint
	target := measure.TargetSize()
	for _, n := range []int{16, 140, 550, 1100, 2200} {
		size := target
		size.Accounts = n
		points = append(points, slopePoint{"accounts", size})
	}
	for _, n := range []int{90, 180, 365, 730} {
		size := target
		size.Endpoints = n
		points = append(points, slopePoint{"endpoints", size})
	}
	for _, n := range []int{7, 40, 170, 340} {
		size := target
		size.Routers = n
		points = append(points, slopePoint{"routers", size})
	}
	for _, n := range []int{575, 1150, 2300, 4600} {
		size := target
		size.Rate = n
		points = append(points, slopePoint{"requests/s", size})
	}
	return points
}
