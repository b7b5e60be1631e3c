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

// commonFlags are the flags of both kinds of endpoint.
func commonFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "serve on `IP:PORT`; port 0 for any"},
		&cli.StringFlag{Name: "endpoint", Required: true, Usage: "`NAME` of the endpoint"},
		&cli.StringFlag{Name: "service", Required: true, Usage: "`NAME` of the service"},
		&cli.StringFlag{Name: "region", Value: "local", Usage: "`NAME` of the region"},
		&cli.StringFlag{Name: "zone", Value: "local-1", Usage: "`NAME` of the availability zone"},
		&cli.Uint64Flag{Name: "incarnation", Usage: "`NUMBER` that grows with each start; 0 takes the clock"},
		&cli.IntFlag{Name: "slots", Value: 8, Usage: "run `N` requests at once"},
		&cli.StringSliceFlag{Name: "announce-to", Usage: "base `URL` of a daemon; may be repeated"},
		&cli.DurationFlag{Name: "announce-interval", Value: time.Second, Usage: "`TIME` between announcements"},
		&cli.DurationFlag{Name: "lease", Value: 3 * time.Second, Usage: "`TIME` that an announcement holds"},
		&cli.DurationFlag{Name: "leave-delay", Value: 2 * time.Second, Usage: "`TIME` to serve on after leaving"},
		&cli.DurationFlag{Name: "report-lag", Usage: "report the load of `TIME` ago"},
		&cli.StringFlag{Name: "crash-marker", Usage: "crash on a request that contains `TEXT`"},
		&cli.DurationFlag{Name: "late", Usage: "begin answers `TIME` later"},
	}
}

// commonConfig reads the flags of both kinds of endpoint.
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

// instance is a running stand-in.
type instance interface {
	Addr() string
	Leave(ctx context.Context) error
	Close()
}

// runUntilSignal prints the address and serves until a signal. Signals stay
// caught until the process has exited.
func runUntilSignal(ctx context.Context, served instance) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	fmt.Println("listening on", served.Addr())
	select {
	case <-signals:
	case <-ctx.Done():
	}
	ctx, cutOff := context.WithCancel(ctx)
	defer cutOff()
	go func() {
		<-signals
		cutOff()
	}()
	err := served.Leave(ctx)
	served.Close()
	if err != nil {
		return cli.Exit("requests in flight were cut off", exitCutOff)
	}
	return nil
}
