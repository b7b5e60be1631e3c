package main

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"
)

// pageTemplate prints a command's manual page, which is its description.
const pageTemplate = "{{.Description}}"

const helpHelp = `NAME
    oleanderramp help - show a manual page

SYNOPSIS
    oleanderramp help [COMMAND [SUBCOMMAND]]

DESCRIPTION
    Shows the manual page of a command, or the list of commands.

EXAMPLES
    oleanderramp help bundle propose

EXIT CODES
    0   success
    2   no such command
`

func helpCommand() *cli.Command {
	return &cli.Command{
		Name:        "help",
		Description: helpHelp,
		Action:      showHelp,
	}
}

func showHelp(_ context.Context, c *cli.Command) error {
	topic := c.Root()
	for _, name := range c.Args().Slice() {
		next := topic.Command(name)
		if next == nil {
			return usagef("no manual page for %q", name)
		}
		topic = next
	}
	_, err := io.WriteString(c.Root().Writer, topic.Description)
	return err
}
