package main

import (
	"time"

	"github.com/urfave/cli/v3"

	"oleanderramp/internal/measure"
)

// runFlags returns the flags of the commands that run workloads.
func runFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random source"},
		&cli.DurationFlag{Name: "length", Value: 180 * time.Second, Usage: "simulated time of each run"},
		&cli.StringFlag{Name: "workload", Usage: "only this workload"},
		&cli.StringFlag{Name: "fault", Usage: "only this fault"},
		&cli.StringFlag{Name: "policy", Usage: "only this policy"},
	}
}

// results runs the combinations of workload, fault and policy that the flags
// select.
func results(c *cli.Command) []measure.Result {
	var list []measure.Result
	for _, w := range measure.Workloads() {
		if !selected(c, "workload", w.Name) {
			continue
		}
		for _, fault := range measure.Faults() {
			if !selected(c, "fault", string(fault)) {
				continue
			}
			for _, policy := range []measure.Policy{measure.PolicyFair, measure.PolicyFCFS, measure.PolicyPerRouter} {
				if selected(c, "policy", string(policy)) {
					list = append(list, measure.Run(w, policy, fault, c.Uint64("seed"), c.Duration("length")))
				}
			}
		}
	}
	return list
}

func selected(c *cli.Command, flag, value string) bool {
	want := c.String(flag)
	return want == "" || want == value
}
