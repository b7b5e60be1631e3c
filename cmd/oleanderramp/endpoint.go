package main

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/urfave/cli/v3"

	"oleanderramp/pkg/client"
)

const endpointHelp = `NAME
    oleanderramp endpoint - list, drain and undrain endpoints

SYNOPSIS
    oleanderramp endpoint list [--json]
    oleanderramp endpoint drain SERVICE NAME
    oleanderramp endpoint undrain SERVICE NAME

DESCRIPTION
    list shows the endpoints that the server knows, with their slots and
    state: available, leaving, drained or expired.

    drain stops sending new requests to an endpoint. Requests that run there
    are finished. The endpoint stays drained until undrain, even across
    restarts. An endpoint may be drained before its first announcement.

EXAMPLES
    oleanderramp endpoint drain manual-assistant engine-04

EXIT CODES
    0   success
    1   refused: too many endpoints are drained
    2   invalid usage
    5   the server or the quorum can't be reached
`

func endpointCommand() *cli.Command {
	return &cli.Command{
		Name:        "endpoint",
		Description: endpointHelp,
		Action:      showGroupHelp,
		Commands: []*cli.Command{
			{Name: "list", Description: endpointHelp, Action: listEndpoints},
			{Name: "drain", Description: endpointHelp, Action: drainEndpoint},
			{Name: "undrain", Description: endpointHelp, Action: undrainEndpoint},
		},
	}
}

func listEndpoints(ctx context.Context, c *cli.Command) error {
	if err := checkArgCount(c, 0); err != nil {
		return err
	}
	return show(ctx, c, (*client.Client).Endpoints, printEndpoints)
}

func printEndpoints(w io.Writer, endpoints []client.EndpointStatus) error {
	rows := make([][]string, 0, len(endpoints))
	for _, e := range endpoints {
		rows = append(rows, []string{
			e.Service, e.Name, e.Region, e.Zone, e.Address, e.State,
			strconv.Itoa(e.Running), strconv.Itoa(e.Slots), yesNo(e.ChecksFencing),
		})
	}
	header := []string{"SERVICE", "NAME", "REGION", "ZONE", "ADDRESS", "STATE", "RUNNING", "SLOTS", "CHECKS FENCING"}
	return printTable(w, header, rows)
}

func drainEndpoint(ctx context.Context, c *cli.Command) error {
	return changeEndpoint(ctx, c, "drained", (*client.Client).Drain)
}

func undrainEndpoint(ctx context.Context, c *cli.Command) error {
	return changeEndpoint(ctx, c, "undrained", (*client.Client).Undrain)
}

// changeEndpoint applies change to the endpoint named by the arguments, and
// prints done as its new state.
func changeEndpoint(
	ctx context.Context,
	c *cli.Command,
	done string,
	change func(server *client.Client, ctx context.Context, service, name string) error,
) error {
	if err := checkArgCount(c, 2); err != nil {
		return err
	}
	server, err := dial(c)
	if err != nil {
		return err
	}
	defer server.Close()
	service, name := c.Args().Get(0), c.Args().Get(1)
	if err := change(server, ctx, service, name); err != nil {
		return err
	}
	fmt.Fprintf(c.Root().Writer, "%s of %s is %s\n", name, service, done)
	return nil
}
