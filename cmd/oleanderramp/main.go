// Command oleanderramp runs the daemons of a router fleet and provides the
// operators' commands. See `oleanderramp help`.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"
)

const rootHelp = `NAME
    oleanderramp - a router fleet for shared model engines and services

SYNOPSIS
    oleanderramp [--server URL] [--key KEY] [--ca-file FILE] [--timeout TIME]
                 COMMAND [ARGUMENTS]

DESCRIPTION
    One program for daemons and operators. "oleanderramp help COMMAND" shows
    the manual page of a command.

COMMANDS
    serve       run a daemon
    site        run a daemon of a site whose hosts discover each other
    check       check a settings or bundle file and print every finding
    bundle      propose, sign off, accept and inspect configuration bundles
    routing     check the routing table of a site
    endpoint    list, drain and undrain endpoints
    account     list client accounts and the service that each has received
    fleet       show the daemons and the quorum
    replica     list, add and remove replicas of the quorum
    trace       show the log lines of a request from several processes
    version     print the version
    help        show a manual page

FLAGS
    --server URL
        Base URL of the operator listener of any daemon. Default:
        http://127.0.0.1:9430. Environment: OLEANDERRAMP_SERVER.
    --key KEY
        The operator's bearer key. Prefer the environment variable, which
        other users of the host can't read: OLEANDERRAMP_OPERATOR_KEY.
    --ca-file FILE
        PEM file of the certificate authorities that may sign the server's
        certificate. Default: those of the host. Environment:
        OLEANDERRAMP_CA_FILE.
    --timeout TIME
        Timeout of each call to the server, such as 5s. Default: 10s.
    --json
        Print JSON instead of a table, for commands that print a table.

    These flags may also follow the command.

EXIT CODES
    0   success
    1   the command failed
    2   invalid usage
    3   findings in a document
    4   conflict with another operator's change
    5   the server or the quorum can't be reached
`

const (
	defaultServer  = "http://127.0.0.1:9430"
	defaultTimeout = 10 * time.Second
)

func main() {
	os.Exit(run(os.Args, os.Stdout, os.Stderr))
}

// run executes a command line and returns its exit code. args[0] is the name
// of the program.
func run(args []string, stdout, stderr io.Writer) int {
	root := rootCommand()
	root.Writer = stdout
	root.ErrWriter = stderr
	err := root.Run(context.Background(), args)
	if err == nil {
		return exitOK
	}
	var reported *reportedError
	if !errors.As(err, &reported) {
		fmt.Fprintf(stderr, "oleanderramp: %v\n", err)
	}
	return exitCode(err)
}

func rootCommand() *cli.Command {
	root := &cli.Command{
		Name:                          "oleanderramp",
		Description:                   rootHelp,
		CustomRootCommandHelpTemplate: pageTemplate,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "server", Value: defaultServer, Sources: cli.EnvVars("OLEANDERRAMP_SERVER")},
			&cli.StringFlag{Name: "key", Sources: cli.EnvVars("OLEANDERRAMP_OPERATOR_KEY")},
			&cli.StringFlag{Name: "ca-file", Sources: cli.EnvVars("OLEANDERRAMP_CA_FILE")},
			&cli.DurationFlag{Name: "timeout", Value: defaultTimeout},
			&cli.BoolFlag{Name: "json"},
		},
		Commands: []*cli.Command{
			serveCommand,
			siteCommand,
			checkCommand(),
			bundleCommand(),
			routingCommand(),
			endpointCommand(),
			accountCommand(),
			fleetCommand(),
			replicaCommand(),
			traceCommand(),
			versionCommand(),
			helpCommand(),
		},
		Action: showGroupHelp,
	}
	configureCommand(root)
	return root
}

// configureCommand sets the handling of usage errors, help and exit codes for
// a command and all of its subcommands.
func configureCommand(c *cli.Command) {
	c.HideVersion = true
	c.HideHelpCommand = true
	c.CustomHelpTemplate = pageTemplate
	c.OnUsageError = handleUsageError
	c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	for _, sub := range c.Commands {
		configureCommand(sub)
	}
}

func handleUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &usageError{message: err.Error()}
}

// showGroupHelp is the action of a command that only has subcommands. It
// prints the manual page, and fails if the arguments name an unknown
// subcommand.
func showGroupHelp(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return usagef("unknown command %q, see \"%s help\"", name, c.Root().Name)
	}
	_, err := io.WriteString(c.Root().Writer, c.Description)
	return err
}
