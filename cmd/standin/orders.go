package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"oleanderramp/internal/standin"
)

func ordersCommand() *cli.Command {
	return &cli.Command{
		Name:  "orders",
		Usage: "serve a plain order service",
		Flags: append(commonFlags(),
			&cli.DurationFlag{Name: "work", Usage: "processing `TIME` of each request"}),
		Action: runOrders,
	}
}

func runOrders(ctx context.Context, command *cli.Command) error {
	orders, err := standin.NewOrders(standin.OrdersConfig{
		Config:      commonConfig(command),
		ServiceTime: command.Duration("work"),
	})
	if err != nil {
		return err
	}
	return runUntilSignal(ctx, orders)
}
