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
    A replica stores the durable state in its host's data folder. Any change
    needs a majority of the voters.

    add adds the replica of HOST to the quorum; its daemon must be running. The
    replica is a learner until it holds the complete state, and only then
    counts towards a majority. list shows its progress.

    A replica that lost its disk joins again as a new replica: start its daemon
    and add its host. add first removes the previous replica of the host.

    remove permanently removes a replica by the identity that list shows. It is
    meant for hosts that do not come back.

    Membership changes are made one at a time.

EXAMPLES
    oleanderramp replica add maz-3
    oleanderramp replica remove 8c1f...

EXIT CODES
    0   success
    1   no such host or replica
    2   invalid usage
    4   the change was refused, for example because another is in progress
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
	return changeReplica(ctx, c, (*client.Client).AddReplica, "replica of %s added as a learner\n")
}

func removeReplica(ctx context.Context, c *cli.Command) error {
	return changeReplica(ctx, c, (*client.Client).RemoveReplica, "replica %s removed\n")
}

// changeReplica makes a change with the only argument, and prints the message about it.
func changeReplica(ctx context.Context, c *cli.Command, change func(*client.Client, context.Context, string) error, message string) error {
	if err := checkArgCount(c, 1); err != nil {
		return err
	}
	server, err := dial(c)
	if err != nil {
		return err
	}
	defer server.Close()
	if err := change(server, ctx, c.Args().First()); err != nil {
		return err
	}
	fmt.Fprintf(c.Root().Writer, message, c.Args().First())
	return nil
}
