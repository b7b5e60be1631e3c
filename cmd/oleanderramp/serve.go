package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
	textlog "github.com/apex/log/handlers/text"
	"github.com/urfave/cli/v3"

	"oleanderramp/internal/daemon"
	"oleanderramp/internal/demo"
	"oleanderramp/internal/settings"
)

const serveHelp = `NAME
    oleanderramp serve - run a daemon

SYNOPSIS
    oleanderramp serve --settings FILE [--bootstrap]
    oleanderramp serve --dev [--data-folder FOLDER]

DESCRIPTION
    Runs a daemon with the roles in its settings until it gets a signal. Log
    lines go to standard error.

    The first SIGINT or SIGTERM starts a graceful shutdown: the daemon reports
    that it is not ready, refuses new requests as not run, hands over its
    services to other schedulers, and exits once every request in progress has
    ended or the shutdown timeout has passed. A second signal stops it at once
    and logs the number of aborted requests.

    A daemon with the role replica and an empty data folder waits until it is
    added to the quorum. Start exactly one daemon of a new fleet with
    --bootstrap the first time: it creates the quorum, and adds the others as
    they start. Never use --bootstrap again, in particular not on a host whose
    disk was lost.

FLAGS
    --settings FILE
        The settings, in JSON. See "oleanderramp help check".
    --bootstrap
        Create a new quorum if the data folder is empty.
    --dev
        Run one daemon with all roles on 127.0.0.1, with a demonstration
        bundle, a stand-in engine and a stand-in order service, and print
        commands to try.
    --data-folder FOLDER
        With --dev: where to store the state. Default: a temporary folder that
        is removed on exit.

EXAMPLES
    oleanderramp serve --dev
    oleanderramp serve --settings /etc/oleanderramp/settings.json

EXIT CODES
    0   stopped gracefully
    1   the daemon failed, or requests were aborted
    2   invalid usage
    3   findings in the settings
`

const devBanner = `oleanderramp is running with a stand-in engine and a stand-in order service. Try:

  curl -N http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' \
    -H 'Content-Type: application/json' \
    -d '{"model":"%[3]s","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"When does hall 4 open?"}]}'

  curl http://%[1]s/services/orders/bookings -H 'Authorization: Bearer %[2]s' \
    -H 'Idempotency-Key: booking-1' -d '{"order":"power-hall-4"}'

  OLEANDERRAMP_OPERATOR_KEY=%[4]s oleanderramp fleet status --server http://%[5]s

Stop with Ctrl-C.
`

// devReadyTimeout is the timeout for starting the demonstration.
const devReadyTimeout = 20 * time.Second

var errRequestsAborted = errors.New("requests were aborted at shutdown")

var serveCommand = &cli.Command{
	Name:        "serve",
	Description: serveHelp,
	Flags: []cli.Flag{
		&cli.StringFlag{Name: "settings"},
		&cli.BoolFlag{Name: "bootstrap"},
		&cli.BoolFlag{Name: "dev"},
		&cli.StringFlag{Name: "data-folder"},
	},
	Action: serve,
}

// gcPercent is the heap growth, in percent, at which garbage is collected,
// unless GOGC is set.
const gcPercent = 50

// serve runs a daemon until a signal ends it.
func serve(_ context.Context, c *cli.Command) error {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if c.Bool("dev") {
		return serveDev(c)
	}
	path := c.String("settings")
	if path == "" {
		return usagef("serve needs --settings FILE or --dev")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	s, err := settings.Parse(data)
	if err != nil {
		return fmt.Errorf("settings %s:\n%w", path, err)
	}
	limitMemory(s.Limits.MemoryMB)
	d, err := daemon.New(s, daemon.Options{Bootstrap: c.Bool("bootstrap"), Log: newLogger(s.Log, c.Root().ErrWriter)})
	if err != nil {
		return err
	}
	return runUntilSignal(d)
}

// serveDev runs a daemon with the demonstration bundle and stand-in endpoints.
func serveDev(c *cli.Command) error {
	folder := c.String("data-folder")
	if folder == "" {
		temporary, err := os.MkdirTemp("", "oleanderramp-dev-")
		if err != nil {
			return fmt.Errorf("create data folder: %w", err)
		}
		defer os.RemoveAll(temporary) //nolint:errcheck // The system cleans up its temporary folder.
		folder = temporary
	}
	s, err := demo.Settings(folder)
	if err != nil {
		return err
	}
	limitMemory(s.Limits.MemoryMB)
	d, err := daemon.New(s, daemon.Options{Bootstrap: true, Log: newLogger(s.Log, c.Root().ErrWriter)})
	if err != nil {
		return err
	}
	endpoints, err := startDemo(d)
	if err != nil {
		return errors.Join(err, d.Close())
	}
	defer endpoints.Close() //nolint:errcheck // Stand-ins have no durable state.
	fmt.Fprintf(c.Root().Writer, devBanner,
		demo.CallersAddress, demo.AccountKey, demo.Model, demo.OperatorKey, demo.OperatorsAddress)
	return runUntilSignal(d)
}

// startDemo accepts the demonstration bundle, waits until the daemon is ready
// and starts the stand-ins.
func startDemo(d *daemon.Daemon) (*demo.Endpoints, error) {
	ctx, cancel := context.WithTimeout(context.Background(), devReadyTimeout)
	defer cancel()
	if err := demo.InstallBundle(ctx, d.Quorum()); err != nil {
		return nil, err
	}
	if err := d.WaitReady(ctx); err != nil {
		return nil, err
	}
	return demo.NewEndpoints("http://" + demo.EndpointsAddress)
}

// runUntilSignal waits for a signal or a failure and shuts the daemon down. A
// second signal aborts the requests in progress.
func runUntilSignal(d *daemon.Daemon) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	var failure error
	select {
	case <-signals:
	case failure = <-d.Failed():
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	aborted := d.Drain(ctx)
	err := errors.Join(failure, d.Close())
	if aborted > 0 {
		return errors.Join(errRequestsAborted, err)
	}
	return err
}

// newLogger returns a logger with the level and format of the settings.
func newLogger(s settings.Log, w io.Writer) *log.Logger {
	logger := &log.Logger{Level: log.MustParseLevel(s.Level)}
	if s.Format == "text" {
		logger.Handler = textlog.New(w)
	} else {
		logger.Handler = jsonlog.New(w)
	}
	return logger
}
