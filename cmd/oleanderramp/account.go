package main

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/urfave/cli/v3"

	"oleanderramp/pkg/client"
)

const accountHelp = `NAME
    oleanderramp account list - list client accounts and their received service

SYNOPSIS
    oleanderramp account list [--json]

DESCRIPTION
    Shows for each client account and service its share, the weighted service
    that it has received, its waiting and running requests, and its gap: how
    far its received service, divided by its share, is below that of the
    backlogged account with the highest quotient. An account without waiting
    requests has no gap.

EXIT CODES
    0   success
    2   invalid usage
    5   the server can't be reached
`

func accountCommand() *cli.Command {
	return &cli.Command{
		Name:        "account",
		Description: accountHelp,
		Action:      showGroupHelp,
		Commands: []*cli.Command{
			{Name: "list", Description: accountHelp, Action: listAccounts},
		},
	}
}

func listAccounts(ctx context.Context, c *cli.Command) error {
	if err := checkArgCount(c, 0); err != nil {
		return err
	}
	return show(ctx, c, (*client.Client).Accounts, printAccounts)
}

func printAccounts(w io.Writer, accounts []client.AccountStatus) error {
	rows := make([][]string, 0, len(accounts))
	for _, a := range accounts {
		rows = append(rows, []string{
			a.Name, a.Service, strconv.Itoa(a.Share), formatAmount(a.Received),
			strconv.Itoa(a.Waiting), strconv.Itoa(a.Running), formatAmount(a.Gap),
		})
	}
	header := []string{"ACCOUNT", "SERVICE", "SHARE", "RECEIVED", "WAITING", "RUNNING", "GAP"}
	return printTable(w, header, rows)
}

// formatAmount formats an amount of service for a table.
func formatAmount(v float64) string { return fmt.Sprintf("%.1f", v) }
