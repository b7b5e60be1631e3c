package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

func utilisationCommand() *cli.Command {
	return &cli.Command{
		Name:  "utilisation",
		Usage: "fraction of usable slots that are busy while requests wait",
		Flags: runFlags(),
		Action: func(_ context.Context, c *cli.Command) error {
			w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "workload\tfault\tpolicy\tbusy %\tcompleted\trun elsewhere\tstarted twice")
			for _, r := range results(c) {
				fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%d\t%d\t%d\n", r.Workload, r.Fault, r.Policy, 100*r.Utilisation, r.Completed, r.CrossRegion,
					r.DuplicateStarts)
			}
			return w.Flush()
		},
	}
}
