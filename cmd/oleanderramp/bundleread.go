package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"oleanderramp/pkg/bundle"
	"oleanderramp/pkg/client"
)

const bundleStatusHelp = `NAME
    oleanderramp bundle status - show the stages of bundles and their rollout

SYNOPSIS
    oleanderramp bundle status [--json]

DESCRIPTION
    Shows the accepted bundle and the open proposals, and for each daemon the
    version in force there. A daemon with an older version is marked "behind",
    and a daemon that the server can't reach is marked "not reached".

EXIT CODES
    0   success
    5   the server or the quorum can't be reached
`

const bundleShowHelp = `NAME
    oleanderramp bundle show - print the document of a bundle

SYNOPSIS
    oleanderramp bundle show [--json] [DIGEST]

DESCRIPTION
    Prints the document of the accepted bundle, or of the open proposal with
    the digest. With --json, the status of the bundle is printed as well.

EXAMPLES
    oleanderramp bundle show > bundle.json

EXIT CODES
    0   success
    1   no such bundle
    5   the server or the quorum can't be reached
`

const bundleDiffHelp = `NAME
    oleanderramp bundle diff - compare a file with the accepted bundle

SYNOPSIS
    oleanderramp bundle diff [--json] FILE

DESCRIPTION
    Prints a line for each value that differs: "-" and the value in the
    accepted bundle, "+" and the value in FILE. Client accounts, services,
    regions and kinds are matched by name. The version and the parent are left
    out. Nothing is printed when nothing differs.

EXAMPLES
    oleanderramp bundle diff bundle.json

EXIT CODES
    0   success, with or without differences
    1   no bundle is accepted yet, or FILE can't be read
    3   findings in FILE
    5   the server or the quorum can't be reached
`

const bundleAuditHelp = `NAME
    oleanderramp bundle audit - print the audit log of operator actions

SYNOPSIS
    oleanderramp bundle audit [--json] [--limit NUMBER]

DESCRIPTION
    Prints the most recent operator actions that the quorum has recorded.

FLAGS
    --limit NUMBER
        Maximum number of entries, from 1 to 1000. Default: 50.

EXIT CODES
    0   success
    5   the server or the quorum can't be reached
`

const defaultAuditLimit = 50

func bundleStatusCommand() *cli.Command {
	return &cli.Command{Name: "status", Description: bundleStatusHelp, Action: showBundleStatus}
}

func bundleShowCommand() *cli.Command {
	return &cli.Command{Name: "show", Description: bundleShowHelp, Action: showBundle}
}

func bundleDiffCommand() *cli.Command {
	return &cli.Command{Name: "diff", Description: bundleDiffHelp, Action: diffBundle}
}

func bundleAuditCommand() *cli.Command {
	return &cli.Command{
		Name:        "audit",
		Description: bundleAuditHelp,
		Flags:       []cli.Flag{&cli.IntFlag{Name: "limit", Value: defaultAuditLimit}},
		Action:      showAudit,
	}
}

// bundleReport is the JSON form of "bundle status".
type bundleReport struct {
	Bundles []client.BundleStatus `json:"bundles"`
	Daemons []daemonVersion       `json:"daemons"`
}

// daemonVersion is the bundle version that a daemon has in force.
type daemonVersion struct {
	Host    string `json:"host"`
	Region  string `json:"region"`
	Version uint64 `json:"version"`
	// State is "in force", "behind" or "not reached".
	State string `json:"state"`
}

func showBundleStatus(ctx context.Context, c *cli.Command) error {
	if err := checkArgCount(c, 0); err != nil {
		return err
	}
	fetch := func(server *client.Client, ctx context.Context) (bundleReport, error) {
		return fetchBundleReport(ctx, server)
	}
	return show(ctx, c, fetch, printBundleReport)
}

func fetchBundleReport(ctx context.Context, server *client.Client) (bundleReport, error) {
	bundles, err := server.Bundles(ctx)
	if err != nil {
		return bundleReport{}, err
	}
	fleet, err := server.Fleet(ctx)
	if err != nil {
		return bundleReport{}, err
	}
	return bundleReport{Bundles: bundles, Daemons: daemonVersions(bundles, fleet)}, nil
}

func printBundleReport(out io.Writer, report bundleReport) error {
	if err := printBundles(out, report.Bundles); err != nil {
		return err
	}
	fmt.Fprintln(out)
	rows := make([][]string, 0, len(report.Daemons))
	for _, d := range report.Daemons {
		rows = append(rows, []string{d.Host, d.Region, formatVersion(d.Version), d.State})
	}
	return printTable(out, []string{"HOST", "REGION", "VERSION", "STATE"}, rows)
}

func daemonVersions(bundles []client.BundleStatus, fleet client.FleetStatus) []daemonVersion {
	accepted := uint64(0)
	for _, b := range bundles {
		if b.Stage == client.StageAccepted {
			accepted = max(accepted, b.Version)
		}
	}
	daemons := make([]daemonVersion, 0, len(fleet.Daemons))
	for _, d := range fleet.Daemons {
		state := "in force"
		if d.BundleVersion < accepted {
			state = "behind"
		}
		if !d.Alive {
			state = "not reached"
		}
		daemons = append(daemons, daemonVersion{
			Host: d.Host, Region: d.Region, Version: d.BundleVersion, State: state,
		})
	}
	return daemons
}

func showBundle(ctx context.Context, c *cli.Command) error {
	name := "accepted"
	if c.Args().Len() > 0 {
		if err := checkArgCount(c, 1); err != nil {
			return err
		}
		name = c.Args().First()
	}
	fetch := func(server *client.Client, ctx context.Context) (client.Bundle, error) {
		return server.Bundle(ctx, name)
	}
	return show(ctx, c, fetch, printDocument)
}

// printDocument prints the bundle's document, indented.
func printDocument(out io.Writer, b client.Bundle) error {
	var text bytes.Buffer
	if err := json.Indent(&text, b.Document, "", "  "); err != nil {
		return fmt.Errorf("indent document: %w", err)
	}
	text.WriteByte('\n')
	_, err := text.WriteTo(out)
	return err
}

func diffBundle(ctx context.Context, c *cli.Command) error {
	if err := checkArgCount(c, 1); err != nil {
		return err
	}
	document, err := os.ReadFile(c.Args().First())
	if err != nil {
		return fmt.Errorf("read bundle: %w", err)
	}
	after, err := bundle.Parse(document)
	if err != nil {
		return err
	}
	server, err := dial(c)
	if err != nil {
		return err
	}
	defer server.Close()
	accepted, err := server.Bundle(ctx, "accepted")
	if err != nil {
		return err
	}
	before, err := bundle.Parse(accepted.Document)
	if err != nil {
		return fmt.Errorf("parse accepted bundle: %w", err)
	}
	changes := bundle.Diff(before, after)
	if c.Bool("json") {
		return printJSON(c.Root().Writer, changes)
	}
	for _, change := range changes {
		printChange(c.Root().Writer, change)
	}
	return nil
}

// printChange prints the value before, the value after, or both.
func printChange(out io.Writer, change bundle.Change) {
	if change.Op != bundle.OpAdded {
		fmt.Fprintf(out, "- %s: %s\n", change.Place, change.Old)
	}
	if change.Op != bundle.OpRemoved {
		fmt.Fprintf(out, "+ %s: %s\n", change.Place, change.New)
	}
}

func showAudit(ctx context.Context, c *cli.Command) error {
	if err := checkArgCount(c, 0); err != nil {
		return err
	}
	fetch := func(server *client.Client, ctx context.Context) ([]client.AuditEntry, error) {
		return server.Audit(ctx, c.Int("limit"))
	}
	return show(ctx, c, fetch, printAudit)
}

func printAudit(w io.Writer, entries []client.AuditEntry) error {
	rows := make([][]string, 0, len(entries))
	for _, e := range entries {
		rows = append(rows, []string{
			strconv.FormatUint(e.Index, 10), e.At.Format(time.RFC3339), e.Operator, e.Act, e.Subject, e.Result,
		})
	}
	header := []string{"INDEX", "AT", "OPERATOR", "ACT", "SUBJECT", "RESULT"}
	return printTable(w, header, rows)
}

func printBundles(w io.Writer, bundles []client.BundleStatus) error {
	rows := make([][]string, 0, len(bundles))
	for _, b := range bundles {
		rows = append(rows, []string{
			b.Digest, b.Stage, formatVersion(b.Version), strconv.FormatUint(b.Parent, 10),
			orDash(b.ProposedBy), orDash(b.SignedOffBy), orDash(b.AcceptedBy),
		})
	}
	header := []string{"DIGEST", "STAGE", "VERSION", "PARENT", "PROPOSED BY", "SIGNED OFF BY", "ACCEPTED BY"}
	return printTable(w, header, rows)
}

// formatVersion formats a bundle version for a table; 0 means that there is
// none.
func formatVersion(version uint64) string {
	if version == 0 {
		return "-"
	}
	return strconv.FormatUint(version, 10)
}
