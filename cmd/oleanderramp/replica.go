package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"oleanderramp/pkg/client"
)

const replicaHelp = `NAME
    oleanderramp replica - list, add and remove replicas of the quorum

SYNOPSIS
    oleanderramp replica list [--json]
    oleanderramp replica add HOST
    oleanderramp replica remove REPLICA

DESCRIPTION
    A replica keeps the state that must survive in its host's data folder. A
    majority of the voters must be up for any change.

    add lets the replica of HOST join; its daemon must run. It is a learner
    until it holds the whole state, and counts for a majority only then. Watch
    it with list.

    A replica whose disk was lost joins again as a new one: start its daemon
    and add its host. add takes the host's former replica out first.

    remove takes a replica out for good, by the identity that list shows. It is
    for hosts that do not come back.

    One change of members is made at a time.

EXAMPLES
    oleanderramp replica add maz-3
    oleanderramp replica remove 8c1f...

EXIT CODES
    0   success
    1   no such host or replica
    2   wrong usage
    4   the change is refused, as while another one is not complete
    5   the server or the quorum can't be reached
`

func replicaCommand() *cli.Command {
	return &cli.Command{
		Name:        "replica",
		Description: replicaHelp,
		Action:      showGroupHelp,
		Commands: []*cli.Command{
			{Name: "list", Description: replicaHelp, Action: listReplicas},
			{Name: "add", Description: replicaHelp, Action: addReplica},
			{Name: "remove", Description: replicaHelp, Action: removeReplica},
		},
	}
}

func listReplicas(ctx context.Context, c *cli.Command) error {
	if err := checkArgCount(c, 0); err != nil {
		return err
	}
	return show(ctx, c, (*client.Client).Replicas, printReplicas)
}

func addReplica(ctx context.Context, c *cli.Command) error {
	if err := checkArgCount(c, 1); err != nil {
		return err
	}
	server, err := dial(c)
	if err != nil {
		return err
	}
	defer server.Close()
	host := c.Args().First()
	if err := server.AddReplica(ctx, host); err != nil {
		return err
	}
	fmt.Fprintf(c.Root().Writer, "replica of %s added as a learner\n", host)
	return nil
}

func removeReplica(ctx context.Context, c *cli.Command) error {
	if err := checkArgCount(c, 1); err != nil {
		return err
	}
	server, err := dial(c)
	if err != nil {
		return err
	}
	defer server.Close()
	id := c.Args().First()
	if err := server.RemoveReplica(ctx, id); err != nil {
		return err
	}
	fmt.Fprintf(c.Root().Writer, "replica %s removed\n", id)
	return nil
}
