// Command standin runs a stand-in for an endpoint: a model engine or a plain
// order service.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	exitAborted = 1
	exitUsage   = 2
	exitCrash   = 70
)

func main() {
	if err := newCommand().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(exitUsage)
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:                          "standin",
		Usage:                         "run a stand-in endpoint for trials and tests",
		CustomRootCommandHelpTemplate: manualPage,
		Commands:                      []*cli.Command{engineCommand(), ordersCommand()},
	}
}
