package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"oleanderramp/internal/standin"
)

func engineCommand() *cli.Command {
	flags := []cli.Flag{
		&cli.StringSliceFlag{Name: "model", Value: []string{"standin"}, Usage: "`NAME` of a loaded model; may be repeated"},
		&cli.StringSliceFlag{Name: "adapter", Usage: "`NAME` of a loaded adapter; may be repeated"},
		&cli.BoolFlag{Name: "checks-fencing", Usage: "refuse orders with an outdated fence"},
		&cli.DurationFlag{Name: "token-interval", Value: 20 * time.Millisecond, Usage: "`TIME` between tokens"},
		&cli.DurationFlag{Name: "first-token", Value: 200 * time.Millisecond, Usage: "`TIME` until the first token"},
		&cli.IntFlag{Name: "cache-blocks", Value: 4096, Usage: "size of the prompt cache: `N` blocks"},
		&cli.DurationFlag{Name: "resume-grace", Value: time.Second, Usage: "`TIME` that a stream continues without a reader"},
	}
	return &cli.Command{
		Name:   "engine",
		Usage:  "serve a model engine",
		Flags:  append(commonFlags(), flags...),
		Action: runEngine,
	}
}

func runEngine(ctx context.Context, command *cli.Command) error {
	engine, err := standin.NewEngine(standin.EngineConfig{
		Config:          commonConfig(command),
		Models:          command.StringSlice("model"),
		Adapters:        command.StringSlice("adapter"),
		ChecksFencing:   command.Bool("checks-fencing"),
		TokenInterval:   command.Duration("token-interval"),
		FirstTokenDelay: command.Duration("first-token"),
		CacheBlocks:     command.Int("cache-blocks"),
		ResumeGrace:     command.Duration("resume-grace"),
	})
	if err != nil {
		return err
	}
	return runUntilSignal(ctx, engine)
}
