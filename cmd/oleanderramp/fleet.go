package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"oleanderramp/pkg/client"
)

const fleetHelp = `NAME
    oleanderramp fleet status - show the daemons and the quorum

SYNOPSIS
    oleanderramp fleet status [--json]

DESCRIPTION
    Shows the state of each daemon as known to the server, then the quorum: its
    leader, its voters and learners, and which of them hold the complete state.
    While a repair is in progress, a last line states what may be lost if
    another host fails now.

EXIT CODES
    0   success
    2   invalid usage
    5   the server can't be reached
`

func fleetCommand() *cli.Command {
	return &cli.Command{
		Name:        "fleet",
		Description: fleetHelp,
		Action:      showGroupHelp,
		Commands: []*cli.Command{
			{Name: "status", Description: fleetHelp, Action: showFleet},
		},
	}
}

func showFleet(ctx context.Context, c *cli.Command) error {
	if err := checkArgCount(c, 0); err != nil {
		return err
	}
	return show(ctx, c, (*client.Client).Fleet, printFleet)
}

func printFleet(out io.Writer, status client.FleetStatus) error {
	if err := printDaemons(out, status); err != nil {
		return err
	}
	fmt.Fprintf(out, "\nquorum: leader %s, term %d\n", orDash(status.Quorum.Leader), status.Quorum.Term)
	if err := printReplicas(out, status.Quorum.Replicas); err != nil {
		return err
	}
	if note := status.Quorum.RepairNote; note != "" {
		fmt.Fprintf(out, "\n%s\n", note)
	}
	return nil
}

func printDaemons(w io.Writer, status client.FleetStatus) error {
	rows := make([][]string, 0, len(status.Daemons))
	for _, d := range status.Daemons {
		rows = append(rows, []string{
			d.Host, d.Region, d.Zone, strings.Join(d.Roles, ","), daemonState(d),
			formatVersion(d.BundleVersion), d.LastSeen.Format(time.RFC3339),
		})
	}
	return printTable(w, []string{"HOST", "REGION", "ZONE", "ROLES", "STATE", "BUNDLE", "LAST SEEN"}, rows)
}

func daemonState(d client.DaemonStatus) string {
	switch {
	case !d.Alive:
		return "down"
	case d.Draining:
		return "draining"
	default:
		return "up"
	}
}

func printReplicas(w io.Writer, replicas []client.ReplicaStatus) error {
	rows := make([][]string, 0, len(replicas))
	for _, r := range replicas {
		role := "learner"
		if r.Voter {
			role = "voter"
		}
		if r.Leader {
			role = "leader"
		}
		rows = append(rows, []string{
			r.ID, r.Host, role, yesNo(r.CaughtUp), strconv.FormatUint(r.MatchIndex, 10),
		})
	}
	return printTable(w, []string{"REPLICA", "HOST", "ROLE", "CAUGHT UP", "INDEX"}, rows)
}
