package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"oleanderramp/pkg/client"
)

const bundleProposeHelp = `NAME
    oleanderramp bundle propose - propose a configuration bundle

SYNOPSIS
    oleanderramp bundle propose [--json] FILE

DESCRIPTION
    Sends the bundle in FILE. Its field "parent" is the accepted version that
    it is based on, or 0 for the first bundle. The document is checked first,
    and all findings are printed at once. Prints the digest, by which the
    bundle is signed off and accepted.

    If another bundle was accepted after the parent, or another proposal is
    open, the proposal fails with a conflict that names the other bundle. Make
    the change again based on that version, or withdraw the other proposal.

EXAMPLES
    oleanderramp bundle propose examples/targoprint/bundle.json

EXIT CODES
    0   proposed, or proposed before with the same content
    3   findings in the document
    4   conflict with another bundle
    5   the server or the quorum can't be reached; propose again
`

const bundleSignOffHelp = `NAME
    oleanderramp bundle sign-off - sign off a proposed bundle

SYNOPSIS
    oleanderramp bundle sign-off [--json] DIGEST

DESCRIPTION
    Signs off the bundle with the digest that "bundle propose" printed. The
    operator must be another one than the proposer. Review the bundle first
    with "oleanderramp bundle show DIGEST".

EXAMPLES
    oleanderramp bundle sign-off 5f0c...

EXIT CODES
    0   signed off, now or before
    1   refused: no such bundle, or the same operator proposed it
    4   conflict with another bundle
    5   the server or the quorum can't be reached; sign off again
`

const bundleAcceptHelp = `NAME
    oleanderramp bundle accept - accept a signed-off bundle

SYNOPSIS
    oleanderramp bundle accept [--json] DIGEST

DESCRIPTION
    Accepts the signed-off bundle with this digest. It gets the next version
    and is rolled out to every daemon at once. "oleanderramp bundle status"
    shows where it is in force.

EXAMPLES
    oleanderramp bundle accept 5f0c...

EXIT CODES
    0   accepted, now or before
    1   refused: no such bundle, or not signed off
    4   another bundle was accepted first
    5   the server or the quorum can't be reached; accept again
`

const bundleWithdrawHelp = `NAME
    oleanderramp bundle withdraw - withdraw a proposed bundle

SYNOPSIS
    oleanderramp bundle withdraw [--json] DIGEST

DESCRIPTION
    Withdraws the open proposal with this digest, signed off or not, so that
    another one can be made. An accepted bundle can't be withdrawn.

    The same document can't be proposed again unless its note is changed.

EXAMPLES
    oleanderramp bundle withdraw 5f0c...

EXIT CODES
    0   withdrawn, now or before
    1   refused: no such bundle, or it is accepted already
    5   the server or the quorum can't be reached; withdraw again
`

func bundleProposeCommand() *cli.Command {
	return &cli.Command{Name: "propose", Description: bundleProposeHelp, Action: proposeBundle}
}

func bundleSignOffCommand() *cli.Command {
	return &cli.Command{Name: "sign-off", Description: bundleSignOffHelp, Action: signOffBundle}
}

func bundleAcceptCommand() *cli.Command {
	return &cli.Command{Name: "accept", Description: bundleAcceptHelp, Action: acceptBundle}
}

func bundleWithdrawCommand() *cli.Command {
	return &cli.Command{Name: "withdraw", Description: bundleWithdrawHelp, Action: withdrawBundle}
}

func proposeBundle(ctx context.Context, c *cli.Command) error {
	if err := checkArgCount(c, 1); err != nil {
		return err
	}
	document, err := os.ReadFile(c.Args().First())
	if err != nil {
		return fmt.Errorf("read bundle: %w", err)
	}
	fetch := func(server *client.Client, ctx context.Context) (client.BundleStatus, error) {
		return server.Propose(ctx, document)
	}
	return show(ctx, c, fetch, printBundle)
}

func signOffBundle(ctx context.Context, c *cli.Command) error {
	return changeBundle(ctx, c, (*client.Client).SignOff)
}

func acceptBundle(ctx context.Context, c *cli.Command) error {
	return changeBundle(ctx, c, (*client.Client).Accept)
}

func withdrawBundle(ctx context.Context, c *cli.Command) error {
	return changeBundle(ctx, c, (*client.Client).Withdraw)
}

// changeBundle applies change to the bundle with the digest in the argument.
func changeBundle(
	ctx context.Context,
	c *cli.Command,
	change func(server *client.Client, ctx context.Context, digest string) (client.BundleStatus, error),
) error {
	if err := checkArgCount(c, 1); err != nil {
		return err
	}
	fetch := func(server *client.Client, ctx context.Context) (client.BundleStatus, error) {
		return change(server, ctx, c.Args().First())
	}
	return show(ctx, c, fetch, printBundle)
}

// printBundle prints the status of a bundle.
func printBundle(w io.Writer, status client.BundleStatus) error {
	return printBundles(w, []client.BundleStatus{status})
}
