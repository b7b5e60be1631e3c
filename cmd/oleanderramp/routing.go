package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"oleanderramp/pkg/client"
	"oleanderramp/pkg/finding"
	"oleanderramp/pkg/routing"
	"oleanderramp/platform"
)

const routingHelp = `NAME
    oleanderramp routing - check routing tables of sites

SYNOPSIS
    oleanderramp routing check [--against FILE] FILE

DESCRIPTION
    A routing table holds the routes, services, client accounts and limits of a
    site, and is replaced as one by a higher version.

    "oleanderramp help routing check" shows the page of the subcommand.

EXIT CODES
    0   success
    1   the command failed
    2   invalid usage
    3   findings in the document
`

const routingCheckHelp = `NAME
    oleanderramp routing check - check a routing table before it is sent

SYNOPSIS
    oleanderramp routing check [--json] [--against FILE] FILE

DESCRIPTION
    Checks the routing table in FILE, in the form in which it is sent to a
    control host, and prints all findings with their place. For a valid table,
    it prints advice on entries that can never take effect and on limits that
    contradict each other, which does not count as a finding.

    No server is contacted. Fields that are not known are skipped, as they are
    by control hosts.

FLAGS
    --against FILE
        The routing table in force, as read from a control host. Prints a line
        for each value that differs: "-" and the value in force, "+" and the
        value in the checked file. Keys of client accounts are shown by a part
        of their digest. A version that is not higher than the one in force is
        a finding.

EXAMPLES
    oleanderramp routing check table.json
    oleanderramp routing check --against in-force.json table.json

EXIT CODES
    0   no findings
    1   a file can't be read, or the one in force is invalid
    2   invalid usage
    3   findings
`

func routingCommand() *cli.Command {
	return &cli.Command{
		Name:        "routing",
		Description: routingHelp,
		Action:      showGroupHelp,
		Commands: []*cli.Command{{
			Name:        "check",
			Description: routingCheckHelp,
			Flags:       []cli.Flag{&cli.StringFlag{Name: "against"}},
			Action:      checkRouting,
		}},
	}
}

// routingReport is the JSON representation of a checked routing table.
type routingReport struct {
	File     string           `json:"file"`
	Version  uint64           `json:"version"`
	Findings []client.Finding `json:"findings"`
	Advice   []client.Finding `json:"advice"`
	Changes  []routing.Change `json:"changes,omitempty"`
}

func checkRouting(_ context.Context, c *cli.Command) error {
	if err := checkArgCount(c, 1); err != nil {
		return err
	}
	file := c.Args().First()
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read file: %w", err)
	}
	var findings, advice finding.List
	document, err := platform.Adapter{}.RoutingDocument(data)
	if err != nil {
		findings.Addf("", "%v", err)
	} else if _, err = routing.New(document); err != nil {
		addFindings(&findings, err)
	} else {
		document.Advise(&advice)
	}
	report := routingReport{File: file, Version: document.Version}
	if inForce := c.String("against"); inForce != "" && findings.Len() == 0 {
		if report.Changes, err = compareRouting(inForce, document, &findings); err != nil {
			return err
		}
	}
	report.Findings, report.Advice = clientFindings(findings.All()), clientFindings(advice.All())
	if err := printRouting(c, report); err != nil {
		return err
	}
	if err := findings.Err(); err != nil {
		return &reportedError{err: err}
	}
	return nil
}

func addFindings(list *finding.List, err error) {
	var found *finding.Error
	if !errors.As(err, &found) {
		list.Addf("", "%v", err)
		return
	}
	for _, f := range found.Findings() {
		list.Addf(f.Place(), "%s", f.Message())
	}
}

// compareRouting returns the differences from the routing table in the file, which is in
// force.
func compareRouting(file string, document routing.Document, findings *finding.List) ([]routing.Change, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read file: %w", err)
	}
	inForce, err := platform.Adapter{}.RoutingDocument(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if document.Version <= inForce.Version {
		findings.Addf("version", "must be higher than %d, the version in force", inForce.Version)
	}
	return routing.Diff(inForce, document), nil
}

func printRouting(c *cli.Command, report routingReport) error {
	out := c.Root().Writer
	if c.Bool("json") {
		return printJSON(out, report)
	}
	if len(report.Findings) == 0 {
		fmt.Fprintf(out, "%s: valid routing table, version %d\n", report.File, report.Version)
	}
	printFindings(out, report.File, report.Findings)
	printFindings(out, report.File+": advice", report.Advice)
	for _, change := range report.Changes {
		if change.Old != "" {
			fmt.Fprintf(out, "- %s: %s\n", change.Place, change.Old)
		}
		if change.New != "" {
			fmt.Fprintf(out, "+ %s: %s\n", change.Place, change.New)
		}
	}
	return nil
}
