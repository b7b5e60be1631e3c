package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/urfave/cli/v3"

	"oleanderramp/internal/event"
	"oleanderramp/internal/logring"
	"oleanderramp/internal/settings"
	"oleanderramp/internal/site"
	"oleanderramp/internal/telemetry"
	"oleanderramp/platform"
)

const siteHelp = `NAME
    oleanderramp site - run a daemon of a site whose hosts discover each other

SYNOPSIS
    oleanderramp site [--settings FILE]

DESCRIPTION
    Runs a router or a control host on the users' platform. The daemons of a
    site discover each other from a few seed addresses. The control hosts form
    the quorum and replace lost members without an operator's command.

    The settings are JSON; docs/OPERATIONS.md lists them. They are read again
    on SIGHUP, and when the file changes. Only the seeds can change while the
    daemon runs.

    SIGTERM stops the daemon: it reports that it is not ready, finishes the
    requests in progress, and exits within shutdown_s.

OPTIONS
    --settings FILE
        The settings. Default: the file that OLEANDERRAMP_SETTINGS names.

EXAMPLES
    oleanderramp site --settings /etc/oleanderramp/site.json

EXIT CODES
    0   stopped gracefully
    1   the daemon failed, or requests were aborted
    2   invalid usage
    3   findings in the settings
`

var siteCommand = &cli.Command{
	Name:        "site",
	Description: siteHelp,
	Flags:       []cli.Flag{&cli.StringFlag{Name: "settings", Sources: cli.EnvVars("OLEANDERRAMP_SETTINGS")}},
	Action:      runSite,
}

const (
	// siteGCPercent is the heap growth, in percent, at which garbage is
	// collected.
	siteGCPercent = 50
	// heapLimitFraction is the fraction of the host's memory that is set as
	// the soft memory limit of the Go runtime. Near the limit, garbage is
	// collected regardless of siteGCPercent.
	heapLimitFraction = 0.75
	// settingsPollInterval is the interval at which the settings file is
	// checked for changes.
	settingsPollInterval = 2 * time.Second
)

// limitMemory sets the soft memory limit of the Go runtime, unless GOMEMLIMIT is set.
func limitMemory(memoryMB int) {
	if memoryMB > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(float64(memoryMB<<20) * heapLimitFraction))
	}
}

// runSite runs a site daemon until a signal ends it.
func runSite(_ context.Context, c *cli.Command) error {
	path := c.String("settings")
	if path == "" {
		return usagef("site needs --settings FILE")
	}
	s, err := readSite(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(siteGCPercent)
	limitMemory(s.MemoryMB)
	logWriter := logring.New(c.Root().Writer)
	defer logWriter.Close() //nolint:errcheck // The log itself failed; there is nowhere to report it.
	logger := newLogger(s.Log, logWriter)
	limiter := logring.NewRateLimiter(logger.Handler, s.MaxLogLines, time.Now)
	logger.Handler = limiter
	l := logger.WithField("host", s.Host)
	stop := make(chan struct{})
	defer close(stop)
	go reportOmitted(l, logWriter, limiter, stop)
	d, err := site.New(s, platform.Adapter{}, l)
	if err != nil {
		event.DaemonFailed.Log(l, event.Fields{"host": s.Host, "error": err.Error()})
		return err
	}
	telemetry.RegisterOmittedLogLines(d.Registry(), func() uint64 { return logWriter.Dropped() + limiter.Omitted() })
	return superviseSite(d, path, func(err error) {
		event.SettingsUnreadable.Log(l, event.Fields{"file": path, "error": err.Error()})
	})
}

// omittedReportInterval is the interval between reports of omitted log lines.
const omittedReportInterval = time.Second

// reportOmitted logs the numbers of omitted and dropped log lines until stop
// is closed.
func reportOmitted(l log.Interface, logWriter *logring.AsyncWriter, limiter *logring.RateLimiter, stop <-chan struct{}) {
	ticker := time.NewTicker(omittedReportInterval)
	defer ticker.Stop()
	before := uint64(0)
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		dropped := logWriter.Dropped()
		lines, byEvent := limiter.TakeOmitted()
		if lines > 0 || dropped > before {
			event.LogLinesDropped.Log(l, event.Fields{"over_budget": lines, "by_event": byEvent, "unread": dropped - before})
		}
		before = dropped
	}
}

func readSite(path string) (*settings.Site, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, err := settings.ParseSite(data)
	if err != nil {
		return nil, fmt.Errorf("settings %s:\n%w", path, err)
	}
	return s, nil
}

// superviseSite reloads the settings on SIGHUP and when the file changes, and
// stops the daemon on SIGINT, SIGTERM or a failure. A second stop signal aborts
// the requests in progress.
func superviseSite(d *site.Daemon, path string, reportError func(error)) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	loaded := statVersion(path)
	reload := func() {
		s, err := readSite(path)
		if err != nil {
			reportError(err)
			return
		}
		d.SetSeeds(s.SeedAddresses())
	}
	var failure error
	for stop := false; !stop; {
		select {
		case <-ticker.C:
			if current := statVersion(path); current != loaded {
				loaded = current
				reload()
			}
		case s := <-signals:
			stop = s != syscall.SIGHUP
			if !stop {
				loaded = statVersion(path)
				reload()
			}
		case failure = <-d.Failed():
			stop = true
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for s := range signals {
			if s != syscall.SIGHUP {
				cancel()
				return
			}
		}
	}()
	aborted := d.Drain(ctx)
	err := errors.Join(failure, d.Close())
	if aborted > 0 {
		return errors.Join(errRequestsAborted, err)
	}
	return err
}

// fileVersion identifies a version of a file by size and modification time.
type fileVersion struct {
	size     int64
	modified time.Time
}

// statVersion returns the version of the file, or the zero value if the file
// can't be read.
func statVersion(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{size: info.Size(), modified: info.ModTime()}
}
