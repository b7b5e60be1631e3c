package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
	"github.com/urfave/cli/v3"

	"oleanderramp/internal/disk"
	"oleanderramp/internal/settings"
	"oleanderramp/internal/site"
	"oleanderramp/internal/soak/powerloss"
	"oleanderramp/platform"
)

// controlHostCommand is how a soak starts its control hosts: as the program's own command
// does, but on a file system that loses at a kill what was not synced.
var controlHostCommand = &cli.Command{
	Name: "site", Usage: "run a control host that loses at a kill what it did not sync", Hidden: true, Action: runControlHost,
	Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Required: true}},
}

// segmentBytes and snapshotBytes make a run of some seconds change segments and compact
// its log a few times.
const (
	segmentBytes  = 4 << 10
	snapshotBytes = 8 << 10
)

func runControlHost(_ context.Context, c *cli.Command) error {
	path := c.String("settings")
	s, err := readSettings(path)
	if err != nil {
		return err
	}
	l := (&log.Logger{Handler: jsonlog.New(os.Stdout), Level: log.MustParseLevel(s.Log.Level)}).WithField("host", s.Host)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP)
	d, err := site.NewWithStorage(s, platform.Adapter{}, l, site.Storage{
		Open: openPowerlossFolder, SegmentBytes: segmentBytes, SnapshotBytes: snapshotBytes,
	})
	if err != nil {
		return err
	}
	for {
		select {
		case received := <-signals:
			if received == syscall.SIGTERM {
				d.Drain(context.Background())
				return d.Close()
			}
			if changed, err := readSettings(path); err == nil {
				d.SetSeeds(changed.SeedAddresses())
			}
		case err := <-d.Failed():
			return errors.Join(err, d.Close())
		}
	}
}

func readSettings(path string) (*settings.Site, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return settings.ParseSite(data)
}

func openPowerlossFolder(path string) (disk.FileSystem, error) {
	below, err := disk.OpenFolder(path)
	if err != nil {
		return nil, err
	}
	return powerloss.New(below, rand.IntN)
}
