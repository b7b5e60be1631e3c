package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/urfave/cli/v3"

	"oleanderramp/internal/standin"
)

// commonFlags returns the flags that both kinds of endpoint have.
func commonFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "serve on `IP:PORT`; port 0 for any"},
		&cli.StringFlag{Name: "endpoint", Required: true, Usage: "`NAME` of the endpoint"},
		&cli.StringFlag{Name: "service", Required: true, Usage: "`NAME` of the service"},
		&cli.StringFlag{Name: "region", Value: "local", Usage: "`NAME` of the region"},
		&cli.StringFlag{Name: "zone", Value: "local-1", Usage: "`NAME` of the availability zone"},
		&cli.Uint64Flag{Name: "incarnation", Usage: "`NUMBER` that increases with each start; 0 uses the clock"},
		&cli.IntFlag{Name: "slots", Value: 8, Usage: "run `N` requests at once"},
		&cli.StringSliceFlag{Name: "announce-to", Usage: "base `URL` of a daemon; may be repeated"},
		&cli.DurationFlag{Name: "announce-interval", Value: time.Second, Usage: "`TIME` between announcements"},
		&cli.DurationFlag{Name: "lease", Value: 3 * time.Second, Usage: "`TIME` that an announcement is valid"},
		&cli.DurationFlag{Name: "leave-delay", Value: 2 * time.Second, Usage: "`TIME` to keep serving after leaving"},
		&cli.DurationFlag{Name: "report-lag", Usage: "report the load as of `TIME` ago"},
		&cli.StringFlag{Name: "crash-marker", Usage: "crash on a request that contains `TEXT`"},
		&cli.DurationFlag{Name: "late", Usage: "delay the start of responses by `TIME`"},
	}
}

// commonConfig returns the configuration given by commonFlags.
func commonConfig(command *cli.Command) standin.Config {
	return standin.Config{
		Listen:           command.String("listen"),
		Endpoint:         command.String("endpoint"),
		Service:          command.String("service"),
		Region:           command.String("region"),
		Zone:             command.String("zone"),
		Incarnation:      command.Uint64("incarnation"),
		Slots:            command.Int("slots"),
		AnnounceTo:       command.StringSlice("announce-to"),
		AnnounceInterval: command.Duration("announce-interval"),
		Lease:            command.Duration("lease"),
		LeaveDelay:       command.Duration("leave-delay"),
		ReportLag:        command.Duration("report-lag"),
		CrashMarker:      command.String("crash-marker"),
		AnswerDelay:      command.Duration("late"),
		Exit:             func() { os.Exit(exitCrash) },
		Log:              &log.Logger{Handler: json.New(os.Stderr), Level: log.InfoLevel},
	}
}

// instance is a running stand-in endpoint.
type instance interface {
	Addr() string
	Leave(ctx context.Context) error
	Close()
}

// runUntilSignal prints the address and serves until a signal. The signal
// handler stays installed until the process exits, so that a further signal
// can't kill it.
func runUntilSignal(ctx context.Context, server instance) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	fmt.Println("listening on", server.Addr())
	select {
	case <-signals:
	case <-ctx.Done():
	}
	ctx, abort := context.WithCancel(ctx)
	defer abort()
	go func() {
		<-signals
		abort()
	}()
	err := server.Leave(ctx)
	server.Close()
	if err != nil {
		return cli.Exit("requests in flight were aborted", exitAborted)
	}
	return nil
}
