package main

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"oleanderramp/pkg/client"
)

// dial returns a client configured by the global flags.
func dial(c *cli.Command) (*client.Client, error) {
	if c.String("key") == "" {
		return nil, usagef("no operator key: set OLEANDERRAMP_OPERATOR_KEY or --key")
	}
	server, err := client.New(client.Config{
		Server:  c.String("server"),
		Key:     c.String("key"),
		CAFile:  c.String("ca-file"),
		Timeout: c.Duration("timeout"),
	})
	if err != nil {
		return nil, usagef("%v", err)
	}
	return server, nil
}

// show prints the result of fetch, as JSON with --json and with printText
// otherwise.
func show[T any](
	ctx context.Context,
	c *cli.Command,
	fetch func(*client.Client, context.Context) (T, error),
	printText func(io.Writer, T) error,
) error {
	server, err := dial(c)
	if err != nil {
		return err
	}
	defer server.Close()
	value, err := fetch(server, ctx)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(c.Root().Writer, value)
	}
	return printText(c.Root().Writer, value)
}
