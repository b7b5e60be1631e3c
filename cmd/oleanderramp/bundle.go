package main

import (
	"github.com/urfave/cli/v3"
)

const bundleHelp = `NAME
    oleanderramp bundle - propose, sign off, accept and inspect bundles

SYNOPSIS
    oleanderramp bundle propose FILE
    oleanderramp bundle sign-off DIGEST
    oleanderramp bundle accept DIGEST
    oleanderramp bundle withdraw DIGEST
    oleanderramp bundle status
    oleanderramp bundle show [DIGEST]
    oleanderramp bundle diff FILE
    oleanderramp bundle audit

DESCRIPTION
    A configuration bundle holds the client accounts, their shares and keys,
    and the services that they may use. One operator proposes it, based on the
    accepted version, another operator signs it off, and then it is accepted.
    Only one proposal can be open at a time. An accepted bundle is rolled out
    to every daemon and can't be withdrawn; to undo a change, propose another
    bundle.

    Each change is idempotent: after a lost response it may be sent again, is
    made only once, and gets the same response.

    "oleanderramp help bundle SUBCOMMAND" shows the page of each subcommand.

EXAMPLES
    oleanderramp bundle propose bundle.json
    oleanderramp bundle sign-off 5f0c...
    oleanderramp bundle accept 5f0c...
    oleanderramp bundle status

EXIT CODES
    0   success
    1   the command failed
    2   invalid usage
    3   findings in the document
    4   conflict with another operator's bundle
    5   the server or the quorum can't be reached
`

func bundleCommand() *cli.Command {
	return &cli.Command{
		Name:        "bundle",
		Description: bundleHelp,
		Action:      showGroupHelp,
		Commands: []*cli.Command{
			bundleProposeCommand(),
			bundleSignOffCommand(),
			bundleAcceptCommand(),
			bundleWithdrawCommand(),
			bundleStatusCommand(),
			bundleShowCommand(),
			bundleDiffCommand(),
			bundleAuditCommand(),
		},
	}
}
