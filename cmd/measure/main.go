// Command measure runs seeded simulations of the scheduling decisions, without
// a network.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	command := &cli.Command{
		Name:     "measure",
		Usage:    "measure the scheduling decisions without a network",
		Commands: []*cli.Command{fairnessCommand(), utilisationCommand(), controlCommand(), slopesCommand()},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}
